// Stand-in for a worker, written from the published protocol.
import type { InvariantChecker } from './invariant-checker.js';
import type { VirtualClock } from './virtual-clock.js';
import type {
  Command,
  ExitCause,
  JobSpec,
  MachineInfo,
  Heartbeat,
  TaskState,
  WorkerTimings,
} from '../../core/types.js';
import type { Attempt, JobId } from '../../core/units.js';

export interface WorkerTask {
  job: JobId;
  index: number;
  attempt: Attempt;
  state: TaskState;
  cause: ExitCause | null;
  saved: boolean;
  place: ReturnType<InvariantChecker['onTaskStarted']> | null;
  gang: GangAttempt | null;
}

/** The tasks of a gang's attempt find one another by its number. */
export interface GangAttempt {
  members: Set<WorkerTask>;
  started: boolean;
}

export interface WorkerEnvironment {
  clock: VirtualClock;
  checker: InvariantChecker;
  timings: WorkerTimings;
  specs: Map<JobId, JobSpec>;
  gangs: Map<string, GangAttempt>;
  capacity: (type: string) => { cpus: number; gpus: number; memoryGb: number };
  runMs: (job: JobId) => number;
  fetchMs: (machine: MachineInfo, job: JobId) => number;
}

export class SimulatedWorker {
  incarnation = 1;
  private sequence = 0;
  fencingToken = 0;
  alive = true;
  /** A machine that can't be reached keeps working; one that hangs doesn't. */
  unreachable = false;
  interruptionNoticeS: number | null = null;
  failsTasks = false;
  /** Its reports arrive, but answers and commands don't reach it. */
  inboundPartitioned = false;
  /** Executes nothing, its tasks included, until it goes on. */
  hung = false;
  private readonly tasks = new Map<string, WorkerTask>();
  private leaseFrom: number;

  constructor(
    readonly info: MachineInfo,
    private readonly environment: WorkerEnvironment,
  ) {
    this.leaseFrom = environment.clock.now;
  }

  get heartbeatIntervalMs(): number {
    return this.environment.timings.heartbeatIntervalS * 1000;
  }

  /** Changes whenever a report would tell something new. */
  describeState(): string {
    const tasks = [...this.tasks].map(([key, t]) => `${key} ${t.state}`);
    return `${this.incarnation} ${this.fencingToken} ${this.interruptionNoticeS !== null} ${tasks.join(',')}`;
  }

  nextHeartbeat(): Heartbeat {
    this.checkLease();
    return {
      ...this.info,
      incarnation: this.incarnation,
      sequence: ++this.sequence,
      fencingToken: this.fencingToken,
      interruptionNoticeS: this.interruptionNoticeS,
      tasks: [...this.tasks.values()].map(({ job, index, attempt, state, cause, saved }) => {
        return { job, index, attempt, state, cause, saved };
      }),
    };
  }

  /** The answer to a report sent at `sentAt`. */
  onHeartbeatResponse(token: number, commands: Command[], sentAt: number, session: number): void {
    this.checkLease();
    if (!this.alive || this.inboundPartitioned || session !== this.incarnation || token < this.fencingToken)
      return;
    this.fencingToken = token;
    this.leaseFrom = Math.max(this.leaseFrom, sentAt);
    this.execute(commands);
  }

  onDirectCommands(
    token: number,
    session: number,
    commands: Command[],
  ): { executed: boolean; report: Heartbeat } {
    this.checkLease();
    const executed = token >= this.fencingToken && session === this.incarnation;
    if (executed) {
      this.fencingToken = token;
      this.execute(commands);
    }
    return { executed, report: this.nextHeartbeat() };
  }

  checkLease(): void {
    if (
      !this.alive ||
      this.hung ||
      this.environment.clock.now - this.leaseFrom <= this.environment.timings.leaseS * 1000
    )
      return;
    this.incarnation++;
    this.leaseFrom = this.environment.clock.now;
    this.dropAll();
  }

  kill(): void {
    this.alive = false;
    this.dropAll();
  }

  private dropAll(): void {
    for (const t of this.tasks.values()) {
      this.environment.checker.onTaskEnded(t.place);
      t.place = null;
      this.leaveGang(t);
    }
    this.tasks.clear();
  }

  private execute(commands: Command[]): void {
    for (const command of commands) {
      const key = `${command.job}/${command.index}#${command.attempt}`;
      const held = this.tasks.get(key);
      if (command.op === 'forget') {
        if (held?.state === 'exited') this.forget(key, held);
      } else if (command.op === 'stop') {
        if (held) this.stop(held, command.gracePeriodS);
      } else if (!held) {
        this.start(command.job, command.index, command.attempt, key);
      }
    }
  }

  private forget(key: string, { job, index, cause }: WorkerTask): void {
    this.tasks.delete(key);
    if (cause === 'done') this.environment.checker.onCompletionAcknowledged(job, index);
  }

