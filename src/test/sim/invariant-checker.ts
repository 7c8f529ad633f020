/** The rules of the protocol, checked against what the simulated workers and users really saw. */
import type { JobSpec } from '../../core/job-spec.js';
import type { MachineInfo } from '../../core/machine-info.js';
import type { TeamQuota } from '../../core/team-quota.js';
import type { JobId } from '../../core/units.js';

const LARGEST_JOBS_START_WITHIN_MS = 240_000;
const QUOTA_TOLERANCE = 1e-6;

/** A task on a machine. */
interface TaskPlacement {
  machine: MachineInfo;
  job: JobId;
  index: number;
}

/** Collects violations, each of which begins with the name of its rule. */
export class InvariantChecker {
  readonly violations: string[] = [];
  startCount = 0;
  /** Counted, though no violation: starts after a user was told that the job is cancelled. */
  startsAfterCancellation = 0;
  /** Called when the last task of a job has completed. */
  onJobCompleted: (job: JobId) => void = () => undefined;
  private readonly places = new Set<TaskPlacement>();
  private readonly cancelledAt = new Map<JobId, number>();
  private readonly cancellationsRequested = new Set<JobId>();
  private readonly completed = new Map<JobId, Set<number>>();
  /** Completions that a controller has had the worker forget: the controllers must keep them. */
  private readonly acknowledged = new Map<JobId, Set<number>>();
  private readonly doneReportedAt = new Map<JobId, number>();
  private readonly finalReported = new Map<JobId, string>();
  private readonly acceptedAt = new Map<JobId, number>();
  /** When each task of a job was first started. */
  private readonly firstStarts = new Map<JobId, Map<number, number>>();

  constructor(
    private readonly specs: Map<JobId, JobSpec>,
    private readonly teams: TeamQuota[],
    private readonly cancelS: number,
    private readonly now: () => number,
  ) {}

  /** A task has its image and starts: from here on it is on the machine. */
  onTaskStarted(machine: MachineInfo, job: JobId, index: number): TaskPlacement {
    this.startCount++;
    const spec = this.specs.get(job)!;
    const others = [...this.places].filter((place) => place.job === job);
    if (others.some((place) => place.index === index))
      this.report('ran_twice', `${job}/${index} on ${machine.id}`);
    if (this.doneReportedAt.has(job) || this.acknowledged.get(job)?.has(index))
      this.report('ran_twice', `${job}/${index} on ${machine.id} again after it was done`);
    this.checkPlacement(spec, machine, others);
    for (const id of spec.dependsOn)
      if (this.completedTaskCount(id) < this.specs.get(id)!.tasks)
        this.report('too_early', `${job}/${index} before ${id} was done`);
    this.checkSpread(spec, machine, others);
    const firstStarts = this.firstStarts.get(job) ?? new Map<number, number>();
    if (!firstStarts.has(index)) firstStarts.set(index, this.now());
    this.firstStarts.set(job, firstStarts);
    const place = { machine, job, index };
    this.places.add(place);
    this.checkQuota(spec);
    if (this.cancelledAt.has(job)) this.startsAfterCancellation++;
    if (this.isOverdue(this.cancelledAt.get(job))) this.report('ran_cancelled', `${job}/${index} started`);
    return place;
  }

  /** A task is no longer on its machine. */
  onTaskEnded(place: TaskPlacement | null): void {
    if (place) this.places.delete(place);
  }

  /** A task has run to its end. */
  onTaskCompleted(job: JobId, index: number): void {
    const set = this.completed.get(job) ?? new Set();
    set.add(index);
    this.completed.set(job, set);
    if (set.size === this.specs.get(job)!.tasks) this.onJobCompleted(job);
  }

  /** A controller has had a worker forget the completion of this task. */
  onCompletionAcknowledged(job: JobId, index: number): void {
    const indexes = this.acknowledged.get(job) ?? new Set();
    indexes.add(index);
    this.acknowledged.set(job, indexes);
  }

  /** A user who asked to cancel the job was told that it is cancelled. */
  onCancellationReported(job: JobId): void {
    if (!this.cancelledAt.has(job)) this.cancelledAt.set(job, this.now());
    this.onStatusReported(job, 'cancelled');
  }

  /** A user was told the status of the job. */
  onStatusReported(job: JobId, status: string): void {
    const before = this.finalReported.get(job);
    if (before !== undefined && before !== status)
      this.report('went_back', `${job}: ${before}, then ${status}`);
    if (status === 'done') {
      const done = this.completed.get(job)?.size ?? 0;
      if (done < this.specs.get(job)!.tasks) this.report('not_done', `${job}: ${done} tasks completed`);
      if (!this.doneReportedAt.has(job)) this.doneReportedAt.set(job, this.now());
    }
    if (status === 'done' || status === 'cancelled') this.finalReported.set(job, status);
  }

  /** The machines on which tasks of the job are. */
  machineIdsOf(job: JobId): string[] {
    return [...this.places].filter((place) => place.job === job).map((place) => place.machine.id);
  }

  /** Nobody answers for the job any more, or as if it had never been accepted. */
  reportForgottenJob(job: JobId, how: string): void {
    this.report('forgotten', `${job}: ${how}`);
  }

