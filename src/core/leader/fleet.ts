// Machines from the roster, the list and the cloud: enrolled, watched, fenced and given back.
import { Machine } from '../cluster.js';
import type { Job } from '../job.js';
import { Roster } from '../roster.js';
import type { ListedMachine, MachineInfo } from '../types.js';
import type { MachineId, Steady, WallTime, Zone } from '../units.js';
import type { LeaderState } from './state.js';

const RETURN_RETRY_MS = 1500;
const GONE_KEPT_MS = 1_800_000;
/** Names in one request (PROTOCOL, cloud). */
const MOST_RETURNED = 100;
const ROSTER_MS = 300;
const ROSTER_TIDY_MS = 500;
const TIDY_PAGES = 3;
const SILENT_SHARE = 0.1;
/** What is silent with many others is fenced after this part of cancel_s, and not before its lease is well over. */
const MANY_CANCELS = 0.6;
const MANY_LEASES = 1.6;
/** A zone that is cut off, after this much of cancel_s. */
const CUT_CANCELS = 1.2;
/** A silent machine is fenced when it has held a cancelled task for this part of cancel_s; when it may hold one. */
const OVERDUE_CANCELS = 0.5;
const MAYBE_OVERDUE_CANCELS = 0.75;

export class Fleet {
  private readonly roster = new Roster();
  private pages = 0;
  private lastRoster = -Infinity;
  private lastTidy = -Infinity;
  private lastReturn = -Infinity;
  /** When many machines were last silent together. */
  private manyAt = -Infinity;
  private silenceFrom = -Infinity;
  /** The page to which machines of one that is too large are being moved. */
  private moving: string | null = null;

  constructor(private readonly state: LeaderState) {}

  loadMachine(info: MachineInfo, page: string, now: Steady): void {
    const m = this.state.addMachine(info, now);
    m.endpointKnown = false;
    m.roster = 'durable';
    m.page = page;
    this.roster.load(page, m.info);
    m.inherited = true;
    m.up = true; // it had tasks or was about to
    this.state.unheardMachines.add(info.id);
  }

  onList(listed: ListedMachine[], now: Steady): void {
    this.state.listed = true;
    const names = new Set(listed.map((l) => l.id));
    for (const m of this.state.machines.values()) {
      // Once listed, a machine stays listed until it is gone; a list may be older than the one before it.
      // One that an earlier leader enrolled and that no list since has named is most likely gone, too.
      m.unlisted =
        !names.has(m.id) &&
        (m.firstListedAt === null
          ? m.inherited
          : now - m.firstListedAt > this.state.settings.listLagS * 2500);
    }
    for (const [id, at] of this.state.gone) if (now - at > GONE_KEPT_MS) this.state.gone.delete(id);
    for (const l of listed) {
      let m = this.state.machines.get(l.id);
      if (!m) {
        if (this.state.gone.has(l.id)) continue;
        // Rented by an earlier leader, or by a request carried out late: to be used or returned.
        m = this.state.addMachine(l, now);
        m.rentedAt = (now - l.ageS * 1000) as Steady;
      }
      m.firstListedAt ??= now;
      if (l.status === 'failed') this.fence(m, 'failed', now);
    }
  }

  onReturned(ids: MachineId[], ok: boolean, now: Steady): void {
    for (const id of ids) {
      const m = this.state.machines.get(id);
      if (!m?.leaving) continue;
      m.leaving.asked = false;
      if (!ok) continue;
      // The answer says that the machine and all that was on it are gone.
      for (const { job, placement } of [...m.placements.values()])
        this.state.lost(job, placement, 'machine gone', now);
      this.state.machines.delete(id);
      this.state.gone.set(id, now);
      this.state.unheardMachines.delete(id);
      this.state.machinesToCommand.delete(m);
      if (m.page !== null) this.roster.remove(m.page, id);
      this.state.needsScheduling = true;
    }
  }

  onRoster(page: string, ok: boolean): void {
    if (ok && page === this.moving) this.moving = null;
    for (const id of this.roster.written(page, ok)) {
      const m = this.state.machines.get(id);
      // On another page before: a durable one names it now, so that one need not any more.
      if (m?.page && m.page !== page) this.roster.remove(m.page, id);
      if (!m) {
        // Gone while the page was being written.
        this.roster.remove(page, id);
        continue;
      }
      m.page = page;
      if (m.roster === 'durable') continue;
      m.roster = 'durable';
      m.quiet = false;
      if (m.placements.size > 0) this.state.machinesToCommand.add(m);
    }
  }

  /** Gives a machine back once its tasks have left. */
  leave(m: Machine, why: string, now: Steady): void {
    if (m.leaving) return;
    m.leaving = { why, since: now, asked: false };
    for (const { job, placement } of [...m.placements.values()]) this.state.evict(job, placement, why, now);
  }

