// Unchanged reports, vouched for in batches: most reports of a large cluster say what the one before said, and the
// leader need not read each. It decides which machines may be vouched for, and asks for the rest in full.
import { sameTasks } from '../core/cluster.js';
import type { Report, UnchangedReport } from '../core/types.js';
import { sameCounter, type Counter, type MachineId, type Term } from '../core/units.js';
import { sameRoute, type LeaderRoute } from './leader-route.js';

const GATHER_MS = 200;
const TIMEOUT_MS = 1500;
/** Guards against names without end from outside. */
const MOST_KEPT = 5000;

interface Known {
  term: Term;
  /** The report that the leader has read in full. */
  base: Report;
  /** The newest one vouched for. */
  seq: Counter;
}

export class UnchangedReports {
  private readonly known = new Map<MachineId, Known>();
  private batch = new Map<MachineId, UnchangedReport>();
  private batchRoute: LeaderRoute | null = null;

  /** The leader has read this report, and says whether its machine needs nothing and awaits nothing. */
  learn(report: Report, term: Term, quiet: boolean): void {
    if (!quiet || report.noticeS !== null || !sameCounter(report.token, term)) {
      this.known.delete(report.id);
      return;
    }
    if (this.known.size >= MOST_KEPT) this.known.clear();
    this.known.set(report.id, { term, base: report, seq: report.seq });
  }

  /** Whether this report can be answered here; if so the leader is told of it soon. */
  covers(report: Report, route: LeaderRoute): boolean {
    const { term } = route.leader;
    const k = this.known.get(report.id);
    if (!k || k.term !== term || !sameCounter(report.token, term) || report.noticeS !== null) return false;
    // An older report or a copy unchanged for nothing.
    if (!sameCounter(report.session, k.base.session) || !(report.seq > k.seq)) return false;
    if (!sameTasks(report.tasks, k.base.tasks) || report.endpoint !== k.base.endpoint) return false;
    k.seq = report.seq;
    this.add({ machine: report.id, session: report.session, seq: report.seq, base: k.base.seq }, route);
    return true;
  }

  private add(v: UnchangedReport, route: LeaderRoute): void {
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
      { kind: 'vouch', term: route.leader.term, machines: [...batch.values()] },
      TIMEOUT_MS,
    );
    // No word from the leader, or another one: every machine is reported in full again.
    for (const id of answer?.full ?? batch.keys()) this.known.delete(id);
  }
}
