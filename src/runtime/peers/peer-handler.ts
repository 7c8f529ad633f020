/** Handles the requests of other controllers. */
import type { JobId } from '../../core/units.js';
import { parseCancellationLogPosition } from '../../wire/cancellation-pages.js';
import {
  encodePeerResponse,
  type PeerKind,
  type PeerRequest,
  type PeerResponses,
  type PeerStatus,
  type RequestOf,
  type TaskCounts,
} from '../../wire/peer-messages.js';
import { monotonicNow } from '../clock.js';
import type { CancellationFeed } from '../cancellations/cancellation-feed.js';
import type { LeaderElection } from '../leadership/leader-election.js';
import type { LeaderLoop } from '../leadership/leader-loop.js';
import type { UserApi } from '../users/user-api.js';
import type { HeartbeatHandler } from '../workers/heartbeat-handler.js';
import type { ImageLocationStore } from './image-locations.js';
import { PEER_TO_LEADER_TIMEOUT_MS } from './leader-route.js';
import type { PeerLink } from './peer-link.js';

/** Dependencies of the request handlers. */
export interface PeerHandlerDependencies {
  links: PeerLink[];
  election: LeaderElection;
  heartbeatHandler: HeartbeatHandler;
  cancellations: CancellationFeed;
  users: UserApi;
  imageLocations: ImageLocationStore;
  /** The leader loop; null while this controller does not lead. */
  leaderLoop: () => LeaderLoop | null;
  status: () => PeerStatus;
  /** Called with the status that a peer reports. */
  onPeerStatus: (status: PeerStatus) => void;
  taskCounts: (job: JobId) => TaskCounts | null;
}

/** Null if this controller cannot respond, for example because it does not lead. */
type Response<K extends PeerKind> = PeerResponses[K] | null;
type Handlers = { [K in PeerKind]: (request: RequestOf<K>) => Response<K> | Promise<Response<K>> };

/** Dispatches each kind of request to its method. */
export class PeerHandler {
  private readonly handlers: Handlers = {
    heartbeat: (request) => this.onHeartbeat(request),
    cancellations: (request) => this.onCancellations(request),
    'recent-heartbeats': (request) => this.onRecentHeartbeats(request),
    'forwarded-heartbeat': (request) => this.onForwardedHeartbeat(request),
    'unchanged-heartbeats': (request) => this.onUnchangedHeartbeats(request),
    forward: (request) => this.forward(request),
    'user-request': (request) => this.onUserRequest(request),
    'image-locations': (request) => this.onImageLocations(request),
    'task-counts': (request) => this.onTaskCounts(request),
  };

  constructor(private readonly dependencies: PeerHandlerDependencies) {}

  /** Handles a request and returns the encoded response. */
  async handle(request: PeerRequest): Promise<unknown> {
    const handler = this.handlers[request.kind] as (request: PeerRequest) => unknown;
    return encodePeerResponse(request.kind, (await handler(request)) as never);
  }

  private onHeartbeat({ status, logPosition }: RequestOf<'heartbeat'>): Response<'heartbeat'> {
    const { onPeerStatus, status: ownStatus, cancellations } = this.dependencies;
    onPeerStatus(status);
    return {
      status: ownStatus(),
      cancellationPage: cancellations.pageAfter(parseCancellationLogPosition(logPosition)),
    };
  }

  private onCancellations({ jobs }: RequestOf<'cancellations'>): Response<'cancellations'> {
    this.dependencies.cancellations.onPushed(jobs);
    return {};
  }

  private onRecentHeartbeats({ machines }: RequestOf<'recent-heartbeats'>): Response<'recent-heartbeats'> {
    return { machines: this.dependencies.heartbeatHandler.machinesWithRecentHeartbeat(machines) };
  }

  private async onForwardedHeartbeat({
    heartbeat,
  }: RequestOf<'forwarded-heartbeat'>): Promise<Response<'forwarded-heartbeat'>> {
    const { election, heartbeatHandler } = this.dependencies;
    if (!election.holdsLease) return null;
    const { status, body, inSync } = await heartbeatHandler.handleForwarded(Buffer.from(heartbeat));
    return { status, body: body ?? Buffer.alloc(0), inSync };
  }

  private onUnchangedHeartbeats({
    term,
    heartbeats,
  }: RequestOf<'unchanged-heartbeats'>): Response<'unchanged-heartbeats'> {
    const { election, leaderLoop } = this.dependencies;
    const leads = election.electionState.heldLease?.term === term;
    return {
      machinesNeedingFullHeartbeat: leads ? (leaderLoop()?.onUnchangedHeartbeats(heartbeats) ?? null) : null,
    };
  }

  /**
   * Forwards a request of a peer that cannot reach the leader. Only requests to a leader are accepted, so a request is
   * forwarded at most once.
   */
  private async forward({ to, request }: RequestOf<'forward'>): Promise<unknown> {
    const now = monotonicNow();
    const link = this.dependencies.links.find((peer) => peer.name === to && peer.isAlive(now));
    return link
      ? encodePeerResponse(request.kind, await link.sendRequest(request, PEER_TO_LEADER_TIMEOUT_MS))
      : null;
  }

  private async onUserRequest({
    method,
    target,
    body,
  }: RequestOf<'user-request'>): Promise<Response<'user-request'>> {
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

  private onImageLocations({ locations }: RequestOf<'image-locations'>): Response<'image-locations'> {
    this.dependencies.imageLocations.merge(locations, monotonicNow());
    return {};
  }

  private onTaskCounts({ job }: RequestOf<'task-counts'>): Response<'task-counts'> {
    return { counts: this.dependencies.taskCounts(job as JobId) };
  }
}
