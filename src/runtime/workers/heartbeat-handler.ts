/**
 * Handles workers' heartbeats at any controller. The leader replies with commands. A follower forwards the heartbeat to
 * the leader, redirects the worker, or renews the worker's lease itself while no leader can be reached.
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
  leaseRenewed,
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

const MS_PER_S = 1000;
const HEARTBEAT_FORWARD_TIMEOUT_MS = 2500;
const OUTCOMES_LOG_INTERVAL_MS = 10_000;
/** After this many intervals without a heartbeat, plus a margin, workers count as unable to reach this controller. */
const MISSED_INTERVALS = 2;
const MISSED_MARGIN_MS = 500;

/** Dependencies of the heartbeat handler. */
export interface HeartbeatHandlerDependencies {
  platform: PlatformSettings;
  election: LeaderElection;
  links: PeerLink[];
  /** The leader loop; null while this controller doesn't lead. */
  leaderLoop: () => LeaderLoop | null;
  cancellations: Pick<CancellationFeed, 'has' | 'mayRenewLeases'>;
  storeAvailable: () => boolean;
  log: Logger;
  clock?: () => MonotonicTime;
}

/** A reply to a heartbeat that a peer forwarded. */
export interface ForwardedHeartbeatResult extends HttpReply {
  /**
   * The leader has no command for the machine and awaits no change of it: the next heartbeats need not be forwarded
   * while they are unchanged.
   */
  inSync: boolean;
}

/** The result of a heartbeat, and its machine if this controller holds the leader lease. */
interface RoutedHeartbeat extends HeartbeatResult {
  machineIfLeader?: MachineId;
}

