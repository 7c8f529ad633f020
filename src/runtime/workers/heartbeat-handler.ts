// Workers' reports, at whichever controller they arrive: the leader answers with commands; others redirect,
// relay, or keep the worker alive while no leader can be reached.
import type { CancellationFeed } from '../cancellations/cancellation-feed.js';
import type { HttpReply } from '../http/http-reply.js';
import type { LeaderElection } from '../leadership/leader-election.js';
import { LeaderRoutes, type LeaderRoute } from '../peers/leader-route.js';
import type { PeerLink } from '../peers/peer-link.js';
import type { LeaderStatus } from '../../wire/peer-messages.js';
import type { LeaderLoop } from '../leadership/leader-loop.js';
import type { PlatformSettings } from '../../config/platform.js';
import { highestKnownTerm } from '../../core/election.js';
import type { Command, Heartbeat } from '../../core/types.js';
import { equalUint64, type MachineId, type MonotonicTime } from '../../core/units.js';
import { encode, tryDecode } from '../../wire/cbor.js';
import { UnchangedHeartbeats } from './unchanged-heartbeats.js';
import { parseHeartbeat, redirectBody, heartbeatReply } from '../../wire/workers.js';
import type { Logger } from '../logger.js';

const RELAY_TIMEOUT_MS = 2500;
/** A worker is sent elsewhere at most once in this time: each move may cost it 5 s of its lease. */
const REDIRECT_EVERY_MS = 60_000;
/** A worker sent away since we can't do more than keep it is kept if it comes back within this time. */
const DISMISS_EVERY_MS = 20_000;
const REPORTS_LOG_MS = 10_000;
/** Guards against names without end from outside. */
const MOST_REPORTS = 5000;
/** Reports a second that a leader takes itself, by the part of a core that it has. */
const DIRECT_OF_A_CORE = 200;
const LEAST_DIRECT = 10;

const steady = (): MonotonicTime => performance.now() as MonotonicTime;
const answer = (status: number, body: unknown): HttpReply => ({ status, body: encode(body) });
const redirectTo = (leader: Parameters<typeof redirectBody>[0]): HttpReply =>
  answer(421, redirectBody(leader));

type Outcome = 'answered' | 'relayed' | 'vouched for' | 'kept alive' | 'sent elsewhere' | 'refused';

/** Events a second, over the last full second. */
class Rate {
  private since: number = -Infinity;
  private count = 0;
  private last = 0;

  note(now: number): void {
    this.turn(now);
    this.count++;
  }

  perSecond(now: number): number {
    this.turn(now);
    return this.last;
  }

  private turn(now: number): void {
    if (now - this.since < 1000) return;
    this.last = now - this.since < 2000 ? this.count : 0;
    this.since = now;
    this.count = 0;
  }
}

export class HeartbeatHandler {
  /** The last report of each machine that reports here. */
  private readonly lastReports = new Map<
    MachineId,
    Pick<Heartbeat, 'incarnation' | 'sequence' | 'tasks'> & { at: MonotonicTime }
  >();
  private readonly redirectedAt = new Map<MachineId, MonotonicTime>();
  private readonly dismissedAt = new Map<MachineId, MonotonicTime>();
  private readonly unchangedReports = new UnchangedHeartbeats();
  private readonly routes: LeaderRoutes;
  private readonly direct = new Rate();
  private readonly outcomes = new Map<Outcome, number>();
  private loggedAt = -Infinity;
  private leaderSeenAt = -Infinity;
  private directAt = -Infinity;

  constructor(
    private readonly platform: PlatformSettings,
    private readonly membership: LeaderElection,
    private readonly links: PeerLink[],
    private readonly leading: () => LeaderLoop | null,
    private readonly log: Logger,
    private readonly storeAvailable: () => boolean,
    private readonly cancelled: Pick<CancellationFeed, 'has' | 'mayRenewLeases'>,
    private readonly clock: () => MonotonicTime = steady,
  ) {
    this.routes = new LeaderRoutes(links, platform.name);
  }

