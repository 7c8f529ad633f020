// What the leader knows and wants. Events go in, effects come out; no I/O, no clock, no randomness of its own. This
// is its face and its loop; its parts are in leader/.
import type { Machine } from './cluster.js';
import { Job, newPlacement, type Placement } from './job.js';
import { runCycle, type Assumed } from './scheduler.js';
import { markGuaranteed } from './scheduler/guarantees.js';
import { TypePenalties } from './type-penalties.js';
import type {
  Command,
  FinalState,
  JobRecord,
  Leadership,
  ListedMachine,
  MachineInfo,
  MachineType,
  Report,
  TeamLimits,
  UnchangedReport,
} from './types.js';
import {
  attemptOf,
  type Attempt,
  type JobId,
  type MachineId,
  type SegmentName,
  type Stamp,
  type Steady,
  type Team,
  type WallTime,
} from './units.js';
import { CommandDispatch } from './leader/command-dispatch.js';
import { Completion } from './leader/completion.js';
import { Dependencies } from './leader/dependencies.js';
import type { Effect, ImageLocations, LeaderSettings } from './leader/effects.js';
import { Fleet } from './leader/fleet.js';
import { Lateness } from './leader/lateness.js';
import { Queue } from './leader/queue.js';
import { Renting } from './leader/renting.js';
import { Reports } from './leader/reports.js';
import { SilenceWatch } from './leader/silence.js';
import { LeaderState } from './leader/state.js';
import { Summary } from './leader/summary.js';

const MAX_TASKS_A_CYCLE = 40;
const BACKOFF_MS = 400;
const BACKOFF_MAX_MS = 5000;
const MIN_FLEET_HEARD = 3;

export class Leader {
  private readonly teams: Map<Team, TeamLimits>;
  private readonly typePenalties = new TypePenalties();
  /** Machines that the last cycle looked at: its cost. */
  lastCycleWork = 0;
  private attempts = 0;
  private rebuilt = false;
  /** The last tick had no authority. */
  private unauthorised = false;
  private readonly state: LeaderState;
  private readonly fleet: Fleet;
  private readonly silence: SilenceWatch;
  private readonly reports: Reports;
  private readonly renting: Renting;
  private readonly queue: Queue;
  private readonly dependencies: Dependencies;
  private readonly completion: Completion;
  private readonly lateness: Lateness;
  private readonly commands: CommandDispatch;
  private readonly summary: Summary;

  constructor(
    readonly leadership: Leadership,
    private readonly settings: LeaderSettings,
    startedAt: Steady,
  ) {
    this.state = new LeaderState(leadership, settings, startedAt);
    this.fleet = new Fleet(this.state);
    this.silence = new SilenceWatch(this.state, this.fleet);
    this.reports = new Reports(this.state, this.fleet);
    this.renting = new Renting(this.state, this.fleet);
    this.queue = new Queue(this.state);
    this.dependencies = new Dependencies(this.state, (job, now) => this.onReady(job, now));
    this.completion = new Completion(this.state, this.dependencies);
    this.lateness = new Lateness(this.state);
    this.commands = new CommandDispatch(this.state);
    this.summary = new Summary(this.state);
    this.teams = new Map(settings.teams.map((t) => [t.name, t]));
  }

  get machines(): Map<MachineId, Machine> {
    return this.state.machines;
  }

  get jobs(): Map<JobId, Job> {
    return this.state.jobs;
  }

  takeEffects(): Effect[] {
    return this.state.takeEffects();
  }

  loadMachine(info: MachineInfo, page: string, now: Steady): void {
    this.fleet.loadMachine(info, page, now);
  }

  onReport(report: Report, now: Steady): Command[] {
    return this.reports.onReport(report, now);
  }

  onUnchangedReport(v: UnchangedReport, now: Steady): boolean {
    return this.reports.onUnchangedReport(v, now);
  }

  /** Needs no command and awaits nothing: its unchanged reports need not be read. */
  isQuiet(id: MachineId): boolean {
    return this.state.machines.get(id)?.quiet ?? false;
  }

  onReportWithoutAuthority(report: Report, now: Steady): void {
    this.reports.onReportWithoutAuthority(report, now);
  }

  onOrdersAnswer(...answer: Parameters<Reports['onOrdersAnswer']>): void {
    this.reports.onOrdersAnswer(...answer);
  }

  onRented(...answer: Parameters<Renting['onRented']>): void {
    this.renting.onRented(...answer);
  }

  onList(listed: ListedMachine[], now: Steady): void {
    this.fleet.onList(listed, now);
  }

  onReturned(ids: MachineId[], ok: boolean, now: Steady): void {
    this.fleet.onReturned(ids, ok, now);
  }

  onRoster(page: string, ok: boolean): void {
    this.fleet.onRoster(page, ok);
  }

