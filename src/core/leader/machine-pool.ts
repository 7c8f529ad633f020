// Machines from the roster, the list and the cloud: enrolled, watched, fenced and given back.
import { Machine } from '../machine.js';
import { MachineRegistry } from './machine-registry.js';
import type { ListedMachine, MachineInfo } from '../types.js';
import type { MachineId, MonotonicTime } from '../units.js';
import type { LeaderState } from './leader-state.js';

const RETURN_RETRY_MS = 1500;
const GONE_KEPT_MS = 1_800_000;
/** Names in one request (PROTOCOL, cloud). */
const MOST_RETURNED = 100;
const ROSTER_MS = 300;
const ROSTER_TIDY_MS = 500;
const TIDY_PAGES = 3;

export class MachinePool {
  private readonly roster = new MachineRegistry();
  private pages = 0;
  private lastRoster = -Infinity;
  private lastTidy = -Infinity;
  private lastReturn = -Infinity;
  /** The page to which machines of one that is too large are being moved. */
  private moving: string | null = null;

  constructor(private readonly state: LeaderState) {}

  loadMachine(info: MachineInfo, page: string, now: MonotonicTime): void {
    const m = this.state.addMachine(info, now);
    m.endpointKnown = false;
    m.registration = 'durable';
    m.registryPage = page;
    this.roster.load(page, m.info);
    m.fromEarlierLeader = true;
    m.up = true; // it had tasks or was about to
    this.state.unreconciledMachines.add(info.id);
  }

  onMachineList(listed: ListedMachine[], now: MonotonicTime): void {
    this.state.machinesListed = true;
    const names = new Set(listed.map((l) => l.id));
    for (const m of this.state.machines.values()) {
      // Once listed, a machine stays listed until it is gone; a list may be older than the one before it.
      // One that an earlier leader enrolled and that no list since has named is most likely gone, too.
      m.missingFromList =
        !names.has(m.id) &&
        (m.firstListedAt === null
          ? m.fromEarlierLeader
          : now - m.firstListedAt > this.state.settings.listLagS * 2500);
    }
    for (const [id, at] of this.state.deletedMachines)
      if (now - at > GONE_KEPT_MS) this.state.deletedMachines.delete(id);
    for (const l of listed) {
      let m = this.state.machines.get(l.id);
      if (!m) {
        if (this.state.deletedMachines.has(l.id)) continue;
        // Rented by an earlier leader, or by a request carried out late: to be used or returned.
        m = this.state.addMachine(l, now);
        m.provisionedAt = (now - l.ageS * 1000) as MonotonicTime;
      }
      m.firstListedAt ??= now;
      if (l.status === 'failed') this.fence(m, 'failed', now);
    }
  }

  onDeletionResult(ids: MachineId[], ok: boolean, now: MonotonicTime): void {
    for (const id of ids) {
      const m = this.state.machines.get(id);
      if (!m?.decommissioning) continue;
      m.decommissioning.deletionRequested = false;
      if (!ok) continue;
      // The answer says that the machine and all that was on it are gone.
      for (const { job, placement } of [...m.placements.values()])
        this.state.loseTask(job, placement, 'machine gone', now);
      this.state.machines.delete(id);
      this.state.deletedMachines.set(id, now);
      this.state.unreconciledMachines.delete(id);
      this.state.machinesWithPendingCommands.delete(m);
      if (m.registryPage !== null) this.roster.remove(m.registryPage, id);
      this.state.needsScheduling = true;
    }
  }

  onRegistryPageWritten(page: string, ok: boolean): void {
    if (ok && page === this.moving) this.moving = null;
    for (const id of this.roster.onPageWritten(page, ok)) {
      const m = this.state.machines.get(id);
      // On another page before: a durable one names it now, so that one need not any more.
      if (m?.registryPage && m.registryPage !== page) this.roster.remove(m.registryPage, id);
      if (!m) {
        // Gone while the page was being written.
        this.roster.remove(page, id);
        continue;
      }
      m.registryPage = page;
      if (m.registration === 'durable') continue;
      m.registration = 'durable';
      m.inSync = false;
      if (m.placements.size > 0) this.state.machinesWithPendingCommands.add(m);
    }
  }

  /** Gives a machine back once its tasks have left. */
  decommission(m: Machine, why: string, now: MonotonicTime): void {
    if (m.decommissioning) return;
    m.decommissioning = { reason: why, since: now, deletionRequested: false };
    for (const { job, placement } of [...m.placements.values()]) this.state.evict(job, placement, why, now);
  }