  /**
   * A leader was heard of, by us now or by a peer some time ago: keeping workers alive is bounded from here. A
   * peer's word is what a controller has that was just restarted.
   */
  recordLeaderSeen(agoMs = 0): void {
    this.leaderSeenAt = Math.max(this.leaderSeenAt, this.clock() - agoMs);
  }

  get leaderSeenAgoMs(): number | null {
    return this.leaderSeenAt === -Infinity ? null : this.clock() - this.leaderSeenAt;
  }

  /** Whether workers reach this controller themselves; a cut may spare the peers and the state service. */
  get receivesHeartbeats(): boolean {
    return this.clock() - this.directAt < this.platform.workers.heartbeatIntervalS * 2000 + 500;
  }

  async handle(body: Buffer): Promise<HttpReply> {
    const now = this.clock();
    this.directAt = now;
    this.direct.note(now);
    const [outcome, reply] = await this.decide(body, false, now);
    this.count(outcome, now);
    return reply;
  }

  /** A report that a peer passes on; `quiet`: its machine may be vouched for until something changes. */
  async handleForwarded(body: Buffer): Promise<HttpReply & { quiet: boolean }> {
    const now = this.clock();
    const [outcome, reply, machine] = await this.decide(body, true, now);
    this.count(outcome, now);
    const quiet = machine !== undefined && (this.leading()?.leaderCore?.isInSync(machine) ?? false);
    return { ...reply, quiet: reply.status === 200 && quiet };
  }

  private async decide(
    body: Buffer,
    relayed: boolean,
    now: MonotonicTime,
  ): Promise<[Outcome, HttpReply, MachineId?]> {
    const parsed = parseHeartbeat(tryDecode(body));
    if (!parsed.ok) {
      this.log.rateLimited('report', 'info', { cause: parsed.cause }, 'malformed report refused');
      return ['refused', answer(400, { error: parsed.cause })];
    }
    const report = parsed.value;
    if (!relayed) this.noteReport(report, now);
    if (this.membership.holdsLease) return [...this.asLeader(report, relayed, now), report.id];
    const route = this.leaderRoute(now);
    if (route) {
      if (route.leader.leading) this.leaderSeenAt = now;
      return this.toLeader(report, body, route, now);
    }
    const refused = this.refusingLeader(now);
    if (refused && this.mayDismiss(report, now)) return ['sent elsewhere', redirectTo(refused.name)];
    return this.renewWithoutLeader(report, now);
  }

  /**
   * Connections between controllers are refused, but the state service says who leads: the worker reports there
   * itself. Not behind a cut, which answers nothing: there the move would cost the worker its lease.
   */
  private refusingLeader(now: MonotonicTime): PeerLink | null {
    const { leader } = this.membership.electionState;
    if (!leader || !this.storeAvailable()) return null;
    return this.links.find((l) => l.name === leader.node && l.refusesConnections(now)) ?? null;
  }

  private mayDismiss(report: Heartbeat, now: MonotonicTime): boolean {
    const last = this.dismissedAt.get(report.id);
    if (this.dismissedAt.size > 5000) this.dismissedAt.clear();
    if (last !== undefined && now - last < DISMISS_EVERY_MS) return false;
    this.dismissedAt.set(report.id, now);
    return true;
  }

  private asLeader(report: Heartbeat, relayed: boolean, now: MonotonicTime): [Outcome, HttpReply] {
    const loop = this.leading();
    const term = this.membership.electionState.heldLease!.term;
    // An answer under a lower token would be dropped and would hold the worker here.
    if (report.fencingToken > term) return ['sent elsewhere', redirectTo(null)];
    if (this.membership.hasAuthority) {
      this.leaderSeenAt = now;
      if (!this.cancelled.mayRenewLeases(now)) return ['refused', answer(503, {})];
      const closer = relayed ? null : (this.closerTo(report, now) ?? this.lessBusy(report, now));
      if (closer) return ['sent elsewhere', redirectTo(closer.name)];
      return ['answered', answer(200, heartbeatReply(term, loop?.onHeartbeat(report) ?? []))];
    }
    loop?.leaderCore?.onHeartbeatWithoutAuthority(report, now);
    return this.renewWithoutLeader(report, now);
  }