  private start(job: JobId, index: number, attempt: Attempt, key: string): void {
    const spec = this.environment.specs.get(job);
    const held: WorkerTask = {
      job,
      index,
      attempt,
      state: 'fetching',
      cause: null,
      saved: false,
      place: null,
      gang: null,
    };
    const refuse = (cause: ExitCause): void => {
      held.state = 'exited';
      held.cause = cause;
    };
    const twin = [...this.tasks.values()].some(
      (t) => t.job === job && t.index === index && t.state !== 'exited',
    );
    this.tasks.set(key, held);
    if (!spec) {
      refuse('no_such');
      return;
    }
    if (twin) {
      refuse('in_use');
      return;
    }
    if (!this.hasCapacity(spec, held)) {
      refuse('no_room');
      return;
    }
    this.environment.clock.after(this.environment.fetchMs(this.info, job), () => {
      if (this.tasks.get(key) !== held || held.state !== 'fetching') return;
      held.place = this.environment.checker.onTaskStarted(this.info, job, index);
      if (spec.kind === 'gang' && !this.failsTasks) {
        this.joinGang(held, spec);
        return;
      }
      held.state = 'running';
      if (spec.kind === 'service') return;
      const ms = this.failsTasks ? 500 : this.environment.runMs(job);
      this.environment.clock.after(ms, () => this.complete(key, held));
    });
  }

  private joinGang(held: WorkerTask, spec: JobSpec): void {
    const key = `${held.job}#${held.attempt}`;
    const gang = this.environment.gangs.get(key) ?? { members: new Set<WorkerTask>(), started: false };
    this.environment.gangs.set(key, gang);
    held.state = 'waiting';
    held.gang = gang;
    gang.members.add(held);
    this.environment.clock.after(this.environment.timings.gangWaitS * 1000, () => {
      if (held.state === 'waiting') this.exit(held, 'incomplete');
    });
    if (gang.members.size < spec.tasks) return;
    gang.started = true;
    for (const task of gang.members) task.state = 'running';
    this.environment.clock.after(this.environment.runMs(held.job), () => this.completeGang(gang, spec));
  }

  private completeGang(gang: GangAttempt, spec: JobSpec): void {
    const whole =
      gang.members.size === spec.tasks && [...gang.members].every((task) => task.state === 'running');
    if (!whole) return;
    for (const task of gang.members) this.environment.checker.onTaskCompleted(task.job, task.index);
    for (const task of [...gang.members]) this.exit(task, 'done');
  }

  /** Out of its gang: of a running one, the others notice within gang_peer_s and exit. */
  private leaveGang(held: WorkerTask): void {
    const gang = held.gang;
    held.gang = null;
    if (!gang?.members.delete(held) || !gang.started) return;
    this.environment.clock.after(this.environment.timings.gangPeerS * 1000, () => {
      for (const task of [...gang.members]) if (task.state === 'running') this.exit(task, 'peers');
    });
  }

  private complete(key: string, held: WorkerTask): void {
    if (this.hung) {
      this.environment.clock.after(1000, () => this.complete(key, held));
      return;
    }
    this.checkLease();
    if (this.tasks.get(key) !== held || held.state !== 'running') return;
    if (!this.failsTasks) this.environment.checker.onTaskCompleted(held.job, held.index);
    this.exit(held, this.failsTasks ? 'error' : 'done');
  }

  private stop(held: WorkerTask, graceS: number): void {
    const spec = this.environment.specs.get(held.job);
    if (held.state === 'exited') return;
    const saves = held.state === 'running' && spec && spec.checkpointS > 0 && graceS >= spec.saveS;
    if (!saves) {
      this.exit(held, 'stopped');
      return;
    }
    held.state = 'saving';
    this.environment.clock.after(spec.saveS * 1000, () => {
      if (held.state !== 'saving') return;
      held.saved = true;
      this.exit(held, 'stopped');
    });
  }

  private exit(held: WorkerTask, cause: ExitCause): void {
    held.state = 'exited';
    held.cause = cause;
    this.leaveGang(held);
    this.environment.checker.onTaskEnded(held.place);
    held.place = null;
  }

  /** How many tasks of the job it holds, in whatever state but exited. */
  activeTaskCount(job: JobId): number {
    return [...this.tasks.values()].filter((t) => t.job === job && t.state !== 'exited').length;
  }

  hasCapacity(spec: JobSpec, self: WorkerTask | null = null): boolean {
    const free = { ...this.environment.capacity(this.info.type) };
    for (const t of this.tasks.values()) {
      if (t === self || t.state === 'exited') continue;
      const other = this.environment.specs.get(t.job);
      free.cpus -= other?.cpus ?? 0;
      free.gpus -= other?.gpus ?? 0;
      free.memoryGb -= other?.memoryGb ?? 0;
    }
    return (
      spec.cpus <= free.cpus + 1e-6 && spec.gpus <= free.gpus + 1e-6 && spec.memoryGb <= free.memoryGb + 1e-6
    );
  }
}
