/** The machines from the registry, the cloud provider's list and scale-out: registered, drained, fenced and deleted. */
import type { Machine } from '../machine.js';
import type { ListedMachine, MachineInfo } from '../machine-info.js';
import type { MachineId, MonotonicTime } from '../units.js';
import type { LeaderState } from './leader-state.js';
import { MachineRegistration } from './machine-registration.js';

/** Between two requests to delete machines. */
const MIN_DELETION_INTERVAL_MS = 1500;
/** Machines named in one request (PROTOCOL, cloud). */
const MAX_DELETIONS_PER_REQUEST = 100;
/** A deleted machine is remembered for this long: lists and heartbeats that name it may still arrive. */
const DELETED_MACHINE_RETENTION_MS = 1_800_000;
/** A machine first listed more than this many list lags ago, and missing from the list, is most likely gone. */
const MISSING_AFTER_LIST_LAGS = 2.5;
/** A machine that isn't up after this multiple of its type's boot time, or this minimum if longer, has failed. */
const BOOT_TIMEOUT_FACTOR = 4;
const MIN_BOOT_TIMEOUT_MS = 90_000;
const DEFAULT_BOOT_S = 60;
/** Within this many leases and heartbeat intervals a worker that is up has reported to a new leader. */
const FIRST_HEARTBEAT_TIMEOUT_LEASES = 2;
const FIRST_HEARTBEAT_TIMEOUT_INTERVALS = 2;

/** Keeps track of the machines that there are, and gives up those that fail or aren't needed. */
export class MachinePool {
  private readonly registration: MachineRegistration;
  private lastDeletionAt = -Infinity;

  constructor(private readonly state: LeaderState) {
    this.registration = new MachineRegistration(state);
  }

  /** A machine that an earlier leader registered on that page: it had tasks or was about to. */
  loadMachine(info: MachineInfo, page: string, now: MonotonicTime): void {
    const machine = this.state.addMachine(info, now);
    machine.recordRegisteredEarlier(page);
    this.registration.load(page, machine.info);
    this.state.unreconciledMachines.add(info.id);
  }

  /** The cloud provider's list of machines, which may be older than the one before it. */
  onMachineList(listed: ListedMachine[], now: MonotonicTime): void {
    this.state.machinesListed = true;
    const ids = new Set(listed.map(({ id }) => id));
    for (const machine of this.state.machines.values())
      machine.missingFromList = !ids.has(machine.id) && this.shouldBeListed(machine, now);
    for (const [id, at] of this.state.deletedMachines)
      if (now - at > DELETED_MACHINE_RETENTION_MS) this.state.deletedMachines.delete(id);
    for (const listedMachine of listed) this.onListed(listedMachine, now);
  }

  /**
   * Once listed, a machine stays listed until it is gone. One that an earlier leader registered and that no list since has
   * named is most likely gone, too.
   */
  private shouldBeListed(machine: Machine, now: MonotonicTime): boolean {
    if (machine.firstListedAt === null) return machine.fromEarlierLeader;
    return now - machine.firstListedAt > this.state.settings.listLagS * (MISSING_AFTER_LIST_LAGS * 1000);
  }

  private onListed(listed: ListedMachine, now: MonotonicTime): void {
    let machine = this.state.machines.get(listed.id);
    if (!machine) {
      if (this.state.deletedMachines.has(listed.id)) return;
      // Provisioned by an earlier leader, or by a request carried out late: to be used or deleted.
      machine = this.state.addMachine(listed, now);
      machine.provisionedAt = (now - listed.ageS * 1000) as MonotonicTime;
    }
    machine.firstListedAt ??= now;
    if (listed.status === 'failed') this.fence(machine, 'failed', now);
  }

  /** Whether the cloud provider has deleted the machines: then they are gone with all that was on them. */
  onDeletionResult(ids: MachineId[], ok: boolean, now: MonotonicTime): void {
    for (const id of ids) {
      const machine = this.state.machines.get(id);
      if (!machine?.decommissioning) continue;
      machine.decommissioning.deletionRequested = false;
      if (ok) this.remove(machine, now);
    }
  }

  private remove(machine: Machine, now: MonotonicTime): void {
    const { id } = machine;
    for (const { job, placement } of [...machine.placements.values()])
      this.state.placements.markLost(job, placement, 'machine gone', now);
    this.state.machines.delete(id);
    this.state.deletedMachines.set(id, now);
    this.state.unreconciledMachines.delete(id);
    this.state.machinesWithPendingCommands.delete(machine);
    this.registration.remove(machine);
    this.state.needsScheduling = true;
  }

