/** Routes requests on the public address: heartbeats of workers, health checks of the load balancer, user requests. */
import { HTTP_STATUS } from './http/http-status.js';
import { monotonicNow } from './clock.js';
import type { HealthCheck } from './health-check.js';
import type { HttpMessage } from './http/http-message.js';
import type { HttpReply } from './http/http-reply.js';
import type { Logger } from './logger.js';
import type { RequestLatency } from './request-latency.js';
import type { UserRequestHandler } from './users/user-request-handler.js';
import type { HeartbeatHandler } from './workers/heartbeat-handler.js';

const HEARTBEAT_PATH = '/checkin';
const HEALTH_PATH = '/up';
const RETRY_AFTER_S = 1;

/** The client group of a request's connection. At the connection limit, the larger group loses connections first. */
export const clientGroup = (request: HttpMessage): string =>
  request.target === HEARTBEAT_PATH ? 'workers' : 'users';

/** The handlers of each kind of request. */
export interface PublicRouterDependencies {
  heartbeatHandler: HeartbeatHandler;
  health: HealthCheck;
  userRequests: UserRequestHandler;
  heartbeatLatency: RequestLatency;
  log: Logger;
}

/** Routes by path; any path other than heartbeats and health checks goes to the user API. */
export class PublicRouter {
  constructor(private readonly dependencies: PublicRouterDependencies) {}

  /** Handles one request. An exception is logged and results in a 503 response, so that it does not end the process. */
  async handle(request: HttpMessage, reply: (reply: HttpReply) => void): Promise<void> {
    try {
      await this.route(request, reply);
    } catch (error) {
      const cause = error instanceof Error ? error.stack : String(error);
      this.dependencies.log.rateLimited('fault', 'error', { cause }, 'request handling failed');
      reply({ status: HTTP_STATUS.unavailable, retryAfterS: RETRY_AFTER_S });
    }
  }

  private async route(request: HttpMessage, reply: (reply: HttpReply) => void): Promise<void> {
    const receivedAt = monotonicNow();
    const { heartbeatHandler, health, userRequests, heartbeatLatency } = this.dependencies;
    switch (request.target) {
      case HEARTBEAT_PATH:
        reply(
          request.method === 'POST'
            ? await heartbeatHandler.handle(request.body)
            : { status: HTTP_STATUS.methodNotAllowed },
        );
        heartbeatLatency.record(receivedAt);
        return;
      case HEALTH_PATH:
        reply({ status: health.isHealthy() ? HTTP_STATUS.ok : HTTP_STATUS.unavailable });
        return;
      default:
        await userRequests.handle(request, reply, receivedAt);
    }
  }
}
