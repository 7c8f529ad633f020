/** The last heartbeat of each worker that sends its heartbeats directly to this controller. */
import type { Heartbeat } from '../../core/heartbeat.js';
import { equalUint64, type MachineId, type MonotonicTime } from '../../core/units.js';

/** Bounds the memory use, because requests may contain an unlimited number of different machine ids. */
const MAX_TRACKED_MACHINES = 5000;

type LastHeartbeat = Pick<Heartbeat, 'incarnation' | 'sequence' | 'tasks'> & { receivedAt: MonotonicTime };

/** A machine, and the tasks in its last heartbeat. */
export type MachineTasks = [machine: MachineId, tasks: Heartbeat['tasks']];

/** Stores the time and the tasks of each machine's last heartbeat. */
export class LastHeartbeats {
  private readonly byMachine = new Map<MachineId, LastHeartbeat>();

  /** Records a heartbeat, unless it is outdated: a duplicate, or older than the last one. */
  record({ id, incarnation, sequence, tasks }: Heartbeat, now: MonotonicTime): void {
    const last = this.byMachine.get(id);
    if (last && !isNewer(incarnation, sequence, last)) return;
    if (!last && this.byMachine.size >= MAX_TRACKED_MACHINES) this.byMachine.clear();
    this.byMachine.set(id, { incarnation, sequence, tasks, receivedAt: now });
  }

  /** Machines whose last heartbeat is at least this old. */
  olderThan(ageMs: number, now: MonotonicTime): MachineTasks[] {
    const outdated = [...this.byMachine].filter(([, last]) => now - last.receivedAt >= ageMs);
    return outdated.map(([id, last]) => [id, last.tasks]);
  }

  /** Whether a heartbeat of the machine arrived after this time. */
  receivedSince(id: MachineId, since: number): boolean {
    return (this.byMachine.get(id)?.receivedAt ?? -Infinity) > since;
  }

  /** Removes a machine's last heartbeat. */
  remove(id: MachineId): void {
    this.byMachine.delete(id);
  }
}

const isNewer = (
  incarnation: Heartbeat['incarnation'],
  sequence: Heartbeat['sequence'],
  last: LastHeartbeat,
): boolean => {
  if (incarnation < last.incarnation) return false;
  return !equalUint64(incarnation, last.incarnation) || sequence > last.sequence;
};