  onProgress(...outcome: Parameters<Completion['onProgress']>): void {
    this.completion.onProgress(...outcome);
  }

  onFinished(...outcome: Parameters<Completion['onFinished']>): void {
    this.completion.onFinished(...outcome);
  }

  /** Which machine caches what: told to the other controllers, since reports don't say it. */
  imageLocations(): ImageLocations {
    const locations: ImageLocations = {};
    for (const m of this.state.machines.values()) if (m.up) locations[m.id] = m.imageList();
    return locations;
  }

  /** What the leader before us knew of the machines' caches. A wrong hint costs a fetch, nothing else. */
  loadImageLocations(locations: ImageLocations): void {
    for (const [id, images] of Object.entries(locations)) {
      for (const [image, gb] of images) this.state.machines.get(id as MachineId)?.useImage(image, gb);
    }
  }

  setTypes(types: MachineType[]): void {
    this.state.types = types;
    this.typePenalties.setTypes(types);
    for (const m of this.state.machines.values())
      m.type = types.find((t) => t.name === m.info.type) ?? m.type;
  }

  /** A job's record as the state service has it, from the first load or from the watch. */
  learnJob(
    id: JobId,
    record: JobRecord,
    stamp: Stamp,
    fromEarlierLeader: boolean,
    now: Steady,
    wall: WallTime,
  ): void {
    const known = this.state.jobs.get(id);
    if (known) {
      if (stamp < known.stamp) return; // an older event than what we hold
      const cancelledNow = !known.cancelled && record.cancelledAt !== null;
      known.record = record;
      known.stamp = stamp;
      if (cancelledNow) this.cancelKnown(known, now);
      return;
    }
    const job = new Job(id, record, stamp, fromEarlierLeader, now);
    this.state.jobs.set(id, job);
    this.state.changedSinceTick = true;
    this.typePenalties.note(record.spec);
    // Jobs that wait for no other were ready when they were submitted.
    if (record.spec.dependsOn.length === 0) this.renting.arrivals.note(record, now, wall);
    this.dependencies.learn(job, now);
    const { class: name, tasks, image, estimateS, deadlineS } = record.spec;
    this.state.log('debug', { job: id, class: name, tasks, image, estimateS, deadlineS }, 'job known');
  }

  /** A controller has told its user that it is cancelled; its record may reach us much later. */
  learnCancelled(id: JobId, now: Steady): void {
    const job = this.state.jobs.get(id);
    if (!job || job.cancellationConfirmedAt !== null) return;
    const news = !job.cancelled;
    job.cancellationConfirmedAt = now;
    if (news) this.cancelKnown(job, now);
    this.state.changedSinceTick = true;
  }

  private cancelKnown(job: Job, now: Steady): void {
    this.state.cancel(job, now);
    this.dependencies.cancelDependents(job.id);
  }

  /** All that the job depends on is done. */
  private onReady(job: Job, now: Steady): void {
    job.waitingSince = now;
    job.reason = { why: 'queued' };
    this.state.needsScheduling = true;
    if (job.spec.dependsOn.length > 0) this.renting.arrivals.noteTasks(job.spec, now);
  }

  /** The final record of a job that others depend on was read; null: there is none, or no answer came. */
  onLookup(id: JobId, final: FinalState | null, now: Steady): void {
    this.dependencies.onLookup(id, final, now);
  }

  loadProgress(id: JobId, segment: SegmentName, bytes: Uint8Array): void {
    this.completion.loadProgress(id, segment, bytes);
  }

  /** Enough machines are known to be up that silence from all of them means something. */
  get expectsReports(): boolean {
    let up = 0;
    for (const m of this.state.machines.values()) if (m.up && ++up >= MIN_FLEET_HEARD) return true;
    return false;
  }

  /** Whether anything has come in since the last tick that a tick could act on. */
  get hasChanges(): boolean {
    return (
      this.state.changedSinceTick ||
      this.state.needsScheduling ||
      this.state.machinesToCommand.size > 0 ||
      this.state.effects.length > 0
    );
  }

  tick(now: Steady, wall: WallTime): void {
    this.state.changedSinceTick = false;
    if (this.unauthorised) this.silence.restart(now);
    this.unauthorised = false;
    this.fleet.enroll(now);
    this.silence.watch(now, wall);
    this.fleet.watchBoots(now);
    this.completion.finishJobs(now);
    for (const job of this.dependencies.takeLookups(now)) this.state.effects.push({ kind: 'lookup', job });
    if (this.readyToPlace(now)) this.schedule(now, wall);
    this.lateness.watch(now, wall);
    this.fleet.returnLeaving(now);
    this.commands.dispatch(now);
    this.summary.logFleet(now);
  }

