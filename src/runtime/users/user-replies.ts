/** The replies that users get. */
import type { JobId } from '../../core/units.js';
import { encode } from '../../wire/cbor.js';
import { statusBody, type StatusCounts, type UserStatus } from '../../wire/users.js';
import type { HttpReply } from '../http/http-reply.js';
import { HTTP_STATUS } from '../http/http-status.js';

const RETRY_AFTER_S = 1;

/** Nothing certain can be said now: the user is to come back. */
export const unavailableReply = (cause: string): HttpReply => ({
  status: HTTP_STATUS.unavailable,
  retryAfterS: RETRY_AFTER_S,
  refusalCause: cause,
  body: encode({ error: cause }),
});

/** The request is refused for good. */
export const errorReply = (status: number, cause: string): HttpReply => ({
  status,
  body: encode({ error: cause }),
});

/** The state of a job. */
export const jobStatusReply = (
  id: JobId,
  state: UserStatus,
  counts?: StatusCounts,
  status: number = HTTP_STATUS.ok,
): HttpReply => ({
  status,
  body: encode(statusBody(id, state, counts)),
  jobStatus: state,
});
