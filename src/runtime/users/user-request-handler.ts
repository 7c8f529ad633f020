/** Users' requests as they come from outside: admitted, answered here or by a peer, and counted. */
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

/** What user requests need. */
export interface UserRequestDependencies {
  users: UserApi;
  links: readonly PeerLink[];
  admission: AdmissionControl;
  latency: RequestLatency;
  log: Logger;
}

/** Sits between the public address and the user API. */
export class UserRequestHandler {
  private readonly outcomes = new Map<string, number>();
  private outcomesLoggedAt = -Infinity;

  constructor(private readonly dependencies: UserRequestDependencies) {}

  /** `beganAt`: the monotonic time at which the request came. */
  async handle(request: HttpMessage, reply: (reply: HttpReply) => void, receivedAt: number): Promise<void> {
    const { admission, latency, log } = this.dependencies;
    // Only a request without a body names what it asks about.
    const subject = request.method === 'GET' ? request.target : null;
    if (!admission.tryAdmit(subject)) {
      this.countOutcome({ status: HTTP_STATUS.unavailable, refusalCause: 'admission limit reached' });
      reply({ status: HTTP_STATUS.unavailable, retryAfterS: RETRY_AFTER_S });
      return;
    }
    let served = false;
    try {
      const answer = await this.handleOrForward(request);
      served = answer.status !== HTTP_STATUS.unavailable;
      const { method, target } = request;
      const { status, jobStatus, refusalCause } = answer;
      log.debug({ method, target, status, jobStatus, cause: refusalCause }, 'user answered');
      this.countOutcome(answer);
      reply(answer);
      latency.record(receivedAt);
    } finally {
      admission.release(subject, served);
    }
  }

  /** Refused here for want of the store alone: a peer that the store answers takes the request in the user's place. */
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

  /** Now and then they are logged: what users were answered, and why they were refused. */
  private countOutcome({ status, refusalCause }: HttpReply): void {
    const outcome = refusalCause ?? String(status);
    this.outcomes.set(outcome, (this.outcomes.get(outcome) ?? 0) + 1);
    const now = monotonicNow();
    if (now - this.outcomesLoggedAt < OUTCOMES_LOG_INTERVAL_MS) return;
    this.outcomesLoggedAt = now;
    this.dependencies.log.info({ outcomes: Object.fromEntries(this.outcomes) }, 'user requests');
    this.outcomes.clear();
  }
}

const toHttpReply = ({ status, body, retryAfterS }: PeerResponses['user-request']): HttpReply => ({
  status,
  ...(body === null ? {} : { body: Buffer.from(body) }),
  ...(retryAfterS === null ? {} : { retryAfterS }),
});
