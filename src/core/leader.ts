// What the leader knows and wants. Events go in, effects come out; no I/O, no clock, no randomness of its own.
import { Arrivals } from './arrivals.js';
import { Machine, UNHEEDED_IS_DEAF, add, attemptKey, sameTasks } from './cluster.js';
import { Job, newPlacement, type Placement } from './job.js';
import { commandsFor } from './reconcile.js';
import { Roster } from './roster.js';
import { runCycle } from './scheduler.js';
import { Suitability } from './suitability.js';
import { capacityKey, planScaling, type RentOrder, type Want } from './scaling.js';
import {
  priorityRank,
  type Amounts,
  type Command,
  type JobRecord,
  type Leadership,
  type ListedMachine,
  type MachineInfo,
  type MachineType,
  type Report,
  type ReportedTask,
  type TeamLimits,
  type WorkerTimes,
  type FinalState,
} from './types.js';
import { attemptOf, sameCounter } from './units.js';
import type { Counter, Endpoint, JobId, MachineId, Stamp, Steady, Team, WallTime, Zone } from './units.js';

export type Effect =
  | { kind: 'finish'; job: JobId; stamp: Stamp; state: FinalState; tasks: number; chunks: number[] }
  | { kind: 'progress'; job: JobId; chunk: number; bytes: Uint8Array }
  | { kind: 'roster'; page: string; machines: MachineInfo[] }
  | { kind: 'rent'; request: string; order: RentOrder }
  | { kind: 'return'; machines: MachineId[] }
  | { kind: 'orders'; machine: MachineId; endpoint: Endpoint; session: Counter; commands: Command[] }
  | { kind: 'log'; level: 'info' | 'debug'; fields: Record<string, unknown>; text: string };

export type ImageHints = Record<string, [string, number][]>;

export interface LeaderSettings {
  workers: WorkerTimes;
  teams: TeamLimits[];
  objectives: { kind: string; class?: string; within_s?: number }[];
  idleHoldS: number;
  capacityRetryS: number;
  /** After so long without a start, a group goes before the others and room is held for it. */
  agingS: number;
  listLagS: number;
  /** Room kept for work still to come, in standard deviations of its arrivals. */
  headroom: number;
  /** Machines on one page of the durable roster. */
  rosterPage: number;
  /** Uniform in [0, 1). */
  random: () => number;
}

export type FinishOutcome =
  { kind: 'ok' } | { kind: 'retry' } | { kind: 'changed'; record: JobRecord; stamp: Stamp };

const MAX_TASKS_A_CYCLE = 40;
const MAX_WORK_A_CYCLE = 200_000;
const MAX_NEW_MACHINES = 60;
const BACKOFF_MS = 400;
const BACKOFF_MAX_MS = 5000;
const ERROR_BACKOFF_MS = 2000;
const ERROR_BACKOFF_MAX_MS = 60_000;
const RETURN_RETRY_MS = 1500;
const HOPELESS_MS = 86_400_000;
const GONE_KEPT_MS = 1_800_000;
const FLEET_LOG_MS = 10_000;
const ROSTER_MS = 300;
const ROSTER_TIDY_MS = 500;
const TIDY_PAGES = 3;
/** Attempts kept on a worker only because a copy of their start may still arrive; beyond, starts go in answers. */
const MAX_UNREAPABLE = 16;
const DEAF_LEASES = 1.5;
const DEAF_SHARE = 0.1;
const MIN_FLEET_HEARD = 3;
const SILENT_SHARE = 0.1;
/** A worker gives up on an answer after this time (PROTOCOL, workers). */
const ANSWER_LIMIT_MS = 4000;

/** Whole groups before those that start piece by piece, which would take the room held for them; then by age. */
const firstOrder = (a: Job, b: Job): number =>
  Number(b.spec.kind === 'gang') - Number(a.spec.kind === 'gang') ||
  a.record.submittedAt - b.record.submittedAt;

export class Leader {
  readonly machines = new Map<MachineId, Machine>();
  readonly jobs = new Map<JobId, Job>();
  private types: MachineType[] = [];
  private readonly teams: Map<Team, TeamLimits>;
  private readonly finishAims = new Map<string, number[]>();
  private readonly refusedUntil = new Map<string, Steady>();
  private readonly refusals = new Map<string, number>();
  private readonly rents = new Map<string, RentOrder>();
  private readonly arrivals = new Arrivals();
  private readonly suits = new Suitability();
  /** Machines that may hold tasks of an earlier leader and have not reported under our token. */
  private readonly blockers = new Set<MachineId>();
  /** Machines whose return was answered: lists lag and go on showing them for a while. */
  private readonly gone = new Map<MachineId, Steady>();
  private readonly pokes = new Set<Machine>();
  private readonly roster = new Roster();
  private effects: Effect[] = [];
  private attempts = 0;
  private requests = 0;
  private dirty = true;
  private deafSince: Steady[] = [];
  private news = true;
  private wakes = 0;
  private pages = 0;
  private lastRoster = -Infinity;
  private lastTidy = -Infinity;
  private rebuilt = false;
  private lastReturn = -Infinity;
  private lastProgress = -Infinity;
  private lastFleetLog = -Infinity;

  constructor(
    readonly leadership: Leadership,
    private readonly settings: LeaderSettings,
    private readonly startedAt: Steady,
  ) {
    this.teams = new Map(settings.teams.map((t) => [t.name, t]));
    for (const o of settings.objectives) {
      if (o.kind !== 'finished' || o.class === undefined || o.within_s === undefined) continue;
      this.finishAims.set(o.class, [...(this.finishAims.get(o.class) ?? []), o.within_s]);
    }
  }

  takeEffects(): Effect[] {
    const out = this.effects;
    this.effects = [];
    return out;
  }

  // ---- what a takeover loads -------------------------------------------------------------------------------