  /** A task has been pending for so long although a machine has capacity for it and its team is under its limit. */
  reportJobLeftWaiting(job: JobId, forMs: number): void {
    this.report('left_waiting', `${job} for ${Math.round(forMs / 1000)} s`);
  }

  /** How many tasks of the job have run to their end. */
  completedTaskCount(job: JobId): number {
    return this.completed.get(job)?.size ?? 0;
  }

  /** Reported as cancelled though its user never asked for it: right only for a dependent of a cancelled job. */
  onUnrequestedCancellation(job: JobId): void {
    if (!this.ancestors(job).some((id) => this.cancellationsRequested.has(id)))
      this.report('went_back', `${job}: cancelled unasked`);
    this.onStatusReported(job, 'cancelled');
  }

  /** A user has asked to cancel the job; the response may be lost. */
  onCancellationRequested(job: JobId): void {
    this.cancellationsRequested.add(job);
  }

  /** Reported as queued or running, in response to a request sent then. */
  onUnfinishedReported(job: JobId, requestedAt: number): void {
    this.onStatusReported(job, 'unfinished');
    const accepted = this.acceptedAt.get(job) ?? this.now();
    for (const id of this.ancestors(job)) {
      const at = this.cancelledAt.get(id);
      if (at !== undefined && requestedAt - Math.max(at, accepted) > this.cancelS * 1000)
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

  /** A user was told that the job is accepted. */
  onJobAccepted(job: JobId): void {
    if (!this.acceptedAt.has(job)) this.acceptedAt.set(job, this.now());
  }

  /**
   * At the end of a run, over the jobs that nobody cancelled: every one ran; at least half of the tasks of each class and
   * team were started; and each class's largest jobs started in time.
   */
  checkAtEnd(): void {
    const groups = new Map<string, { tasks: number; started: number }>();
    const largest = new Map<string, number>();
    const cancelled = (id: JobId): boolean =>
      [id, ...this.ancestors(id)].some((each) => this.cancelledAt.has(each));
    const kept = [...this.acceptedAt].filter(([id]) => !cancelled(id));
    for (const [id] of kept) {
      const spec = this.specs.get(id)!;
      largest.set(spec.class, Math.max(largest.get(spec.class) ?? 0, spec.tasks));
    }
    for (const [id, acceptedAt] of kept) {
      const spec = this.specs.get(id)!;
      const firstStarts = this.firstStarts.get(id) ?? new Map<number, number>();
      if (firstStarts.size === 0) this.report('forgotten', `${id} never ran`);
      for (const name of [`class ${spec.class}`, `team ${spec.team}`]) {
        const group = groups.get(name) ?? { tasks: 0, started: 0 };
        group.tasks += spec.tasks;
        group.started += firstStarts.size;
        groups.set(name, group);
      }
      if (spec.tasks < largest.get(spec.class)!) continue;
      if (Math.min(...firstStarts.values()) - acceptedAt > LARGEST_JOBS_START_WITHIN_MS)
        this.report('starved', `${id}, one of the largest, began too late`);
    }
    for (const [name, { tasks, started }] of groups) {
      if (started < tasks / 2) this.report('starved', `${name}: ${started} of ${tasks} tasks started`);
    }
  }

  /** To be called regularly: finds tasks of cancelled and of finished jobs that stay. */
  checkPeriodically(): void {
    for (const { job, index, machine } of this.places) {
      if (this.isOverdue(this.doneReportedAt.get(job)))
        this.report('orphaned', `${job}/${index} on ${machine.id} though its job is done`);
      if (this.isOverdue(this.cancelledAt.get(job)))
        this.report('ran_cancelled', `${job}/${index} on ${machine.id}`);
    }
  }

  /** Whether the time after which no task of a job may be left has passed since then. */
  private isOverdue(since: number | undefined): boolean {
    return since !== undefined && this.now() - since > this.cancelS * 1000;
  }

  private checkPlacement(spec: JobSpec, machine: MachineInfo, others: TaskPlacement[]): void {
    const { id } = spec;
    if (spec.types !== null && !spec.types.includes(machine.type)) this.report('wrong_place', `${id} type`);
    if (spec.zone !== null && spec.zone !== machine.zone) this.report('wrong_place', `${id} zone`);
    if (!spec.spot && machine.spot) this.report('wrong_place', `${id} spot`);
    if (spec.oneZone && others.some((place) => place.machine.zone !== machine.zone))
      this.report('wrong_place', `${id} in two zones`);
  }

  private checkSpread(spec: JobSpec, machine: MachineInfo, others: TaskPlacement[]): void {
    const inZone = others.filter((place) => place.machine.zone === machine.zone).length + 1;
    if (spec.spread && inZone > Math.ceil(spec.tasks / 2))
      this.report('wrong_place', `${spec.id} not spread`);
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
    const over = (used: number, max: number): boolean => max > 0 && used > max + QUOTA_TOLERANCE;
    if (over(gpus, team.maxGpus) || over(cpus, team.maxCpus)) this.report('quota', spec.team);
  }

  private report(rule: string, what: string): void {
    this.violations.push(`${rule} at ${(this.now() / 1000).toFixed(1)}: ${what}`);
  }
}
