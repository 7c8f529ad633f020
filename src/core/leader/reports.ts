// Workers' reports: what they say of machines and tasks, and whether our answers reach them.
import { Machine, UNHEEDED_IS_DEAF, attemptKey, sameTasks } from '../cluster.js';
import { newPlacement, type Job, type Placement } from '../job.js';
import { commandsFor } from '../reconcile.js';
import type { Command, Report, ReportedTask, UnchangedReport } from '../types.js';
import { sameCounter, type MachineId, type Steady } from '../units.js';
import type { Fleet } from './fleet.js';
import type { LeaderState } from './state.js';

const ERROR_BACKOFF_MS = 2000;
const ERROR_BACKOFF_MAX_MS = 60_000;
const DEAF_LEASES = 1.5;
const DEAF_SHARE = 0.1;
/** A worker gives up on an answer after this time (PROTOCOL, workers). */
const ANSWER_LIMIT_MS = 4000;

/**
 * How a report came. The worker executes the answer to a report before it sends the next one, or never; the answer to a
 * direct command may overtake it, whatever its sequence number.
 */
type Source = 'report' | 'answer to a direct command';

export class Reports {
  private deafSince: Steady[] = [];

  constructor(
    private readonly state: LeaderState,
    private readonly fleet: Fleet,
  ) {}

  onReport(report: Report, now: Steady): Command[] {
    const m = this.observe(report, 'report', now);
    if (!m) return [];
    this.noteAnswered(m, now);
    // Not under our token yet: an earlier leader's order could still arrive, and this answer raises the token.
    if (!m.settled || m.quiet) return [];
    const commands = commandsFor(m, this.state.jobs, now);
    m.quiet = commands.length === 0 && this.isQuiet(m);
    for (const c of commands) {
      if (c.op !== 'start') continue;
      const p = this.state.jobs.get(c.job)?.placements.get(c.index);
      if (p) p.sentWith = { session: report.session, seq: report.seq };
    }
    this.state.machinesToCommand.delete(m);
    this.state.decisions.commandsSent(m, commands, { via: 'report', seq: report.seq });
    return commands;
  }

  /**
   * A report that said the same as one we have read, and was answered without commands; false: the next one is needed
   * in full. A vouch settles nothing: a machine that awaits anything is not vouched for.
   */
  onUnchangedReport(v: UnchangedReport, now: Steady): boolean {
    const m = this.state.machines.get(v.machine);
    if (!m || m.lastReportAt === null || !sameCounter(v.session, m.session)) return false;
    // Overtaken by a newer one: it says nothing, not even that the machine is alive now.
    if (!(v.seq > m.seq)) return m.quiet;
    m.lastReportAt = now;
    // An order's answer may have told of other tasks since: then it is not the base that the machine still has.
    if (!m.settled || !m.quiet || m.readSeq === null || !sameCounter(v.base, m.readSeq)) return false;
    m.seq = v.seq;
    this.noteAnswered(m, now);
    return true;
  }

  /** A report that comes while we have no authority to command: only taken in. */
  onReportWithoutAuthority(report: Report, now: Steady): void {
    this.observe(report, 'report', now);
  }

  onOrdersAnswer(
    id: MachineId,
    commands: Command[],
    result:
      { kind: 'executed' | 'refused'; report: Report | null } | { kind: 'unsent' } | { kind: 'unknown' },
    now: Steady,
  ): void {
    const m = this.state.machines.get(id);
    if (!m) return;
    m.orderOpen = false;
    for (const c of commands) {
      if (c.op !== 'start') continue;
      const p = this.state.jobs.get(c.job)?.placements.get(c.index);
      const own = p && p.attempt === c.attempt && p.machine === id ? p : undefined;
      if (own) own.orderOpen = false;
      const key = attemptKey(c.job, c.index, c.attempt);
      // Refused: it can't be carried out later either, nor can an earlier copy, since token and session only rise. Never
      // sent: that says nothing of an earlier copy. In every other case a copy may arrive late, even of a start that
      // was answered: the attempt must stay known there.
      if (result.kind === 'refused') m.startsOnTheWay.refused(key);
      else if (result.kind === 'unsent') m.startsOnTheWay.neverSent(key);
      else if (result.kind === 'unknown' && own) own.orderLost = true;
    }
    if ((result.kind === 'executed' || result.kind === 'refused') && result.report)
      this.observe(result.report, 'answer to a direct command', now);
  }