  /** Gives a machine back with whatever it holds: the sure way to end what can't be reached. */
  fence(m: Machine, why: string, now: Steady, overdue = false): void {
    if (m.leaving?.why === 'fence') {
      if (overdue) m.leaving.overdue = true;
      return;
    }
    m.leaving = { why: 'fence', since: now, asked: false, overdue };
    this.state.log('info', { machine: m.id, why, tasks: m.placements.size }, 'machine fenced');
  }

  /** Authority is back: what could not be heard meanwhile has its time to be heard. */
  restartSilence(now: Steady): void {
    this.silenceFrom = now;
  }

  private silentSince(m: Machine): Steady {
    const { startedAt } = this.state;
    return Math.max(m.lastReportAt ?? startedAt, this.silenceFrom) as Steady;
  }

  private get patienceMs(): number {
    const { reportS, leaseS } = this.state.settings.workers;
    return Math.max(reportS * 1.25 * 3 + 1, leaseS * 0.6) * 1000;
  }

  /**
   * The one fence that needs no authority: of a silent machine that holds a cancelled task. It may hang, and then
   * neither a stop nor the end of its lease ends the task. Whoever leads next finds it gone, or fences it once more.
   */
  fenceOverdue(now: Steady, wall: WallTime): void {
    const overdueJobs = this.overdueJobs(now, wall);
    for (const m of this.state.machines.values()) {
      const since = this.silentSince(m);
      if (!m.up || now - since < this.patienceMs) continue;
      if (this.holdsOverdueCancel(m, now, wall) || this.mayHoldAnyOf(overdueJobs, m))
        this.fence(m, 'silent with a cancelled task', now, true);
    }
  }

  watchSilence(now: Steady, wall: WallTime): void {
    const { reportS, leaseS, cancelS } = this.state.settings.workers;
    const patience = this.patienceMs;
    const longPatience = Math.max(patience, cancelS * MANY_CANCELS * 1000, leaseS * MANY_LEASES * 1000);
    // Behind a cut the machines are whole. What they held is mostly not placed elsewhere (a spread service may not be),
    // and where its image is cached it starts again as soon as the cut ends: a fenced zone has to boot and fetch first.
    const cutPatience = Math.max(longPatience, cancelS * CUT_CANCELS * 1000);
    // A cut silences a whole zone at one moment, but each machine is noticed at its own next report.
    const missed = (reportS * 1.25 * 1.5 + 0.5) * 1000;
    const silent: Machine[] = [];
    const total = new Map<Zone, number>();
    const quiet = new Map<Zone, number>();
    for (const m of this.state.machines.values()) {
      if (!m.up) continue;
      const zone = m.info.zone;
      total.set(zone, (total.get(zone) ?? 0) + 1);
      const since = this.silentSince(m);
      if (now - since >= missed) quiet.set(zone, (quiet.get(zone) ?? 0) + 1);
      if (now - since >= patience) silent.push(m);
    }
    let up = 0;
    for (const n of total.values()) up += n;
    // Many at once, as after a takeover: it is the network or we that keep them silent. Fencing them all would
    // destroy a healthy fleet; those that are really gone are soon missing from the cloud's list.
    // When it ends, the last machines to be heard again are few: they still get time to find a controller.
    const backMs = reportS * 2500 + 5000;
    for (const [zone, n] of quiet)
      if (n >= 2 && n >= 0.5 * total.get(zone)!) this.state.cutZones.set(zone, now);
    for (const [zone, at] of this.state.cutZones) if (now - at > backMs) this.state.cutZones.delete(zone);
    // All that missed reports count, not only those whose patience is over: else the first tenth of them is fenced.
    let missing = 0;
    for (const n of quiet.values()) missing += n;
    if (missing > Math.max(3, up * SILENT_SHARE)) this.manyAt = now;
    const many = now - this.manyAt <= backMs;
    const overdueJobs = silent.length > 0 ? this.overdueJobs(now, wall) : [];
    for (const m of silent) {
      if (m.leaving?.overdue) continue;
      // Half a zone falls silent at once only when it is cut off; its workers may be kept alive over there.
      const cut = this.state.cutZones.has(m.info.zone);
      const since = this.silentSince(m);
      const overdue = this.holdsOverdueCancel(m, now, wall) || (!cut && this.mayHoldAnyOf(overdueJobs, m));
      if ((!cut && !many) || overdue || now - since >= (cut ? cutPatience : longPatience) || m.unlisted)
        this.fence(m, cut ? 'zone silent' : 'silent', now, overdue);
    }
  }

