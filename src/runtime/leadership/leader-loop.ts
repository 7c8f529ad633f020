/** Runs a leader: loads the stored state into it, ticks it, executes its effects, and passes events to it. */
import type { OperatorSettings } from '../../config/operator.js';
import type { PlatformSettings } from '../../config/platform.js';
import type { HeldLease } from '../../core/election.js';
import type { ImageLocations } from '../../core/leader/effects.js';
import { Leader } from '../../core/leader/leader.js';
import type { Heartbeat, UnchangedHeartbeat } from '../../core/heartbeat.js';
import type { MachineType } from '../../core/machine-info.js';
import type { Command } from '../../core/worker-command.js';
import type { JobId, MachineId, MonotonicTime } from '../../core/units.js';
import type { CancellationFeed } from '../cancellations/cancellation-feed.js';
import { monotonicNow, sleep, wallClockNow } from '../clock.js';
import type { CloudProviderClient } from '../cloud/cloud-provider-client.js';
import type { KeyValueStoreClient } from '../key-value-store/key-value-store-client.js';
import type { Logger } from '../logger.js';
import { WorkerClient } from '../workers/worker-client.js';
import { EffectExecutor } from './effect-executor.js';
import { JobWatch } from './job-watch.js';
import type { LeaderElection } from './leader-election.js';
import { LeaderRecords } from './leader-records.js';
import { leaderSettings } from './leader-settings.js';
import { loadStoredState, readStoredState, type StoredState } from './stored-state.js';
import { TickTiming } from './tick-timing.js';

const MIN_MACHINE_LIST_POLL_INTERVAL_MS = 2000;
/** Of the requests that the cloud provider's rate limit allows, one in this many starts a poll of the machine list. */
const CLOUD_REQUESTS_PER_POLL = 4;
const MS_PER_S = 1000;

/** Dependencies of one leadership. */
export interface LeaderLoopDependencies {
  platform: PlatformSettings;
  operator: OperatorSettings;
  election: LeaderElection;
  store: KeyValueStoreClient;
  cloud: CloudProviderClient;
  log: Logger;
  random: () => number;
  machineTypes: () => MachineType[];
  /** The image locations known from earlier leaders. */
  imageLocations: ImageLocations;
  directCommandConnections: number;
  cancellations: Pick<CancellationFeed, 'has'>;
}

type LoopState =
  /** Not started yet, or reading the stored state. */
  | { kind: 'loading' }
  | { kind: 'leading'; leader: Leader; since: MonotonicTime; cycleTimer: NodeJS.Timeout }
  | { kind: 'stopped' };

/** Runs one leadership of this controller. */
export class LeaderLoop {
  private state: LoopState = { kind: 'loading' };
  private tickRequested = false;
  private lastHeartbeatAt = -Infinity;
  private readonly timing = new TickTiming();
  private readonly workers: WorkerClient;
  private readonly records: LeaderRecords;
  private readonly jobWatch: JobWatch;
  private readonly effects: EffectExecutor;

  constructor(private readonly dependencies: LeaderLoopDependencies) {
    const { platform, election, store, cloud, log, cancellations } = dependencies;
    const requestTick = (): void => this.requestTick();
    this.workers = new WorkerClient(dependencies.directCommandConnections);
    this.records = new LeaderRecords({ limits: platform.keyValueStoreLimits, election, store, log });
    this.jobWatch = new JobWatch({
      store,
      log,
      cancellations,
      leader: () => this.leader,
      onChanges: requestTick,
    });
    this.effects = new EffectExecutor({
      records: this.records,
      cloud,
      workers: this.workers,
      log,
      isStopped: () => this.isStopped,
      onOutcome: requestTick,
    });
  }

  /** The leader; null while the stored state is being loaded, and after `stop`. */
  get leader(): Leader | null {
    return this.state.kind === 'leading' ? this.state.leader : null;
  }

  /** Loads the stored state, then leads until `stop` is called. */
  async start(): Promise<void> {
    const { platform, operator, election, store, random, machineTypes, imageLocations, log } =
      this.dependencies;
    const { heldLease } = election.electionState;
    if (!heldLease) return;
    const startedAt = monotonicNow();
    const leadership = { term: heldLease.term, keyRevision: heldLease.keyRevision };
    const leader = new Leader(leadership, leaderSettings(platform, operator, random), startedAt);
    const stored = await readStoredState(store, () => this.isStopped);
    if (!stored) return;
    // The machine types are read after the stored state. Otherwise, types that arrive during that read would be missed,
    // and no task could be placed before the next refresh of the types.
    leader.setMachineTypes(machineTypes());
    const { records, jobWatch } = this;
    loadStoredState(stored, { leader, records, jobWatch, imageLocations, startedAt, log });
    this.startLeading(leader, heldLease, stored, startedAt);
  }

