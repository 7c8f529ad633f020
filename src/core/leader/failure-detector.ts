/**
 * Machines that are not heard any more: which of them are fenced, and after how long. A machine that is silent alone is
 * given up soon; many at once, or a zone, are most likely whole behind a cut and get more time, but never beyond what a
 * cancelled task on them may take.
 */
import type { Machine } from '../machine.js';
import type { Job } from '../job.js';
import type { MonotonicTime, WallTime, Zone } from '../units.js';
import type { MachinePool } from './machine-pool.js';
import type { LeaderState } from './leader-state.js';

/** So much of a zone, and more, is silent behind a cut: new machines that are not up yet don't count. */
const WHOLE_ZONE_SHARE = 0.9;
const SILENT_SHARE = 0.1;
const LEAST_MANY = 3;
/** What is silent with many others is fenced after this part of cancel_s, and not before its lease is well over. */
const MANY_CANCELS = 0.6;
const MANY_LEASES = 1.6;
/** A zone that is cut off, after this much of cancel_s. */
const CUT_CANCELS = 1.2;
/** A silent machine is fenced when it has held a cancelled task for this part of cancel_s; when it may hold one. */
const OVERDUE_CANCELS = 0.5;
const MAYBE_OVERDUE_CANCELS = 0.75;
/** By this part of cancel_s it is fenced whatever this leader has seen of it: the rest is for the cloud. */
const LAST_FENCE_CANCELS = 0.85;
/** For the way of a report to the leader. */
const ROUND_MARGIN_MS = 750;

/** How the machines that are up are heard, counted in one pass. */
interface Hearing {
  /** Those that may have missed a report. */
  silent: Machine[];
  /** How many of them have missed one for certain. */
  missing: number;
  up: number;
  upByZone: Map<Zone, number>;
  silentByZone: Map<Zone, number>;
}

const countIn = (counts: Map<Zone, number>, zone: Zone): void => {
  counts.set(zone, (counts.get(zone) ?? 0) + 1);
};

export class FailureDetector {
  /** When many machines were last silent together. */
  private manyAt = -Infinity;
  private silenceFrom = -Infinity;

  constructor(
    private readonly state: LeaderState,
    private readonly fleet: MachinePool,
  ) {}

  /** Authority is back: what could not be heard meanwhile has its time to be heard. */
  restartTimeouts(now: MonotonicTime): void {
    this.silenceFrom = now;
  }

  /**
   * The one fence that needs no authority: of a silent machine that holds a cancelled task. It may hang, and then
   * neither a stop nor the end of its lease ends the task. Whoever leads next finds it gone, or fences it once more.
   */
  fenceOverdue(now: MonotonicTime, wall: WallTime): void {
    const unlocated = this.unlocatedOverdueJobs(now, wall);
    for (const machine of this.state.machines.values())
      if (machine.up && this.isOverdue(machine, unlocated, now, wall))
        this.fleet.fence(machine, 'silent with a cancelled task', now, true);
  }

  detectFailures(now: MonotonicTime, wall: WallTime): void {
    const hearing = this.hearing(now);
    this.noteCutZones(hearing, now);
    const many = this.isManySilent(hearing, now);
    const unlocated = hearing.silent.length > 0 ? this.unlocatedOverdueJobs(now, wall) : [];
    for (const machine of hearing.silent) {
      if (machine.decommissioning?.overdue) continue;
      // Half a zone falls silent at once only when it is cut off; its workers may be kept alive over there.
      const cut = this.state.partitionedZones.has(machine.info.zone);
      const behindCut = cut && this.isWhollySilent(machine.info.zone, hearing);
      const overdue = this.isOverdue(machine, behindCut ? [] : unlocated, now, wall);
      if (!overdue && !this.patienceIsOver(machine, cut, many, now)) continue;
      this.fleet.fence(machine, cut ? 'zone silent' : 'silent', now, overdue);
    }
  }

  private hearing(now: MonotonicTime): Hearing {
    const found: Hearing = { silent: [], missing: 0, up: 0, upByZone: new Map(), silentByZone: new Map() };
    for (const machine of this.state.machines.values()) {
      if (!machine.up) continue;
      found.up++;
      countIn(found.upByZone, machine.info.zone);
      const silentMs = this.silentMs(machine, now);
      if (silentMs < this.roundMs) continue;
      found.silent.push(machine);
      if (silentMs < this.missedMs) continue;
      found.missing++;
      countIn(found.silentByZone, machine.info.zone);
    }
    return found;
  }

  private noteCutZones({ upByZone, silentByZone }: Hearing, now: MonotonicTime): void {
    const { partitionedZones } = this.state;
    for (const [zone, n] of silentByZone)
      if (n >= 2 && n >= 0.5 * upByZone.get(zone)!) partitionedZones.set(zone, now);
    for (const [zone, at] of partitionedZones) if (now - at > this.backMs) partitionedZones.delete(zone);
  }

  /**
   * As behind a cut, which spares no machine. Where some are heard, the silent ones of that zone may as well hang, and a
   * cancelled task on them is not ended by anybody there.
   */
  private isWhollySilent(zone: Zone, { upByZone, silentByZone }: Hearing): boolean {
    return (silentByZone.get(zone) ?? 0) >= WHOLE_ZONE_SHARE * (upByZone.get(zone) ?? 0);
  }

