/** The last heartbeat of each worker that sends its heartbeats to this controller itself. */
import type { Heartbeat } from '../../core/heartbeat.js';
import { equalUint64, type MachineId, type MonotonicTime } from '../../core/units.js';

/** Guards against names without end from outside. */
const MAX_MACHINES = 5000;

type LastHeartbeat = Pick<Heartbeat, 'incarnation' | 'sequence' | 'tasks'> & { receivedAt: MonotonicTime };

/** A machine, and the tasks that its last heartbeat named. */
export type MachineTasks = [machine: MachineId, tasks: Heartbeat['tasks']];

/** Remembers when machines sent their last heartbeats, and which tasks these named. */
export class LastHeartbeats {
  private readonly byMachine = new Map<MachineId, LastHeartbeat>();

  /** Takes in a heartbeat, unless it is a late copy, which says nothing of the present. */
  record({ id, incarnation, sequence, tasks }: Heartbeat, now: MonotonicTime): void {
    const last = this.byMachine.get(id);
    if (last && !isNewer(incarnation, sequence, last)) return;
    if (!last && this.byMachine.size >= MAX_MACHINES) this.byMachine.clear();
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

  /** Drops what is known of a machine. */
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