  /** A cancelled task must be gone within cancel_s: half of it is left to waiting, half to the fence. */
  private holdsOverdueCancel(m: Machine, now: Steady, wall: WallTime): boolean {
    const limitMs = this.state.settings.workers.cancelS * 1000 * OVERDUE_CANCELS;
    for (const { job } of m.placements.values()) if (job.cancelledForMs(now, wall) > limitMs) return true;
    return false;
  }

  /**
   * Their tasks may hang on machines not heard since this leadership began, where no report has told of them. They are
   * waited for longer: of many such machines most are whole, and end the tasks or lose their lease by themselves.
   */
  private overdueJobs(now: Steady, wall: WallTime): Job[] {
    if (this.state.unheardMachines.size === 0) return [];
    const limitMs = this.state.settings.workers.cancelS * 1000 * MAYBE_OVERDUE_CANCELS;
    const overdue = (job: Job): boolean => job.cancelled && job.cancelledForMs(now, wall) > limitMs;
    return [...this.state.jobs.values()].filter(overdue);
  }

  private mayHoldAnyOf(jobs: Job[], m: Machine): boolean {
    return this.state.unheardMachines.has(m.id) && jobs.some((job) => this.state.mayBeOn(job, m));
  }

  /** Within this time a worker that is up has reported to a new leader, whichever controllers it tries before. */
  private get firstReportMs(): number {
    const { leaseS, reportS } = this.state.settings.workers;
    return (leaseS * 2 + reportS * 2) * 1000;
  }

  watchBoots(now: Steady): void {
    for (const m of this.state.machines.values()) {
      if (m.up || m.leaving) continue;
      const bootMs = (m.type?.bootS ?? 60) * 1000;
      if (now - m.rentedAt <= Math.max(4 * bootMs, 90_000)) continue;
      // Listed for long, and no roster names it: it may be up all the same, as at a first leader's start. Its worker
      // has had no time yet to report to us.
      if (now - this.state.startedAt <= this.firstReportMs) continue;
      this.fence(m, 'never came up', now);
    }
  }

  /** Those with a cancelled task go first; without authority, only those. */
  returnLeaving(now: Steady, onlyOverdue = false): void {
    if (now - this.lastReturn < RETURN_RETRY_MS) return;
    const due: Machine[] = [];
    for (const m of this.state.machines.values()) {
      if (!m.leaving || m.leaving.asked || (onlyOverdue && !m.leaving.overdue)) continue;
      if (m.leaving.why !== 'fence' && m.busy) continue;
      due.push(m);
    }
    if (due.length === 0) return;
    due.sort((a, b) => Number(b.leaving?.overdue ?? false) - Number(a.leaving?.overdue ?? false));
    const ids: MachineId[] = [];
    for (const m of due.slice(0, MOST_RETURNED)) {
      m.leaving!.asked = true;
      ids.push(m.id);
    }
    this.lastReturn = now;
    this.state.effects.push({ kind: 'return', machines: ids });
  }

  /** Machines that come up together share a page, since writes are few: one write for up to a page of them. */
  enroll(now: Steady): void {
    if (now - this.lastRoster < ROSTER_MS) return;
    const { fitsRosterPage } = this.state.settings;
    const again = this.roster.next('failed', fitsRosterPage);
    if (again) {
      this.lastRoster = now;
      this.state.effects.push({ kind: 'roster', ...again });
      return;
    }
    const fresh: MachineInfo[] = [];
    for (const m of this.state.machines.values()) {
      if (m.roster !== 'none' || !m.up || !m.endpointKnown || m.leaving) continue;
      if (fresh.length > 0 && !fitsRosterPage([...fresh, m.info])) break;
      m.roster = 'writing';
      fresh.push(m.info);
    }
    if (fresh.length > 0) {
      this.lastRoster = now;
      const page = this.openPage(fresh);
      for (const info of fresh) this.state.machines.get(info.id)!.page = page;
    }
    if (now - this.lastTidy < ROSTER_TIDY_MS) return;
    this.lastTidy = now;
    this.tidyRoster();
  }

  private openPage(machines: MachineInfo[]): string {
    const page = `${this.state.leadership.term}-${++this.pages}`;
    this.roster.open(page, machines);
    this.state.effects.push({ kind: 'roster', page, machines });
    return page;
  }

  /** A name left on a page costs the next leader some waiting, nothing else: pages are tidied without haste. */
  private tidyRoster(): void {
    const { fitsRosterPage } = this.state.settings;
    for (let i = 0; i < TIDY_PAGES; i++) {
      const stale = this.roster.next('stale', fitsRosterPage);
      if (!stale) break;
      this.state.effects.push({ kind: 'roster', ...stale });
    }
    if (this.moving) return;
    const tooMany = this.roster.oversized(fitsRosterPage);
    if (tooMany.length > 0) this.moving = this.openPage(tooMany);
  }
}