/** Replies to heartbeats, and records which workers send them to this controller. */
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
   * Records that a leader existed `agoMs` ago, as observed by this controller or reported by a peer. The time in which
   * leases are renewed without a leader starts there. A controller that was just restarted has only its peers' reports.
   */
  recordLeaderSeen(agoMs = 0): void {
    this.leaderlessRenewal.recordLeaderSeen(this.clock() - agoMs);
  }

  /** How long ago a leader was last known to exist; null if never. */
  get leaderSeenAgoMs(): number | null {
    return this.leaderlessRenewal.leaderSeenAgoMs(this.clock());
  }

  /**
   * Whether workers send heartbeats directly to this controller. A network partition can cut off the workers while the
   * peers and the key-value store remain reachable.
   */
  get receivesHeartbeats(): boolean {
    const maxGapMs = this.dependencies.platform.workers.heartbeatIntervalS * MS_PER_S * MISSED_INTERVALS;
    return this.clock() - this.lastDirectHeartbeatAt < maxGapMs + MISSED_MARGIN_MS;
  }

  /** The leader that this controller reaches directly, not through another controller. */
  get reachableLeader(): LeaderStatus | null {
    return this.routes.directlyReachableLeader(this.minLeaderTerm, this.clock());
  }

  /** Handles a heartbeat that a worker sent to this controller. */
  async handle(body: Buffer): Promise<HttpReply> {
    const now = this.clock();
    this.lastDirectHeartbeatAt = now;
    this.redirection.recordDirectHeartbeat(now);
    const { outcome, reply } = await this.process(body, 'worker', now);
    this.countOutcome(outcome, now);
    return reply;
  }

  /** Handles a heartbeat that a peer forwarded. */
  async handleForwarded(body: Buffer): Promise<ForwardedHeartbeatResult> {
    const now = this.clock();
    const { outcome, reply, machineIfLeader: machine } = await this.process(body, 'peer', now);
    this.countOutcome(outcome, now);
    const leader = this.dependencies.leaderLoop()?.leader;
    const inSync = machine !== undefined && (leader?.isInSync(machine) ?? false);
    return { ...reply, inSync: reply.status === HTTP_STATUS.ok && inSync };
  }

  /** Whether this controller leads with loaded state, or reaches a controller that leads or holds the leader lease. */
  isLeaderReachable(now: MonotonicTime): boolean {
    return (this.dependencies.leaderLoop()?.leader ?? null) !== null || this.leaderRoute(now) !== null;
  }

  /** Machines whose last heartbeat to this controller is at least this old, with the tasks that it reported. */
  machinesWithoutHeartbeatFor(ms: number, now: MonotonicTime): MachineTasks[] {
    return this.lastHeartbeats.olderThan(ms, now);
  }

  /** Returns those of the machines that sent a heartbeat to this controller within the last lease duration. */
  machinesWithRecentHeartbeat(machines: string[]): MachineId[] {
    const since = this.clock() - this.dependencies.platform.workers.leaseS * MS_PER_S;
    return (machines as MachineId[]).filter((id) => this.lastHeartbeats.receivedSince(id, since));
  }

  /** Removes a machine's last heartbeat. */
  removeHeartbeat(id: MachineId): void {
    this.lastHeartbeats.remove(id);
  }

  private async process(body: Buffer, from: 'worker' | 'peer', now: MonotonicTime): Promise<RoutedHeartbeat> {
    const { log, election } = this.dependencies;
    const parsed = parseHeartbeat(tryDecode(body));
    if (!parsed.ok) {
      log.rateLimited('heartbeat', 'info', { cause: parsed.cause }, 'malformed heartbeat refused');
      return malformed(parsed.cause);
    }
    const heartbeat = parsed.value;
    if (from === 'worker') this.lastHeartbeats.record(heartbeat, now);
    if (election.holdsLease)
      return { ...this.respondAsLeader(heartbeat, from, now), machineIfLeader: heartbeat.id };
    const route = this.leaderRoute(now);
    if (route) {
      if (route.leader.leading) this.leaderlessRenewal.recordLeaderSeen(now);
      return this.forward(heartbeat, body, route, now);
    }
    const leader = this.leaderRefusingConnections(now);
    if (leader && this.redirection.tryClaimRedirect(heartbeat.id, now)) return redirected(leader.name);
    return this.leaderlessRenewal.respond(heartbeat, now);
  }

  /**
   * The known leader, if it refuses connections from this controller while the key-value store is available; workers
   * are then redirected to it. In a network partition, connections get no response instead of a refusal, and a redirect
   * would cost the worker its lease.
   */
  private leaderRefusingConnections(now: MonotonicTime): PeerLink | null {
    const { leader } = this.dependencies.election.electionState;
    if (!leader || !this.dependencies.storeAvailable()) return null;
    const { links } = this.dependencies;
    return links.find((link) => link.name === leader.node && link.refusesConnections(now)) ?? null;
  }

  private respondAsLeader(
    heartbeat: Heartbeat,
    from: 'worker' | 'peer',
    now: MonotonicTime,
  ): HeartbeatResult {
    const { election, cancellations } = this.dependencies;
    const loop = this.dependencies.leaderLoop();
    const { term } = election.electionState.heldLease!;
    // The worker would ignore a reply with a lower fencing token, but continue to send heartbeats to this controller.
    if (heartbeat.fencingToken > term) return redirected(null);
    if (!election.hasAuthority) {
      loop?.leader?.onHeartbeatWithoutAuthority(heartbeat, now);
      return this.leaderlessRenewal.respond(heartbeat, now);
    }
    this.leaderlessRenewal.recordLeaderSeen(now);
    if (!cancellations.mayRenewLeases(now)) return unavailable();
    const other = from === 'worker' ? this.controllerForWorker(heartbeat, now) : null;
    if (other) return redirected(other.name);
    return leaseRenewed('answered by the leader', heartbeatReply(term, loop?.onHeartbeat(heartbeat) ?? []));
  }

  private controllerForWorker(heartbeat: Heartbeat, now: MonotonicTime): PeerLink | null {
    const { redirection } = this;
    return (
      redirection.controllerInWorkerZone(heartbeat, now) ??
      redirection.controllerForOffloading(heartbeat, now)
    );
  }

  /**
   * Forwards a heartbeat to the leader. Workers thus need not find the new leader after each election, and a leader
   * that workers can't reach still receives their heartbeats. A worker treats a forwarded reply like a direct one.
   */
  private async forward(
    heartbeat: Heartbeat,
    body: Buffer,
    route: LeaderRoute,
    now: MonotonicTime,
  ): Promise<HeartbeatResult> {
    const controllerInZone = this.redirection.controllerInWorkerZone(heartbeat, now);
    if (controllerInZone) return redirected(controllerInZone.name);
    const { term, leading } = route.leader;
    if (
      this.mayConfirmUnchanged(heartbeat, now) &&
      this.unchangedHeartbeats.tryConfirmUnchanged(heartbeat, route)
    )
      return leaseRenewed('confirmed unchanged', heartbeatReply(term, []));
    const response = await route.sendRequest(
      { kind: 'forwarded-heartbeat', heartbeat: body },
      HEARTBEAT_FORWARD_TIMEOUT_MS,
    );
    // A lease holder without authority may be unable to renew the worker's lease, while this controller can.
    if (response && (response.status === HTTP_STATUS.ok || leading)) {
      const { status, body: replyBody, inSync } = response;
      this.unchangedHeartbeats.recordFullHeartbeat(heartbeat, term, status === HTTP_STATUS.ok && inSync);
      return { outcome: 'forwarded', reply: { status, body: Buffer.from(replyBody) } };
    }
    return this.leaderlessRenewal.respond(heartbeat, this.clock());
  }

  private mayConfirmUnchanged({ tasks }: Heartbeat, now: MonotonicTime): boolean {
    const { cancellations } = this.dependencies;
    return cancellations.mayRenewLeases(now) && !tasks.some((task) => cancellations.has(task.job));
  }

  /**
   * The route to the leader, or without one, to the holder of the leader lease, which still needs heartbeats to track
   * where tasks run and which machines to fence.
   */
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
