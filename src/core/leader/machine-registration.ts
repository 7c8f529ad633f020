/**
 * Registers machines in the durable machine registry before tasks start on them, and removes deleted ones from its
 * pages.
 */
import type { Machine } from '../machine.js';
import type { MachineInfo } from '../machine-info.js';
import type { MonotonicTime } from '../units.js';
import type { LeaderState } from './leader-state.js';
import { MachineRegistry } from './machine-registry.js';

/** Minimum interval between writes of new pages, so that machines that come up together share a page. */
const REGISTRATION_INTERVAL_MS = 300;
/** Interval between compactions of the registry, and the maximum number of pages rewritten in one compaction. */
const COMPACTION_INTERVAL_MS = 500;
const MAX_PAGES_PER_COMPACTION = 3;

/** Decides which pages of the registry are written, and when. */
export class MachineRegistration {
  private readonly registry = new MachineRegistry();
  private pageCount = 0;
  private lastRegisteredAt = -Infinity;
  private lastCompactedAt = -Infinity;
  /** The new page to which machines of an oversized page are being moved. */
  private splitTarget: string | null = null;

  constructor(private readonly state: LeaderState) {}

  /** Loads a machine that an earlier leader registered on this page. */
  load(page: string, info: MachineInfo): void {
    this.registry.load(page, info);
  }

  /** Removes a deleted machine from its page. */
  remove({ id, registryPage }: Machine): void {
    if (registryPage !== null) this.registry.remove(registryPage, id);
  }

  /** Registers new machines, if that is due. All machines that fit on one page are registered with one write. */
  registerMachines(now: MonotonicTime): void {
    if (now - this.lastRegisteredAt < REGISTRATION_INTERVAL_MS) return;
    const failed = this.registry.nextPageToWrite('failed', this.state.settings.fitsRegistryPage);
    if (failed) {
      this.lastRegisteredAt = now;
      this.state.effects.push({ kind: 'write-registry-page', ...failed });
      return;
    }
    const unregistered = this.unregisteredMachines();
    if (unregistered.length > 0) {
      this.lastRegisteredAt = now;
      const page = this.openPage(unregistered.map(({ info }) => info));
      for (const machine of unregistered) machine.registration = { state: 'writing', page };
    }
    if (now - this.lastCompactedAt < COMPACTION_INTERVAL_MS) return;
    this.lastCompactedAt = now;
    this.compactPages();
  }

  /** Machines that send heartbeats and are not registered yet, as many as fit on one page. */
  private unregisteredMachines(): Machine[] {
    const found: Machine[] = [];
    const infos: MachineInfo[] = [];
    for (const machine of this.state.machines.values()) {
      if (machine.registration.state !== 'unregistered' || !machine.endpointKnown) continue;
      if (machine.decommissioning) continue;
      if (infos.length > 0 && !this.state.settings.fitsRegistryPage([...infos, machine.info])) break;
      found.push(machine);
      infos.push(machine.info);
    }
    return found;
  }

  /** Handles the result of writing a page. A written page makes the registration of its machines durable. */
  onPageWritten(page: string, ok: boolean): void {
    if (ok && page === this.splitTarget) this.splitTarget = null;
    for (const id of this.registry.onPageWritten(page, ok)) {
      const machine = this.state.machines.get(id);
      // The machine was deleted while the page was being written.
      if (!machine) this.registry.remove(page, id);
      else this.recordRegistered(machine, page);
    }
  }

  private recordRegistered(machine: Machine, page: string): void {
    const { registration } = machine;
    // The machine is now on a durable page, so its earlier page no longer needs to contain it.
    if (registration.state !== 'unregistered' && registration.page !== page)
      this.registry.remove(registration.page, machine.id);
    machine.registration = { state: 'durable', page };
    if (registration.state === 'durable') return;
    machine.inSync = false;
    if (machine.placements.size > 0) this.state.machinesWithPendingCommands.add(machine);
  }

  private openPage(machines: MachineInfo[]): string {
    const page = `${this.state.leadership.term}-${++this.pageCount}`;
    this.registry.openPage(page, machines);
    this.state.effects.push({ kind: 'write-registry-page', page, machines });
    return page;
  }

  /**
   * Rewrites pages without their deleted machines. This is not urgent: a deleted machine on a page only makes the next
   * leader wait for its heartbeat.
   */
  private compactPages(): void {
    const { fitsRegistryPage } = this.state.settings;
    for (let i = 0; i < MAX_PAGES_PER_COMPACTION; i++) {
      const stale = this.registry.nextPageToWrite('stale', fitsRegistryPage);
      if (!stale) break;
      this.state.effects.push({ kind: 'write-registry-page', ...stale });
    }
    if (this.splitTarget) return;
    const machines = this.registry.selectMachinesToSplitOff(fitsRegistryPage);
    if (machines.length > 0) this.splitTarget = this.openPage(machines);
  }
}
