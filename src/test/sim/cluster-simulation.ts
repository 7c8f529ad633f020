/**
 * Whole controllers on virtual time, between stand-ins for everything they talk to, with an invariant checker: faults can
 * coincide here as they do between real hosts.
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
/** A job whose users get no response for so long is forgotten. */
const FORGOTTEN_AFTER_MS = 75_000;
/** Machines that run at the start have been up for so long. */
const INITIAL_MACHINE_AGE_MS = 600_000;
const CLOUD_LIST_LAG_MS = 4000;
const INVARIANT_CHECK_INTERVAL_MS = 500;

/** A simulated cluster; tests inject faults through its methods. */
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
    for (const controller of this.controllers) this.boot(controller);
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

  private boot(controller: ControllerProcess): void {
    // Killed twice before it was back: there is still one process.
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

  /** Runs the action at that time of the simulation. */
  at(ms: number, action: () => void): void {
    this.runtime.clock.after(ms - this.now, action);
  }

  get now(): number {
    return this.runtime.clock.now;
  }

  /** A user submits the job, and asks about it until it has ended. */
  submit(spec: JobSpec): SimulatedUser {
    this.specs.set(spec.id, spec);
    const addresses = this.controllers.map((controller) => `${controller.ip}:8080`);
    const user = new SimulatedUser(this.usersHost, spec, addresses, this.checker, this.random);
    this.users.set(spec.id, user);
    user.start();
    return user;
  }

  /** The job's user asks to cancel it. */
  cancel(id: JobId): void {
    this.users.get(id)!.cancel();
  }

  /** A note on what happened, for the message of a test that fails. */
  addNote(what: string): void {
    this.notes.push(`${(this.now / 1000).toFixed(1)} ${what}`);
  }

  /** The controller that the key-value store names as the leader. */
  get leader(): ControllerProcess | null {
    const node = (this.keyValueStore.items.get('l/leader')?.data as { node?: string } | undefined)?.node;
    return this.controllers.find((controller) => controller.name === node) ?? null;
  }

  /** Kills a controller, and starts it again later. */
  restart(controller: ControllerProcess, afterMs: number): void {
    controller.host.kill();
    this.runtime.clock.after(afterMs, () => this.boot(controller));
  }

  /** Kills a controller, and starts it later with the present version. */
  upgrade(controller: ControllerProcess, afterMs: number): void {
    controller.version = null;
    this.restart(controller, afterMs);
  }

  /** The key-value store accepts no more than was announced, from now on and without notice. */
  applyAnnouncedLimits(): void {
    this.keyValueStore.limits = {
      ...keyValueStoreLimits(this.setup),
      ...this.setup.announcedKeyValueStoreLimits,
    };
  }

  /** The key-value store refuses the present leader, and nobody else. */
  refuseLeader(forMs: number): void {
    if (this.leader) this.keyValueStore.refuseHost(this.leader.ip, forMs);
  }

  /** Cuts a controller off from its peers. */
  isolateFromPeers(controller: ControllerProcess, fault: LinkFault, forMs: number): void {
    const others = this.controllers.filter((peer) => peer !== controller).map((peer) => peer.ip);
    this.network.injectFault([controller.ip], others, fault, forMs);
  }

  /** Cuts a controller off from the key-value store. */
  isolateFromKeyValueStore(controller: ControllerProcess, forMs: number): void {
    this.network.injectFault([controller.ip], [KEY_VALUE_STORE_IP], 'hold', forMs);
  }

  /** Cuts the machines and controllers of a zone off from everything outside of it. */
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

  /** Cuts the machines and controllers of two zones off from one another. */
  partitionZones(one: string, other: string, fault: LinkFault, forMs: number): void {
    this.network.injectFault(this.addressesIn(one), this.addressesIn(other), fault, forMs);
  }

  /** A duplicate of that fraction of the heartbeats arrives at some controller, up to well over a lease later. */
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

  /** That fraction of the direct commands is executed late and gets no response. */
  delayDirectCommands(fraction: number, forMs: number): void {
    for (const workerHost of this.workers.values())
      workerHost.delayedCommands = { fraction, until: this.now + forMs };
  }

  /** Machines on which a task of this job is. */
  machinesOf(id: JobId): WorkerHost[] {
    const ids = new Set(this.checker.machineIdsOf(id));
    return [...this.workers.values()].filter((workerHost) => ids.has(workerHost.info.id));
  }

  /** Runs the simulation until then. */
  async run(untilMs: number): Promise<void> {
    await this.runtime.runUntil(untilMs);
  }

  /** Runs on after the last fault: from now on no job may be forgotten or left waiting. */
  async runAfterFaults(untilMs: number): Promise<void> {
    const settlingSince = this.now;
    const { checker, users, workers, specs } = this;
    const { teams, zones } = this.setup;
    new PendingJobMonitor({ checker, users, workers, specs, teams, zones }).start(this.runtime.clock);
    await this.run(untilMs);
    for (const [id, user] of this.users) {
      if (!user.accepted || user.status === 'done' || user.status === 'cancelled') continue;
      if (this.now - Math.max(settlingSince, user.lastResponseAt) > FORGOTTEN_AFTER_MS)
        this.checker.reportForgottenJob(id, 'no question answered');
    }
  }

  /** Ends all controllers, and gives Node its own timers, clocks and connections back. */
  dispose(): void {
    for (const controller of this.controllers) controller.host.kill();
    this.restoreNodeGlobals();
  }

  /** The addresses of a zone's machines and controllers. */
  private addressesIn(zone: string): string[] {
    const workerHosts = [...this.workers.values()].filter(({ info }) => info.zone === zone);
    const controllers = this.controllers.filter(({ platform }) => platform.zone === zone);
    return [...workerHosts.map(({ host }) => host.ip), ...controllers.map(({ ip }) => ip)];
  }
}