  loadMachine(info: MachineInfo, page: string, now: Steady): void {
    const m = this.addMachine(info, now);
    m.endpointKnown = false;
    m.roster = 'durable';
    m.page = page;
    this.roster.load(page, m.info);
    m.inherited = true;
    m.up = true; // it had tasks or was about to
    this.blockers.add(info.id);
  }

  /** Which machine caches what: told to the other controllers, since reports don't say it. */
  imageHints(): ImageHints {
    const hints: ImageHints = {};
    for (const m of this.machines.values()) if (m.up) hints[m.id] = m.imageList();
    return hints;
  }

  /** What the leader before us knew of the machines' caches. A wrong hint costs a fetch, nothing else. */
  loadImageHints(hints: ImageHints): void {
    for (const [id, images] of Object.entries(hints)) {
      for (const [image, gb] of images) this.machines.get(id as MachineId)?.useImage(image, gb);
    }
  }

  setTypes(types: MachineType[]): void {
    this.types = types;
    this.suits.setTypes(types);
    for (const m of this.machines.values()) m.type = types.find((t) => t.name === m.info.type) ?? m.type;
  }

  /** A job's record as the state service has it, from the first load or from the watch. */
  learnJob(
    id: JobId,
    record: JobRecord,
    stamp: Stamp,
    inherited: boolean,
    now: Steady,
    wall: WallTime,
  ): void {
    const known = this.jobs.get(id);
    if (known) {
      if (stamp < known.stamp) return; // an older event than what we hold
      const cancelledNow = !known.cancelled && record.cancelledAt !== null;
      known.record = record;
      known.stamp = stamp;
      if (cancelledNow) this.cancel(known, now);
      return;
    }
    const job = new Job(id, record, stamp, inherited, now);
    this.jobs.set(id, job);
    this.news = true;
    this.arrivals.note(record, now, wall);
    this.suits.note(record.spec);
    this.dirty = true;
    this.log('debug', { job: id, class: record.spec.class, tasks: record.spec.tasks }, 'job known');
  }

  loadProgress(id: JobId, chunk: number, bytes: Uint8Array): void {
    this.jobs.get(id)?.confirmChunk(chunk, bytes);
  }

  // ---- reports ---------------------------------------------------------------------------------------------

  onReport(report: Report, now: Steady): Command[] {
    const m = this.observe(report, now);
    if (!m) return [];
    this.noteAnswered(m, now);
    // Not under our token yet: an earlier leader's order could still arrive, and this answer raises the token.
    if (!m.settled || m.quiet) return [];
    const commands = commandsFor(m, this.jobs, now);
    m.quiet = commands.length === 0 && this.isQuiet(m);
    for (const c of commands) {
      if (c.op !== 'start') continue;
      const p = this.jobs.get(c.job)?.placements.get(c.index);
      if (p) p.sentWith = { session: report.session, seq: report.seq };
    }
    this.pokes.delete(m);
    return commands;
  }

  /** A report that comes while we have no authority to command: only taken in. */
  onReportWithoutAuthority(report: Report, now: Steady): void {
    this.observe(report, now);
  }

  onOrdersAnswer(
    id: MachineId,
    commands: Command[],
    result:
      { kind: 'executed' | 'refused'; report: Report | null } | { kind: 'unsent' } | { kind: 'unknown' },
    now: Steady,
  ): void {
    const m = this.machines.get(id);
    if (!m) return;
    m.orderOpen = false;
    for (const c of commands) {
      if (c.op !== 'start') continue;
      const p = this.jobs.get(c.job)?.placements.get(c.index);
      const own = p && p.attempt === c.attempt && p.machine === id ? p : undefined;
      if (own) own.orderOpen = false;
      // Refused or never sent: it can't be carried out later either, since token and session only rise. In every
      // other case a copy may arrive late, even of a start that was answered: the attempt must stay known there.
      if (result.kind === 'refused' || result.kind === 'unsent')
        m.unreapable.delete(attemptKey(c.job, c.index, c.attempt));
      else if (result.kind === 'unknown' && own) own.orderLost = true;
    }
    if ((result.kind === 'executed' || result.kind === 'refused') && result.report)
      this.observe(result.report, now);
  }

  /** Takes in a report; null if it is older than what is known. */
  private observe(report: Report, now: Steady): Machine | null {
    // Held back by the network until after its machine was deleted: there is nothing there any more.
    if (this.gone.has(report.id)) return null;
    const m = this.machines.get(report.id) ?? this.addMachine(report, now);
    const newSession = report.session > m.session;
    if (!newSession && (report.session < m.session || report.seq <= m.seq) && m.lastReportAt !== null)
      return null;
    if (
      !newSession &&
      m.quiet &&
      m.settled &&
      report.noticeS === null &&
      sameTasks(m.reported, report.tasks)
    ) {
      // Most reports of a large cluster: nothing has changed.
      m.lastReportAt = now;
      m.seq = report.seq;
      return m;
    }
    this.news = true;
    if (!m.up || m.lastReportAt === null) this.cameUp(m, now);
    m.info = {
      id: report.id,
      endpoint: report.endpoint,
      type: report.type,
      zone: report.zone,
      spot: report.spot,
    };
    m.endpointKnown = true;
    m.up = true;
    const first = m.lastReportAt === null;
    const previousAt = m.lastReportAt;
    m.lastReportAt = now;
    if (newSession && !first) this.sessionEnded(m, now);
    m.session = report.session;
    m.seq = report.seq;
    if (report.noticeS !== null) this.notice(m, report.noticeS, now);
    m.reported = report.tasks;
    m.changed();
    m.tasks = new Map(report.tasks.map((t) => [attemptKey(t.job, t.index, t.attempt), t]));
    if (!m.settled) {
      m.settled = sameCounter(report.token, this.leadership.term);
      if (!m.settled) return m;
      this.blockers.delete(m.id);
      this.dirty = true;
    }
    this.noteHeeded(m, report, previousAt, now);
    this.digest(m, report, now);
    const idle = !m.busy;
    if (!idle) m.idleSince = null;
    else m.idleSince ??= now;
    return m;
  }

