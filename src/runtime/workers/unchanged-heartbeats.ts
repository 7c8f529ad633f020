/**
 * Unchanged heartbeats, confirmed to the leader in batches: most heartbeats of a large cluster say what the one before
 * said, and the leader need not read each. It decides which machines this holds for, and asks for others in full.
 */
import { sameTaskStatuses } from '../../core/task-status.js';
import type { Heartbeat, UnchangedHeartbeat } from '../../core/heartbeat.js';
import { equalUint64, type Uint64, type MachineId, type Term } from '../../core/units.js';
import { sameRoute, type LeaderRoute } from '../peers/leader-route.js';

const BATCH_INTERVAL_MS = 200;
const BATCH_TIMEOUT_MS = 1500;
/** Guards against names without end from outside. */
const MAX_MACHINES = 5000;

/** What the leader knows of a machine that it expects nothing from. */
interface SyncedMachine {
  term: Term;
  /** The heartbeat that the leader has read in full. */
  base: Heartbeat;
  /** Of the newest heartbeat that was confirmed as unchanged. */
  confirmedSequence: Uint64;
}

/** Tells which heartbeats need not be forwarded, and confirms them to the leader. */
export class UnchangedHeartbeats {
  private readonly synced = new Map<MachineId, SyncedMachine>();
  private batch = new Map<MachineId, UnchangedHeartbeat>();
  private batchRoute: LeaderRoute | null = null;

  /** The leader has read this heartbeat; `inSync`: its machine needs nothing and awaits nothing. */
  recordFullHeartbeat(heartbeat: Heartbeat, term: Term, inSync: boolean): void {
    if (!inSync || heartbeat.interruptionNoticeS !== null || !equalUint64(heartbeat.fencingToken, term)) {
      this.synced.delete(heartbeat.id);
      return;
    }
    if (this.synced.size >= MAX_MACHINES) this.synced.clear();
    this.synced.set(heartbeat.id, { term, base: heartbeat, confirmedSequence: heartbeat.sequence });
  }

  /** Whether this heartbeat can be answered here; if so the leader is told of it soon. */
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
    const answer = await route.ask(
      { kind: 'unchanged-heartbeats', term: route.leader.term, heartbeats: [...batch.values()] },
      BATCH_TIMEOUT_MS,
    );
    // No answer from the leader, or another one leads: every machine is reported in full again.
    for (const id of answer?.machinesNeedingFullHeartbeat ?? batch.keys()) this.synced.delete(id);
  }
}

/** Whether a heartbeat says what the leader has read before. An older one or a copy is not taken as unchanged. */
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
