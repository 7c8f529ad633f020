// Workers' reports: what they say of machines and tasks, and whether our answers reach them.
import { Machine, UNACKNOWLEDGED_REPLIES_LIMIT } from '../machine.js';
import { attemptKey, sameTaskStatuses } from '../task-status.js';
import { newPlacement, type Job, type Placement } from '../job.js';
import { commandsForMachine } from './machine-commands.js';
import type { Command, Heartbeat, TaskStatus, UnchangedHeartbeat } from '../types.js';
import { equalUint64, type MachineId, type MonotonicTime } from '../units.js';
import type { MachinePool } from './machine-pool.js';
import type { LeaderState } from './leader-state.js';

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

export class HeartbeatReconciler {
  private deafSince: MonotonicTime[] = [];

  constructor(
    private readonly state: LeaderState,
    private readonly fleet: MachinePool,
  ) {}

  onHeartbeat(report: Heartbeat, now: MonotonicTime): Command[] {
    const m = this.observe(report, 'report', now);
    if (!m) return [];
    this.noteAnswered(m, now);
    // Not under our token yet: an earlier leader's order could still arrive, and this answer raises the token.
    if (!m.reconciled || m.inSync) return [];
    const commands = commandsForMachine(m, this.state.jobs, now);
    m.inSync = commands.length === 0 && this.isQuiet(m);
    for (const c of commands) {
      if (c.op !== 'start') continue;
      const p = this.state.jobs.get(c.job)?.placements.get(c.index);
      if (p) p.startSentInReplyTo = { incarnation: report.incarnation, sequence: report.sequence };
    }
    this.state.machinesWithPendingCommands.delete(m);
    this.state.decisionLog.recordCommandsSent(m, commands, { via: 'report', seq: report.sequence });
    return commands;
  }

  /**
   * A report that said the same as one we have read, and was answered without commands; false: the next one is needed
   * in full. A vouch settles nothing: a machine that awaits anything is not vouched for.
   */
  onUnchangedHeartbeat(v: UnchangedHeartbeat, now: MonotonicTime): boolean {
    const m = this.state.machines.get(v.machine);
    if (!m || m.lastHeartbeatAt === null || !equalUint64(v.incarnation, m.incarnation)) return false;
    // Overtaken by a newer one: it says nothing, not even that the machine is alive now.
    if (!(v.sequence > m.sequence)) return m.inSync;
    m.lastHeartbeatAt = now;
    // An order's answer may have told of other tasks since: then it is not the base that the machine still has.
    if (
      !m.reconciled ||
      !m.inSync ||
      m.processedSequence === null ||
      !equalUint64(v.baseSequence, m.processedSequence)
    )
      return false;
    m.sequence = v.sequence;
    this.noteAnswered(m, now);
    return true;
  }

  /** A report that comes while we have no authority to command: only taken in. */
  onHeartbeatWithoutAuthority(report: Heartbeat, now: MonotonicTime): void {
    this.observe(report, 'report', now);
  }

  onDirectCommandResult(
    id: MachineId,
    commands: Command[],
    result:
      { kind: 'executed' | 'refused'; report: Heartbeat | null } | { kind: 'unsent' } | { kind: 'unknown' },
    now: MonotonicTime,
  ): void {
    const m = this.state.machines.get(id);
    if (!m) return;
    m.directCommandInFlight = false;
    for (const c of commands) {
      if (c.op !== 'start') continue;
      const p = this.state.jobs.get(c.job)?.placements.get(c.index);
      const own = p && p.attempt === c.attempt && p.machine === id ? p : undefined;
      if (own) own.directStartInFlight = false;
      const key = attemptKey(c.job, c.index, c.attempt);
      // Refused: it can't be carried out later either, nor can an earlier copy, since token and session only rise. Never
      // sent: that says nothing of an earlier copy. In every other case a copy may arrive late, even of a start that
      // was answered: the attempt must stay known there.
      if (result.kind === 'refused') m.inFlightStarts.recordRefused(key);
      else if (result.kind === 'unsent') m.inFlightStarts.recordUnsent(key);
      else if (result.kind === 'unknown' && own) own.directStartOutcomeUnknown = true;
    }
    if ((result.kind === 'executed' || result.kind === 'refused') && result.report)
      this.observe(result.report, 'answer to a direct command', now);
  }

