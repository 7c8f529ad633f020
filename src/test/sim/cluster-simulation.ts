/**
 * Runs complete controllers on virtual time against simulated workers, users, key-value store and cloud provider, under
 * an invariant checker. Several faults can be active at the same time.
 */
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus';
import { uniformFloat64 } from 'pure-rand/distribution/uniformFloat64';
import {
  CLOCK_ERROR_MS,
  CLOUD_PROVIDER_IP,
  KEY_VALUE_STORE_IP,
  createControllerProcesses,
  keyValueStoreLimits,
  workerTimings,
  type ClusterSetup,
  type ControllerProcess,
} from './cluster-setup.js';
import { InvariantChecker } from './invariant-checker.js';
import { replaceNodeGlobals } from './node-globals.js';
import { PendingJobMonitor } from './pending-job-monitor.js';
import { SimulatedCloudProvider } from './simulated-cloud-provider.js';
import type { SimulatedHost } from './simulated-host.js';
import { SimulatedKeyValueStore } from './simulated-key-value-store.js';
import { SimulatedNetwork, type LinkFault } from './simulated-network.js';
import { SimulatedUser } from './simulated-user.js';
import type { WorkerEnvironment } from './simulated-worker.js';
import { SimulationRuntime } from './simulation-runtime.js';
import { WorkerHost } from './worker-host.js';
import { parseOperatorSettings } from '../../config/operator.js';
import { parseAddress } from '../../config/address.js';
import type { PlatformSettings } from '../../config/platform.js';
import type { JobSpec } from '../../core/job-spec.js';
import type { MachineInfo } from '../../core/machine-info.js';
import type { JobId, MachineId } from '../../core/units.js';
import { Controller } from '../../runtime/controller.js';
import { HttpClient } from '../../runtime/http/http-client.js';

const USERS_IP = '10.3.0.1';
const DUPLICATING_HOST_IP = '10.3.0.2';
/** A job is forgotten if its user gets no response for longer than this. */
const FORGOTTEN_AFTER_MS = 75_000;
/** Age, at the start of the simulation, of the machines that already run then. */
const INITIAL_MACHINE_AGE_MS = 600_000;
const CLOUD_LIST_LAG_MS = 4000;
const INVARIANT_CHECK_INTERVAL_MS = 500;

/** A simulated cluster. Tests inject faults through its methods. */
export class ClusterSimulation {
  readonly runtime = new SimulationRuntime();
  readonly network = new SimulatedNetwork(this.runtime);
  readonly checker: InvariantChecker;
  readonly keyValueStore: SimulatedKeyValueStore;
  readonly cloudProvider: SimulatedCloudProvider;
  readonly workers = new Map<MachineId, WorkerHost>();
  readonly users = new Map<JobId, SimulatedUser>();
  readonly controllers: ControllerProcess[];
  readonly random: () => number;
  readonly notes: string[] = [];
  private readonly specs = new Map<JobId, JobSpec>();
  private readonly restoreNodeGlobals: () => void;
  private readonly usersHost: SimulatedHost;
  private readonly timings: PlatformSettings['workers'];

  constructor(private readonly setup: ClusterSetup) {
    process.env['LOG_LEVEL'] ??= 'error';
    const generator = xoroshiro128plus(setup.seed);
    this.random = () => uniformFloat64(generator);
    this.restoreNodeGlobals = replaceNodeGlobals(this.runtime, this.network);
    const { clock } = this.runtime;
    this.timings = workerTimings(setup);
    this.checker = new InvariantChecker(this.specs, setup.teams, this.timings.cancelS, () => clock.now);
    this.usersHost = this.runtime.createHost(USERS_IP);
    const keyValueStoreHost = this.runtime.createHost(KEY_VALUE_STORE_IP);
    this.keyValueStore = new SimulatedKeyValueStore(
      keyValueStoreHost,
      `${KEY_VALUE_STORE_IP}:2379`,
      this.random,
    );
    this.keyValueStore.limits = keyValueStoreLimits(setup);
    this.controllers = createControllerProcesses(setup, this.runtime);
    this.cloudProvider = this.createCloudProvider();
    clock.every(INVARIANT_CHECK_INTERVAL_MS, () => this.checker.checkPeriodically());
    this.startInitialMachines();
    for (const controller of this.controllers) this.startController(controller);
  }

