// The rules of the protocol, checked against what the stand-in workers and users really saw.
import type { JobSpec, MachineInfo, TeamQuota } from '../../core/types.js';
import type { JobId } from '../../core/units.js';

interface Place {
  machine: MachineInfo;
  job: JobId;
  index: number;
}

export class InvariantChecker {
  readonly violations: string[] = [];
  startCount = 0;
  /** Not a rule, but counted: starts after a user was told that the job is cancelled. */
  startsAfterCancellation = 0;
  /** The last task of a job has completed. */
  onJobCompleted: (job: JobId) => void = () => undefined;
  private readonly places = new Set<Place>();
  private readonly cancelledAt = new Map<JobId, number>();
  private readonly askedToCancel = new Set<JobId>();
  private readonly completed = new Map<JobId, Set<number>>();
  /** Completions that a controller has told their worker to forget: it knows them for good. */
  private readonly acknowledged = new Map<JobId, Set<number>>();
  private readonly doneToldAt = new Map<JobId, number>();
  private readonly toldFinal = new Map<JobId, string>();
  private readonly acceptedAt = new Map<JobId, number>();
  private readonly ran = new Map<JobId, Map<number, number>>();

  constructor(
    private readonly specs: Map<JobId, JobSpec>,
    private readonly teams: TeamQuota[],
    private readonly cancelS: number,
    private readonly now: () => number,
  ) {}

  /** A task got its image: from here on it is on the machine. */
  onTaskStarted(machine: MachineInfo, job: JobId, index: number): Place {
    this.startCount++;
    const spec = this.specs.get(job)!;
    const others = [...this.places].filter((place) => place.job === job);
    if (others.some((place) => place.index === index))
      this.report('ran_twice', `${job}/${index} on ${machine.id}`);
    if (this.doneToldAt.has(job) || this.acknowledged.get(job)?.has(index))
      this.report('ran_twice', `${job}/${index} on ${machine.id} again after it was done`);
    if (spec.types !== null && !spec.types.includes(machine.type)) this.report('wrong_place', `${job} type`);
    if (spec.zone !== null && spec.zone !== machine.zone) this.report('wrong_place', `${job} zone`);
    if (!spec.spot && machine.spot) this.report('wrong_place', `${job} spot`);
    if (spec.oneZone && others.some((place) => place.machine.zone !== machine.zone)) {
      this.report('wrong_place', `${job} in two zones`);
    }
    for (const id of spec.dependsOn)
      if (this.completedTaskCount(id) < this.specs.get(id)!.tasks)
        this.report('too_early', `${job}/${index} before ${id} was done`);
    const here = others.filter((place) => place.machine.zone === machine.zone).length + 1;
    if (spec.spread && here > Math.ceil(spec.tasks / 2)) this.report('wrong_place', `${job} not spread`);
    const place = { machine, job, index };
    const ran = this.ran.get(job) ?? new Map<number, number>();
    if (!ran.has(index)) ran.set(index, this.now());
    this.ran.set(job, ran);
    this.places.add(place);
    this.checkQuota(spec);
    const cancelled = this.cancelledAt.get(job);
    if (cancelled !== undefined) this.startsAfterCancellation++;
    if (cancelled !== undefined && this.now() - cancelled > this.cancelS * 1000) {
      this.report('ran_cancelled', `${job}/${index} started`);
    }
    return place;
  }

  onTaskEnded(place: Place | null): void {
    if (place) this.places.delete(place);
  }

  onTaskCompleted(job: JobId, index: number): void {
    const set = this.completed.get(job) ?? new Set();
    set.add(index);
    this.completed.set(job, set);
    if (set.size === this.specs.get(job)!.tasks) this.onJobCompleted(job);
  }

  /** A controller had a worker forget the completion of this task. */
  onCompletionAcknowledged(job: JobId, index: number): void {
    const indexes = this.acknowledged.get(job) ?? new Set();
    indexes.add(index);
    this.acknowledged.set(job, indexes);
  }

  onCancellationReported(job: JobId): void {
    if (!this.cancelledAt.has(job)) this.cancelledAt.set(job, this.now());
    this.onStatusReported(job, 'cancelled');
  }

  onStatusReported(job: JobId, status: string): void {
    const before = this.toldFinal.get(job);
    if (before !== undefined && before !== status)
      this.report('went_back', `${job}: ${before}, then ${status}`);
    if (status === 'done') {
      const done = this.completed.get(job)?.size ?? 0;
      if (done < this.specs.get(job)!.tasks) this.report('not_done', `${job}: ${done} tasks completed`);
      if (!this.doneToldAt.has(job)) this.doneToldAt.set(job, this.now());
    }
    if (status === 'done' || status === 'cancelled') this.toldFinal.set(job, status);
  }

  machinesOf(job: JobId): string[] {
    return [...this.places].filter((place) => place.job === job).map((place) => place.machine.id);
  }

  reportForgottenJob(job: JobId, how: string): void {
    this.report('forgotten', `${job}: ${how}`);
  }

