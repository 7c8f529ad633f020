/** Adds machines from the machine registry and the cloud provider's list, and drains, fences and deletes them. */
import type { Machine } from '../machine.js';
import type { ListedMachine, MachineInfo } from '../machine-info.js';
import type { MachineId, MonotonicTime } from '../units.js';
import type { LeaderState } from './leader-state.js';
import { MachineRegistration } from './machine-registration.js';

/** Minimum interval between deletion requests. */
const MIN_DELETION_INTERVAL_MS = 1500;
/** Maximum number of machines in one deletion request, set by the cloud provider's protocol. */
const MAX_DELETIONS_PER_REQUEST = 100;
/** How long the id of a deleted machine is kept, because lists and heartbeats that contain it may still arrive. */
const DELETED_MACHINE_RETENTION_MS = 1_800_000;
/**
 * A machine that was first listed more than this many list lags ago and is missing from the list is most likely
 * deleted.
 */
const MISSING_AFTER_LIST_LAGS = 2.5;
/**
 * A boot has failed if the machine is not up after this multiple of its type's boot time, or this minimum if that is
 * longer.
 */
const BOOT_TIMEOUT_FACTOR = 4;
const MIN_BOOT_TIMEOUT_MS = 90_000;
const DEFAULT_BOOT_S = 60;
/** A worker that is up sends its first heartbeat to a new leader within this many leases plus heartbeat intervals. */
const FIRST_HEARTBEAT_TIMEOUT_LEASES = 2;
const FIRST_HEARTBEAT_TIMEOUT_INTERVALS = 2;

/** Tracks the existing machines, and removes those that fail or are not needed. */
export class MachinePool {
  private readonly registration: MachineRegistration;
  private lastDeletionAt = -Infinity;

  constructor(private readonly state: LeaderState) {
    this.registration = new MachineRegistration(state);
  }

  /** Loads a machine that an earlier leader registered on this page. It may hold tasks of that leader. */
  loadMachine(info: MachineInfo, page: string, now: MonotonicTime): void {
    const machine = this.state.addMachine(info, now);
    machine.recordRegisteredEarlier(page);
    this.registration.load(page, machine.info);
    this.state.unreconciledMachines.add(info.id);
  }

  /** Handles the cloud provider's list of machines, which may be older than the previous list. */
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
   * Whether a list without the machine means that it is most likely deleted: a listed machine stays on the list until
   * its deletion, and a machine registered by an earlier leader should be on every list.
   */
  private shouldBeListed(machine: Machine, now: MonotonicTime): boolean {
    if (machine.firstListedAt === null) return machine.fromEarlierLeader;
    return now - machine.firstListedAt > this.state.settings.listLagS * (MISSING_AFTER_LIST_LAGS * 1000);
  }

  private onListed(listed: ListedMachine, now: MonotonicTime): void {
    let machine = this.state.machines.get(listed.id);
    if (!machine) {
      if (this.state.deletedMachines.has(listed.id)) return;
      // Provisioned by an earlier leader, or by a request that was executed late. It is used or scaled in.
      machine = this.state.addMachine(listed, now);
      machine.provisionedAt = (now - listed.ageS * 1000) as MonotonicTime;
    }
    machine.firstListedAt ??= now;
    if (listed.status === 'failed') this.fence(machine, 'reported as failed by the cloud provider', now);
  }

  /** Handles the result of a deletion request. Deleted machines are removed together with the tasks on them. */
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
      this.state.placements.markLost(job, placement, 'machine deleted', now);
    this.state.machines.delete(id);
    this.state.deletedMachines.set(id, now);
    this.state.unreconciledMachines.delete(id);
    this.state.machinesWithPendingCommands.delete(machine);
    this.registration.remove(machine);
    this.state.needsScheduling = true;
  }

  /** Evicts the machine's tasks; the machine is deleted once they have ended. */
  drain(machine: Machine, reason: string, now: MonotonicTime): void {
    if (machine.decommissioning) return;
    machine.startDrain(now);
    for (const { job, placement } of [...machine.placements.values()])
      this.state.placements.evict(job, placement, reason, now);
  }

  /** Deletes the machine without stopping its tasks first, the only safe way to end tasks on an unreachable machine. */
  fence(machine: Machine, reason: string, now: MonotonicTime, mayHoldOverdueTask = false): void {
    if (machine.decommissioning?.mode === 'fence') {
      if (mayHoldOverdueTask) machine.decommissioning.mayHoldOverdueTask = true;
      return;
    }
    machine.startFence(now, mayHoldOverdueTask);
    const fields = { machine: machine.id, why: reason, tasks: machine.placements.size };
    this.state.log('info', fields, 'machine fenced');
  }

  /**
   * Time within which a worker that is up sends a heartbeat to a new leader, even if it tries other controllers first.
   */
  private get firstHeartbeatTimeoutMs(): number {
    const { leaseS, heartbeatIntervalS } = this.state.settings.workers;
    return (
      (leaseS * FIRST_HEARTBEAT_TIMEOUT_LEASES + heartbeatIntervalS * FIRST_HEARTBEAT_TIMEOUT_INTERVALS) *
      1000
    );
  }

  /** Fences machines whose boot timeout has expired. */
  fenceFailedBoots(now: MonotonicTime): void {
    for (const machine of this.state.machines.values()) {
      if (machine.up || machine.decommissioning) continue;
      const bootMs = (machine.type?.bootS ?? DEFAULT_BOOT_S) * 1000;
      if (now - machine.provisionedAt <= Math.max(BOOT_TIMEOUT_FACTOR * bootMs, MIN_BOOT_TIMEOUT_MS))
        continue;
      // The boot timeout counts from provisioning, so it may expire before the worker of a running machine had time to
      // send a heartbeat to this leader, as at the start of the first leader.
      if (now - this.state.startedAt <= this.firstHeartbeatTimeoutMs) continue;
      this.fence(machine, 'boot timeout', now);
    }
  }

  /**
   * Requests the deletion of fenced machines and of drained machines without tasks. Machines that may hold an overdue
   * cancelled task come first, all at the same time, because consecutive requests could miss the cancellation's
   * deadline. The others are deleted with one request at a time, which leaves the cloud provider's rate limit to
   * scale-out.
   */
  deleteDecommissioned(now: MonotonicTime): void {
    const deletable = this.deletableMachines(now, () => true);
    const overdue = deletable.filter((machine) => machine.decommissioning?.mayHoldOverdueTask);
    if (overdue.length > 0) this.requestAllDeletions(overdue, now);
    else if (deletable.length > 0) this.requestDeletion(deletable.slice(0, MAX_DELETIONS_PER_REQUEST), now);
  }

  /** Requests only the deletion of machines that may hold an overdue cancelled task, which needs no authority. */
  deleteOverdue(now: MonotonicTime): void {
    this.requestAllDeletions(
      this.deletableMachines(now, (machine) => machine.decommissioning?.mayHoldOverdueTask === true),
      now,
    );
  }

  /** The machines that can be deleted now; empty if no request is due yet. */
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

  /** Registers new machines in the durable machine registry, which must precede the start of tasks on them. */
  registerMachines(now: MonotonicTime): void {
    this.registration.registerMachines(now);
  }

  /** Handles the result of writing a page of the machine registry. */
  onRegistryPageWritten(page: string, ok: boolean): void {
    this.registration.onPageWritten(page, ok);
  }
}