  private createCloudProvider(): SimulatedCloudProvider {
    const { setup } = this;
    const environment: WorkerEnvironment = {
      clock: this.runtime.clock,
      checker: this.checker,
      timings: this.timings,
      specs: this.specs,
      gangs: new Map(),
      capacity: (typeName) => setup.types.find((type) => type.name === typeName)!,
      runMs: setup.runMs,
      fetchMs: () => 1000 + this.random() * 3000,
    };
    const addresses = this.controllers.map(({ name, ip }) => ({ name, address: `${ip}:8080` }));
    return new SimulatedCloudProvider({
      host: this.runtime.createHost(CLOUD_PROVIDER_IP),
      address: `${CLOUD_PROVIDER_IP}:8443`,
      types: setup.types,
      capacity: setup.capacity,
      listLagMs: CLOUD_LIST_LAG_MS,
      onMachineUp: (machine: MachineInfo) => {
        const host = this.runtime.createHost(parseAddress(machine.endpoint).host);
        this.workers.set(machine.id, new WorkerHost(host, machine, environment, addresses, this.random));
      },
      onMachineDeleted: (id: MachineId) => {
        this.workers.get(id)?.terminate();
        this.workers.delete(id);
      },
    });
  }

  private startInitialMachines(): void {
    const { types, initialMachines } = this.setup;
    const type = types.find(({ name }) => name === initialMachines?.type);
    for (const zone of type?.zones ?? [])
      for (let i = 0; i < (initialMachines?.perZone ?? 0); i++)
        this.cloudProvider.addMachine(type!.name, zone, false, 0, -INITIAL_MACHINE_AGE_MS);
  }

  private startController(controller: ControllerProcess): void {
    // A controller that is killed twice before its restart is started twice. The second start replaces the process.
    controller.host.kill();
    const wallClockOffsetMs = (this.random() - 0.5) * 2 * CLOCK_ERROR_MS;
    controller.host = this.runtime.createHost(controller.ip, wallClockOffsetMs);
    const operator = this.setup.operator ?? {};
    const { version } = controller;
    if (version !== null) {
      controller.host.run(() => version.startController(controller.platform, operator));
      return;
    }
    const { announcedKeyValueStoreLimits = {} } = this.setup;
    const platform = {
      ...controller.platform,
      keyValueStoreLimits: { ...controller.platform.keyValueStoreLimits, ...announcedKeyValueStoreLimits },
    };
    controller.host.run(() => new Controller(platform, parseOperatorSettings(operator)).start());
  }

  /** Schedules the action for the given simulated time. */
  at(ms: number, action: () => void): void {
    this.runtime.clock.after(ms - this.now, action);
  }

  get now(): number {
    return this.runtime.clock.now;
  }

  /** Creates a user that submits the job and polls its status until it is done or cancelled. */
  submit(spec: JobSpec): SimulatedUser {
    this.specs.set(spec.id, spec);
    const addresses = this.controllers.map((controller) => `${controller.ip}:8080`);
    const user = new SimulatedUser(this.usersHost, spec, addresses, this.checker, this.random);
    this.users.set(spec.id, user);
    user.start();
    return user;
  }

  /** Makes the job's user request its cancellation. */
  cancel(id: JobId): void {
    this.users.get(id)!.cancel();
  }

  /** Adds a note with the current time. Failed assertions print the notes. */
  addNote(text: string): void {
    this.notes.push(`${(this.now / 1000).toFixed(1)} ${text}`);
  }

  /** The controller named by the leader key in the key-value store. */
  get leader(): ControllerProcess | null {
    const node = (this.keyValueStore.items.get('l/leader')?.data as { node?: string } | undefined)?.node;
    return this.controllers.find((controller) => controller.name === node) ?? null;
  }

  /** Kills a controller and starts it again after `afterMs`. */
  restart(controller: ControllerProcess, afterMs: number): void {
    controller.host.kill();
    this.runtime.clock.after(afterMs, () => this.startController(controller));
  }

  /** Kills a controller and starts it with the current version after `afterMs`. */
  upgrade(controller: ControllerProcess, afterMs: number): void {
    controller.version = null;
    this.restart(controller, afterMs);
  }

  /** Makes the key-value store enforce the announced limits from now on, without notifying the controllers. */
  applyAnnouncedLimits(): void {
    this.keyValueStore.limits = {
      ...keyValueStoreLimits(this.setup),
      ...this.setup.announcedKeyValueStoreLimits,
    };
  }

  /** Makes the key-value store refuse the requests of the current leader only. */
  refuseLeader(forMs: number): void {
    if (this.leader) this.keyValueStore.refuseHost(this.leader.ip, forMs);
  }

