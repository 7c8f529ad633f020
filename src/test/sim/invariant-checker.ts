/** Checks the rules of the protocol against the events that the simulated workers and users observe. */
import type { JobSpec } from '../../core/job-spec.js';
import type { MachineInfo } from '../../core/machine-info.js';
import type { TeamQuota } from '../../core/team-quota.js';
import type { JobId } from '../../core/units.js';

const MAX_LARGEST_JOB_START_DELAY_MS = 240_000;
const QUOTA_TOLERANCE = 1e-6;

/** A started task and the machine on which it runs. */
interface TaskPlacement {
  machine: MachineInfo;
  job: JobId;
  index: number;
}

/** Collects violations of the rules. Each violation begins with the name of its rule. */
export class InvariantChecker {
  readonly violations: string[] = [];
  startCount = 0;
  /** Tasks started after a user received a cancelled status for the job. Not a violation until `cancelS` has passed. */
  startsAfterCancellation = 0;
  /** Called when the last task of a job has completed. */
  onJobCompleted: (job: JobId) => void = () => undefined;
  private readonly placements = new Set<TaskPlacement>();
  private readonly cancelledAt = new Map<JobId, number>();
  private readonly cancellationsRequested = new Set<JobId>();
  private readonly completed = new Map<JobId, Set<number>>();
  /** Completions that a worker has deleted at a controller's command. The controllers must keep them. */
  private readonly acknowledged = new Map<JobId, Set<number>>();
  private readonly doneReportedAt = new Map<JobId, number>();
  private readonly finalReported = new Map<JobId, string>();
  private readonly acceptedAt = new Map<JobId, number>();
  /** The time of the first start of each task, by job and task index. */
  private readonly firstStarts = new Map<JobId, Map<number, number>>();

  constructor(
    private readonly specs: Map<JobId, JobSpec>,
    private readonly teams: TeamQuota[],
    private readonly cancelS: number,
    private readonly now: () => number,
  ) {}

  /** Called when a task has its image and starts. The task occupies its machine until `onTaskEnded`. */
  onTaskStarted(machine: MachineInfo, job: JobId, index: number): TaskPlacement {
    this.startCount++;
    const spec = this.specs.get(job)!;
    const others = [...this.placements].filter((placement) => placement.job === job);
    if (others.some((placement) => placement.index === index))
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
    const placement = { machine, job, index };
    this.placements.add(placement);
    this.checkQuota(spec);
    if (this.cancelledAt.has(job)) this.startsAfterCancellation++;
    if (this.isOverdue(this.cancelledAt.get(job))) this.report('ran_cancelled', `${job}/${index} started`);
    return placement;
  }

  /** Called when a task no longer occupies its machine. */
  onTaskEnded(placement: TaskPlacement | null): void {
    if (placement) this.placements.delete(placement);
  }

  /** Called when a task has run to completion. */
  onTaskCompleted(job: JobId, index: number): void {
    const set = this.completed.get(job) ?? new Set();
    set.add(index);
    this.completed.set(job, set);
    if (set.size === this.specs.get(job)!.tasks) this.onJobCompleted(job);
  }

  /** Called when a worker deletes the completion of this task at a controller's command. */
  onCompletionAcknowledged(job: JobId, index: number): void {
    const indexes = this.acknowledged.get(job) ?? new Set();
    indexes.add(index);
    this.acknowledged.set(job, indexes);
  }

  /** Called when a user who requested the cancellation receives a cancelled status. */
  onCancellationReported(job: JobId): void {
    if (!this.cancelledAt.has(job)) this.cancelledAt.set(job, this.now());
    this.onStatusReported(job, 'cancelled');
  }

  /** Called when a user receives the status of the job. */
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

  /** The ids of the machines on which tasks of the job run. */
  machineIdsOf(job: JobId): string[] {
    return [...this.placements]
      .filter((placement) => placement.job === job)
      .map((placement) => placement.machine.id);
  }

  /** Reports an accepted job whose requests get no response, or a response as if it had never been accepted. */
  reportForgottenJob(job: JobId, detail: string): void {
    this.report('forgotten', `${job}: ${detail}`);
  }

  /** Reports a job with a task pending for `waitedMs`, although machines have room and its team is below its limit. */
  reportJobLeftWaiting(job: JobId, waitedMs: number): void {
    this.report('left_waiting', `${job} for ${Math.round(waitedMs / 1000)} s`);
  }

  /** The number of tasks of the job that have run to completion. */
  completedTaskCount(job: JobId): number {
    return this.completed.get(job)?.size ?? 0;
  }

  /**
   * Called when a user receives a cancelled status without having requested the cancellation. This is correct only for
   * a job that depends on a cancelled one.
   */
  onUnrequestedCancellation(job: JobId): void {
    if (!this.ancestors(job).some((id) => this.cancellationsRequested.has(id)))
      this.report('went_back', `${job}: cancelled without a request`);
    this.onStatusReported(job, 'cancelled');
  }