  private cameUp(m: Machine, now: Steady): void {
    this.dirty = true;
    this.wake();
    if (m.roster === 'none') m.idleSince = now;
    this.log('debug', { machine: m.id, bootS: (now - m.rentedAt) / 1000 }, 'machine up');
  }

  /** What an answer with authority was given to; a worker that none of them reaches is deaf. */
  private noteAnswered(m: Machine, now: Steady): void {
    // After a silence the count begins anew: what arrives then may have been held back by the network for long.
    const gapMs = ANSWER_LIMIT_MS + this.settings.workers.reportS * 1500 + 1500;
    if (m.answeredAt === null || now - m.answeredAt > gapMs) m.answeredSince = now;
    m.answeredAt = now;
    // Reports go on arriving, yet the token that every answer carries has not been taken over.
    if (!m.settled && this.answeredForMs(m) > this.settings.workers.leaseS * DEAF_LEASES * 1000) {
      this.deaf(m, 'token not taken over', now);
    }
  }

  private answeredForMs(m: Machine): number {
    return m.answeredAt === null || m.answeredSince === null ? 0 : m.answeredAt - m.answeredSince;
  }

  /** Reports alone are no proof of contact. Given back: its tasks start elsewhere once the answer says it is gone. */
  private deaf(m: Machine, why: string, now: Steady): void {
    if (m.leaving?.why === 'fence') return;
    this.deafSince = this.deafSince.filter((at) => now - at < this.settings.workers.leaseS * 3000);
    // Many at once: it is our answers that are late, not a machine that is deaf.
    if (this.deafSince.length >= Math.max(2, this.machines.size * DEAF_SHARE)) return;
    this.deafSince.push(now);
    this.fence(m, `deaf: ${why}`, now);
  }

  /** Commands without effect, told from commands on their way: the worker executes an answer before its next report. */
  private noteHeeded(m: Machine, report: Report, previousAt: Steady | null, now: Steady): void {
    let missed = false;
    for (const { job, placement: p } of m.placements.values()) {
      if (p.sentWith === null || p.seen || p.stop) continue;
      if (m.tasks.has(attemptKey(job.id, p.index, p.attempt))) {
        m.unheeded = 0;
        return;
      }
      if (report.session === p.sentWith.session && report.seq > p.sentWith.seq) missed = true;
    }
    if (missed) {
      m.unheeded++;
      if (m.unheeded === UNHEEDED_IS_DEAF) this.log('info', { machine: m.id }, 'worker heeds no command');
    } else if (m.unheeded > 0 && previousAt !== null && now - previousAt < ANSWER_LIMIT_MS) {
      // Sooner than it gives up on an answer: it did receive the one before.
      m.unheeded = 0;
    }
    if (m.unheeded < UNHEEDED_IS_DEAF) return;
    // Not started there, and by this report certain not to be: they go elsewhere.
    for (const { job, placement: p } of [...m.placements.values()]) {
      const unsure =
        p.seen || p.orderOpen || p.orderLost || m.tasks.has(attemptKey(job.id, p.index, p.attempt));
      if (!unsure) this.release(job, p, now);
    }
  }

  /** Everything that it should hold is there, and everything there should be. */
  private isQuiet(m: Machine): boolean {
    for (const [key, t] of m.tasks) {
      if (t.state === 'exited' ? !m.unreapable.has(key) : t.state === 'saving') return false;
    }
    for (const { placement: p } of m.placements.values()) if (!p.seen || p.stop !== null) return false;
    return true;
  }

  /** The worker's lease ran out: every task that it held is gone, and answers to older reports are dropped. */
  private sessionEnded(m: Machine, now: Steady): void {
    m.unreapable.clear();
    m.unheeded = 0;
    // Its lease ran out although its reports were answered all the while: none of the answers reached it.
    if (this.answeredForMs(m) > this.settings.workers.leaseS * 900) this.deaf(m, 'lease ran out', now);
    m.answeredAt = null;
    m.answeredSince = null;
    this.log('info', { machine: m.id, tasks: m.placements.size }, 'worker session ended, tasks lost');
    for (const { job, placement } of [...m.placements.values()]) {
      if (placement.seen || placement.sentWith || placement.orderOpen || placement.orderLost) {
        this.lost(job, placement, 'session ended', now);
      }
    }
  }

  private digest(m: Machine, report: Report, now: Steady): void {
    for (const t of report.tasks) this.digestTask(m, t, now);
    for (const { job, placement: p } of [...m.placements.values()]) {
      if (m.tasks.has(attemptKey(job.id, p.index, p.attempt))) continue;
      if (p.orderOpen || p.orderLost) continue;
      if (p.seen) {
        this.lost(job, p, 'task vanished', now);
        continue;
      }
      // An answer is executed before the worker's next report or never: this report settles it.
      const settled =
        p.sentWith === null || report.session > p.sentWith.session || report.seq > p.sentWith.seq;
      if (p.stop && settled) this.release(job, p, now);
    }
  }

  private digestTask(m: Machine, t: ReportedTask, now: Steady): void {
    const job = this.jobs.get(t.job);
    if (!job || t.index >= job.spec.tasks) return;
    if (t.state !== 'fetching' && t.cause !== 'no_room' && t.cause !== 'in_use' && t.cause !== 'no_such') {
      if (t.state !== 'exited' || t.cause === 'done') m.useImage(job.spec.image, job.spec.imageGb);
    }
    let p = job.placements.get(t.index);
    if (!p && t.state !== 'exited' && !job.isDone(t.index) && !job.finalizing) p = this.adopt(m, job, t, now);
    const own = p && p.machine === m.id && p.attempt === t.attempt ? p : undefined;
    if (t.state === 'exited') {
      this.digestExit(m, job, t, own, now);
      return;
    }
    if (!own) return;
    own.seen = true;
    const running = t.state === 'running' || t.state === 'waiting';
    if (running && !own.running) {
      job.everRan = true;
      own.runningSince = now;
      this.log(
        'debug',
        { job: job.id, task: t.index, machine: m.id, afterS: (now - own.assignedAt) / 1000 },
        'task has its image',
      );
    }
    own.running = running;
  }

