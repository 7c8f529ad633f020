// Machines from the roster, the list and the cloud: enrolled, watched, fenced and given back.
import { Machine } from '../cluster.js';
import { Roster } from '../roster.js';
import type { ListedMachine, MachineInfo } from '../types.js';
import type { MachineId, Steady } from '../units.js';
import type { LeaderState } from './state.js';

const RETURN_RETRY_MS = 1500;
const GONE_KEPT_MS = 1_800_000;
/** Names in one request (PROTOCOL, cloud). */
const MOST_RETURNED = 100;
const ROSTER_MS = 300;
const ROSTER_TIDY_MS = 500;
const TIDY_PAGES = 3;

export class Fleet {
  private readonly roster = new Roster();
  private pages = 0;
  private lastRoster = -Infinity;
  private lastTidy = -Infinity;
  private lastReturn = -Infinity;
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
    this.lastReturn = now;
    // A deadline can't wait for one request after the other; the others leave the cloud's budget to renting.
    const overdue = due.filter((m) => m.leaving?.overdue);
    for (let i = 0; i < overdue.length; i += MOST_RETURNED)
      this.giveBack(overdue.slice(i, i + MOST_RETURNED));
    if (overdue.length === 0) this.giveBack(due.slice(0, MOST_RETURNED));
  }

  private giveBack(machines: Machine[]): void {
    for (const m of machines) m.leaving!.asked = true;
    this.state.effects.push({ kind: 'return', machines: machines.map((m) => m.id) });
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
