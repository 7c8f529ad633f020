// Workers' reports, at whichever controller they arrive: the leader answers with commands; others redirect,
// relay, or keep the worker alive while no leader can be reached.
import type { HttpReply } from './http-server.js';
import type { Membership } from './membership.js';
import type { PeerLink } from './peer-link.js';
import type { LeaderLoop } from './leader-loop.js';
import type { Platform } from '../config/platform.js';
import { highestTerm } from '../core/election.js';
import type { Report } from '../core/types.js';
import { sameCounter, type MachineId, type Steady } from '../core/units.js';
import { encode, tryDecode } from '../wire/cbor.js';
import { parseReport, redirectBody, reportAnswer } from '../wire/workers.js';
import type { Logger } from './logger.js';

const RELAY_TIMEOUT_MS = 2500;
const BOUNCES_BEFORE_RELAY = 2;

const steady = (): Steady => performance.now() as Steady;
const answer = (status: number, body: unknown): HttpReply => ({ status, body: encode(body) });
const elsewhere = (leader: Parameters<typeof redirectBody>[0]): HttpReply =>
  answer(421, redirectBody(leader));

export class Checkin {
  private readonly bounces = new Map<MachineId, { count: number; at: Steady }>();
  private leaderSeenAt = -Infinity;

  constructor(
    private readonly platform: Platform,
    private readonly membership: Membership,
    private readonly links: PeerLink[],
    private readonly leading: () => LeaderLoop | null,
    private readonly log: Logger,
    private readonly clock: () => Steady = steady,
  ) {}

  /** A leader was heard of, by whatever message: keeping workers alive is bounded from here. */
  sawLeader(): void {
    this.leaderSeenAt = this.clock();
  }

  async handle(body: Buffer, relayed = false): Promise<HttpReply> {
    const parsed = parseReport(tryDecode(body));
    if (!parsed.ok) {
      this.log.limited('report', 'info', { cause: parsed.cause }, 'malformed report refused');
      return answer(400, { error: parsed.cause });
    }
    const report = parsed.value;
    const now = this.clock();
    const link = this.leaderLink(now);
    if (this.membership.holdsLease) return this.asLeader(report, relayed, now);
    if (link) {
      this.leaderSeenAt = now;
      return this.toLeader(report, body, link, now);
    }
    return this.keepAlive(report, now);
  }

  private asLeader(report: Report, relayed: boolean, now: Steady): HttpReply {
    const loop = this.leading();
    const term = this.membership.election.held!.term;
    // An answer under a lower token would be dropped and would hold the worker here.
    if (report.token > term) return elsewhere(null);
    if (this.membership.authority) {
      this.leaderSeenAt = now;
      const closer = relayed ? null : this.closerTo(report, now);
      if (closer && this.bounce(report.id, now)) return elsewhere(closer.name);
      return answer(200, reportAnswer(term, loop?.report(report) ?? []));
    }
    loop?.core?.onReportWithoutAuthority(report, now);
    return this.keepAlive(report, now);
  }

  /**
   * A controller in the worker's own zone passes its reports on. When the zones are cut apart, the worker is then
   * already where it can be kept alive: trying the others one by one could outlast its lease.
   */
  private closerTo(report: Report, now: Steady): PeerLink | null {
    if (report.zone === this.platform.zone) return null;
    return this.links.find((l) => l.zone === report.zone && l.alive(now)) ?? null;
  }

  /** False for a worker that was sent away twice and is back: it can't reach where it was sent. */
  private bounce(id: MachineId, now: Steady): boolean {
    const last = this.bounces.get(id);
    const windowMs = this.platform.workers.leaseS * 1000;
    const count = last && now - last.at < windowMs ? last.count : 0;
    if (this.bounces.size > 2000) this.bounces.clear();
    const away = count < BOUNCES_BEFORE_RELAY;
    this.bounces.set(id, { count: away ? count + 1 : count, at: now });
    return away;
  }

  private async toLeader(report: Report, body: Buffer, link: PeerLink, now: Steady): Promise<HttpReply> {
    const own = report.zone === this.platform.zone && link.zone !== this.platform.zone;
    // It has the leader's token, so it was there and left: it can't reach the leader, and its lease is running.
    const left = sameCounter(report.token, highestTerm(this.membership.election));
    if (!own && !left && this.bounce(report.id, now)) return elsewhere(link.name);
    const relayed = await link.ask({ kind: 'relay', report: body }, RELAY_TIMEOUT_MS);
    const status = relayed?.['status'];
    const bytes = relayed?.['body'];
    if (typeof status === 'number' && bytes instanceof Uint8Array)
      return { status, body: Buffer.from(bytes) };
    return this.keepAlive(report, this.clock());
  }

  /**
   * No leader in reach: work goes on under the last token, with no commands. Bounded, since nobody here learns
   * of cancellations: with the lease added, a cancelled task must still be gone within cancel_s.
   */
  private keepAlive(report: Report, now: Steady): HttpReply {
    const { cancelS, leaseS, reportS } = this.platform.workers;
    const windowMs = (cancelS - leaseS - 2 * reportS - 4) * 1000;
    const term = highestTerm(this.membership.election);
    if (term === 0 || now - this.leaderSeenAt > windowMs) return answer(503, {});
    if (report.token > term) return elsewhere(null);
    return answer(200, reportAnswer(term, []));
  }

  private leaderLink(now: Steady): PeerLink | null {
    for (const link of this.links) {
      if (
        link.alive(now) &&
        link.status?.leading &&
        link.status.term >= highestTerm(this.membership.election)
      ) {
        return link;
      }
    }
    return null;
  }
}
