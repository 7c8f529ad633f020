/** A simulated worker, implemented from the published protocol. */
import type { InvariantChecker } from './invariant-checker.js';
import type { VirtualClock } from './virtual-clock.js';
import type { Heartbeat } from '../../core/heartbeat.js';
import type { JobSpec } from '../../core/job-spec.js';
import type { MachineInfo } from '../../core/machine-info.js';
import type { ExitCause, TaskState } from '../../core/task-status.js';
import type { Command } from '../../core/worker-command.js';
import type { WorkerTimings } from '../../core/worker-timings.js';
import type { Attempt, JobId } from '../../core/units.js';

const HUNG_COMPLETION_RETRY_MS = 1000;
const FAILED_TASK_RUN_MS = 500;
const CAPACITY_TOLERANCE = 1e-6;

/** A task of the worker. The worker keeps it until a controller sends the command to forget it. */
export interface WorkerTask {
  job: JobId;
  index: number;
  attempt: Attempt;
  state: TaskState;
  cause: ExitCause | null;
  saved: boolean;
  placement: ReturnType<InvariantChecker['onTaskStarted']> | null;
  gang: GangAttempt | null;
}

/** The tasks of one attempt of a gang. They are matched by job and attempt number. */
export interface GangAttempt {
  members: Set<WorkerTask>;
  started: boolean;
}

/** The clock, the cluster state and the timings that the simulated workers share. */
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

/** The worker of one machine, with its tasks, lease and incarnation. */
export class SimulatedWorker {
  incarnation = 1;
  private heartbeatSequence = 0;
  fencingToken = 0;
  alive = true;
  /** No message passes between the worker and the leader. Unlike on a hung machine, tasks continue to run. */
  unreachable = false;
  interruptionNoticeS: number | null = null;
  failsTasks = false;
  /** Heartbeats reach the controllers, but responses and commands don't reach the worker. */
  inboundPartitioned = false;
  /** Neither the worker nor its tasks make progress until the machine resumes. */
  hung = false;
  private readonly tasks = new Map<string, WorkerTask>();
  private leaseRenewedAt: number;

  constructor(
    readonly info: MachineInfo,
    private readonly environment: WorkerEnvironment,
  ) {
    this.leaseRenewedAt = environment.clock.now;
  }

  get heartbeatIntervalMs(): number {
    return this.environment.timings.heartbeatIntervalS * 1000;
  }

  /** A summary of the state that a heartbeat reports. It changes whenever that state changes. */
  describeState(): string {
    const tasks = [...this.tasks].map(([key, t]) => `${key} ${t.state}`);
    return `${this.incarnation} ${this.fencingToken} ${this.interruptionNoticeS !== null} ${tasks.join(',')}`;
  }

  /** Returns the next heartbeat, after a check of the lease. */
  nextHeartbeat(): Heartbeat {
    this.checkLease();
    return {
      ...this.info,
      incarnation: this.incarnation,
      sequence: ++this.heartbeatSequence,
      fencingToken: this.fencingToken,
      interruptionNoticeS: this.interruptionNoticeS,
      tasks: [...this.tasks.values()].map(({ job, index, attempt, state, cause, saved }) => {
        return { job, index, attempt, state, cause, saved };
      }),
    };
  }

  /** Processes the response to a heartbeat sent at `sentAt`: renews the lease and executes the commands. */
  onHeartbeatResponse(fencingToken: number, commands: Command[], sentAt: number, incarnation: number): void {
    this.checkLease();
    if (
      !this.alive ||
      this.inboundPartitioned ||
      incarnation !== this.incarnation ||
      fencingToken < this.fencingToken
    )
      return;
    this.fencingToken = fencingToken;
    this.leaseRenewedAt = Math.max(this.leaseRenewedAt, sentAt);
    this.execute(commands);
  }

  /** Executes direct commands from a leader, unless they are outdated. */
  onDirectCommands(
    fencingToken: number,
    incarnation: number,
    commands: Command[],
  ): { executed: boolean; report: Heartbeat } {
    this.checkLease();
    const executed = fencingToken >= this.fencingToken && incarnation === this.incarnation;
    if (executed) {
      this.fencingToken = fencingToken;
      this.execute(commands);
    }
    return { executed, report: this.nextHeartbeat() };
  }

  /** Ends all tasks and starts a new incarnation if the lease has expired. */
  checkLease(): void {
    if (
      !this.alive ||
      this.hung ||
      this.environment.clock.now - this.leaseRenewedAt <= this.environment.timings.leaseS * 1000
    )
      return;
    this.incarnation++;
    this.leaseRenewedAt = this.environment.clock.now;
    this.discardAllTasks();
  }

  /** Ends the worker and its tasks. */
  kill(): void {
    this.alive = false;
    this.discardAllTasks();
  }

  private discardAllTasks(): void {
    for (const t of this.tasks.values()) {
      this.environment.checker.onTaskEnded(t.placement);
      t.placement = null;
      this.leaveGang(t);
    }
    this.tasks.clear();
  }