  /** Injects a fault on the links between a controller and its peers. */
  isolateFromPeers(controller: ControllerProcess, fault: LinkFault, forMs: number): void {
    const others = this.controllers.filter((peer) => peer !== controller).map((peer) => peer.ip);
    this.network.injectFault([controller.ip], others, fault, forMs);
  }

  /** Partitions a controller from the key-value store. */
  isolateFromKeyValueStore(controller: ControllerProcess, forMs: number): void {
    this.network.injectFault([controller.ip], [KEY_VALUE_STORE_IP], 'hold', forMs);
  }

  /**
   * Injects a fault on the links from the machines and controllers of a zone to the controllers of other zones, the
   * key-value store, the cloud provider and the users.
   */
  isolateZone(zone: string, fault: LinkFault, forMs: number): void {
    const outside = this.controllers
      .filter((controller) => controller.platform.zone !== zone)
      .map((controller) => controller.ip);
    this.network.injectFault(
      this.addressesIn(zone),
      [...outside, KEY_VALUE_STORE_IP, CLOUD_PROVIDER_IP, USERS_IP],
      fault,
      forMs,
    );
  }

  /** Injects a fault on the links between the machines and controllers of two zones. */
  partitionZones(zoneA: string, zoneB: string, fault: LinkFault, forMs: number): void {
    this.network.injectFault(this.addressesIn(zoneA), this.addressesIn(zoneB), fault, forMs);
  }

  /** Delivers a duplicate of this fraction of heartbeats to a random controller, up to two leases and 2 s later. */
  duplicateHeartbeats(fraction: number, forMs: number): void {
    const until = this.now + forMs;
    const duplicatingHost = this.runtime.createHost(DUPLICATING_HOST_IP);
    const clients = this.controllers.map(
      (controller) => new HttpClient(controller.platform.publicAddress, 8, 1000),
    );
    for (const workerHost of this.workers.values()) {
      workerHost.onHeartbeatSent = (body) => {
        if (this.now > until || this.random() >= fraction) return;
        const bytes = Buffer.from(body);
        const client = clients[Math.floor(this.random() * clients.length)];
        const delayMs = 2000 + this.random() * this.timings.leaseS * 2000;
        const send = (): void => void client.request('POST', '/checkin', bytes, 4000);
        this.at(this.now + delayMs, () => duplicatingHost.run(send));
      };
    }
  }

  /** Makes workers execute this fraction of direct commands late and without a response. */
  delayDirectCommands(fraction: number, forMs: number): void {
    for (const workerHost of this.workers.values())
      workerHost.delayedCommands = { fraction, until: this.now + forMs };
  }

  /** The machines on which tasks of this job run. */
  machinesOf(id: JobId): WorkerHost[] {
    const ids = new Set(this.checker.machineIdsOf(id));
    return [...this.workers.values()].filter((workerHost) => ids.has(workerHost.info.id));
  }

  /** Runs the simulation until `untilMs`. */
  async run(untilMs: number): Promise<void> {
    await this.runtime.runUntil(untilMs);
  }

  /** Runs the simulation after the last fault has ended. In this phase no job may be forgotten or left waiting. */
  async runAfterFaults(untilMs: number): Promise<void> {
    const faultsEndedAt = this.now;
    const { checker, users, workers, specs } = this;
    const { teams, zones } = this.setup;
    new PendingJobMonitor({ checker, users, workers, specs, teams, zones }).start(this.runtime.clock);
    await this.run(untilMs);
    for (const [id, user] of this.users) {
      if (!user.accepted || user.status === 'done' || user.status === 'cancelled') continue;
      if (this.now - Math.max(faultsEndedAt, user.lastResponseAt) > FORGOTTEN_AFTER_MS)
        this.checker.reportForgottenJob(id, 'no response to the status requests');
    }
  }

  /** Kills all controllers and restores the timers, clocks and connections of Node.js. */
  dispose(): void {
    for (const controller of this.controllers) controller.host.kill();
    this.restoreNodeGlobals();
  }

  /** The IP addresses of a zone's machines and controllers. */
  private addressesIn(zone: string): string[] {
    const workerHosts = [...this.workers.values()].filter(({ info }) => info.zone === zone);
    const controllers = this.controllers.filter(({ platform }) => platform.zone === zone);
    return [...workerHosts.map(({ host }) => host.ip), ...controllers.map(({ ip }) => ip)];
  }
}
