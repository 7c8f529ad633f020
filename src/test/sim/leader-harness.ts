/**
 * Drives a leader and simulated workers step by step. The test controls when each message arrives, and the invariant
 * checker observes the workers' tasks.
 */
import { InvariantChecker } from './invariant-checker.js';
import { VirtualClock } from './virtual-clock.js';
import { jobSpec, teams, types } from './fixtures.js';
import { SimulatedWorker, type WorkerEnvironment } from './simulated-worker.js';
import { Leader, type Effect } from '../../core/leader/leader.js';
import type { Heartbeat } from '../../core/heartbeat.js';
import type { JobSpec } from '../../core/job-spec.js';
import type { Command } from '../../core/worker-command.js';
import type {
  Endpoint,
  JobId,
  MachineId,
  MonotonicTime,
  Term,
  MachineTypeName,
  WallTime,
  Zone,
} from '../../core/units.js';

const TERM = 3 as Term;
const TICK_INTERVAL_MS = 200;
/** The time that a worker needs to fetch an image. */
export const FETCH_MS = 500;
const timings = { heartbeatIntervalS: 2, leaseS: 12, gangWaitS: 30, gangMemberLossTimeoutS: 6, cancelS: 40 };

/** The commands of one request from the leader to a worker. */
export type DirectCommands = Extract<Effect, { kind: 'send-direct-commands' }>;

/** The response to a worker's heartbeat. The test chooses when to deliver it. */
export interface HeartbeatResponse {
  heartbeat: Heartbeat;
  sentAt: number;
  commands: Command[];
}

/** Whether one of the commands starts a task of the job. */
export const containsStartOf = (commands: Command[], job: JobId): boolean =>
  commands.some((command) => command.op === 'start' && command.job === job);

/** One leader with machines that are up and registered. */
export class LeaderHarness {
  readonly clock = new VirtualClock();
  readonly checker: InvariantChecker;
  readonly workers: SimulatedWorker[];
  /** The leader's log entries, in order. */
  readonly logEntries: { text: string; fields: Record<string, unknown> }[] = [];
  private readonly leader: Leader;
  private readonly specs = new Map<JobId, JobSpec>();
  private revision = 1;

  constructor(machines: number, runMs: number) {
    this.checker = new InvariantChecker(this.specs, teams, timings.cancelS, () => this.clock.now);
    const environment: WorkerEnvironment = {
      clock: this.clock,
      checker: this.checker,
      timings,
      specs: this.specs,
      gangs: new Map(),
      capacity: (name) => types.find((type) => type.name === name)!,
      runMs: () => runMs,
      fetchMs: () => FETCH_MS,
    };
    this.workers = Array.from({ length: machines }, (_item, i) => {
      const endpoint = `10.1.0.${i}:9000` as Endpoint;
      const place = { type: 'large' as MachineTypeName, zone: 'east' as Zone, spot: true };
      return new SimulatedWorker({ id: `host-${i}` as MachineId, endpoint, ...place }, environment);
    });
    this.leader = new Leader(
      { term: TERM, keyRevision: 1 },
      {
        workers: timings,
        teams,
        objectives: [],
        idleHoldS: 600,
        capacityRetryS: 15,
        agingS: 90,
        listLagS: 8,
        headroom: 0,
        fitsRegistryPage: () => true,
        segmentBytes: 1500,
        progressWritesPerS: 10,
        maxMachineEvaluationsPerCycle: 100_000,
        random: () => 0.5,
      },
      this.now,
    );
    this.leader.setMachineTypes(types);
    this.registerMachines();
  }

  private get now(): MonotonicTime {
    return this.clock.now as MonotonicTime;
  }

  /**
   * Registers all machines with the leader: delivers the provider's machine list, sends two heartbeats of each worker, so
   * that it is reconciled under the leader's fencing token, and confirms the registry writes.
   */
  private registerMachines(): void {
    const listed = this.workers.map(({ info }) => ({ ...info, status: 'running' as const, ageS: 60 }));
    this.leader.onMachineList(listed, this.now);
    for (let round = 0; round < 2; round++) for (const worker of this.workers) this.exchangeHeartbeat(worker);
    for (const effect of this.tick())
      if (effect.kind === 'write-registry-page') this.leader.onRegistryPageWritten(effect.page, true);
  }