  private digestExit(m: Machine, job: Job, t: ReportedTask, own: Placement | undefined, now: Steady): void {
    if (t.cause === 'done') {
      // The tasks of a gang complete together.
      if (job.spec.kind === 'gang') for (let i = 0; i < job.spec.tasks; i++) job.markDone(i);
      else job.markDone(t.index);
      m.errorJobs.clear();
    }
    if (!own) return;
    if (t.cause === 'error') this.taskError(m, job, now);
    else if (t.cause === 'no_room') job.backoffUntil = now + 1000 * (0.5 + this.settings.random());
    const wanted = own.stop;
    this.release(job, own, now);
    if (t.cause === 'done') return;
    this.log(
      t.cause === 'stopped' ? 'debug' : 'info',
      { job: job.id, task: t.index, machine: m.id, cause: t.cause, saved: t.saved, why: wanted?.why ?? null },
      'task ended without completing',
    );
    if (job.spec.kind === 'gang') this.breakGang(job, `member ${t.index}: ${t.cause}`, now);
  }

  /** Bad machines and bad jobs are told apart: several jobs failing here condemn the machine, one job alone not. */
  private taskError(m: Machine, job: Job, now: Steady): void {
    m.errorJobs.set(job.id, now);
    job.errorMachines.add(m.id);
    job.errors++;
    if (m.errorJobs.size >= 2 && !m.sick) {
      m.sick = true;
      this.log('info', { machine: m.id, jobs: m.errorJobs.size }, 'machine fails tasks of several jobs');
      this.leave(m, 'fails tasks', now);
    }
    if (job.errorMachines.size >= 3) {
      const delay = Math.min(ERROR_BACKOFF_MAX_MS, ERROR_BACKOFF_MS * 2 ** (job.errors - 3));
      job.errorUntil = now + delay * (0.75 + 0.5 * this.settings.random());
      job.errorMachines.clear();
      this.log(
        'info',
        { job: job.id, errors: job.errors, delayMs: Math.round(delay) },
        'job fails everywhere, slowed',
      );
    }
  }

  private adopt(m: Machine, job: Job, t: ReportedTask, now: Steady): Placement {
    const p = newPlacement(t.index, m.id, t.attempt, now);
    p.seen = true;
    job.place(p);
    m.assign(job, p);
    if (job.cancelled) p.stop = { graceS: 0, since: now, why: 'cancelled' };
    return p;
  }

  // ---- stopping and releasing ------------------------------------------------------------------------------

  private release(job: Job, p: Placement, now: Steady): void {
    const m = this.machines.get(p.machine);
    m?.unassign(job.id, p.index);
    job.release(p.index);
    job.waitingSince = now;
    this.dirty = true;
    this.wake();
  }

  private lost(job: Job, p: Placement, why: string, now: Steady): void {
    this.log('info', { job: job.id, task: p.index, machine: p.machine, why }, 'task lost');
    this.release(job, p, now);
    if (job.spec.kind === 'gang') this.breakGang(job, why, now);
  }

  /** A gang below its minimum is stopped; once its members are gone it requeues from its checkpoint. */
  private breakGang(job: Job, why: string, now: Steady): void {
    for (const p of [...job.placements.values()]) this.stopPlacement(job, p, 0, `gang broken: ${why}`, now);
  }

  private stopPlacement(job: Job, p: Placement, graceS: number, why: string, now: Steady): void {
    if (p.stop) {
      if (graceS === 0) p.stop.graceS = 0;
      this.machines.get(p.machine)?.changed();
      return;
    }
    p.stop = { graceS, since: now, why };
    this.news = true;
    const m = this.machines.get(p.machine);
    m?.changed();
    if (!p.sentWith && !p.orderOpen && !p.orderLost && !p.seen) {
      this.release(job, p, now); // never told to anyone
      return;
    }
    if (m) this.pokes.add(m);
  }

  /** Stops a task for a reason of ours; a gang goes as a whole, all members told at once. */
  private evict(job: Job, p: Placement, why: string, now: Steady): void {
    const graceS = job.spec.checkpointS > 0 ? job.spec.saveS : 0;
    const group = job.spec.kind === 'gang' ? [...job.placements.values()] : [p];
    for (const each of group) this.stopPlacement(job, each, graceS, why, now);
  }

  private cancel(job: Job, now: Steady): void {
    this.log('debug', { job: job.id, tasks: job.placements.size }, 'job cancelled');
    for (const p of [...job.placements.values()]) this.stopPlacement(job, p, 0, 'cancelled', now);
    this.dirty = true;
  }

  private notice(m: Machine, noticeS: number, now: Steady): void {
    m.noticeEndsAt = (now + noticeS * 1000) as Steady;
    if (m.noticeAt !== null) return;
    m.noticeAt = now;
    this.log('info', { machine: m.id, noticeS, tasks: m.placements.size }, 'spot notice');
    for (const { job, placement } of [...m.placements.values()]) {
      if (job.spec.checkpointS > 0 || !placement.running) this.evict(job, placement, 'spot notice', now);
    }
  }

  // ---- machines --------------------------------------------------------------------------------------------

  private addMachine(info: MachineInfo, now: Steady): Machine {
    const plain = { id: info.id, endpoint: info.endpoint, type: info.type, zone: info.zone, spot: info.spot };
    const m = new Machine(
      plain,
      this.types.find((t) => t.name === info.type),
      now,
    );
    this.machines.set(info.id, m);
    return m;
  }

