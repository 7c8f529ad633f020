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
import type {
  PeerKind,
  PeerRequest,
  PeerResponses,
  PeerStatus,
  RequestOf,
  TaskCounts,
} from '../../wire/peer-messages.js';
import { parsePosition } from '../../wire/cancellation-pages.js';

export interface PeerHandlerDependencies {
  links: PeerLink[];
  membership: LeaderElection;
  reportHandler: HeartbeatHandler;
  cancelled: CancellationFeed;
  users: UserApi;
  imageLocations: ImageLocationStore;
  /** The leader's loop while this controller leads. */
  leading: () => LeaderLoop | null;
  status: () => PeerStatus;
  /** A peer tells its status. */
  heard: (status: PeerStatus) => void;
  counts: (job: JobId) => TaskCounts | null;
}

/** Null: this controller can't say. */
type Answer<K extends PeerKind> = PeerResponses[K] | null;

export class PeerHandler {
  private readonly answers: { [K in PeerKind]: (q: RequestOf<K>) => Answer<K> | Promise<Answer<K>> } = {
    heartbeat: (q) => this.heartbeat(q),
    cancelled: (q) => this.cancelled(q),
    heard: (q) => ({ heard: this.parts.reportHandler.heardOf(q.machines) }),
    relay: (q) => this.relay(q),
    vouch: (q) => this.unchanged(q),
    forward: (q) => this.forward(q),
    user: (q) => this.user(q),
    hints: (q) => this.imageLocations(q),
    counts: (q) => ({ counts: this.parts.counts(q.job as JobId) }),
  };

  constructor(private readonly parts: PeerHandlerDependencies) {}

  async answer(request: PeerRequest): Promise<unknown> {
    const handle = this.answers[request.kind] as (q: PeerRequest) => unknown;
    return await handle(request);
  }

  private heartbeat({ from, have }: RequestOf<'heartbeat'>): Answer<'heartbeat'> {
    this.parts.heard(from);
    return { status: this.parts.status(), cancelled: this.parts.cancelled.pageAfter(parsePosition(have)) };
  }

  private cancelled({ jobs }: RequestOf<'cancelled'>): Answer<'cancelled'> {
    this.parts.cancelled.onPushed(jobs);
    return {};
  }

  private async relay({ report }: RequestOf<'relay'>): Promise<Answer<'relay'>> {
    if (!this.parts.membership.holdsLease) return null;
    const { status, body, quiet } = await this.parts.reportHandler.relayed(Buffer.from(report));
    return { status, body: body ?? Buffer.alloc(0), quiet };
  }

  private unchanged({ term, machines }: RequestOf<'vouch'>): Answer<'vouch'> {
    const leads = this.parts.membership.electionState.held?.term === term;
    return { full: leads ? (this.parts.leading()?.onUnchangedHeartbeats(machines) ?? null) : null };
  }

  /** For a peer that cannot reach the leader. Only what goes to a leader, so nothing is passed on twice. */
  private async forward({ to, request }: RequestOf<'forward'>): Promise<unknown> {
    const link = this.parts.links.find((l) => l.name === to && l.alive(performance.now()));
    return (await link?.ask(request, FORWARD_TIMEOUT_MS)) ?? null;
  }

  private async user({ method, target, body }: RequestOf<'user'>): Promise<Answer<'user'>> {
    const reply = await this.parts.users.handle({
      method,
      target,
      status: 0,
      headers: new Map(),
      keepAlive: true,
      body: Buffer.from(body),
    });
    return { status: reply.status, body: reply.body ?? null, retryAfterS: reply.retryAfterS ?? null };
  }

  private imageLocations({ images }: RequestOf<'hints'>): Answer<'hints'> {
    this.parts.imageLocations.merge(images, performance.now());
    return {};
  }
}
