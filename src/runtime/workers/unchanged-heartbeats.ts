// Unchanged reports, vouched for in batches: most reports of a large cluster say what the one before said, and the
// leader need not read each. It decides which machines may be vouched for, and asks for the rest in full.
import { sameTaskStatuses } from '../../core/task-status.js';
import type { Heartbeat, UnchangedHeartbeat } from '../../core/types.js';
import { equalUint64, type Uint64, type MachineId, type Term } from '../../core/units.js';
import { sameRoute, type LeaderRoute } from '../peers/leader-route.js';

const GATHER_MS = 200;
const TIMEOUT_MS = 1500;
/** Guards against names without end from outside. */
const MOST_KEPT = 5000;

interface Known {
  term: Term;
  /** The report that the leader has read in full. */
  base: Heartbeat;
  /** The newest one vouched for. */
  seq: Uint64;
}

export class UnchangedHeartbeats {
  private readonly known = new Map<MachineId, Known>();
  private batch = new Map<MachineId, UnchangedHeartbeat>();
  private batchRoute: LeaderRoute | null = null;

  /** The leader has read this report, and says whether its machine needs nothing and awaits nothing. */
  recordFullHeartbeat(report: Heartbeat, term: Term, quiet: boolean): void {
    if (!quiet || report.interruptionNoticeS !== null || !equalUint64(report.fencingToken, term)) {
      this.known.delete(report.id);
      return;
    }
    if (this.known.size >= MOST_KEPT) this.known.clear();
    this.known.set(report.id, { term, base: report, seq: report.sequence });
  }

  /** Whether this report can be answered here; if so the leader is told of it soon. */
  tryConfirmUnchanged(report: Heartbeat, route: LeaderRoute): boolean {
    const { term } = route.leader;
    const k = this.known.get(report.id);
    if (
      !k ||
      k.term !== term ||
      !equalUint64(report.fencingToken, term) ||
      report.interruptionNoticeS !== null
    )
      return false;
    // An older report or a copy unchanged for nothing.
    if (!equalUint64(report.incarnation, k.base.incarnation) || !(report.sequence > k.seq)) return false;
    if (!sameTaskStatuses(report.tasks, k.base.tasks) || report.endpoint !== k.base.endpoint) return false;
    k.seq = report.sequence;
    this.add(
      {
        machine: report.id,
        incarnation: report.incarnation,
        sequence: report.sequence,
        baseSequence: k.base.sequence,
      },
      route,
    );
    return true;
  }

  private add(v: UnchangedHeartbeat, route: LeaderRoute): void {
    if (this.batchRoute && !sameRoute(this.batchRoute, route)) this.batch.clear();
    this.batchRoute = route;
    this.batch.set(v.machine, v);
    if (this.batch.size === 1) setTimeout(() => void this.send(), GATHER_MS);
  }

  private async send(): Promise<void> {
    const { batchRoute: route, batch } = this;
    this.batch = new Map();
    if (!route || batch.size === 0) return;
    const answer = await route.ask(
      { kind: 'unchanged-heartbeats', term: route.leader.term, heartbeats: [...batch.values()] },
      TIMEOUT_MS,
    );
    // No word from the leader, or another one: every machine is reported in full again.
    for (const id of answer?.fullHeartbeatNeeded ?? batch.keys()) this.known.delete(id);
  }
}