  onRented(request: string, outcome: { machines: MachineId[] } | 'no-capacity' | 'retry', now: Steady): void {
    const order = this.rents.get(request);
    if (!order) return;
    const key = capacityKey(order.type, order.zone, order.spot);
    if (outcome === 'retry') {
      // The name is kept: a repeat of a request that was carried out gives the same machines.
      this.effects.push({ kind: 'rent', request, order });
      return;
    }
    this.rents.delete(request);
    const got = outcome === 'no-capacity' ? 0 : outcome.machines.length;
    if (outcome !== 'no-capacity') {
      for (const id of outcome.machines) {
        if (this.machines.has(id)) continue;
        const info = { id, endpoint: '' as Endpoint, type: order.type, zone: order.zone, spot: order.spot };
        this.addMachine(info, now);
      }
    }
    if (got < order.count) {
      const n = (this.refusals.get(key) ?? 0) + 1;
      this.refusals.set(key, n);
      const delay =
        this.settings.capacityRetryS *
        1000 *
        Math.min(4, 2 ** (n - 1)) *
        (0.75 + 0.5 * this.settings.random());
      this.refusedUntil.set(key, (now + delay) as Steady);
    } else {
      this.refusals.delete(key);
    }
    this.log('info', { request, ...order, got }, 'rental answered');
    this.dirty = true;
  }

  onList(listed: ListedMachine[], now: Steady): void {
    const names = new Set(listed.map((l) => l.id));
    for (const m of this.machines.values()) {
      // Once listed, a machine stays listed until it is gone; a list may be older than the one before it.
      // One that an earlier leader enrolled and that no list since has named is most likely gone, too.
      m.unlisted =
        !names.has(m.id) &&
        (m.firstListedAt === null ? m.inherited : now - m.firstListedAt > this.settings.listLagS * 2500);
    }
    for (const [id, at] of this.gone) if (now - at > GONE_KEPT_MS) this.gone.delete(id);
    for (const l of listed) {
      let m = this.machines.get(l.id);
      if (!m) {
        if (this.gone.has(l.id)) continue;
        // Rented by an earlier leader, or by a request carried out late: to be used or returned.
        m = this.addMachine(l, now);
        m.rentedAt = (now - l.ageS * 1000) as Steady;
      }
      m.firstListedAt ??= now;
      if (l.status === 'failed') this.fence(m, 'failed', now);
    }
  }

  onReturned(ids: MachineId[], ok: boolean, now: Steady): void {
    for (const id of ids) {
      const m = this.machines.get(id);
      if (!m?.leaving) continue;
      m.leaving.asked = false;
      if (!ok) continue;
      // The answer says that the machine and all that was on it are gone.
      for (const { job, placement } of [...m.placements.values()])
        this.lost(job, placement, 'machine gone', now);
      this.machines.delete(id);
      this.gone.set(id, now);
      this.blockers.delete(id);
      this.pokes.delete(m);
      if (m.page !== null) this.roster.remove(m.page, id);
      this.dirty = true;
    }
  }

  onRoster(page: string, ok: boolean): void {
    for (const id of this.roster.written(page, ok)) {
      const m = this.machines.get(id);
      if (!m || m.roster === 'durable') continue;
      m.roster = 'durable';
      m.quiet = false;
      if (m.placements.size > 0) this.pokes.add(m);
    }
  }

  /** Gives a machine back once its tasks have left. */
  private leave(m: Machine, why: string, now: Steady): void {
    if (m.leaving) return;
    m.leaving = { why, since: now, asked: false };
    for (const { job, placement } of [...m.placements.values()]) this.evict(job, placement, why, now);
  }

  /** Gives a machine back with whatever it holds: the sure way to end what can't be reached. */
  private fence(m: Machine, why: string, now: Steady): void {
    if (m.leaving?.why === 'fence') return;
    m.leaving = { why: 'fence', since: now, asked: false };
    this.log('info', { machine: m.id, why, tasks: m.placements.size }, 'machine fenced');
  }

  private watchSilence(now: Steady, wall: WallTime): void {
    const { reportS, leaseS, cancelS } = this.settings.workers;
    const patience = Math.max(reportS * 1.25 * 3 + 1, leaseS * 0.6) * 1000;
    const longPatience = Math.max(patience, cancelS * 600);
    // A cut silences a whole zone at one moment, but each machine is noticed at its own next report.
    const missed = (reportS * 1.25 * 1.5 + 0.5) * 1000;
    const silent: Machine[] = [];
    const total = new Map<Zone, number>();
    const quiet = new Map<Zone, number>();
    for (const m of this.machines.values()) {
      if (!m.up) continue;
      const zone = m.info.zone;
      total.set(zone, (total.get(zone) ?? 0) + 1);
      const since = m.lastReportAt ?? this.startedAt;
      if (now - since >= missed) quiet.set(zone, (quiet.get(zone) ?? 0) + 1);
      if (now - since >= patience) silent.push(m);
    }
    let up = 0;
    for (const n of total.values()) up += n;
    // Many at once, as after a takeover: it is the network or we that keep them silent. Fencing them all would
    // destroy a healthy fleet; those that are really gone are soon missing from the cloud's list.
    const many = silent.length > Math.max(3, up * SILENT_SHARE);
    for (const m of silent) {
      if (m.leaving?.why === 'fence') continue;
      const zone = m.info.zone;
      // Half a zone falls silent at once only when it is cut off; its workers may be kept alive over there.
      const cut = quiet.get(zone)! >= 2 && quiet.get(zone)! >= 0.5 * total.get(zone)!;
      const since = m.lastReportAt ?? this.startedAt;
      const overdue = this.holdsOverdueCancel(m, wall);
      if ((!cut && !many) || overdue || now - since >= longPatience || m.unlisted)
        this.fence(m, cut ? 'zone silent' : 'silent', now);
    }
  }

  /** A cancelled task must be gone within cancel_s: half of it is left to waiting, half to the fence. */
  private holdsOverdueCancel(m: Machine, wall: WallTime): boolean {
    for (const { job } of m.placements.values()) {
      const at = job.record.cancelledAt;
      if (at !== null && wall - at > this.settings.workers.cancelS * 500) return true;
    }
    return false;
  }

