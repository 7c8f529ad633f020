/** What a controller made of a heartbeat, and the replies that it may give. */
import type { NodeName } from '../../core/units.js';
import { encode } from '../../wire/cbor.js';
import { redirectBody } from '../../wire/workers.js';
import type { HttpReply } from '../http/http-reply.js';
import { HTTP_STATUS } from '../http/http-status.js';

/** How a heartbeat was dealt with: counted for the log. */
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

/** The worker's lease is renewed under the fencing token in `body`, which may hold commands. */
export const answered = (outcome: HeartbeatOutcome, body: unknown): HeartbeatResult => ({
  outcome,
  reply: { status: HTTP_STATUS.ok, body: encode(body) },
});

/** The worker is to try another controller: this one, or whichever answers if null. */
export const redirected = (controller: NodeName | null): HeartbeatResult => ({
  outcome: 'redirected',
  reply: { status: HTTP_STATUS.misdirected, body: encode(redirectBody(controller)) },
});

/** Nothing can be said to the worker now: its lease runs on. */
export const unavailable = (): HeartbeatResult => ({
  outcome: 'refused',
  reply: { status: HTTP_STATUS.unavailable, body: encode({}) },
});

/** The heartbeat can't be read. */
export const malformed = (cause: string): HeartbeatResult => ({
  outcome: 'refused',
  reply: { status: HTTP_STATUS.badRequest, body: encode({ error: cause }) },
});