  /**
   * Many at once, as after a takeover: it is the network or we that keep them silent. Fencing them all would destroy a
   * healthy fleet; those that are really gone are soon missing from the cloud's list. All that missed reports count, not
   * only those whose patience is over: else the first tenth of them is fenced.
   */
  private isManySilent({ missing, up }: Hearing, now: MonotonicTime): boolean {
    if (missing > Math.max(LEAST_MANY, up * SILENT_SHARE)) this.manyAt = now;
    return now - this.manyAt <= this.backMs;
  }

  private patienceIsOver(machine: Machine, cut: boolean, many: boolean, now: MonotonicTime): boolean {
    const silentMs = this.silentMs(machine, now);
    if (silentMs < this.patienceMs) return false;
    if ((!cut && !many) || machine.missingFromList) return true;
    return silentMs >= (cut ? this.cutPatienceMs : this.longPatienceMs);
  }

  private silentMs(machine: Machine, now: MonotonicTime): number {
    return now - Math.max(machine.lastHeartbeatAt ?? this.state.startedAt, this.silenceFrom);
  }

  /** Within this time a worker that is up has reported, whenever it did before. */
  private get roundMs(): number {
    return this.state.settings.workers.heartbeatIntervalS * 1250 + ROUND_MARGIN_MS;
  }

  /** A cut silences a whole zone at one moment, but each machine is noticed at its own next report. */
  private get missedMs(): number {
    return (this.state.settings.workers.heartbeatIntervalS * 1.25 * 1.5 + 0.5) * 1000;
  }

  /** When a trouble ends, the last machines to be heard again are few: they still get time to find a controller. */
  private get backMs(): number {
    return this.state.settings.workers.heartbeatIntervalS * 2500 + 5000;
  }

  private get patienceMs(): number {
    const { heartbeatIntervalS, leaseS } = this.state.settings.workers;
    return Math.max(heartbeatIntervalS * 1.25 * 3 + 1, leaseS * 0.6) * 1000;
  }

  private get longPatienceMs(): number {
    const { leaseS, cancelS } = this.state.settings.workers;
    return Math.max(this.patienceMs, cancelS * MANY_CANCELS * 1000, leaseS * MANY_LEASES * 1000);
  }

  /**
   * Behind a cut the machines are whole. What they held is mostly not placed elsewhere (a spread service may not be), and
   * where its image is cached it starts again as soon as the cut ends: a fenced zone has to boot and fetch first.
   */
  private get cutPatienceMs(): number {
    return Math.max(this.longPatienceMs, this.state.settings.workers.cancelS * CUT_CANCELS * 1000);
  }

  private isOverdue(machine: Machine, unlocated: Job[], now: MonotonicTime, wall: WallTime): boolean {
    const silentMs = this.silentMs(machine, now);
    if (silentMs < this.roundMs) return false;
    const cancelledForMs = this.overdueCancelMs(machine, unlocated, now, wall);
    return cancelledForMs !== null && silentMs >= this.overduePatienceMs(cancelledForMs);
  }

  /**
   * How long a machine must be silent when it may hold a task cancelled for so long. What users wait for began with the
   * cancellation, not with this leadership. Guards against leaders that change, or lose and regain their authority,
   * faster than the patience of each: none would ever fence. A missed report is waited for, and when time is up one round.
   */
  private overduePatienceMs(cancelledForMs: number): number {
    const leftMs = this.state.settings.workers.cancelS * 1000 * LAST_FENCE_CANCELS - cancelledForMs;
    if (leftMs <= 0) return this.roundMs;
    return Math.max(this.missedMs, Math.min(this.patienceMs, leftMs));
  }

  /**
   * A cancelled task must be gone within cancel_s: half of it is left to waiting, half to the fence. For how long the
   * machine has held one whose half is over, or may have held one of the unlocated jobs; null: there is none.
   */
  private overdueCancelMs(
    machine: Machine,
    unlocated: Job[],
    now: MonotonicTime,
    wall: WallTime,
  ): number | null {
    const limitMs = this.state.settings.workers.cancelS * 1000 * OVERDUE_CANCELS;
    let longestMs = limitMs;
    for (const { job } of machine.placements.values())
      longestMs = Math.max(longestMs, job.cancelledForMs(now, wall));
    if (this.state.unreconciledMachines.has(machine.id))
      for (const job of unlocated)
        if (this.state.mayHaveBeenStartedOn(job, machine))
          longestMs = Math.max(longestMs, job.cancelledForMs(now, wall));
    return longestMs > limitMs ? longestMs : null;
  }

  /**
   * Their tasks may hang on machines not heard since this leadership began, where no report has told of them. They are
   * waited for longer: of many such machines most are whole, and end the tasks or lose their lease by themselves.
   */
  private unlocatedOverdueJobs(now: MonotonicTime, wall: WallTime): Job[] {
    if (this.state.unreconciledMachines.size === 0) return [];
    const limitMs = this.state.settings.workers.cancelS * 1000 * MAYBE_OVERDUE_CANCELS;
    const overdue = (job: Job): boolean => job.cancelled && job.cancelledForMs(now, wall) > limitMs;
    return [...this.state.jobs.values()].filter(overdue);
  }
}
