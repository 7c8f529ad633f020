/**
 * Workers' heartbeats, at whichever controller they arrive: the leader answers with commands; others forward them to
 * it, redirect the worker, or renew its lease while no leader can be reached.
 */
import type { PlatformSettings } from '../../config/platform.js';
import { highestKnownTerm } from '../../core/election.js';
import type { Heartbeat } from '../../core/heartbeat.js';
import type { MachineId, MonotonicTime, Term } from '../../core/units.js';
import { tryDecode } from '../../wire/cbor.js';
import type { LeaderStatus } from '../../wire/peer-messages.js';
import { heartbeatReply, parseHeartbeat } from '../../wire/workers.js';
import type { CancellationFeed } from '../cancellations/cancellation-feed.js';
import { monotonicNow } from '../clock.js';
import type { HttpReply } from '../http/http-reply.js';
import type { LeaderElection } from '../leadership/leader-election.js';
import type { LeaderLoop } from '../leadership/leader-loop.js';
import type { Logger } from '../logger.js';
import { LeaderRoutes, type LeaderRoute } from '../peers/leader-route.js';
import type { PeerLink } from '../peers/peer-link.js';
import {
  answered,
  malformed,
  redirected,
  unavailable,
  type HeartbeatOutcome,
  type HeartbeatResult,
} from './heartbeat-outcome.js';
import { LastHeartbeats, type MachineTasks } from './last-heartbeats.js';
import { LeaderlessRenewal } from './leaderless-renewal.js';
import { UnchangedHeartbeats } from './unchanged-heartbeats.js';
import { WorkerRedirection } from './worker-redirection.js';
import { HTTP_STATUS } from '../http/http-status.js';

const FORWARD_TIMEOUT_MS = 2500;
const OUTCOMES_LOG_INTERVAL_MS = 10_000;
/** After so many heartbeat intervals without one, and a margin, no worker reaches this controller. */
const MISSED_INTERVALS = 2;
const MISSED_MARGIN_MS = 500;

/** What the handling of heartbeats depends on. */
export interface HeartbeatHandlerDependencies {
  platform: PlatformSettings;
  election: LeaderElection;
  links: PeerLink[];
  /** The leader's loop while this controller leads. */
  leaderLoop: () => LeaderLoop | null;
  cancellations: Pick<CancellationFeed, 'has' | 'mayRenewLeases'>;
  storeAvailable: () => boolean;
  log: Logger;
  clock?: () => MonotonicTime;
}

/** A reply to a heartbeat that a peer forwarded. */
export interface ForwardedHeartbeatResult extends HttpReply {
  /** The leader expects nothing of the machine: its next heartbeats need not be forwarded while they are unchanged. */
  inSync: boolean;
}

/** The result of a heartbeat, and its machine if this controller holds the leader's lease. */
interface RoutedHeartbeat extends HeartbeatResult {
  machineOfLeader?: MachineId;
}

/** Answers heartbeats, and knows which workers reach this controller. */
export class HeartbeatHandler {
  private readonly lastHeartbeats = new LastHeartbeats();
  private readonly unchangedHeartbeats = new UnchangedHeartbeats();
  private readonly redirection: WorkerRedirection;
  private readonly leaderlessRenewal: LeaderlessRenewal;
  private readonly routes: LeaderRoutes;
  private readonly clock: () => MonotonicTime;
  private readonly outcomes = new Map<HeartbeatOutcome, number>();
  private outcomesLoggedAt = -Infinity;
  private lastDirectHeartbeatAt = -Infinity;

  constructor(private readonly dependencies: HeartbeatHandlerDependencies) {
    const { platform, links } = dependencies;
    this.clock = dependencies.clock ?? monotonicNow;
    this.routes = new LeaderRoutes(links, platform.name);
    this.redirection = new WorkerRedirection(platform, links);
    this.leaderlessRenewal = new LeaderlessRenewal({ ...dependencies, redirection: this.redirection });
  }

  /**
   * A leader was known to exist, to us now or to a peer some time ago: the renewal of leases without a leader is
   * bounded from here. What a peer knows is all that a controller has that was just restarted.
   */
  recordLeaderSeen(agoMs = 0): void {
    this.leaderlessRenewal.recordLeaderSeen(this.clock() - agoMs);
  }