  private watchBoots(now: Steady): void {
    for (const m of this.machines.values()) {
      if (m.up || m.leaving) continue;
      const bootMs = (m.type?.bootS ?? 60) * 1000;
      if (now - m.rentedAt > Math.max(4 * bootMs, 90_000)) this.fence(m, 'never came up', now);
    }
  }

  private returnLeaving(now: Steady): void {
    if (now - this.lastReturn < RETURN_RETRY_MS) return;
    const ids: MachineId[] = [];
    for (const m of this.machines.values()) {
      if (!m.leaving || m.leaving.asked) continue;
      if (m.leaving.why !== 'fence' && m.busy) continue;
      m.leaving.asked = true;
      ids.push(m.id);
      if (ids.length === 100) break;
    }
    if (ids.length === 0) return;
    this.lastReturn = now;
    this.effects.push({ kind: 'return', machines: ids });
  }

  // ---- the loop --------------------------------------------------------------------------------------------

  /** Anything that could let a rejected group fit ends its back-off early. */
  private wake(): void {
    this.wakes++;
  }

  private inBackoff(job: Job, now: Steady): boolean {
    // Never for one that has waited long: the room held for it would go to others while it is in back-off.
    return !job.aged && now < job.backoffUntil && job.rejectedAtWake === this.wakes;
  }

  /** Enough machines are known to be up that silence from all of them means something. */
  get expectsReports(): boolean {
    let up = 0;
    for (const m of this.machines.values()) if (m.up && ++up >= MIN_FLEET_HEARD) return true;
    return false;
  }

  /** Whether anything has come in since the last tick that a tick could act on. */
  get hasNews(): boolean {
    return this.news || this.dirty || this.pokes.size > 0 || this.effects.length > 0;
  }

  tick(now: Steady, wall: WallTime): void {
    this.news = false;
    this.enroll(now);
    this.watchSilence(now, wall);
    this.watchBoots(now);
    this.finishJobs(now);
    if (this.readyToPlace(now)) this.schedule(now, wall);
    this.returnLeaving(now);
    this.poke(now);
    this.logFleet(now);
  }

  /** Machines that come up together share a page, since writes are few: one write for up to a page of them. */
  private enroll(now: Steady): void {
    if (now - this.lastRoster < ROSTER_MS) return;
    const again = this.roster.next('failed');
    if (again) {
      this.lastRoster = now;
      this.effects.push({ kind: 'roster', ...again });
      return;
    }
    const page = `${this.leadership.term}-${this.pages + 1}`;
    const fresh: MachineInfo[] = [];
    for (const m of this.machines.values()) {
      if (m.roster !== 'none' || !m.up || !m.endpointKnown || m.leaving) continue;
      m.roster = 'writing';
      m.page = page;
      fresh.push(m.info);
      if (fresh.length >= this.settings.rosterPage) break;
    }
    if (fresh.length > 0) {
      this.lastRoster = now;
      this.pages++;
      this.roster.open(page, fresh);
      this.effects.push({ kind: 'roster', page, machines: fresh });
    }
    if (now - this.lastTidy < ROSTER_TIDY_MS) return;
    this.lastTidy = now;
    // A name left on a page costs the next leader some waiting, nothing else: pages are tidied without haste.
    for (let i = 0; i < TIDY_PAGES; i++) {
      const stale = this.roster.next('stale');
      if (!stale) break;
      this.effects.push({ kind: 'roster', ...stale });
    }
  }

  /** A new leader first hears one round of reports; silent machines hold up only what may be on them. */
  private readyToPlace(now: Steady): boolean {
    if (this.rebuilt) return true;
    const waited = now - this.startedAt;
    if (this.blockers.size > 0 && waited < this.settings.workers.reportS * 1250 + 1500) return false;
    this.rebuilt = true;
    this.log(
      'info',
      { afterMs: Math.round(waited), silent: this.blockers.size, jobs: this.jobs.size },
      'rebuilt',
    );
    return true;
  }

  private finishJobs(now: Steady): void {
    const flush = now - this.lastProgress >= 1000;
    if (flush) this.lastProgress = now;
    for (const job of this.jobs.values()) {
      if (job.finalizing) continue;
      if (job.allDone || (job.cancelled && job.placements.size === 0)) {
        job.finalizing = true;
        const state = job.cancelled ? 'withdrawn' : 'done';
        const chunks = [...job.stored];
        const { id, stamp } = job;
        this.effects.push({ kind: 'finish', job: id, stamp, state, tasks: job.doneCount, chunks });
      } else if (flush && job.dirty.size > 0 && !job.cancelled) {
        for (const chunk of job.dirty) {
          if (job.writing.has(chunk)) continue;
          job.dirty.delete(chunk);
          job.writing.add(chunk);
          this.effects.push({ kind: 'progress', job: job.id, chunk, bytes: job.chunkBytes(chunk).slice() });
        }
      }
    }
  }

  onProgress(id: JobId, chunk: number, bytes: Uint8Array, ok: boolean): void {
    const job = this.jobs.get(id);
    if (!job) return;
    job.writing.delete(chunk);
    if (ok) job.confirmChunk(chunk, bytes);
    else job.dirty.add(chunk);
  }

  onFinished(id: JobId, outcome: FinishOutcome, now: Steady): void {
    const job = this.jobs.get(id);
    if (!job) return;
    job.finalizing = false;
    if (outcome.kind === 'retry') return;
    if (outcome.kind === 'changed') {
      const cancelledNow = !job.cancelled && outcome.record.cancelledAt !== null;
      job.record = outcome.record;
      job.stamp = outcome.stamp;
      if (cancelledNow) this.cancel(job, now);
      return;
    }
    // Whatever is still reported of it is stopped and forgotten as a task of no known job.
    for (const p of [...job.placements.values()]) {
      const m = this.machines.get(p.machine);
      m?.unassign(job.id, p.index);
      if (m) this.pokes.add(m);
    }
    this.jobs.delete(id);
    this.dirty = true;
    this.log('debug', { job: id, cancelled: job.cancelled }, 'job finished');
  }

  private specOf = (id: JobId): Amounts | null => this.jobs.get(id)?.spec ?? null;

