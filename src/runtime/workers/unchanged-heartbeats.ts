/**
 * Confirms unchanged heartbeats to the leader in batches. In a large cluster most heartbeats repeat the previous one,
 * and the leader need not process each of them. The leader decides for which machines this is enough, and requests full
 * heartbeats of the others.
 */
import { sameTaskStatuses } from '../../core/task-status.js';
import type { Heartbeat, UnchangedHeartbeat } from '../../core/heartbeat.js';
import { equalUint64, type Uint64, type MachineId, type Term } from '../../core/units.js';
import { sameRoute, type LeaderRoute } from '../peers/leader-route.js';

const BATCH_INTERVAL_MS = 200;
const BATCH_TIMEOUT_MS = 1500;
/** Bounds the memory use, because requests may contain an unlimited number of different machine ids. */
const MAX_SYNCED_MACHINES = 5000;

/** A machine for which the leader has no command and from which it awaits no change. */
interface SyncedMachine {
  term: Term;
  /** The heartbeat that the leader has processed in full. */
  base: Heartbeat;
  /** The sequence number of the newest heartbeat that was confirmed as unchanged. */
  confirmedSequence: Uint64;
}

/** Determines which heartbeats need not be forwarded, and confirms them to the leader as unchanged. */
export class UnchangedHeartbeats {
  private readonly synced = new Map<MachineId, SyncedMachine>();
  private batch = new Map<MachineId, UnchangedHeartbeat>();
  private batchRoute: LeaderRoute | null = null;

  /**
   * Records that the leader processed this heartbeat; `inSync`: it has no command for the machine and awaits no change
   * of it.
   */
  recordFullHeartbeat(heartbeat: Heartbeat, term: Term, inSync: boolean): void {
    if (!inSync || heartbeat.interruptionNoticeS !== null || !equalUint64(heartbeat.fencingToken, term)) {
      this.synced.delete(heartbeat.id);
      return;
    }
    if (this.synced.size >= MAX_SYNCED_MACHINES) this.synced.clear();
    this.synced.set(heartbeat.id, { term, base: heartbeat, confirmedSequence: heartbeat.sequence });
  }

  /** Returns whether this controller may reply to the heartbeat; if so, the next batch confirms it to the leader. */
  tryConfirmUnchanged(heartbeat: Heartbeat, route: LeaderRoute): boolean {
    const machine = this.synced.get(heartbeat.id);
    if (!machine || !isUnchanged(heartbeat, machine, route.leader.term)) return false;
    machine.confirmedSequence = heartbeat.sequence;
    this.addToBatch(
      {
        machine: heartbeat.id,
        incarnation: heartbeat.incarnation,
        sequence: heartbeat.sequence,
        baseSequence: machine.base.sequence,
      },
      route,
    );
    return true;
  }

  private addToBatch(unchanged: UnchangedHeartbeat, route: LeaderRoute): void {
    if (this.batchRoute && !sameRoute(this.batchRoute, route)) this.batch.clear();
    this.batchRoute = route;
    this.batch.set(unchanged.machine, unchanged);
    if (this.batch.size === 1) setTimeout(() => void this.sendBatch(), BATCH_INTERVAL_MS);
  }

  private async sendBatch(): Promise<void> {
    const { batchRoute: route, batch } = this;
    this.batch = new Map();
    if (!route || batch.size === 0) return;
    const response = await route.sendRequest(
      { kind: 'unchanged-heartbeats', term: route.leader.term, heartbeats: [...batch.values()] },
      BATCH_TIMEOUT_MS,
    );
    // Without a response, or if another controller leads by now, all machines of the batch need a full heartbeat again.
    for (const id of response?.machinesNeedingFullHeartbeat ?? batch.keys()) this.synced.delete(id);
  }
}

/** Whether a heartbeat repeats the one that the leader processed; an older heartbeat or a duplicate does not count. */
const isUnchanged = (heartbeat: Heartbeat, machine: SyncedMachine, term: Term): boolean => {
  const { base } = machine;
  return (
    machine.term === term &&
    equalUint64(heartbeat.fencingToken, term) &&
    heartbeat.interruptionNoticeS === null &&
    equalUint64(heartbeat.incarnation, base.incarnation) &&
    heartbeat.sequence > machine.confirmedSequence &&
    sameTaskStatuses(heartbeat.tasks, base.tasks) &&
    heartbeat.endpoint === base.endpoint
  );
};
