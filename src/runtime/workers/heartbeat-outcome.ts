/** What a controller made of a heartbeat, and the replies that it may give. */
import type { NodeName } from '../../core/units.js';
import { encode } from '../../wire/cbor.js';
import { redirectBody } from '../../wire/workers.js';
import type { HttpReply } from '../http/http-reply.js';

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

const STATUS_OK = 200;
const STATUS_MALFORMED = 400;
const STATUS_MISDIRECTED = 421;
const STATUS_UNAVAILABLE = 503;

/** The worker's lease is renewed under the fencing token in `body`, which may hold commands. */
export const answered = (outcome: HeartbeatOutcome, body: unknown): HeartbeatResult => ({
  outcome,
  reply: { status: STATUS_OK, body: encode(body) },
});

/** The worker is to try another controller: this one, or whichever answers if null. */
export const redirected = (controller: NodeName | null): HeartbeatResult => ({
  outcome: 'redirected',
  reply: { status: STATUS_MISDIRECTED, body: encode(redirectBody(controller)) },
});

/** Nothing can be said to the worker now: its lease runs on. */
export const unavailable = (): HeartbeatResult => ({
  outcome: 'refused',
  reply: { status: STATUS_UNAVAILABLE, body: encode({}) },
});

/** The heartbeat can't be read. */
export const malformed = (cause: string): HeartbeatResult => ({
  outcome: 'refused',
  reply: { status: STATUS_MALFORMED, body: encode({ error: cause }) },
});