  /**
   * While the lease is held but can't be renewed, nothing is decided. What users were told is cancelled ends all the
   * same: that is final, whoever leads next, and in an outage of the state service nobody has authority to wait for.
   */
  tickWithoutAuthority(now: Steady, wall: WallTime): void {
    this.state.changedSinceTick = false;
    this.unauthorised = true;
    this.silence.fenceOverdue(now, wall);
    this.fleet.returnLeaving(now, true);
    this.commands.dispatchCancellations(now);
  }

  /** A new leader first hears one round of reports; silent machines hold up only what may be on them. */
  private readyToPlace(now: Steady): boolean {
    if (this.rebuilt) return true;
    const waited = now - this.state.startedAt;
    if (this.state.unheardMachines.size > 0 && waited < this.settings.workers.reportS * 1250 + 1500)
      return false;
    this.rebuilt = true;
    this.state.log(
      'info',
      { afterMs: Math.round(waited), silent: this.state.unheardMachines.size, jobs: this.state.jobs.size },
      'rebuilt',
    );
    return true;
  }

  private schedule(now: Steady, wall: WallTime): void {
    if (!this.state.needsScheduling && !this.hasDue(now)) return;
    this.state.needsScheduling = false;
    this.dependencies.propagate();
    markGuaranteed(this.state.jobs.values(), this.teams);
    const { queue, blocked } = this.queue.waiting(now, wall);
    const result = runCycle({
      machines: this.state.machines,
      queue,
      jobs: this.state.jobs.values(),
      specOf: this.state.specOf,
      usage: this.queue.teamUsage(),
      teams: this.teams,
      now,
      wall,
      silentMs: this.settings.workers.reportS * 2500,
      maxTasks: MAX_TASKS_A_CYCLE,
      maxWork: this.settings.cycleWork,
      typePenalty: (spec, type) => this.typePenalties.penalty(spec, type),
    });
    this.lastCycleWork = result.work;
    this.commitAll(result.placed, now);
    for (const { job, placement, guaranteeOf } of result.victims) {
      const why = guaranteeOf === undefined ? 'preempted' : `preempted for the guarantee of ${guaranteeOf}`;
      this.state.evict(job, placement, why, now);
    }
    for (const { job } of result.unplaced) {
      job.rejections++;
      job.rejectedAtWake = this.state.wakes;
      const delay = Math.min(BACKOFF_MAX_MS, BACKOFF_MS * 2 ** Math.min(job.rejections, 10));
      // Individual times: groups rejected together must not come back in one wave.
      job.backoffUntil = now + delay * (0.5 + this.settings.random());
    }
    if (result.unfinished.length > 0) this.state.needsScheduling = true;
    this.explain(queue);
    this.renting.scale([...result.unplaced.map((u) => u.job), ...result.unfinished, ...blocked], now);
  }

  private hasDue(now: Steady): boolean {
    for (const job of this.state.jobs.values()) {
      if (!job.ready || job.cancelled) continue;
      if (job.pendingCount > 0 && !this.queue.inBackoff(job, now) && now >= job.errorUntil) return true;
    }
    return now - this.renting.lastScale > 1000;
  }

  /** The tasks of a gang find one another by their attempt, so they share one. */
  private commitAll(placed: readonly Assumed[], now: Steady): void {
    const gangAttempts = new Map<JobId, Attempt>();
    for (const { job, index, machine } of placed) {
      const attempt = gangAttempts.get(job.id) ?? attemptOf(this.leadership.term, ++this.attempts);
      if (job.spec.kind === 'gang') gangAttempts.set(job.id, attempt);
      this.commit(job, newPlacement(index, machine.id, attempt, now), machine, now);
    }
  }

  private commit(job: Job, p: Placement, m: Machine, now: Steady): void {
    job.place(p);
    m.assign(job, p);
    m.idleSince = null;
    job.rejections = 0;
    p.unpreemptible = job.starving;
    this.state.machinesToCommand.add(m);
    this.state.log(
      'debug',
      {
        job: job.id,
        task: p.index,
        attempt: p.attempt,
        machine: m.id,
        term: this.leadership.term,
        waitedS: (now - job.waitingSince) / 1000,
      },
      'placed',
    );
  }

  /** Why a job waits is logged whenever the reason changes. */
  private explain(queue: Job[]): void {
    for (const job of queue) {
      const why = job.pendingCount === 0 ? '' : job.reason.why;
      if (why === job.loggedReason) continue;
      job.loggedReason = why;
      if (why !== '')
        this.state.log(
          'info',
          { job: job.id, class: job.spec.class, withinGuarantee: job.withinGuarantee, ...job.reason },
          'job waits',
        );
    }
  }

  status(): Record<string, unknown> {
    return this.summary.status();
  }
}
export type { Effect, FinishOutcome, ImageLocations, LeaderSettings } from './leader/effects.js';
