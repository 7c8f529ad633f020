/** Handles user requests on the public address: admission, local handling or forwarding to a peer, statistics. */
import type { PeerResponses } from '../../wire/peer-messages.js';
import { monotonicNow } from '../clock.js';
import type { HttpMessage } from '../http/http-message.js';
import type { HttpReply } from '../http/http-reply.js';
import { HTTP_STATUS } from '../http/http-status.js';
import type { Logger } from '../logger.js';
import type { PeerLink } from '../peers/peer-link.js';
import type { RequestLatency } from '../request-latency.js';
import type { AdmissionControl } from './admission-control.js';
import type { UserApi } from './user-api.js';

const USER_REQUEST_FORWARD_TIMEOUT_MS = 2000;
const OUTCOMES_LOG_INTERVAL_MS = 10_000;
const RETRY_AFTER_S = 1;

/** Dependencies of the handler. */
export interface UserRequestDependencies {
  users: UserApi;
  links: readonly PeerLink[];
  admission: AdmissionControl;
  latency: RequestLatency;
  log: Logger;
}

/** Applies admission control in front of the user API. */
export class UserRequestHandler {
  private readonly outcomes = new Map<string, number>();
  private outcomesLoggedAt = -Infinity;

  constructor(private readonly dependencies: UserRequestDependencies) {}

  /** Handles a request that was received at the monotonic time `receivedAt`. */
  async handle(request: HttpMessage, reply: (reply: HttpReply) => void, receivedAt: number): Promise<void> {
    const { admission, latency, log } = this.dependencies;
    // The target of a GET request identifies it across retries; other requests depend on their bodies.
    const subject = request.method === 'GET' ? request.target : null;
    if (!admission.tryAdmit(subject)) {
      this.countOutcome({ status: HTTP_STATUS.unavailable, rejectionCause: 'admission limit reached' });
      reply({ status: HTTP_STATUS.unavailable, retryAfterS: RETRY_AFTER_S });
      return;
    }
    let served = false;
    try {
      const response = await this.handleOrForward(request);
      served = response.status !== HTTP_STATUS.unavailable;
      const { method, target } = request;
      const { status, jobStatus, rejectionCause } = response;
      log.debug({ method, target, status, jobStatus, cause: rejectionCause }, 'user request completed');
      this.countOutcome(response);
      reply(response);
      latency.record(receivedAt);
    } finally {
      admission.release(subject, served);
    }
  }

  /** Handles the request here; if that fails with 503, forwards it to a peer that can reach the key-value store. */
  private async handleOrForward(request: HttpMessage): Promise<HttpReply> {
    const { users, links } = this.dependencies;
    const localReply = await users.handle(request);
    if (localReply.status !== HTTP_STATUS.unavailable) return localReply;
    const now = monotonicNow();
    const peer = links.find((link) => link.isAlive(now) && link.status?.storeAvailable);
    if (!peer) return localReply;
    const { method, target, body } = request;
    const response = await peer.sendRequest(
      { kind: 'user-request', method, target, body },
      USER_REQUEST_FORWARD_TIMEOUT_MS,
    );
    return response === null ? localReply : toHttpReply(response);
  }

  /** Counts responses by status or rejection cause, and logs the counts periodically. */
  private countOutcome({ status, rejectionCause }: HttpReply): void {
    const outcome = rejectionCause ?? String(status);
    this.outcomes.set(outcome, (this.outcomes.get(outcome) ?? 0) + 1);
    const now = monotonicNow();
    if (now - this.outcomesLoggedAt < OUTCOMES_LOG_INTERVAL_MS) return;
    this.outcomesLoggedAt = now;
    this.dependencies.log.info({ outcomes: Object.fromEntries(this.outcomes) }, 'user request outcomes');
    this.outcomes.clear();
  }
}

const toHttpReply = ({ status, body, retryAfterS }: PeerResponses['user-request']): HttpReply => ({
  status,
  ...(body === null ? {} : { body: Buffer.from(body) }),
  ...(retryAfterS === null ? {} : { retryAfterS }),
});