  private teamUsage(): Map<Team, Amounts> {
    const usage = new Map<Team, Amounts>();
    for (const job of this.jobs.values()) {
      let tasks = job.placements.size;
      // Not located: an earlier leader may have started them on a machine that is still silent.
      if (job.inherited && this.blockers.size > 0) tasks += job.pendingCount;
      if (tasks === 0) continue;
      const used = usage.get(job.spec.team) ?? { cpus: 0, gpus: 0, memoryGb: 0 };
      add(used, job.spec, tasks);
      usage.set(job.spec.team, used);
    }
    return usage;
  }

  private waiting(now: Steady, wall: WallTime): { queue: Job[]; blocked: Job[] } {
    const queue: Job[] = [];
    const blocked: Job[] = [];
    for (const job of this.jobs.values()) {
      if (job.cancelled || job.finalizing || job.pendingCount === 0) continue;
      const idleMs = job.everRan ? now - job.waitingSince : wall - job.record.submittedAt;
      job.aged = job.placements.size === 0 && idleMs > this.settings.agingS * 1000;
      if (job.inherited && this.blockers.size > 0) {
        job.reason = { why: 'task may still run on a silent machine' };
      } else if (now < job.errorUntil) {
        job.reason = { why: 'back-off', until: job.errorUntil as Steady };
      } else if (this.inBackoff(job, now)) {
        blocked.push(job);
      } else {
        queue.push(job);
      }
    }
    this.chooseFirst(queue);
    const dues = new Map(queue.map((j) => [j, this.due(j, wall)]));
    const due = (j: Job): number => dues.get(j)!;
    queue.sort(
      (a, b) =>
        Number(b.first) - Number(a.first) ||
        (a.first ? firstOrder(a, b) : 0) ||
        priorityRank[b.spec.priority] - priorityRank[a.spec.priority] ||
        due(a) - due(b) ||
        (a.id < b.id ? -1 : 1),
    );
    return { queue, blocked };
  }

  /**
   * Of each class the oldest and the largest group that have waited long go before everybody else: so every class
   * goes on being served, and large groups begin, through bursts of higher priority. Only these: where all are late,
   * priorities still hold among the others.
   */
  private chooseFirst(queue: Job[]): void {
    const oldest = new Map<string, Job>();
    const largest = new Map<string, Job>();
    for (const job of queue) {
      job.first = false;
      if (!job.aged) continue;
      const { class: name, tasks } = job.spec;
      const old = oldest.get(name);
      if (!old || job.record.submittedAt < old.record.submittedAt) oldest.set(name, job);
      const large = largest.get(name);
      const same = large && tasks === large.spec.tasks;
      if (!large || tasks > large.spec.tasks || (same && job.record.submittedAt < large.record.submittedAt))
        largest.set(name, job);
    }
    for (const job of [...oldest.values(), ...largest.values()]) job.first = true;
  }

  /**
   * When a job should be over: the nearest aim that it can still meet. One that can meet none goes behind those
   * that can, lest under overload everybody is late in turn.
   */
  private due(job: Job, wall: WallTime): number {
    const { deadlineS, estimateS } = job.spec;
    const aims = this.finishAims.get(job.spec.class) ?? [];
    const limits = deadlineS === null ? aims : [deadlineS, ...aims];
    const soonest = wall + estimateS * 1000;
    let best = Infinity;
    for (const s of limits) {
      const at = job.record.submittedAt + s * 1000;
      if (at >= soonest) best = Math.min(best, at);
    }
    if (best < Infinity) return best;
    return limits.length === 0 ? job.record.submittedAt : job.record.submittedAt + HOPELESS_MS;
  }

  private schedule(now: Steady, wall: WallTime): void {
    if (!this.dirty && !this.hasDue(now)) return;
    this.dirty = false;
    const { queue, blocked } = this.waiting(now, wall);
    const result = runCycle({
      machines: this.machines,
      queue,
      specOf: this.specOf,
      usage: this.teamUsage(),
      teams: this.teams,
      now,
      silentMs: this.settings.workers.reportS * 2500,
      maxTasks: MAX_TASKS_A_CYCLE,
      maxWork: MAX_WORK_A_CYCLE,
      suits: (spec, type) => this.suits.penalty(spec, type),
    });
    for (const a of result.placed) this.commit(a.job, a.index, a.machine, now);
    const gangAttempts = new Map<JobId, ReturnType<typeof attemptOf>>();
    for (const a of result.placed) {
      if (a.job.spec.kind !== 'gang') continue;
      const p = a.job.placements.get(a.index)!;
      const shared = gangAttempts.get(a.job.id) ?? p.attempt;
      gangAttempts.set(a.job.id, shared);
      p.attempt = shared;
    }
    for (const v of result.victims) this.evict(v.job, v.placement, 'preempted', now);
    for (const { job } of result.unplaced) {
      job.rejections++;
      job.rejectedAtWake = this.wakes;
      const delay = Math.min(BACKOFF_MAX_MS, BACKOFF_MS * 2 ** Math.min(job.rejections, 10));
      // Individual times: groups rejected together must not come back in one wave.
      job.backoffUntil = now + delay * (0.5 + this.settings.random());
    }
    if (result.unfinished.length > 0) this.dirty = true;
    this.explain(queue);
    this.scale([...result.unplaced.map((u) => u.job), ...result.unfinished, ...blocked], now);
  }

  private hasDue(now: Steady): boolean {
    for (const job of this.jobs.values()) {
      if (job.pendingCount > 0 && !this.inBackoff(job, now) && now >= job.errorUntil) return true;
    }
    return now - this.lastScale > 1000;
  }

  private commit(job: Job, index: number, m: Machine, now: Steady): void {
    const p = newPlacement(index, m.id, attemptOf(this.leadership.term, ++this.attempts), now);
    job.place(p);
    m.assign(job, p);
    m.idleSince = null;
    job.rejections = 0;
    p.shielded = job.first;
    this.pokes.add(m);
    this.log(
      'debug',
      { job: job.id, task: index, machine: m.id, waitedS: (now - job.waitingSince) / 1000 },
      'placed',
    );
  }