  /**
   * A controller in the worker's own zone, if workers do reach it. When the zones are cut apart, the worker is then
   * already where it can be kept alive: trying the others one by one could outlast its lease.
   */
  private closerTo(report: Heartbeat, now: MonotonicTime): PeerLink | null {
    if (report.zone === this.platform.zone) return null;
    return this.redirectToZone(report, now);
  }

  /** A leader with more reports of its own than it has processor for leaves them to others of the worker's zone. */
  private lessBusy(report: Heartbeat, now: MonotonicTime): PeerLink | null {
    const most = Math.max(LEAST_DIRECT, this.platform.limits.cpu * DIRECT_OF_A_CORE);
    return this.direct.perSecond(now) > most ? this.redirectToZone(report, now) : null;
  }

  private redirectToZone(report: Heartbeat, now: MonotonicTime): PeerLink | null {
    const last = this.redirectedAt.get(report.id);
    if (last !== undefined && now - last < REDIRECT_EVERY_MS) return null;
    const near = this.links.filter(
      (l) => l.zone === report.zone && l.isAlive(now) && l.status?.receivesHeartbeats,
    );
    if (near.length === 0) return null;
    if (this.redirectedAt.size > 5000) this.redirectedAt.clear();
    this.redirectedAt.set(report.id, now);
    // Spread over the controllers there.
    return near[this.redirectedAt.size % near.length];
  }

  /**
   * Whoever a worker reports to passes the report on: it need not find the leader anew whenever another one leads,
   * and a leader that workers can't reach still hears them. A relayed answer is settled like a direct one.
   */
  private async toLeader(
    report: Heartbeat,
    body: Buffer,
    route: LeaderRoute,
    now: MonotonicTime,
  ): Promise<[Outcome, HttpReply]> {
    const closer = this.closerTo(report, now);
    if (closer) return ['sent elsewhere', redirectTo(closer.name)];
    const { term, leading } = route.leader;
    if (this.mayAnswerUnchanged(report, now) && this.unchangedReports.tryConfirmUnchanged(report, route))
      return ['vouched for', answer(200, heartbeatReply(term, []))];
    const relayed = await route.ask({ kind: 'forwarded-heartbeat', heartbeat: body }, RELAY_TIMEOUT_MS);
    // One without authority may not be able to answer for the worker; then we may.
    if (relayed && (relayed.status === 200 || leading)) {
      const { status, body: reply, inSync } = relayed;
      this.unchangedReports.recordFullHeartbeat(report, term, status === 200 && inSync);
      return ['relayed', { status, body: Buffer.from(reply) }];
    }
    return this.renewWithoutLeader(report, this.clock());
  }

  private noteReport({ id, incarnation, sequence, tasks }: Heartbeat, now: MonotonicTime): void {
    const last = this.lastReports.get(id);
    // A copy says nothing of now.
    if (
      last &&
      (incarnation < last.incarnation ||
        (equalUint64(incarnation, last.incarnation) && sequence <= last.sequence))
    )
      return;
    if (!last && this.lastReports.size >= MOST_REPORTS) this.lastReports.clear();
    this.lastReports.set(id, { incarnation: incarnation, sequence: sequence, tasks, at: now });
  }

  private mayAnswerUnchanged(report: Heartbeat, now: MonotonicTime): boolean {
    return this.cancelled.mayRenewLeases(now) && !report.tasks.some((t) => this.cancelled.has(t.job));
  }

  /**
   * No leader in reach: work goes on under the last token. Only while every cancellation that could matter is known
   * here, and then the tasks of cancelled jobs are stopped: that is final, so it needs no authority.
   */
  private renewWithoutLeader(report: Heartbeat, now: MonotonicTime): [Outcome, HttpReply] {
    const [outcome, reply] = this.decideWithoutLeader(report, now);
    const { id: machine, incarnation, sequence, fencingToken } = report;
    const cancellationsKnown = this.cancelled.mayRenewLeases(now);
    const { leaderSeenAgoMs } = this;
    this.log.debug(
      {
        machine,
        session: incarnation,
        seq: sequence,
        token: fencingToken,
        outcome,
        cancellationsKnown,
        leaderSeenAgoMs,
      },
      'report answered without a leader',
    );
    return [outcome, reply];
  }