  /** Ends the leadership: it makes no further decisions and writes nothing. */
  stop(): void {
    if (this.state.kind === 'leading') clearInterval(this.state.cycleTimer);
    this.state = { kind: 'stopped' };
    this.records.stop();
    this.workers.close();
  }

  /** Marks these jobs as cancelled, since their changed records may reach the leader much later. */
  applyCancellations(jobs: JobId[]): void {
    const leader = this.leader;
    if (!leader) return;
    for (const id of jobs) leader.applyCancellation(id, monotonicNow());
    this.requestTick();
  }

  /** Processes a heartbeat; returns the commands for its reply. */
  onHeartbeat(heartbeat: Heartbeat): Command[] {
    const leader = this.leader;
    if (!leader) return [];
    const now = monotonicNow();
    this.lastHeartbeatAt = now;
    const commands = leader.onHeartbeat(heartbeat, now);
    if (leader.hasChanges) this.requestTick();
    return commands;
  }

  /** Processes unchanged heartbeats; returns the machines whose next one must be full, or null without a leader. */
  onUnchangedHeartbeats(unchanged: UnchangedHeartbeat[]): MachineId[] | null {
    const leader = this.leader;
    if (!leader) return null;
    const now = monotonicNow();
    this.lastHeartbeatAt = now;
    return unchanged
      .filter((heartbeat) => !leader.onUnchangedHeartbeat(heartbeat, now))
      .map((heartbeat) => heartbeat.machine);
  }

  /** Time without any heartbeat in this leadership; 0 while too few machines are up to expect one. */
  timeSinceHeartbeatMs(now: number): number {
    if (this.state.kind !== 'leading' || !this.state.leader.expectsHeartbeats) return 0;
    return now - Math.max(this.lastHeartbeatAt, this.state.since);
  }

  /** Passes changed machine types to the leader. */
  setMachineTypes(types: MachineType[]): void {
    this.leader?.setMachineTypes(types);
  }

  private get isStopped(): boolean {
    return this.state.kind === 'stopped';
  }

  private startLeading(leader: Leader, held: HeldLease, stored: StoredState, startedAt: MonotonicTime): void {
    const { operator, log } = this.dependencies;
    const { registry, jobs, progress } = stored;
    const since = monotonicNow();
    log.info(
      {
        term: held.term,
        jobs: jobs.items.length,
        registryPages: registry.items.length,
        revisions: {
          registry: registry.storeRevision,
          jobs: jobs.storeRevision,
          progress: progress.storeRevision,
        },
        loadedMs: Math.round(since - startedAt),
      },
      'leading',
    );
    const cycleTimer = setInterval(() => this.requestTick(), operator.schedulingCycleMs);
    this.state = { kind: 'leading', leader, since, cycleTimer };
    void this.jobWatch.run(jobs.storeRevision);
    void this.pollMachineList();
  }

  private async pollMachineList(): Promise<void> {
    const { platform, election, cloud } = this.dependencies;
    const intervalMs = Math.max(
      MIN_MACHINE_LIST_POLL_INTERVAL_MS,
      (CLOUD_REQUESTS_PER_POLL * MS_PER_S) / platform.cloudProviderLimits.requestsPerS,
    );
    while (!this.isStopped) {
      if (election.hasAuthority) {
        const listed = await cloud.listMachines();
        if (listed) this.leader?.onMachineList(listed, monotonicNow());
      }
      await sleep(intervalMs);
    }
  }

  /** Schedules a tick unless one is scheduled already. */
  private requestTick(): void {
    if (this.tickRequested) return;
    this.tickRequested = true;
    setTimeout(() => {
      this.tickRequested = false;
      this.tick();
    }, this.timing.delayMs(monotonicNow()));
  }

  private tick(): void {
    const leader = this.leader;
    if (!leader) return;
    const { election, log } = this.dependencies;
    const beganAt = monotonicNow();
    // Without authority, only cancellations are enforced: another controller may already be the leader.
    if (election.hasAuthority) leader.tick(beganAt, wallClockNow());
    else {
      const { authorityLeftMs } = election;
      log.rateLimited('authority', 'info', { authorityLeftMs }, 'no authority: scheduling paused');
      leader.tickWithoutAuthority(beganAt, wallClockNow());
    }
    this.timing.record(beganAt, monotonicNow(), log);
    for (const effect of leader.takeEffects()) this.effects.execute(leader, effect);
  }
}