  /** Takes in a report; null if it is older than what is known. */
  private observe(report: Heartbeat, source: Source, now: MonotonicTime): Machine | null {
    // Held back by the network until after its machine was deleted: there is nothing there any more.
    if (this.state.deletedMachines.has(report.id)) return null;
    const m = this.state.machines.get(report.id) ?? this.state.addMachine(report, now);
    const newSession = report.incarnation > m.incarnation;
    if (
      !newSession &&
      (report.incarnation < m.incarnation || report.sequence <= m.sequence) &&
      m.lastHeartbeatAt !== null
    )
      return null;
    if (
      !newSession &&
      m.inSync &&
      m.reconciled &&
      report.interruptionNoticeS === null &&
      sameTaskStatuses(m.lastHeartbeatTasks, report.tasks)
    ) {
      // Most reports of a large cluster: nothing has changed.
      m.lastHeartbeatAt = now;
      m.sequence = report.sequence;
      m.processedSequence = report.sequence;
      return m;
    }
    this.state.changedSinceTick = true;
    if (!m.up || m.lastHeartbeatAt === null) this.cameUp(m, now);
    m.info = {
      id: report.id,
      endpoint: report.endpoint,
      type: report.type,
      zone: report.zone,
      spot: report.spot,
    };
    m.endpointKnown = true;
    m.up = true;
    const first = m.lastHeartbeatAt === null;
    const previousAt = m.lastHeartbeatAt;
    m.lastHeartbeatAt = now;
    if (newSession && !first) this.sessionEnded(m, now);
    m.incarnation = report.incarnation;
    m.sequence = report.sequence;
    if (report.interruptionNoticeS !== null) this.notice(m, report.interruptionNoticeS, now);
    m.lastHeartbeatTasks = report.tasks;
    m.processedSequence = report.sequence;
    m.invalidate();
    m.reportedTasks = new Map(report.tasks.map((t) => [attemptKey(t.job, t.index, t.attempt), t]));
    if (!m.reconciled) {
      m.reconciled = equalUint64(report.fencingToken, this.state.leadership.term);
      if (!m.reconciled) return m;
      this.state.unreconciledMachines.delete(m.id);
      this.state.needsScheduling = true;
    }
    if (source === 'report') this.noteHeeded(m, report, previousAt, now);
    this.digest(m, report, source, now);
    const idle = !m.busy;
    if (!idle) m.idleSince = null;
    else m.idleSince ??= now;
    return m;
  }

  private cameUp(m: Machine, now: MonotonicTime): void {
    this.state.needsScheduling = true;
    this.state.noteCapacityGained();
    if (m.registration === 'none') m.idleSince = now;
    this.state.log('debug', { machine: m.id, bootS: (now - m.provisionedAt) / 1000 }, 'machine up');
  }

  /** What an answer with authority was given to; a worker that none of them reaches is deaf. */
  private noteAnswered(m: Machine, now: MonotonicTime): void {
    // After a silence the count begins anew: what arrives then may have been held back by the network for long.
    if (!this.answeredLately(m, now)) m.answeredWithoutGapSince = now;
    m.lastAnsweredAt = now;
    // Reports go on arriving, yet the token that every answer carries has not been taken over.
    if (!m.reconciled && this.answeredForMs(m) > this.state.settings.workers.leaseS * DEAF_LEASES * 1000) {
      this.deaf(m, 'token not taken over', now);
    }
  }

  private answeredLately(m: Machine, now: MonotonicTime): boolean {
    const gapMs = ANSWER_LIMIT_MS + this.state.settings.workers.heartbeatIntervalS * 1500 + 1500;
    return m.lastAnsweredAt !== null && now - m.lastAnsweredAt <= gapMs;
  }

  private answeredForMs(m: Machine): number {
    return m.lastAnsweredAt === null || m.answeredWithoutGapSince === null
      ? 0
      : m.lastAnsweredAt - m.answeredWithoutGapSince;
  }

  /** Reports alone are no proof of contact. Given back: its tasks start elsewhere once the answer says it is gone. */
  private deaf(m: Machine, why: string, now: MonotonicTime): void {
    if (m.decommissioning?.reason === 'fence') return;
    this.deafSince = this.deafSince.filter((at) => now - at < this.state.settings.workers.leaseS * 3000);
    // Many at once: it is our answers that are late, not a machine that is deaf.
    if (this.deafSince.length >= Math.max(2, this.state.machines.size * DEAF_SHARE)) return;
    this.deafSince.push(now);
    this.fleet.fence(m, `deaf: ${why}`, now);
  }