  private execute(commands: Command[]): void {
    for (const command of commands) {
      const key = `${command.job}/${command.index}#${command.attempt}`;
      const task = this.tasks.get(key);
      if (command.op === 'forget') {
        if (task?.state === 'exited') this.forget(key, task);
      } else if (command.op === 'stop') {
        if (task) this.stop(task, command.gracePeriodS);
      } else if (!task) {
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
    const task: WorkerTask = {
      job,
      index,
      attempt,
      state: 'fetching',
      cause: null,
      saved: false,
      placement: null,
      gang: null,
    };
    const refuse = (cause: ExitCause): void => {
      task.state = 'exited';
      task.cause = cause;
    };
    const duplicate = [...this.tasks.values()].some(
      (t) => t.job === job && t.index === index && t.state !== 'exited',
    );
    this.tasks.set(key, task);
    if (!spec) {
      refuse('no_such');
      return;
    }
    if (duplicate) {
      refuse('in_use');
      return;
    }
    if (!this.hasCapacity(spec, task)) {
      refuse('no_room');
      return;
    }
    this.environment.clock.after(this.environment.fetchMs(this.info, job), () => {
      if (this.tasks.get(key) !== task || task.state !== 'fetching') return;
      task.placement = this.environment.checker.onTaskStarted(this.info, job, index);
      if (spec.kind === 'gang' && !this.failsTasks) {
        this.joinGang(task, spec);
        return;
      }
      task.state = 'running';
      if (spec.kind === 'service') return;
      const ms = this.failsTasks ? FAILED_TASK_RUN_MS : this.environment.runMs(job);
      this.environment.clock.after(ms, () => this.complete(key, task));
    });
  }

  private joinGang(task: WorkerTask, spec: JobSpec): void {
    const key = `${task.job}#${task.attempt}`;
    const gang = this.environment.gangs.get(key) ?? { members: new Set<WorkerTask>(), started: false };
    this.environment.gangs.set(key, gang);
    task.state = 'waiting';
    task.gang = gang;
    gang.members.add(task);
    this.environment.clock.after(this.environment.timings.gangWaitS * 1000, () => {
      if (task.state === 'waiting') this.exit(task, 'incomplete');
    });
    if (gang.members.size < spec.tasks) return;
    gang.started = true;
    for (const task of gang.members) task.state = 'running';
    this.environment.clock.after(this.environment.runMs(task.job), () => this.completeGang(gang, spec));
  }

  private completeGang(gang: GangAttempt, spec: JobSpec): void {
    const allRunning =
      gang.members.size === spec.tasks && [...gang.members].every((task) => task.state === 'running');
    if (!allRunning) return;
    for (const task of gang.members) this.environment.checker.onTaskCompleted(task.job, task.index);
    for (const task of [...gang.members]) this.exit(task, 'done');
  }

  /** Removes the task from its gang. If the gang was running, the other tasks exit after gang_peer_s. */
  private leaveGang(task: WorkerTask): void {
    const gang = task.gang;
    task.gang = null;
    if (!gang?.members.delete(task) || !gang.started) return;
    this.environment.clock.after(this.environment.timings.gangMemberLossTimeoutS * 1000, () => {
      for (const task of [...gang.members]) if (task.state === 'running') this.exit(task, 'peers');
    });
  }

  private complete(key: string, task: WorkerTask): void {
    if (this.hung) {
      this.environment.clock.after(HUNG_COMPLETION_RETRY_MS, () => this.complete(key, task));
      return;
    }
    this.checkLease();
    if (this.tasks.get(key) !== task || task.state !== 'running') return;
    if (!this.failsTasks) this.environment.checker.onTaskCompleted(task.job, task.index);
    this.exit(task, this.failsTasks ? 'error' : 'done');
  }

  private stop(task: WorkerTask, gracePeriodS: number): void {
    const spec = this.environment.specs.get(task.job);
    if (task.state === 'exited') return;
    const savesCheckpoint =
      task.state === 'running' && spec && spec.checkpointS > 0 && gracePeriodS >= spec.saveS;
    if (!savesCheckpoint) {
      this.exit(task, 'stopped');
      return;
    }
    task.state = 'saving';
    this.environment.clock.after(spec.saveS * 1000, () => {
      if (task.state !== 'saving') return;
      task.saved = true;
      this.exit(task, 'stopped');
    });
  }

  private exit(task: WorkerTask, cause: ExitCause): void {
    task.state = 'exited';
    task.cause = cause;
    this.leaveGang(task);
    this.environment.checker.onTaskEnded(task.placement);
    task.placement = null;
  }

  /** The number of tasks of the job on this worker that have not exited. */
  activeTaskCount(job: JobId): number {
    return [...this.tasks.values()].filter((t) => t.job === job && t.state !== 'exited').length;
  }

  /** Whether a task of the job fits beside the other tasks that have not exited. */
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
      spec.cpus <= free.cpus + CAPACITY_TOLERANCE &&
      spec.gpus <= free.gpus + CAPACITY_TOLERANCE &&
      spec.memoryGb <= free.memoryGb + CAPACITY_TOLERANCE
    );
  }
}