  /** How long ago a leader was last known to exist; null if never. */
  get leaderSeenAgoMs(): number | null {
    return this.leaderlessRenewal.leaderSeenAgoMs(this.clock());
  }

  /** Whether workers reach this controller themselves; a partition may spare the links to peers and store. */
  get receivesHeartbeats(): boolean {
    const toleratedMs = this.dependencies.platform.workers.heartbeatIntervalS * 1000 * MISSED_INTERVALS;
    return this.clock() - this.lastDirectHeartbeatAt < toleratedMs + MISSED_MARGIN_MS;
  }

  /** The leader that this controller reaches without another one in between. */
  get reachableLeader(): LeaderStatus | null {
    return this.routes.directlyReachableLeader(this.minLeaderTerm, this.clock());
  }

  /** Answers a heartbeat that its worker sent here. */
  async handle(body: Buffer): Promise<HttpReply> {
    const now = this.clock();
    this.lastDirectHeartbeatAt = now;
    this.redirection.recordDirectHeartbeat(now);
    const { outcome, reply } = await this.route(body, 'worker', now);
    this.countOutcome(outcome, now);
    return reply;
  }

  /** Answers a heartbeat that a peer forwards. */
  async handleForwarded(body: Buffer): Promise<ForwardedHeartbeatResult> {
    const now = this.clock();
    const { outcome, reply, machineOfLeader: machine } = await this.route(body, 'peer', now);
    this.countOutcome(outcome, now);
    const leader = this.dependencies.leaderLoop()?.leader;
    const inSync = machine !== undefined && (leader?.isInSync(machine) ?? false);
    return { ...reply, inSync: reply.status === HTTP_STATUS.ok && inSync };
  }

  /** Whether the whole cluster is known to somebody: to this controller, or to one that it can reach. */
  isLeaderReachable(now: MonotonicTime): boolean {
    return (this.dependencies.leaderLoop()?.leader ?? null) !== null || this.leaderRoute(now) !== null;
  }

  /** Machines that sent heartbeats here, and for so long none any more, with what they last held. */
  machinesWithoutHeartbeatFor(ms: number, now: MonotonicTime): MachineTasks[] {
    return this.lastHeartbeats.olderThan(ms, now);
  }

  /** Of these machines, the ones that sent a heartbeat here within the last lease. */
  machinesWithRecentHeartbeat(machines: string[]): MachineId[] {
    const since = this.clock() - this.dependencies.platform.workers.leaseS * 1000;
    return (machines as MachineId[]).filter((id) => this.lastHeartbeats.receivedSince(id, since));
  }

  /** Drops what is known of a machine. */
  removeHeartbeat(id: MachineId): void {
    this.lastHeartbeats.remove(id);
  }

  private async route(body: Buffer, from: 'worker' | 'peer', now: MonotonicTime): Promise<RoutedHeartbeat> {
    const { log, election } = this.dependencies;
    const parsed = parseHeartbeat(tryDecode(body));
    if (!parsed.ok) {
      log.rateLimited('heartbeat', 'info', { cause: parsed.cause }, 'malformed heartbeat refused');
      return malformed(parsed.cause);
    }
    const heartbeat = parsed.value;
    if (from === 'worker') this.lastHeartbeats.record(heartbeat, now);
    if (election.holdsLease)
      return { ...this.answerAsLeader(heartbeat, from, now), machineOfLeader: heartbeat.id };
    const route = this.leaderRoute(now);
    if (route) {
      if (route.leader.leading) this.leaderlessRenewal.recordLeaderSeen(now);
      return this.forward(heartbeat, body, route, now);
    }
    const leader = this.leaderRefusingConnections(now);
    if (leader && this.redirection.tryClaimRedirect(heartbeat.id, now)) return redirected(leader.name);
    return this.leaderlessRenewal.answer(heartbeat, now);
  }

