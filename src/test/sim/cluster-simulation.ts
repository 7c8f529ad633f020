// Whole controllers on virtual time, between stand-ins for all they talk to, with a checker of the rules: troubles can
// meet here as they do between real hosts.
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus';
import { uniformFloat64 } from 'pure-rand/distribution/uniformFloat64';
import { InvariantChecker } from './invariant-checker.js';
import { SimulatedCloudProvider } from './simulated-cloud-provider.js';
import { SimulationRuntime, type SimulatedHost } from './simulation-runtime.js';
import { SimulatedNetwork, type LinkFault } from './simulated-network.js';
import { SimulatedKeyValueStore } from './simulated-key-value-store.js';
import type { ProgramVersion } from './production-version.js';
import { SimulatedUser } from './simulated-user.js';
import { WorkerHost } from './worker-host.js';
import type { GangAttempt, WorkerEnvironment } from './simulated-worker.js';
import { parseOperatorSettings } from '../../config/operator.js';
import { parseAddress } from '../../config/address.js';
import type { PlatformSettings, KeyValueStoreLimits } from '../../config/platform.js';
import type { JobSpec, MachineInfo, MachineType, TeamQuota } from '../../core/types.js';
import type { JobId, MachineId, NodeName, Zone } from '../../core/units.js';
import { Controller } from '../../runtime/controller.js';
import { HttpClient } from '../../runtime/http/http-client.js';

const STATE = '10.2.0.1';
const CLOUD = '10.2.0.2';
const CLOCK_ERROR_MS = 100;
const FORGOTTEN_MS = 75_000;
/** Machines that are up at the start were rented so long before. */
const UP_SINCE_MS = 600_000;
const LEFT_WAITING_MS = 90_000;
const WAITING_LOOK_MS = 2000;

export interface ClusterSetup {
  seed: number;
  zones: string[];
  /** The zone of each controller. */
  controllers: string[];
  teams: TeamQuota[];
  types: MachineType[];
  /** How many machines the cloud has. */
  capacity: number;
  /** Machines that are up before the first controller starts, in each zone of their type. */
  initialMachines?: { type: string; perZone: number };
  runMs: (job: JobId) => number;
  workers?: Partial<PlatformSettings['workers']>;
  /** Operators' settings, as the build step writes them. */
  operator?: unknown;
  /** What the state service takes at the start, as far as it is otherwise than usual. */
  keyValueStoreLimits?: Partial<KeyValueStoreLimits>;
  /** Limits that it will have later, as the settings announce them. */
  announcedKeyValueStoreLimits?: Partial<KeyValueStoreLimits>;
  /** Sockets that a controller may have open; few make direct commands that are never sent. */
  socketLimit?: number;
  /** The version that the controllers run at the start; else the present one. */
  version?: ProgramVersion;
}

const USUAL_SOCKETS = 1000;
const USUAL_LIMITS: KeyValueStoreLimits = { rps: 200, writeRps: 60, valueKb: 8, txnOps: 12 };