  /** Why a job waits is logged whenever the reason changes. */
  private explain(queue: Job[]): void {
    for (const job of queue) {
      const why = job.pendingCount === 0 ? '' : job.reason.why;
      if (why === job.loggedReason) continue;
      job.loggedReason = why;
      if (why !== '') this.log('info', { job: job.id, class: job.spec.class, ...job.reason }, 'job waits');
    }
  }

  // ---- scaling ---------------------------------------------------------------------------------------------

  private lastScale = -Infinity;

  private scale(waiting: Job[], now: Steady): void {
    if (now - this.lastScale < 500 || this.types.length === 0) return;
    this.lastScale = now;
    const rooms: { machine: Machine; free: Amounts }[] = [];
    for (const m of this.machines.values()) {
      if (!m.type || m.leaving || m.sick || m.noticeAt !== null) continue;
      if (m.up && !m.settled) continue;
      const free = { cpus: m.type.cpus, gpus: m.type.gpus, memoryGb: m.type.memoryGb };
      add(free, m.used(this.specOf), -1);
      rooms.push({ machine: m, free });
    }
    const wants: Want[] = waiting.map((job) => ({
      spec: job.spec,
      tasks: Math.min(job.pendingCount, 200),
      zones: this.zonesOf(job),
      expected: false,
    }));
    for (const e of this.arrivals.expected(this.types, this.settings.headroom, now)) {
      wants.push({ spec: e.spec, tasks: e.tasks, zones: new Map(), expected: true });
    }
    const { refusedUntil } = this;
    const plan = planScaling({
      rooms,
      wants,
      types: this.types,
      refusedUntil,
      now,
      maxNew: MAX_NEW_MACHINES,
    });
    const pending = this.rents.size > 0;
    if (!pending) {
      for (const order of plan.orders) {
        const request = `t${this.leadership.term}-${++this.requests}`;
        const capped = { ...order, count: Math.min(order.count, 50) };
        this.rents.set(request, capped);
        this.effects.push({ kind: 'rent', request, order: capped });
      }
    }
    for (const m of this.machines.values()) {
      if (!m.up || m.leaving || m.busy || plan.needed.has(m.id) || m.idleSince === null || !m.settled)
        continue;
      const age = now - m.rentedAt;
      if (now - m.idleSince > this.settings.idleHoldS * 1000 && age > 60_000) this.leave(m, 'idle', now);
    }
  }

  private zonesOf(job: Job): Map<Zone, number> {
    const zones = new Map<Zone, number>();
    for (const p of job.placements.values()) {
      const zone = this.machines.get(p.machine)?.info.zone;
      if (zone !== undefined) zones.set(zone, (zones.get(zone) ?? 0) + 1);
    }
    return zones;
  }

  // ---- orders ----------------------------------------------------------------------------------------------

  /** Tells workers of new starts and stops at once, without waiting for their next report. */
  private poke(now: Steady): void {
    for (const m of [...this.pokes]) {
      if (m.orderOpen) continue;
      this.pokes.delete(m);
      if (!m.settled || !m.endpointKnown || this.machines.get(m.id) !== m) continue;
      // The bound keeps reports short on a machine that runs many tasks under one leader.
      const direct = m.unreapable.size < MAX_UNREAPABLE;
      const commands = commandsFor(m, this.jobs, now).filter(
        (c) => c.op === 'stop' || (c.op === 'start' && direct),
      );
      if (commands.length === 0) {
        if (m.roster !== 'durable' && m.placements.size > 0) this.pokes.add(m);
        continue;
      }
      for (const c of commands) {
        if (c.op !== 'start') continue;
        const p = this.jobs.get(c.job)?.placements.get(c.index);
        if (p) p.orderOpen = true;
        m.unreapable.add(attemptKey(c.job, c.index, c.attempt));
      }
      m.orderOpen = true;
      const { id: machine, session } = m;
      this.effects.push({ kind: 'orders', machine, endpoint: m.info.endpoint, session, commands });
    }
  }

  /** Now and then, what the money goes to: machines by type and kind, and how much of them is used. */
  private logFleet(now: Steady): void {
    if (now - this.lastFleetLog < FLEET_LOG_MS) return;
    this.lastFleetLog = now;
    const fleet: Record<
      string,
      { up: number; booting: number; empty: number; gpus: number; used: number; idle: number }
    > = {};
    for (const m of this.machines.values()) {
      const f = (fleet[`${m.info.type}${m.info.spot ? ' spot' : ''}`] ??= {
        up: 0,
        booting: 0,
        empty: 0,
        gpus: 0,
        used: 0,
        idle: 0,
      });
      if (!m.up) f.booting++;
      else f.up++;
      if (m.up && !m.busy) f.empty++;
      f.gpus += m.type?.gpus ?? 0;
      for (const { job, placement } of m.placements.values()) {
        f.used += job.spec.gpus;
        if (!placement.running) f.idle += job.spec.gpus;
      }
    }
    let waiting = 0;
    for (const job of this.jobs.values()) waiting += job.pendingCount;
    this.log('info', { fleet, waiting, jobs: this.jobs.size }, 'fleet');
  }

  status(): Record<string, unknown> {
    const jobs = [...this.jobs.values()].map((j) => ({
      id: j.id,
      class: j.spec.class,
      team: j.spec.team,
      priority: j.spec.priority,
      tasks: j.spec.tasks,
      done: j.doneCount,
      placed: j.placements.size,
      running: j.runningCount,
      waits: j.pendingCount > 0 ? j.reason : null,
    }));
    return { term: this.leadership.term, machines: this.machines.size, silent: this.blockers.size, jobs };
  }

  private log(level: 'info' | 'debug', fields: Record<string, unknown>, text: string): void {
    this.effects.push({ kind: 'log', level, fields, text });
  }
}