  /** Called when a user requests the cancellation of the job. The response may be lost. */
  onCancellationRequested(job: JobId): void {
    this.cancellationsRequested.add(job);
  }

  /** Called when a user receives a pending or running status for a request sent at `requestedAt`. */
  onUnfinishedReported(job: JobId, requestedAt: number): void {
    this.onStatusReported(job, 'unfinished');
    const acceptedAt = this.acceptedAt.get(job) ?? this.now();
    for (const id of this.ancestors(job)) {
      const cancelledAt = this.cancelledAt.get(id);
      if (cancelledAt !== undefined && requestedAt - Math.max(cancelledAt, acceptedAt) > this.cancelS * 1000)
        this.report('orphaned', `${job}: reported as unfinished although ${id} is cancelled`);
    }
  }

  /** All direct and transitive dependencies of the job. */
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

  /** Called when a user receives the acceptance of the job. */
  onJobAccepted(job: JobId): void {
    if (!this.acceptedAt.has(job)) this.acceptedAt.set(job, this.now());
  }

  /**
   * Called at the end of a run. Of the accepted jobs that were not cancelled and depend on no cancelled job, checks that
   * each one ran, that at least half of the tasks of each class and of each team were started, and that the largest jobs
   * of each class started within MAX_LARGEST_JOB_START_DELAY_MS.
   */
  checkAtEnd(): void {
    const groups = new Map<string, { tasks: number; started: number }>();
    const largest = new Map<string, number>();
    const isCancelled = (id: JobId): boolean =>
      [id, ...this.ancestors(id)].some((each) => this.cancelledAt.has(each));
    const uncancelledJobs = [...this.acceptedAt].filter(([id]) => !isCancelled(id));
    for (const [id] of uncancelledJobs) {
      const spec = this.specs.get(id)!;
      largest.set(spec.class, Math.max(largest.get(spec.class) ?? 0, spec.tasks));
    }
    for (const [id, acceptedAt] of uncancelledJobs) {
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
      if (Math.min(...firstStarts.values()) - acceptedAt > MAX_LARGEST_JOB_START_DELAY_MS)
        this.report('starved', `${id}, one of the largest jobs of its class, started too late`);
    }
    for (const [name, { tasks, started }] of groups) {
      if (started < tasks / 2) this.report('starved', `${name}: ${started} of ${tasks} tasks started`);
    }
  }

  /** Checks that no task of a cancelled or done job is still running after `cancelS`. Called at a fixed interval. */
  checkPeriodically(): void {
    for (const { job, index, machine } of this.placements) {
      if (this.isOverdue(this.doneReportedAt.get(job)))
        this.report('orphaned', `${job}/${index} on ${machine.id} although its job is done`);
      if (this.isOverdue(this.cancelledAt.get(job)))
        this.report('ran_cancelled', `${job}/${index} on ${machine.id}`);
    }
  }

  /** Whether `cancelS`, the time within which all tasks of a job must have ended, has passed since that time. */
  private isOverdue(since: number | undefined): boolean {
    return since !== undefined && this.now() - since > this.cancelS * 1000;
  }

  private checkPlacement(spec: JobSpec, machine: MachineInfo, others: TaskPlacement[]): void {
    const { id } = spec;
    if (spec.types !== null && !spec.types.includes(machine.type)) this.report('wrong_place', `${id} type`);
    if (spec.zone !== null && spec.zone !== machine.zone) this.report('wrong_place', `${id} zone`);
    if (!spec.spot && machine.spot) this.report('wrong_place', `${id} spot`);
    if (spec.oneZone && others.some((placement) => placement.machine.zone !== machine.zone))
      this.report('wrong_place', `${id} in two zones`);
  }

  private checkSpread(spec: JobSpec, machine: MachineInfo, others: TaskPlacement[]): void {
    const tasksInZone = others.filter((placement) => placement.machine.zone === machine.zone).length + 1;
    if (spec.spread && tasksInZone > Math.ceil(spec.tasks / 2))
      this.report('wrong_place', `${spec.id} not spread`);
  }

  private checkQuota(spec: JobSpec): void {
    const team = this.teams.find((t) => t.name === spec.team)!;
    let gpus = 0;
    let cpus = 0;
    for (const placement of this.placements) {
      const placedSpec = this.specs.get(placement.job)!;
      if (placedSpec.team !== spec.team) continue;
      gpus += placedSpec.gpus;
      cpus += placedSpec.cpus;
    }
    const exceeds = (used: number, max: number): boolean => max > 0 && used > max + QUOTA_TOLERANCE;
    if (exceeds(gpus, team.maxGpus) || exceeds(cpus, team.maxCpus)) this.report('quota', spec.team);
  }

  private report(rule: string, detail: string): void {
    this.violations.push(`${rule} at ${(this.now() / 1000).toFixed(1)}: ${detail}`);
  }
}