  /** Submits a job as a user. By default its tasks may run on spot machines and don't write checkpoints. */
  submit(id: string, overrides: Partial<JobSpec> = {}): JobId {
    const spec = jobSpec(id, { spot: true, checkpointS: 0, ...overrides });
    this.specs.set(spec.id, spec);
    const wall = this.clock.now as WallTime;
    const record = { spec, submittedAt: wall, cancelledAt: null };
    this.leader.applyJobRecord(
      { id: spec.id, record, revision: ++this.revision, fromEarlierLeader: false },
      this.now,
      wall,
    );
    return spec.id;
  }

  /** Cancels the job as a user, who receives a cancelled status. */
  cancel(job: JobId): void {
    this.leader.applyCancellation(job, this.now);
    this.checker.onCancellationReported(job);
  }

  /** Records that a user has received a done status for the job. */
  reportDoneToUser(job: JobId): void {
    this.checker.onStatusReported(job, 'done');
  }

  /** Advances the virtual clock. */
  advance(ms: number): void {
    this.clock.runUntil(this.clock.now + ms);
  }

  /** Advances the clock by one tick interval and runs the leader. Returns its effects without executing them. */
  tick(): Effect[] {
    this.advance(TICK_INTERVAL_MS);
    this.leader.tick(this.now, this.clock.now as WallTime);
    const effects = this.leader.takeEffects();
    for (const effect of effects) if (effect.kind === 'log') this.logEntries.push(effect);
    return effects;
  }

  /** Runs a tick that must send direct commands to this worker, and returns them. */
  tickWithCommands(worker: SimulatedWorker): DirectCommands {
    const sent = this.tick().find(
      (effect) => effect.kind === 'send-direct-commands' && effect.machine === worker.info.id,
    );
    if (sent?.kind !== 'send-direct-commands') throw new Error(`no direct command to ${worker.info.id}`);
    return sent;
  }

  /** Delivers a heartbeat to the leader and returns the response, which is not delivered yet. */
  sendHeartbeat(worker: SimulatedWorker): HeartbeatResponse {
    const heartbeat = worker.nextHeartbeat();
    return { heartbeat, sentAt: this.clock.now, commands: this.leader.onHeartbeat(heartbeat, this.now) };
  }

  /** Delivers the response to the worker. */
  deliverResponse(worker: SimulatedWorker, { heartbeat, sentAt, commands }: HeartbeatResponse): void {
    worker.onHeartbeatResponse(TERM, commands, sentAt, Number(heartbeat.incarnation));
  }

  /** Delivers a heartbeat and its response without delay. */
  exchangeHeartbeat(worker: SimulatedWorker): HeartbeatResponse {
    const response = this.sendHeartbeat(worker);
    this.deliverResponse(worker, response);
    return response;
  }

  /** Makes the worker execute the commands. The leader receives no result. */
  executeCommands(worker: SimulatedWorker, sent: DirectCommands): Heartbeat {
    return worker.onDirectCommands(TERM, Number(sent.incarnation), sent.commands).report;
  }

  /** Delivers the result that the commands were executed to the leader. */
  onCommandsExecuted(sent: DirectCommands, report: Heartbeat): void {
    this.leader.onDirectCommandResult(
      sent.machine,
      sent.commands,
      { kind: 'executed', heartbeat: report },
      this.now,
    );
  }

  /** Delivers the result that the commands got no response to the leader. */
  onCommandsWithoutResponse(sent: DirectCommands): void {
    this.leader.onDirectCommandResult(sent.machine, sent.commands, { kind: 'unknown' }, this.now);
  }

  /** Delivers the result that the commands were never sent to the leader. */
  onCommandsNotSent(sent: DirectCommands): void {
    this.leader.onDirectCommandResult(sent.machine, sent.commands, { kind: 'unsent' }, this.now);
  }

  /** Delivers the successful result of each progress write among the effects to the leader. */
  saveProgress(effects: Effect[]): void {
    for (const effect of effects)
      if (effect.kind === 'write-progress')
        this.leader.onProgressWritten(effect.job, effect.segment, effect.bytes, true);
  }

  /** Whether the leader has a placement of the job: a task that runs, or may run, on a machine. */
  hasPlacement(job: JobId): boolean {
    return (this.leader.jobs.get(job)?.placements.size ?? 0) > 0;
  }
}