  /** Deletes a machine once its tasks have left. */
  drain(machine: Machine, reason: string, now: MonotonicTime): void {
    if (machine.decommissioning) return;
    machine.startDrain(now);
    for (const { job, placement } of [...machine.placements.values()])
      this.state.placements.evict(job, placement, reason, now);
  }

  /** Deletes a machine with whatever it holds: the sure way to end what can't be reached. */
  fence(machine: Machine, reason: string, now: MonotonicTime, mayHoldOverdueTask = false): void {
    if (machine.decommissioning?.mode === 'fence') {
      if (mayHoldOverdueTask) machine.decommissioning.mayHoldOverdueTask = true;
      return;
    }
    machine.startFence(now, mayHoldOverdueTask);
    const fields = { machine: machine.id, why: reason, tasks: machine.placements.size };
    this.state.log('info', fields, 'machine fenced');
  }

  /** Within this time a worker that is up has reported to a new leader, whichever controllers it tries before. */
  private get firstHeartbeatTimeoutMs(): number {
    const { leaseS, heartbeatIntervalS } = this.state.settings.workers;
    return (
      (leaseS * FIRST_HEARTBEAT_TIMEOUT_LEASES + heartbeatIntervalS * FIRST_HEARTBEAT_TIMEOUT_INTERVALS) *
      1000
    );
  }

  /** Fences machines that should be up by now. */
  fenceFailedBoots(now: MonotonicTime): void {
    for (const machine of this.state.machines.values()) {
      if (machine.up || machine.decommissioning) continue;
      const bootMs = (machine.type?.bootS ?? DEFAULT_BOOT_S) * 1000;
      if (now - machine.provisionedAt <= Math.max(BOOT_TIMEOUT_FACTOR * bootMs, MIN_BOOT_TIMEOUT_MS))
        continue;
      // Listed for long, and not registered: it may be up all the same, as at a first leader's start. Its worker has had
      // no time yet to report to us.
      if (now - this.state.startedAt <= this.firstHeartbeatTimeoutMs) continue;
      this.fence(machine, 'never came up', now);
    }
  }

  /**
   * Requests the deletion of machines that can go. Those that may hold an overdue cancelled task go first, and all at
   * once, since their deadline can't wait for one request after the other; the others leave the cloud's budget to scale-out.
   */
  deleteDecommissioned(now: MonotonicTime): void {
    const deletable = this.deletableMachines(now, () => true);
    const overdue = deletable.filter((machine) => machine.decommissioning?.mayHoldOverdueTask);
    if (overdue.length > 0) this.requestAllDeletions(overdue, now);
    else if (deletable.length > 0) this.requestDeletion(deletable.slice(0, MAX_DELETIONS_PER_REQUEST), now);
  }

  /** Requests only the deletion of machines that may hold an overdue cancelled task: that needs no authority. */
  deleteOverdue(now: MonotonicTime): void {
    this.requestAllDeletions(
      this.deletableMachines(now, (machine) => machine.decommissioning?.mayHoldOverdueTask === true),
      now,
    );
  }

  /** Machines that can be deleted now, if a request is due. */
  private deletableMachines(now: MonotonicTime, isIncluded: (machine: Machine) => boolean): Machine[] {
    if (now - this.lastDeletionAt < MIN_DELETION_INTERVAL_MS) return [];
    const deletable: Machine[] = [];
    for (const machine of this.state.machines.values()) {
      const { decommissioning } = machine;
      if (!decommissioning || decommissioning.deletionRequested || !isIncluded(machine)) continue;
      if (decommissioning.mode === 'fence' || !machine.busy) deletable.push(machine);
    }
    return deletable;
  }

  private requestAllDeletions(machines: Machine[], now: MonotonicTime): void {
    for (let i = 0; i < machines.length; i += MAX_DELETIONS_PER_REQUEST)
      this.requestDeletion(machines.slice(i, i + MAX_DELETIONS_PER_REQUEST), now);
  }

  private requestDeletion(machines: Machine[], now: MonotonicTime): void {
    this.lastDeletionAt = now;
    for (const { decommissioning } of machines) decommissioning!.deletionRequested = true;
    this.state.effects.push({ kind: 'delete-machines', machines: machines.map(({ id }) => id) });
  }

  /** Registers new machines, so that tasks can start on them. */
  registerMachines(now: MonotonicTime): void {
    this.registration.registerMachines(now);
  }

  /** Whether the page of the machine registry was written. */
  onRegistryPageWritten(page: string, ok: boolean): void {
    this.registration.onPageWritten(page, ok);
  }
}
