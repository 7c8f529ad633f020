// Stand-in for a worker, written from the published protocol.
import type { Checker } from './checker.js';
import type { VirtualClock } from './clock.js';
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

export interface Held {
  job: JobId;
  index: number;
  attempt: Attempt;
  state: TaskState;
  cause: ExitCause | null;
  saved: boolean;
  place: ReturnType<Checker['started']> | null;
  gang: Gang | null;
}

/** The tasks of a gang's attempt find one another by its number. */
export interface Gang {
  members: Set<Held>;
  started: boolean;
}

export interface WorldView {
  clock: VirtualClock;
  checker: Checker;
  times: WorkerTimings;
  specs: Map<JobId, JobSpec>;
  gangs: Map<string, Gang>;
  capacity: (type: string) => { cpus: number; gpus: number; memoryGb: number };
  runMs: (job: JobId) => number;
  fetchMs: (machine: MachineInfo, job: JobId) => number;
}

export class Worker {
  session = 1;
  private seq = 0;
  token = 0;
  alive = true;
  /** A machine that can't be reached keeps working; one that hangs doesn't. */
  cut = false;
  noticeS: number | null = null;
  faulty = false;
  /** Its reports arrive, but answers and commands don't reach it. */
  deaf = false;
  /** Executes nothing, its tasks included, until it goes on. */
  hung = false;
  private readonly tasks = new Map<string, Held>();
  private leaseFrom: number;

  constructor(
    readonly info: MachineInfo,
    private readonly world: WorldView,
  ) {
    this.leaseFrom = world.clock.now;
  }

  get reportMs(): number {
    return this.world.times.heartbeatIntervalS * 1000;
  }

  /** Changes whenever a report would tell something new. */
  describe(): string {
    const tasks = [...this.tasks].map(([key, t]) => `${key} ${t.state}`);
    return `${this.session} ${this.token} ${this.noticeS !== null} ${tasks.join(',')}`;
  }

  report(): Heartbeat {
    this.checkLease();
    return {
      ...this.info,
      incarnation: this.session,
      sequence: ++this.seq,
      fencingToken: this.token,
      interruptionNoticeS: this.noticeS,
      tasks: [...this.tasks.values()].map(({ job, index, attempt, state, cause, saved }) => {
        return { job, index, attempt, state, cause, saved };
      }),
    };
  }

  /** The answer to a report sent at `sentAt`. */
  answered(token: number, commands: Command[], sentAt: number, session: number): void {
    this.checkLease();
    if (!this.alive || this.deaf || session !== this.session || token < this.token) return;
    this.token = token;
    this.leaseFrom = Math.max(this.leaseFrom, sentAt);
    this.execute(commands);
  }

  order(token: number, session: number, commands: Command[]): { executed: boolean; report: Heartbeat } {
    this.checkLease();
    const executed = token >= this.token && session === this.session;
    if (executed) {
      this.token = token;
      this.execute(commands);
    }
    return { executed, report: this.report() };
  }

  checkLease(): void {
    if (!this.alive || this.hung || this.world.clock.now - this.leaseFrom <= this.world.times.leaseS * 1000)
      return;
    this.session++;
    this.leaseFrom = this.world.clock.now;
    this.dropAll();
  }

  kill(): void {
    this.alive = false;
    this.dropAll();
  }

  private dropAll(): void {
    for (const t of this.tasks.values()) {
      this.world.checker.ended(t.place);
      t.place = null;
      this.leaveGang(t);
    }
    this.tasks.clear();
  }

  private execute(commands: Command[]): void {
    for (const c of commands) {
      const key = `${c.job}/${c.index}#${c.attempt}`;
      const held = this.tasks.get(key);
      if (c.op === 'forget') {
        if (held?.state === 'exited') this.forget(key, held);
      } else if (c.op === 'stop') {
        if (held) this.stop(held, c.gracePeriodS);
      } else if (!held) {
        this.start(c.job, c.index, c.attempt, key);
      }
    }
  }

  private forget(key: string, { job, index, cause }: Held): void {
    this.tasks.delete(key);
    if (cause === 'done') this.world.checker.completionAcknowledged(job, index);
  }

