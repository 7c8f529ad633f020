/** The status page on a controller's internal address. Operators' tools read its keys, so they must not change. */
import { HTTP_STATUS } from './http/http-status.js';
import { encode } from '../wire/cbor.js';
import { encodePeerStatus } from '../wire/peer-messages.js';
import type { CancellationFeed } from './cancellations/cancellation-feed.js';
import { monotonicNow } from './clock.js';
import type { HttpMessage } from './http/http-message.js';
import type { HttpReply } from './http/http-reply.js';
import type { LeaderElection } from './leadership/leader-election.js';
import type { LeadershipManager } from './leadership/leadership-manager.js';
import type { PeerStatusExchange } from './peers/peer-status.js';
import type { RequestLatency } from './request-latency.js';
import type { AdmissionControl } from './users/admission-control.js';

const STATUS_PATH = '/queue';

/** Sources of the values on the page. */
export interface StatusPageDependencies {
  peerStatus: PeerStatusExchange;
  election: LeaderElection;
  leadership: LeadershipManager;
  admission: AdmissionControl;
  cancellations: CancellationFeed;
  userLatency: RequestLatency;
  heartbeatLatency: RequestLatency;
}

/** Renders the status page at each request. */
export class StatusPage {
  constructor(private readonly dependencies: StatusPageDependencies) {}

  /** Handles a request on the internal address; any path but the status page is not found. */
  handle(request: HttpMessage): HttpReply {
    if (request.method !== 'GET' || request.target !== STATUS_PATH) return { status: HTTP_STATUS.notFound };
    // The round trip through JSON removes fields whose value is undefined.
    return { status: HTTP_STATUS.ok, body: encode(JSON.parse(JSON.stringify(this.content()))) };
  }

  private content(): unknown {
    const { peerStatus, election, leadership, admission, cancellations, userLatency, heartbeatLatency } =
      this.dependencies;
    return {
      ...encodePeerStatus(peerStatus.ownStatus()),
      authorityLeftMs: election.authorityLeftMs,
      requests: {
        open: admission.openRequests,
        refused: admission.rejectedCount,
        ...userLatency.summary(),
      },
      reports: heartbeatLatency.summary(),
      cancellationsBehindMs: cancellations.coverageAgeMs(monotonicNow()),
      queue: leadership.leader?.status() ?? null,
    };
  }
}