  /** Takes in a report; null if it is older than what is known. */
  private observe(report: Report, source: Source, now: Steady): Machine | null {
    // Held back by the network until after its machine was deleted: there is nothing there any more.
    if (this.state.gone.has(report.id)) return null;
    const m = this.state.machines.get(report.id) ?? this.state.addMachine(report, now);
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
      m.readSeq = report.seq;
      return m;
    }
    this.state.changedSinceTick = true;
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
    m.readSeq = report.seq;
    m.changed();
    m.tasks = new Map(report.tasks.map((t) => [attemptKey(t.job, t.index, t.attempt), t]));
    if (!m.settled) {
      m.settled = sameCounter(report.token, this.state.leadership.term);
      if (!m.settled) return m;
      this.state.unheardMachines.delete(m.id);
      this.state.needsScheduling = true;
    }
    if (source === 'report') this.noteHeeded(m, report, previousAt, now);
    this.digest(m, report, source, now);
    const idle = !m.busy;
    if (!idle) m.idleSince = null;
    else m.idleSince ??= now;
    return m;
  }

  private cameUp(m: Machine, now: Steady): void {
    this.state.needsScheduling = true;
    this.state.wake();
    if (m.roster === 'none') m.idleSince = now;
    this.state.log('debug', { machine: m.id, bootS: (now - m.rentedAt) / 1000 }, 'machine up');
  }

  /** What an answer with authority was given to; a worker that none of them reaches is deaf. */
  private noteAnswered(m: Machine, now: Steady): void {
    // After a silence the count begins anew: what arrives then may have been held back by the network for long.
    if (!this.answeredLately(m, now)) m.answeredSince = now;
    m.answeredAt = now;
    // Reports go on arriving, yet the token that every answer carries has not been taken over.
    if (!m.settled && this.answeredForMs(m) > this.state.settings.workers.leaseS * DEAF_LEASES * 1000) {
      this.deaf(m, 'token not taken over', now);
    }
  }

  private answeredLately(m: Machine, now: Steady): boolean {
    const gapMs = ANSWER_LIMIT_MS + this.state.settings.workers.reportS * 1500 + 1500;
    return m.answeredAt !== null && now - m.answeredAt <= gapMs;
  }

  private answeredForMs(m: Machine): number {
    return m.answeredAt === null || m.answeredSince === null ? 0 : m.answeredAt - m.answeredSince;
  }

  /** Reports alone are no proof of contact. Given back: its tasks start elsewhere once the answer says it is gone. */
  private deaf(m: Machine, why: string, now: Steady): void {
    if (m.leaving?.why === 'fence') return;
    this.deafSince = this.deafSince.filter((at) => now - at < this.state.settings.workers.leaseS * 3000);
    // Many at once: it is our answers that are late, not a machine that is deaf.
    if (this.deafSince.length >= Math.max(2, this.state.machines.size * DEAF_SHARE)) return;
    this.deafSince.push(now);
    this.fleet.fence(m, `deaf: ${why}`, now);
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
      if (m.unheeded === UNHEEDED_IS_DEAF)
        this.state.log('info', { machine: m.id }, 'worker heeds no command');
    } else if (m.unheeded > 0 && previousAt !== null && now - previousAt < ANSWER_LIMIT_MS) {
      // Sooner than it gives up on an answer: it did receive the one before.
      m.unheeded = 0;
    }
    if (m.unheeded < UNHEEDED_IS_DEAF) return;
    // Not started there, and by this report certain not to be: they go elsewhere.
    for (const { job, placement: p } of [...m.placements.values()]) {
      const unsure =
        p.seen || p.orderOpen || p.orderLost || m.tasks.has(attemptKey(job.id, p.index, p.attempt));
      if (!unsure) this.state.release(job, p, 'not started by a worker that heeds no command', now);
    }
  }

  /** Everything that it should hold is there, and everything there should be. */
  private isQuiet(m: Machine): boolean {
    for (const [key, t] of m.tasks) {
      if (t.state === 'exited' ? !m.startsOnTheWay.has(key) : t.state === 'saving') return false;
    }
    for (const { placement: p } of m.placements.values()) if (!p.seen || p.stop !== null) return false;
    return true;
  }

  /** The worker's lease ran out: every task that it held is gone, and answers to older reports are dropped. */
  private sessionEnded(m: Machine, now: Steady): void {
    m.startsOnTheWay.clear();
    m.unheeded = 0;
    // Its lease ran out although its reports were answered all the while: none of the answers reached it.
    // Not so after a silence: a cut that ends brings the new session first, with nothing held back before it.
    if (this.answeredLately(m, now) && this.answeredForMs(m) > this.state.settings.workers.leaseS * 900)
      this.deaf(m, 'lease ran out', now);
    m.answeredAt = null;
    m.answeredSince = null;
    this.state.log('info', { machine: m.id, tasks: m.placements.size }, 'worker session ended, tasks lost');
    for (const { job, placement } of [...m.placements.values()]) {
      if (placement.seen || placement.sentWith || placement.orderOpen || placement.orderLost) {
        this.state.lost(job, placement, 'session ended', now);
      }
    }
  }

  private digest(m: Machine, report: Report, source: Source, now: Steady): void {
    for (const t of report.tasks) this.digestTask(m, t, now);
    for (const { job, placement: p } of [...m.placements.values()]) {
      if (m.tasks.has(attemptKey(job.id, p.index, p.attempt))) continue;
      if (p.orderOpen || p.orderLost) continue;
      if (p.seen) {
        this.state.lost(job, p, 'task vanished', now);
        continue;
      }
      if (p.stop && settlesStart(report, source, p))
        this.state.release(job, p, 'stopped, and not started by a later report', now);
    }
  }

  private digestTask(m: Machine, t: ReportedTask, now: Steady): void {
    const job = this.state.jobs.get(t.job);
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
      this.state.log(
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
      if (own) this.state.decisions.completed(m, t);
    }
    if (!own) return;
    if (t.cause === 'error') this.taskError(m, job, now);
    else if (t.cause === 'no_room') job.backoffUntil = now + 1000 * (0.5 + this.state.settings.random());
    const wanted = own.stop;
    this.state.release(job, own, 'exited', now);
    if (t.cause === 'done') return;
    this.state.log(
      t.cause === 'stopped' ? 'debug' : 'info',
      { job: job.id, task: t.index, machine: m.id, cause: t.cause, saved: t.saved, why: wanted?.why ?? null },
      'task ended without completing',
    );
    if (job.spec.kind === 'gang')
      this.state.breakGang(job, `member ${t.index}: ${t.cause ?? 'no cause told'}`, now);
  }

  /** Bad machines and bad jobs are told apart: several jobs failing here condemn the machine, one job alone not. */
  private taskError(m: Machine, job: Job, now: Steady): void {
    m.errorJobs.set(job.id, now);
    job.errorMachines.add(m.id);
    job.errors++;
    if (m.errorJobs.size >= 2 && !m.sick) {
      m.sick = true;
      this.state.log(
        'info',
        { machine: m.id, jobs: m.errorJobs.size },
        'machine fails tasks of several jobs',
      );
      this.fleet.leave(m, 'fails tasks', now);
    }
    if (job.errorMachines.size >= 3) {
      const delay = Math.min(ERROR_BACKOFF_MAX_MS, ERROR_BACKOFF_MS * 2 ** (job.errors - 3));
      job.errorUntil = now + delay * (0.75 + 0.5 * this.state.settings.random());
      job.errorMachines.clear();
      this.state.log(
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
    this.state.decisions.adopted(m, t);
    if (job.cancelled) p.stop = { graceS: 0, since: now, why: 'cancelled' };
    return p;
  }

  private notice(m: Machine, noticeS: number, now: Steady): void {
    m.noticeEndsAt = (now + noticeS * 1000) as Steady;
    if (m.noticeAt !== null) return;
    m.noticeAt = now;
    this.state.log('info', { machine: m.id, noticeS, tasks: m.placements.size }, 'spot notice');
    for (const { job, placement } of [...m.placements.values()]) {
      if (job.spec.checkpointS > 0 || !placement.running)
        this.state.evict(job, placement, 'spot notice', now);
    }
  }
}

/** Whether this report shows that a start sent with the answer to an earlier one has been executed, or never will be. */
const settlesStart = (report: Report, source: Source, { sentWith }: Placement): boolean => {
  if (sentWith === null || report.session > sentWith.session) return true;
  return source === 'report' && report.seq > sentWith.seq;
};
