/** Responses of the user API. */
import type { JobId } from '../../core/units.js';
import { encode } from '../../wire/cbor.js';
import { statusBody, type StatusCounts, type UserStatus } from '../../wire/users.js';
import type { HttpReply } from '../http/http-reply.js';
import { HTTP_STATUS } from '../http/http-status.js';

const RETRY_AFTER_S = 1;

/** Response to a request that cannot be served now; the user retries later. */
export const unavailableReply = (cause: string): HttpReply => ({
  status: HTTP_STATUS.unavailable,
  retryAfterS: RETRY_AFTER_S,
  rejectionCause: cause,
  body: encode({ error: cause }),
});

/** Permanent rejection of a request; a retry would get the same response. */
export const errorReply = (status: number, cause: string): HttpReply => ({
  status,
  body: encode({ error: cause }),
});

/** Response that reports the status of a job. */
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