  /**
   * Connections between controllers are refused, but the key-value store says who leads: the worker reports there
   * itself. Not behind a partition, which answers nothing: there the move would cost the worker its lease.
   */
  private leaderRefusingConnections(now: MonotonicTime): PeerLink | null {
    const { leader } = this.dependencies.election.electionState;
    if (!leader || !this.dependencies.storeAvailable()) return null;
    const { links } = this.dependencies;
    return links.find((link) => link.name === leader.node && link.refusesConnections(now)) ?? null;
  }

  private answerAsLeader(heartbeat: Heartbeat, from: 'worker' | 'peer', now: MonotonicTime): HeartbeatResult {
    const { election, cancellations } = this.dependencies;
    const loop = this.dependencies.leaderLoop();
    const { term } = election.electionState.heldLease!;
    // An answer under a lower token would be dropped and would hold the worker here.
    if (heartbeat.fencingToken > term) return redirected(null);
    if (!election.hasAuthority) {
      loop?.leader?.onHeartbeatWithoutAuthority(heartbeat, now);
      return this.leaderlessRenewal.answer(heartbeat, now);
    }
    this.leaderlessRenewal.recordLeaderSeen(now);
    if (!cancellations.mayRenewLeases(now)) return unavailable();
    const other = from === 'worker' ? this.controllerForWorker(heartbeat, now) : null;
    if (other) return redirected(other.name);
    return answered('answered by the leader', heartbeatReply(term, loop?.onHeartbeat(heartbeat) ?? []));
  }

  private controllerForWorker(heartbeat: Heartbeat, now: MonotonicTime): PeerLink | null {
    const { redirection } = this;
    return redirection.closerController(heartbeat, now) ?? redirection.lessBusyController(heartbeat, now);
  }

  /**
   * Whoever a worker reports to forwards its heartbeats: it need not find the leader anew whenever another one leads,
   * and a leader that workers can't reach still gets them. A forwarded answer is acted upon like a direct one.
   */
  private async forward(
    heartbeat: Heartbeat,
    body: Buffer,
    route: LeaderRoute,
    now: MonotonicTime,
  ): Promise<HeartbeatResult> {
    const closer = this.redirection.closerController(heartbeat, now);
    if (closer) return redirected(closer.name);
    const { term, leading } = route.leader;
    if (
      this.mayConfirmUnchanged(heartbeat, now) &&
      this.unchangedHeartbeats.tryConfirmUnchanged(heartbeat, route)
    )
      return answered('confirmed unchanged', heartbeatReply(term, []));
    const answer = await route.ask({ kind: 'forwarded-heartbeat', heartbeat: body }, FORWARD_TIMEOUT_MS);
    // One without authority may not be able to answer for the worker; then we may.
    if (answer && (answer.status === HTTP_STATUS.ok || leading)) {
      const { status, body: replyBody, inSync } = answer;
      this.unchangedHeartbeats.recordFullHeartbeat(heartbeat, term, status === HTTP_STATUS.ok && inSync);
      return { outcome: 'forwarded', reply: { status, body: Buffer.from(replyBody) } };
    }
    return this.leaderlessRenewal.answer(heartbeat, this.clock());
  }

  private mayConfirmUnchanged({ tasks }: Heartbeat, now: MonotonicTime): boolean {
    const { cancellations } = this.dependencies;
    return cancellations.mayRenewLeases(now) && !tasks.some((task) => cancellations.has(task.job));
  }

  /** To the leader; else to whoever holds its lease: it goes on learning where tasks are, and whom to fence. */
  private leaderRoute(now: MonotonicTime): LeaderRoute | null {
    return this.routes.find(this.minLeaderTerm, now);
  }

  private get minLeaderTerm(): Term {
    return highestKnownTerm(this.dependencies.election.electionState);
  }

  private countOutcome(outcome: HeartbeatOutcome, now: MonotonicTime): void {
    this.outcomes.set(outcome, (this.outcomes.get(outcome) ?? 0) + 1);
    if (now - this.outcomesLoggedAt < OUTCOMES_LOG_INTERVAL_MS) return;
    this.outcomesLoggedAt = now;
    this.dependencies.log.info({ outcomes: Object.fromEntries(this.outcomes) }, 'heartbeats');
    this.outcomes.clear();
  }
}