  private start(job: JobId, index: number, attempt: Attempt, key: string): void {
    const spec = this.world.specs.get(job);
    const held: Held = {
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
    if (!this.hasRoom(spec, held)) {
      refuse('no_room');
      return;
    }
    this.world.clock.after(this.world.fetchMs(this.info, job), () => {
      if (this.tasks.get(key) !== held || held.state !== 'fetching') return;
      held.place = this.world.checker.started(this.info, job, index);
      if (spec.kind === 'gang' && !this.faulty) {
        this.joinGang(held, spec);
        return;
      }
      held.state = 'running';
      if (spec.kind === 'service') return;
      const ms = this.faulty ? 500 : this.world.runMs(job);
      this.world.clock.after(ms, () => this.complete(key, held));
    });
  }

  private joinGang(held: Held, spec: JobSpec): void {
    const key = `${held.job}#${held.attempt}`;
    const gang = this.world.gangs.get(key) ?? { members: new Set<Held>(), started: false };
    this.world.gangs.set(key, gang);
    held.state = 'waiting';
    held.gang = gang;
    gang.members.add(held);
    this.world.clock.after(this.world.times.gangWaitS * 1000, () => {
      if (held.state === 'waiting') this.exit(held, 'incomplete');
    });
    if (gang.members.size < spec.tasks) return;
    gang.started = true;
    for (const m of gang.members) m.state = 'running';
    this.world.clock.after(this.world.runMs(held.job), () => this.completeGang(gang, spec));
  }

  private completeGang(gang: Gang, spec: JobSpec): void {
    const whole = gang.members.size === spec.tasks && [...gang.members].every((m) => m.state === 'running');
    if (!whole) return;
    for (const m of gang.members) this.world.checker.taskCompleted(m.job, m.index);
    for (const m of [...gang.members]) this.exit(m, 'done');
  }

  /** Out of its gang: of a running one, the others notice within gang_peer_s and exit. */
  private leaveGang(held: Held): void {
    const gang = held.gang;
    held.gang = null;
    if (!gang?.members.delete(held) || !gang.started) return;
    this.world.clock.after(this.world.times.gangPeerS * 1000, () => {
      for (const m of [...gang.members]) if (m.state === 'running') this.exit(m, 'peers');
    });
  }

  private complete(key: string, held: Held): void {
    if (this.hung) {
      this.world.clock.after(1000, () => this.complete(key, held));
      return;
    }
    this.checkLease();
    if (this.tasks.get(key) !== held || held.state !== 'running') return;
    if (!this.faulty) this.world.checker.taskCompleted(held.job, held.index);
    this.exit(held, this.faulty ? 'error' : 'done');
  }

  private stop(held: Held, graceS: number): void {
    const spec = this.world.specs.get(held.job);
    if (held.state === 'exited') return;
    const saves = held.state === 'running' && spec && spec.checkpointS > 0 && graceS >= spec.saveS;
    if (!saves) {
      this.exit(held, 'stopped');
      return;
    }
    held.state = 'saving';
    this.world.clock.after(spec.saveS * 1000, () => {
      if (held.state !== 'saving') return;
      held.saved = true;
      this.exit(held, 'stopped');
    });
  }

  private exit(held: Held, cause: ExitCause): void {
    held.state = 'exited';
    held.cause = cause;
    this.leaveGang(held);
    this.world.checker.ended(held.place);
    held.place = null;
  }

  /** How many tasks of the job it holds, in whatever state but exited. */
  holds(job: JobId): number {
    return [...this.tasks.values()].filter((t) => t.job === job && t.state !== 'exited').length;
  }

  hasRoom(spec: JobSpec, self: Held | null = null): boolean {
    const free = { ...this.world.capacity(this.info.type) };
    for (const t of this.tasks.values()) {
      if (t === self || t.state === 'exited') continue;
      const other = this.world.specs.get(t.job);
      free.cpus -= other?.cpus ?? 0;
      free.gpus -= other?.gpus ?? 0;
      free.memoryGb -= other?.memoryGb ?? 0;
    }
    return (
      spec.cpus <= free.cpus + 1e-6 && spec.gpus <= free.gpus + 1e-6 && spec.memoryGb <= free.memoryGb + 1e-6
    );
  }
}