  /** A task waits for so long though a machine has room for it and its team is under its limit. */
  reportJobLeftWaiting(job: JobId, forMs: number): void {
    this.report('left_waiting', `${job} for ${Math.round(forMs / 1000)} s`);
  }

  completedTaskCount(job: JobId): number {
    return this.completed.get(job)?.size ?? 0;
  }

  /** Called cancelled, though its user never asked for it: right only for a job that depends on a cancelled one. */
  onUnrequestedCancellation(job: JobId): void {
    if (!this.ancestors(job).some((id) => this.askedToCancel.has(id)))
      this.report('went_back', `${job}: cancelled unasked`);
    this.onStatusReported(job, 'cancelled');
  }

  /** A user has asked to cancel the job; the answer may be lost. */
  onCancellationRequested(job: JobId): void {
    this.askedToCancel.add(job);
  }

  /** Called queued or running, in answer to a question asked then. */
  onUnfinishedReported(job: JobId, askedAt: number): void {
    this.onStatusReported(job, 'unfinished');
    const accepted = this.acceptedAt.get(job) ?? this.now();
    for (const id of this.ancestors(job)) {
      const at = this.cancelledAt.get(id);
      if (at !== undefined && askedAt - Math.max(at, accepted) > this.cancelS * 1000)
        this.report('orphaned', `${job}: not called cancelled though ${id} is`);
    }
  }

  /** All jobs that the job depends on, directly or through others. */
  private ancestors(job: JobId): JobId[] {
    const found = new Set<JobId>();
    const toVisit = [...this.specs.get(job)!.dependsOn];
    for (let id = toVisit.pop(); id !== undefined; id = toVisit.pop()) {
      if (found.has(id)) continue;
      found.add(id);
      toVisit.push(...(this.specs.get(id)?.dependsOn ?? []));
    }
    return [...found];
  }

  onJobAccepted(job: JobId): void {
    if (!this.acceptedAt.has(job)) this.acceptedAt.set(job, this.now());
  }

  /**
   * At the end of a day, over the jobs that their users let be: every one ran; at least half of the tasks of each
   * class and team were started; and each class's largest jobs began within four minutes.
   */
  checkAtEnd(): void {
    const groups = new Map<string, { tasks: number; started: number }>();
    const largest = new Map<string, number>();
    const cancelled = (id: JobId): boolean =>
      [id, ...this.ancestors(id)].some((each) => this.cancelledAt.has(each));
    const mine = [...this.acceptedAt].filter(([id]) => !cancelled(id));
    for (const [id] of mine) {
      const spec = this.specs.get(id)!;
      largest.set(spec.class, Math.max(largest.get(spec.class) ?? 0, spec.tasks));
    }
    for (const [id, at] of mine) {
      const spec = this.specs.get(id)!;
      const ran = this.ran.get(id) ?? new Map<number, number>();
      if (ran.size === 0) this.report('forgotten', `${id} never ran`);
      for (const name of [`class ${spec.class}`, `team ${spec.team}`]) {
        const group = groups.get(name) ?? { tasks: 0, started: 0 };
        group.tasks += spec.tasks;
        group.started += ran.size;
        groups.set(name, group);
      }
      if (spec.tasks < largest.get(spec.class)!) continue;
      const began = Math.min(...ran.values());
      if (began - at > 240_000) this.report('starved', `${id}, one of the largest, began too late`);
    }
    for (const [name, group] of groups) {
      if (group.started < group.tasks / 2)
        this.report('starved', `${name}: ${group.started} of ${group.tasks} tasks started`);
    }
  }

  /** To be called regularly: finds tasks of cancelled and of finished jobs that stay. */
  checkPeriodically(): void {
    for (const place of this.places) {
      const doneAt = this.doneToldAt.get(place.job);
      if (doneAt !== undefined && this.now() - doneAt > this.cancelS * 1000)
        this.report('orphaned', `${place.job}/${place.index} on ${place.machine.id} though its job is done`);
      const at = this.cancelledAt.get(place.job);
      if (at !== undefined && this.now() - at > this.cancelS * 1000) {
        this.report('ran_cancelled', `${place.job}/${place.index} on ${place.machine.id}`);
      }
    }
  }

  private checkQuota(spec: JobSpec): void {
    const team = this.teams.find((t) => t.name === spec.team)!;
    let gpus = 0;
    let cpus = 0;
    for (const place of this.places) {
      const other = this.specs.get(place.job)!;
      if (other.team !== spec.team) continue;
      gpus += other.gpus;
      cpus += other.cpus;
    }
    const over = (used: number, max: number): boolean => max > 0 && used > max + 1e-6;
    if (over(gpus, team.gpusMax) || over(cpus, team.cpusMax)) this.report('quota', spec.team);
  }

  private report(rule: string, what: string): void {
    this.violations.push(`${rule} at ${(this.now() / 1000).toFixed(1)}: ${what}`);
  }
}