  /** Commands without effect, told from commands on their way: the worker executes an answer before its next report. */
  private noteHeeded(
    m: Machine,
    report: Heartbeat,
    previousAt: MonotonicTime | null,
    now: MonotonicTime,
  ): void {
    let missed = false;
    for (const { job, placement: p } of m.placements.values()) {
      if (p.startSentInReplyTo === null || p.observed || p.stop) continue;
      if (m.reportedTasks.has(attemptKey(job.id, p.index, p.attempt))) {
        m.unacknowledgedReplies = 0;
        return;
      }
      if (
        report.incarnation === p.startSentInReplyTo.incarnation &&
        report.sequence > p.startSentInReplyTo.sequence
      )
        missed = true;
    }
    if (missed) {
      m.unacknowledgedReplies++;
      if (m.unacknowledgedReplies === UNACKNOWLEDGED_REPLIES_LIMIT)
        this.state.log('info', { machine: m.id }, 'worker heeds no command');
    } else if (m.unacknowledgedReplies > 0 && previousAt !== null && now - previousAt < ANSWER_LIMIT_MS) {
      // Sooner than it gives up on an answer: it did receive the one before.
      m.unacknowledgedReplies = 0;
    }
    if (m.unacknowledgedReplies < UNACKNOWLEDGED_REPLIES_LIMIT) return;
    // Not started there, and by this report certain not to be: they go elsewhere.
    for (const { job, placement: p } of [...m.placements.values()]) {
      const unsure =
        p.observed ||
        p.directStartInFlight ||
        p.directStartOutcomeUnknown ||
        m.reportedTasks.has(attemptKey(job.id, p.index, p.attempt));
      if (!unsure) this.state.releasePlacement(job, p, 'not started by a worker that heeds no command', now);
    }
  }

  /** Everything that it should hold is there, and everything there should be. */
  private isQuiet(m: Machine): boolean {
    for (const [key, t] of m.reportedTasks) {
      if (t.state === 'exited' ? !m.inFlightStarts.has(key) : t.state === 'saving') return false;
    }
    for (const { placement: p } of m.placements.values()) if (!p.observed || p.stop !== null) return false;
    return true;
  }

  /** The worker's lease ran out: every task that it held is gone, and answers to older reports are dropped. */
  private sessionEnded(m: Machine, now: MonotonicTime): void {
    m.inFlightStarts.clear();
    m.unacknowledgedReplies = 0;
    // Its lease ran out although its reports were answered all the while: none of the answers reached it.
    // Not so after a silence: a cut that ends brings the new session first, with nothing held back before it.
    if (this.answeredLately(m, now) && this.answeredForMs(m) > this.state.settings.workers.leaseS * 900)
      this.deaf(m, 'lease ran out', now);
    m.lastAnsweredAt = null;
    m.answeredWithoutGapSince = null;
    this.state.log('info', { machine: m.id, tasks: m.placements.size }, 'worker session ended, tasks lost');
    for (const { job, placement } of [...m.placements.values()]) {
      if (
        placement.observed ||
        placement.startSentInReplyTo ||
        placement.directStartInFlight ||
        placement.directStartOutcomeUnknown
      ) {
        this.state.loseTask(job, placement, 'session ended', now);
      }
    }
  }

  private digest(m: Machine, report: Heartbeat, source: Source, now: MonotonicTime): void {
    for (const t of report.tasks) this.digestTask(m, t, now);
    for (const { job, placement: p } of [...m.placements.values()]) {
      if (m.reportedTasks.has(attemptKey(job.id, p.index, p.attempt))) continue;
      if (p.directStartInFlight || p.directStartOutcomeUnknown) continue;
      if (p.observed) {
        this.state.loseTask(job, p, 'task vanished', now);
        continue;
      }
      if (p.stop && settlesStart(report, source, p))
        this.state.releasePlacement(job, p, 'stopped, and not started by a later report', now);
    }
  }