export interface ControllerProcess {
  name: NodeName;
  ip: string;
  platform: PlatformSettings;
  host: SimulatedHost;
  /** Null: the present version. */
  version: ProgramVersion | null;
}

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
  private readonly times: PlatformSettings['workers'];

  constructor(private readonly setup: ClusterSetup) {
    process.env['LOG_LEVEL'] ??= 'error';
    const rng = xoroshiro128plus(setup.seed);
    this.random = () => uniformFloat64(rng);
    this.restoreNodeGlobals = this.runtime.replaceNodeGlobals(this.network);
    const { clock } = this.runtime;
    this.times = {
      heartbeatIntervalS: 1.5,
      leaseS: 10,
      gangWaitS: 40,
      gangPeerS: 4,
      cancelS: 40,
      ...setup.workers,
    };
    this.checker = new InvariantChecker(this.specs, setup.teams, this.times.cancelS, () => clock.now);
    this.usersHost = this.runtime.createHost('10.3.0.1');
    this.keyValueStore = new SimulatedKeyValueStore(
      this.runtime.createHost(STATE),
      `${STATE}:2379`,
      this.random,
    );
    this.keyValueStore.limits = this.limits;
    const gangs = new Map<string, GangAttempt>();
    const view: WorkerEnvironment = {
      clock,
      checker: this.checker,
      timings: this.times,
      specs: this.specs,
      gangs,
      capacity: (type) => setup.types.find((t) => t.name === type)!,
      runMs: setup.runMs,
      fetchMs: () => 1000 + this.random() * 3000,
    };
    this.controllers = setup.controllers.map((zone, i) => this.describe(i, zone));
    const addresses = this.controllers.map((controller) => ({
      name: controller.name,
      address: `${controller.ip}:8080`,
    }));
    const up = (info: MachineInfo): void => {
      const host = this.runtime.createHost(parseAddress(info.endpoint).host);
      this.workers.set(info.id, new WorkerHost(host, info, view, addresses, this.random));
    };
    const gone = (id: MachineId): void => {
      this.workers.get(id)?.terminate();
      this.workers.delete(id);
    };
    const cloudHost = this.runtime.createHost(CLOUD);
    this.cloudProvider = new SimulatedCloudProvider(
      cloudHost,
      `${CLOUD}:8443`,
      setup.types,
      setup.capacity,
      4000,
      {
        up,
        gone,
      },
    );
    clock.every(500, () => this.checker.checkPeriodically());
    const first = setup.types.find((t) => t.name === setup.initialMachines?.type);
    for (const zone of first?.zones ?? [])
      for (let i = 0; i < (setup.initialMachines?.perZone ?? 0); i++)
        this.cloudProvider.addMachine(first!.name, zone, false, 0, -UP_SINCE_MS);
    for (const controller of this.controllers) this.boot(controller);
  }

  private describe(i: number, zone: string): ControllerProcess {
    const ip = `10.0.0.${i + 1}`;
    const name = `stable-${i}` as NodeName;
    const platform: PlatformSettings = {
      name,
      zone: zone as Zone,
      publicAddress: { host: ip, port: 8080 },
      internalAddress: { host: ip, port: 8081 },
      peers: this.setup.controllers
        .map((peerZone, j) => ({
          name: `stable-${j}` as NodeName,
          zone: peerZone as Zone,
          address: { host: `10.0.0.${j + 1}`, port: 8081 },
        }))
        .filter((_item, j) => j !== i),
      cloudProvider: { host: CLOUD, port: 8443 },
      keyValueStore: { host: STATE, port: 2379 },
      zones: this.setup.zones as Zone[],
      clockErrorMs: CLOCK_ERROR_MS,
      teams: this.setup.teams,
      objectives: [],
      workers: this.times,
      keyValueStoreLimits: this.limits,
      cloudProviderLimits: { rps: 6, listLagS: 4 },
      limits: { cpu: 0.25, memoryMb: 146, sockets: this.setup.socketLimit ?? USUAL_SOCKETS },
    };
    return { name, ip, platform, host: this.runtime.createHost(ip), version: this.setup.version ?? null };
  }

  private boot(controller: ControllerProcess): void {
    // Ended twice before it was back: there is still one process.
    controller.host.kill();
    controller.host = this.runtime.createHost(controller.ip, (this.random() - 0.5) * 2 * CLOCK_ERROR_MS);
    const operator = this.setup.operator ?? {};
    const { version } = controller;
    if (version === null) {
      const { announcedKeyValueStoreLimits = {} } = this.setup;
      const platform = {
        ...controller.platform,
        keyValueStoreLimits: { ...controller.platform.keyValueStoreLimits, ...announcedKeyValueStoreLimits },
      };
      controller.host.run(() => new Controller(platform, parseOperatorSettings(operator)).start());
    } else controller.host.run(() => version.startController(controller.platform, operator));
  }

  // ---- what happens ----------------------------------------------------------------------------------------

  at(ms: number, action: () => void): void {
    this.runtime.clock.after(ms - this.now, action);
  }

  get now(): number {
    return this.runtime.clock.now;
  }

  submit(spec: JobSpec): SimulatedUser {
    this.specs.set(spec.id, spec);
    const addresses = this.controllers.map((controller) => `${controller.ip}:8080`);
    const user = new SimulatedUser(this.usersHost, spec, addresses, this.checker, this.random);
    this.users.set(spec.id, user);
    user.start();
    return user;
  }

  cancel(id: JobId): void {
    this.users.get(id)!.cancel();
  }

  /** Connections between machines and controllers of two zones. */
  partitionZones(one: string, other: string, trouble: LinkFault, forMs: number): void {
    const inside = (zone: string): string[] => [
      ...[...this.workers.values()]
        .filter((workerHost) => workerHost.info.zone === zone)
        .map((workerHost) => workerHost.host.ip),
      ...this.controllers
        .filter((controller) => controller.platform.zone === zone)
        .map((controller) => controller.ip),
    ];
    this.network.cut(inside(one), inside(other), trouble, forMs);
  }

  /** What happened, for the message of a test that fails. */
  addNote(what: string): void {
    this.notes.push(`${(this.now / 1000).toFixed(1)} ${what}`);
  }

  /** Who the state service names as the leader. */
  get leader(): ControllerProcess | null {
    const node = (this.keyValueStore.items.get('l/leader')?.data as { node?: string } | undefined)?.node;
    return this.controllers.find((controller) => controller.name === node) ?? null;
  }

  restart(controller: ControllerProcess, afterMs: number): void {
    controller.host.kill();
    this.runtime.clock.after(afterMs, () => this.boot(controller));
  }

  /** Killed, and back with the present version. */
  upgrade(controller: ControllerProcess, afterMs: number): void {
    controller.version = null;
    this.restart(controller, afterMs);
  }

  /** The state service takes no more than was announced, from now on and without notice. */
  lowerLimits(): void {
    this.keyValueStore.limits = { ...this.limits, ...this.setup.announcedKeyValueStoreLimits };
  }

  private get limits(): KeyValueStoreLimits {
    return { ...USUAL_LIMITS, ...this.setup.keyValueStoreLimits };
  }

  refuseLeader(forMs: number): void {
    if (this.leader) this.keyValueStore.refuseHost(this.leader.ip, forMs);
  }

  /** Cuts a controller from its peers. */
  isolateFromPeers(controller: ControllerProcess, trouble: LinkFault, forMs: number): void {
    const others = this.controllers.filter((peer) => peer !== controller).map((peer) => peer.ip);
    this.network.cut([controller.ip], others, trouble, forMs);
  }

  isolateFromKeyValueStore(controller: ControllerProcess, forMs: number): void {
    this.network.cut([controller.ip], [STATE], 'hold', forMs);
  }

  /** Machines and controllers of a zone from everything outside of it. */
  isolateZone(zone: string, trouble: LinkFault, forMs: number): void {
    const inside = [...this.workers.values()]
      .filter((workerHost) => workerHost.info.zone === zone)
      .map((workerHost) => workerHost.host.ip);
    const controllers = this.controllers
      .filter((controller) => controller.platform.zone === zone)
      .map((controller) => controller.ip);
    const outside = this.controllers
      .filter((controller) => controller.platform.zone !== zone)
      .map((controller) => controller.ip);
    this.network.cut(
      [...inside, ...controllers],
      [...outside, STATE, CLOUD, this.usersHost.ip],
      trouble,
      forMs,
    );
  }

  /** Of that share of the reports a copy arrives again at some controller, up to well over a lease later. */
  duplicateHeartbeats(share: number, forMs: number): void {
    const until = this.now + forMs;
    const copier = this.runtime.createHost('10.3.0.2');
    const clients = this.controllers.map(
      (controller) => new HttpClient(controller.platform.publicAddress, 8, 1000),
    );
    for (const workerHost of this.workers.values()) {
      workerHost.onHeartbeatSent = (body) => {
        if (this.now > until || this.random() >= share) return;
        const bytes = Buffer.from(body);
        const to = clients[Math.floor(this.random() * clients.length)];
        const delayMs = 2000 + this.random() * this.times.leaseS * 2000;
        this.at(this.now + delayMs, () => copier.run(() => void to.request('POST', '/checkin', bytes, 4000)));
      };
    }
  }

  /** That share of the commands sent straight to workers is carried out late and gets no answer. */
  delayDirectCommands(share: number, forMs: number): void {
    for (const workerHost of this.workers.values())
      workerHost.delayedCommands = { fraction: share, until: this.now + forMs };
  }

  /** Machines on which a task of this job is. */
  machinesOf(id: JobId): WorkerHost[] {
    const ids = new Set(this.checker.machinesOf(id));
    return [...this.workers.values()].filter((workerHost) => ids.has(workerHost.info.id));
  }

  async run(untilMs: number): Promise<void> {
    await this.runtime.runUntil(untilMs);
  }

  /** Tasks that wait, though a machine has room for them and their team is under its limit. */
  private waitsInVain({ spec }: SimulatedUser): boolean {
    const workers = [...this.workers.values()].map((workerHost) => workerHost.worker);
    const held = (id: JobId): number => workers.reduce((sum, worker) => sum + worker.activeTaskCount(id), 0);
    if (held(spec.id) + this.checker.completedTaskCount(spec.id) >= spec.tasks) return false;
    const done = (id: JobId): boolean => this.checker.completedTaskCount(id) === this.specs.get(id)!.tasks;
    if (!spec.dependsOn.every(done)) return false;
    const tasks = spec.kind === 'array' ? 1 : spec.tasks;
    const max = this.setup.teams.find((t) => t.name === spec.team)!.gpusMax;
    const used = [...this.specs.values()]
      .filter((other) => other.team === spec.team)
      .reduce((sum, other) => sum + other.gpus * held(other.id), 0);
    if (max > 0 && used + spec.gpus * tasks > max) return false;
    const fitting = workers.filter(
      (worker) => (spec.zone === null || worker.info.zone === spec.zone) && worker.hasCapacity(spec),
    );
    if (!spec.oneZone && !spec.spread) return fitting.length >= tasks;
    return this.setup.zones.some(
      (zone) => fitting.filter((worker) => worker.info.zone === zone).length >= tasks,
    );
  }

  private watchWaiting(waitingSince: Map<JobId, number>): void {
    for (const [id, user] of this.users) {
      const over = user.status === 'done' || user.status === 'cancelled' || user.cancellationRequested;
      if (!user.accepted || over || !this.waitsInVain(user)) {
        waitingSince.delete(id);
        continue;
      }
      const since = waitingSince.get(id) ?? this.now;
      waitingSince.set(id, since);
      if (this.now - since > LEFT_WAITING_MS) this.checker.reportJobLeftWaiting(id, this.now - since);
    }
  }

  /** Troubles over: jobs of which no question is answered for 75 s are forgotten, and none is left waiting. */
  async runUntilSettled(untilMs: number): Promise<void> {
    const from = this.now;
    const waitingSince = new Map<JobId, number>();
    this.runtime.clock.every(WAITING_LOOK_MS, () => this.watchWaiting(waitingSince));
    await this.run(untilMs);
    for (const [id, user] of this.users) {
      if (!user.accepted || user.status === 'done' || user.status === 'cancelled') continue;
      if (this.now - Math.max(from, user.lastResponseAt) > FORGOTTEN_MS)
        this.checker.reportForgottenJob(id, 'no question answered');
    }
  }

  dispose(): void {
    for (const controller of this.controllers) controller.host.kill();
    this.restoreNodeGlobals();
  }
}
