// Answers what other controllers ask.
import type { CancellationFeed } from '../cancellations/cancellation-feed.js';
import type { ImageLocationStore } from './image-locations.js';
import type { LeaderLoop } from '../leadership/leader-loop.js';
import { FORWARD_TIMEOUT_MS } from './leader-route.js';
import type { LeaderElection } from '../leadership/leader-election.js';
import type { PeerLink } from './peer-link.js';
import type { HeartbeatHandler } from '../workers/heartbeat-handler.js';
import type { UserApi } from '../users/user-api.js';
import type { JobId } from '../../core/units.js';
import {
  encodePeerResponse,
  type PeerKind,
  type PeerRequest,
  type PeerResponses,
  type PeerStatus,
  type RequestOf,
  type TaskCounts,
} from '../../wire/peer-messages.js';
import { parsePosition } from '../../wire/cancellation-pages.js';

export interface PeerHandlerDependencies {
  links: PeerLink[];
  election: LeaderElection;
  heartbeatHandler: HeartbeatHandler;
  cancellations: CancellationFeed;
  users: UserApi;
  imageLocations: ImageLocationStore;
  /** The leader's loop while this controller leads. */
  leaderLoop: () => LeaderLoop | null;
  status: () => PeerStatus;
  /** A peer tells its status. */
  onPeerStatus: (status: PeerStatus) => void;
  taskCounts: (job: JobId) => TaskCounts | null;
}

/** Null: this controller can't say. */
type Answer<K extends PeerKind> = PeerResponses[K] | null;

export class PeerHandler {
  private readonly answers: { [K in PeerKind]: (q: RequestOf<K>) => Answer<K> | Promise<Answer<K>> } = {
    heartbeat: (q) => this.heartbeat(q),
    cancellations: (q) => this.cancelled(q),
    'recent-heartbeats': (q) => ({
      machines: this.dependencies.heartbeatHandler.recentlyReporting(q.machines),
    }),
    'forwarded-heartbeat': (q) => this.relay(q),
    'unchanged-heartbeats': (q) => this.unchanged(q),
    forward: (q) => this.forward(q),
    'user-request': (q) => this.user(q),
    'image-locations': (q) => this.imageLocations(q),
    'task-counts': (q) => ({ counts: this.dependencies.taskCounts(q.job as JobId) }),
  };

  constructor(private readonly dependencies: PeerHandlerDependencies) {}

  async answer(request: PeerRequest): Promise<unknown> {
    const handle = this.answers[request.kind] as (q: PeerRequest) => unknown;
    return encodePeerResponse(request.kind, (await handle(request)) as never);
  }

  private heartbeat({ status, logPosition }: RequestOf<'heartbeat'>): Answer<'heartbeat'> {
    this.dependencies.onPeerStatus(status);
    return {
      status: this.dependencies.status(),
      cancellationPage: this.dependencies.cancellations.pageAfter(parsePosition(logPosition)),
    };
  }

  private cancelled({ jobs }: RequestOf<'cancellations'>): Answer<'cancellations'> {
    this.dependencies.cancellations.onPushed(jobs);
    return {};
  }

  private async relay({
    heartbeat,
  }: RequestOf<'forwarded-heartbeat'>): Promise<Answer<'forwarded-heartbeat'>> {
    if (!this.dependencies.election.holdsLease) return null;
    const { status, body, quiet } = await this.dependencies.heartbeatHandler.handleForwarded(
      Buffer.from(heartbeat),
    );
    return { status, body: body ?? Buffer.alloc(0), inSync: quiet };
  }

  private unchanged({ term, heartbeats }: RequestOf<'unchanged-heartbeats'>): Answer<'unchanged-heartbeats'> {
    const leads = this.dependencies.election.electionState.heldLease?.term === term;
    return {
      fullHeartbeatNeeded: leads
        ? (this.dependencies.leaderLoop()?.onUnchangedHeartbeats(heartbeats) ?? null)
        : null,
    };
  }

  /** For a peer that cannot reach the leader. Only what goes to a leader, so nothing is passed on twice. */
  private async forward({ to, request }: RequestOf<'forward'>): Promise<unknown> {
    const link = this.dependencies.links.find((l) => l.name === to && l.isAlive(performance.now()));
    const response = (await link?.ask(request, FORWARD_TIMEOUT_MS)) ?? null;
    return encodePeerResponse(request.kind, response);
  }

  private async user({ method, target, body }: RequestOf<'user-request'>): Promise<Answer<'user-request'>> {
    const reply = await this.dependencies.users.handle({
      method,
      target,
      status: 0,
      headers: new Map(),
      keepAlive: true,
      body: Buffer.from(body),
    });
    return { status: reply.status, body: reply.body ?? null, retryAfterS: reply.retryAfterS ?? null };
  }

  private imageLocations({ locations }: RequestOf<'image-locations'>): Answer<'image-locations'> {
    this.dependencies.imageLocations.merge(locations, performance.now());
    return {};
  }
}