  private digestTask(m: Machine, t: TaskStatus, now: MonotonicTime): void {
    const job = this.state.jobs.get(t.job);
    if (!job || t.index >= job.spec.tasks) return;
    if (t.state !== 'fetching' && t.cause !== 'no_room' && t.cause !== 'in_use' && t.cause !== 'no_such') {
      if (t.state !== 'exited' || t.cause === 'done') m.recordImageUse(job.spec.image, job.spec.imageGb);
    }
    let p = job.placements.get(t.index);
    if (!p && t.state !== 'exited' && !job.isCompleted(t.index) && !job.finalizing)
      p = this.adopt(m, job, t, now);
    const own = p && p.machine === m.id && p.attempt === t.attempt ? p : undefined;
    if (t.state === 'exited') {
      this.digestExit(m, job, t, own, now);
      return;
    }
    if (!own) return;
    own.observed = true;
    const running = t.state === 'running' || t.state === 'waiting';
    if (running && !own.running) {
      job.hasRun = true;
      own.runningSince = now;
      this.state.log(
        'debug',
        { job: job.id, task: t.index, machine: m.id, afterS: (now - own.assignedAt) / 1000 },
        'task has its image',
      );
    }
    own.running = running;
  }

  private digestExit(
    m: Machine,
    job: Job,
    t: TaskStatus,
    own: Placement | undefined,
    now: MonotonicTime,
  ): void {
    if (t.cause === 'done') {
      // The tasks of a gang complete together.
      if (job.spec.kind === 'gang') for (let i = 0; i < job.spec.tasks; i++) job.markCompleted(i);
      else job.markCompleted(t.index);
      m.recentlyFailedJobs.clear();
      if (own) this.state.decisionLog.recordCompleted(m, t);
    }
    if (!own) return;
    if (t.cause === 'error') this.taskError(m, job, now);
    else if (t.cause === 'no_room') job.backoffUntil = now + 1000 * (0.5 + this.state.settings.random());
    const wanted = own.stop;
    this.state.releasePlacement(job, own, 'exited', now);
    if (t.cause === 'done') return;
    this.state.log(
      t.cause === 'stopped' ? 'debug' : 'info',
      {
        job: job.id,
        task: t.index,
        machine: m.id,
        cause: t.cause,
        saved: t.saved,
        why: wanted?.reason ?? null,
      },
      'task ended without completing',
    );
    if (job.spec.kind === 'gang')
      this.state.stopBrokenGang(job, `member ${t.index}: ${t.cause ?? 'no cause told'}`, now);
  }

  /** Bad machines and bad jobs are told apart: several jobs failing here condemn the machine, one job alone not. */
  private taskError(m: Machine, job: Job, now: MonotonicTime): void {
    m.recentlyFailedJobs.set(job.id, now);
    job.errorMachines.add(m.id);
    job.errorCount++;
    if (m.recentlyFailedJobs.size >= 2 && !m.quarantined) {
      m.quarantined = true;
      this.state.log(
        'info',
        { machine: m.id, jobs: m.recentlyFailedJobs.size },
        'machine fails tasks of several jobs',
      );
      this.fleet.decommission(m, 'fails tasks', now);
    }
    if (job.errorMachines.size >= 3) {
      const delay = Math.min(ERROR_BACKOFF_MAX_MS, ERROR_BACKOFF_MS * 2 ** (job.errorCount - 3));
      job.errorBackoffUntil = now + delay * (0.75 + 0.5 * this.state.settings.random());
      job.errorMachines.clear();
      this.state.log(
        'info',
        { job: job.id, errors: job.errorCount, delayMs: Math.round(delay) },
        'job fails everywhere, slowed',
      );
    }
  }

  private adopt(m: Machine, job: Job, t: TaskStatus, now: MonotonicTime): Placement {
    const p = newPlacement(t.index, m.id, t.attempt, now);
    p.observed = true;
    job.addPlacement(p);
    m.assign(job, p);
    this.state.decisionLog.recordAdopted(m, t);
    if (job.cancelled) p.stop = { graceS: 0, since: now, reason: 'cancelled' };
    return p;
  }

  private notice(m: Machine, noticeS: number, now: MonotonicTime): void {
    m.interruptionAt = (now + noticeS * 1000) as MonotonicTime;
    if (m.interruptionNoticedAt !== null) return;
    m.interruptionNoticedAt = now;
    this.state.log('info', { machine: m.id, noticeS, tasks: m.placements.size }, 'spot notice');
    for (const { job, placement } of [...m.placements.values()]) {
      if (job.spec.checkpointS > 0 || !placement.running)
        this.state.evict(job, placement, 'spot notice', now);
    }
  }
}

/** Whether this report shows that a start sent with the answer to an earlier one has been executed, or never will be. */
const settlesStart = (report: Heartbeat, source: Source, { startSentInReplyTo }: Placement): boolean => {
  if (startSentInReplyTo === null || report.incarnation > startSentInReplyTo.incarnation) return true;
  return source === 'report' && report.sequence > startSentInReplyTo.sequence;
};