  /** Gives a machine back with whatever it holds: the sure way to end what can't be reached. */
  fence(m: Machine, why: string, now: MonotonicTime, overdue = false): void {
    if (m.decommissioning?.reason === 'fence') {
      if (overdue) m.decommissioning.overdue = true;
      return;
    }
    m.decommissioning = { reason: 'fence', since: now, deletionRequested: false, overdue };
    this.state.log('info', { machine: m.id, why, tasks: m.placements.size }, 'machine fenced');
  }

  /** Within this time a worker that is up has reported to a new leader, whichever controllers it tries before. */
  private get firstReportMs(): number {
    const { leaseS, heartbeatIntervalS } = this.state.settings.workers;
    return (leaseS * 2 + heartbeatIntervalS * 2) * 1000;
  }

  fenceFailedBoots(now: MonotonicTime): void {
    for (const m of this.state.machines.values()) {
      if (m.up || m.decommissioning) continue;
      const bootMs = (m.type?.bootS ?? 60) * 1000;
      if (now - m.provisionedAt <= Math.max(4 * bootMs, 90_000)) continue;
      // Listed for long, and no roster names it: it may be up all the same, as at a first leader's start. Its worker
      // has had no time yet to report to us.
      if (now - this.state.startedAt <= this.firstReportMs) continue;
      this.fence(m, 'never came up', now);
    }
  }

  /** Those with a cancelled task go first; without authority, only those. */
  deleteDecommissioned(now: MonotonicTime, onlyOverdue = false): void {
    if (now - this.lastReturn < RETURN_RETRY_MS) return;
    const due: Machine[] = [];
    for (const m of this.state.machines.values()) {
      if (
        !m.decommissioning ||
        m.decommissioning.deletionRequested ||
        (onlyOverdue && !m.decommissioning.overdue)
      )
        continue;
      if (m.decommissioning.reason !== 'fence' && m.busy) continue;
      due.push(m);
    }
    if (due.length === 0) return;
    this.lastReturn = now;
    // A deadline can't wait for one request after the other; the others leave the cloud's budget to renting.
    const overdue = due.filter((m) => m.decommissioning?.overdue);
    for (let i = 0; i < overdue.length; i += MOST_RETURNED)
      this.giveBack(overdue.slice(i, i + MOST_RETURNED));
    if (overdue.length === 0) this.giveBack(due.slice(0, MOST_RETURNED));
  }

  private giveBack(machines: Machine[]): void {
    for (const m of machines) m.decommissioning!.deletionRequested = true;
    this.state.effects.push({ kind: 'delete-machines', machines: machines.map((m) => m.id) });
  }

  /** Machines that come up together share a page, since writes are few: one write for up to a page of them. */
  registerMachines(now: MonotonicTime): void {
    if (now - this.lastRoster < ROSTER_MS) return;
    const { fitsRegistryPage } = this.state.settings;
    const again = this.roster.nextPageToWrite('failed', fitsRegistryPage);
    if (again) {
      this.lastRoster = now;
      this.state.effects.push({ kind: 'write-registry-page', ...again });
      return;
    }
    const fresh: MachineInfo[] = [];
    for (const m of this.state.machines.values()) {
      if (m.registration !== 'none' || !m.up || !m.endpointKnown || m.decommissioning) continue;
      if (fresh.length > 0 && !fitsRegistryPage([...fresh, m.info])) break;
      m.registration = 'writing';
      fresh.push(m.info);
    }
    if (fresh.length > 0) {
      this.lastRoster = now;
      const page = this.openPage(fresh);
      for (const info of fresh) this.state.machines.get(info.id)!.registryPage = page;
    }
    if (now - this.lastTidy < ROSTER_TIDY_MS) return;
    this.lastTidy = now;
    this.tidyRoster();
  }

  private openPage(machines: MachineInfo[]): string {
    const page = `${this.state.leadership.term}-${++this.pages}`;
    this.roster.openPage(page, machines);
    this.state.effects.push({ kind: 'write-registry-page', page, machines });
    return page;
  }

  /** A name left on a page costs the next leader some waiting, nothing else: pages are tidied without haste. */
  private tidyRoster(): void {
    const { fitsRegistryPage } = this.state.settings;
    for (let i = 0; i < TIDY_PAGES; i++) {
      const stale = this.roster.nextPageToWrite('stale', fitsRegistryPage);
      if (!stale) break;
      this.state.effects.push({ kind: 'write-registry-page', ...stale });
    }
    if (this.moving) return;
    const tooMany = this.roster.splitOversizedPage(fitsRegistryPage);
    if (tooMany.length > 0) this.moving = this.openPage(tooMany);
  }
}