  private decideWithoutLeader(report: Heartbeat, now: MonotonicTime): [Outcome, HttpReply] {
    if (!this.cancelled.mayRenewLeases(now)) return ['refused', answer(503, {})];
    // Served by the state service, and yet no leader for long: the worker may well reach it where we can't.
    if (this.storeAvailable() && now - this.leaderSeenAt > this.leaderlessMs)
      return ['refused', answer(503, {})];
    // Cut off from everybody but the workers: another controller may lead, and they can reach it. If none answers
    // them they come back, and are kept.
    if (this.isolated(now) && this.mayDismiss(report, now)) return ['sent elsewhere', redirectTo(null)];
    const term = highestKnownTerm(this.membership.electionState);
    // A token above ours: another controller has a newer leader. A worker that comes back has found none, and is
    // answered under the token that it has, since a lower one would hold it here in vain.
    const newer = report.fencingToken > term;
    if (newer && (this.storeAvailable() || this.mayDismiss(report, now)))
      return ['sent elsewhere', redirectTo(null)];
    const token = newer ? report.fencingToken : term;
    return ['kept alive', answer(200, heartbeatReply(token, this.stopsFor(report)))];
  }

  private stopsFor(report: Heartbeat): Command[] {
    const stops: Command[] = [];
    for (const { state, job, index, attempt } of report.tasks) {
      if (state === 'exited' || !this.cancelled.has(job)) continue;
      stops.push({ op: 'stop', job, index, attempt, gracePeriodS: 0 });
    }
    return stops;
  }

  private get leaderlessMs(): number {
    const { cancelS, leaseS, heartbeatIntervalS } = this.platform.workers;
    return (cancelS - leaseS - 2 * heartbeatIntervalS - 4) * 1000;
  }

  private isolated(now: MonotonicTime): boolean {
    return !this.storeAvailable() && this.links.length > 0 && !this.links.some((l) => l.isAlive(now));
  }

  /** To the leader; else to whoever holds its lease: it goes on learning where tasks are, and whom to fence. */
  private leaderRoute(now: MonotonicTime): LeaderRoute | null {
    return this.routes.find(highestKnownTerm(this.membership.electionState), now);
  }

  /** The leader that this controller reaches without another one in between. */
  get reachableLeader(): LeaderStatus | null {
    return this.routes.directlyReachableLeader(highestKnownTerm(this.membership.electionState), this.clock());
  }

  /** Somebody knows the whole cluster: this controller, or one that it can reach. */
  isLeaderReachable(now: MonotonicTime): boolean {
    return (this.leading()?.leaderCore ?? null) !== null || this.leaderRoute(now) !== null;
  }

  /** Machines that reported to us themselves, and now are silent, with what they last held. */
  machinesWithoutHeartbeatFor(ms: number, now: MonotonicTime): [MachineId, Heartbeat['tasks']][] {
    const silent = [...this.lastReports].filter(([, r]) => now - r.at >= ms);
    return silent.map(([id, r]) => [id, r.tasks]);
  }

  /** Of these, the ones that reported to us lately. */
  recentlyReporting(machines: string[]): MachineId[] {
    const since = this.clock() - this.platform.workers.leaseS * 1000;
    return (machines as MachineId[]).filter((id) => (this.lastReports.get(id)?.at ?? -Infinity) > since);
  }

  forgetHeartbeat(id: MachineId): void {
    this.lastReports.delete(id);
  }

  private count(outcome: Outcome, now: MonotonicTime): void {
    this.outcomes.set(outcome, (this.outcomes.get(outcome) ?? 0) + 1);
    if (now - this.loggedAt < REPORTS_LOG_MS) return;
    this.loggedAt = now;
    this.log.info({ outcomes: Object.fromEntries(this.outcomes) }, 'reports');
    this.outcomes.clear();
  }
}
