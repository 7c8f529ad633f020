/** Outcomes of heartbeats, and the replies to workers. */
import type { NodeName } from '../../core/units.js';
import { encode } from '../../wire/cbor.js';
import { redirectBody } from '../../wire/workers.js';
import type { HttpReply } from '../http/http-reply.js';
import { HTTP_STATUS } from '../http/http-status.js';

/** How a heartbeat was handled; each outcome is counted in the log. */
export type HeartbeatOutcome =
  | 'answered by the leader'
  | 'forwarded'
  | 'confirmed unchanged'
  | 'lease renewed without a leader'
  | 'redirected'
  | 'refused';

/** The outcome of one heartbeat, and the reply to its worker. */
export interface HeartbeatResult {
  outcome: HeartbeatOutcome;
  reply: HttpReply;
}

/** Renews the worker's lease under the fencing token in `body`, which may also contain commands. */
export const leaseRenewed = (outcome: HeartbeatOutcome, body: unknown): HeartbeatResult => ({
  outcome,
  reply: { status: HTTP_STATUS.ok, body: encode(body) },
});

/** Redirects the worker to the named controller, or if null, to any that accepts it. */
export const redirected = (controller: NodeName | null): HeartbeatResult => ({
  outcome: 'redirected',
  reply: { status: HTTP_STATUS.misdirected, body: encode(redirectBody(controller)) },
});

/** Doesn't renew the worker's lease, which continues to run until it expires or another reply renews it. */
export const unavailable = (): HeartbeatResult => ({
  outcome: 'refused',
  reply: { status: HTTP_STATUS.unavailable, body: encode({}) },
});

/** Rejects a heartbeat that can't be parsed. */
export const malformed = (cause: string): HeartbeatResult => ({
  outcome: 'refused',
  reply: { status: HTTP_STATUS.badRequest, body: encode({ error: cause }) },
});
