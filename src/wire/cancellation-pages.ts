/** What controllers tell one another of cancellations. What has another shape is dropped: it proves nothing. */
import * as v from 'valibot';
import type { CancellationLogPosition, CancellationLogPage } from '../core/cancellation-log.js';
import type { JobId } from '../core/units.js';
import { boundedText, nonNegativeNumber, parseWith, safeInteger, type ParseResult } from './common.js';
import { isJobId } from './users.js';

const jobIds = v.array(v.custom<JobId>((job) => typeof job === 'string' && isJobId(job)));
const position = v.object({ incarnation: boundedText, position: safeInteger });
const logPage = v.object({
  incarnation: boundedText,
  from: safeInteger,
  jobs: jobIds,
  end: safeInteger,
  completeAgoMs: v.nullable(nonNegativeNumber),
});

/** A page of a peer's log. */
export const parseCancellationLogPage = (raw: unknown): ParseResult<CancellationLogPage> => {
  const parsed = parseWith(logPage, raw);
  if (!parsed.ok) return parsed;
  const page = parsed.value as CancellationLogPage;
  return page.from + page.jobs.length > page.end
    ? { ok: false, cause: 'jobs beyond the end of the log' }
    : { ok: true, value: page };
};

/** Null where the sender holds nothing, or says so in an unknown shape. */
export const parseCancellationLogPosition = (raw: unknown): CancellationLogPosition | null => {
  const parsed = parseWith(position, raw);
  return parsed.ok ? (parsed.value as CancellationLogPosition) : null;
};

/** Null for what is not a list of job ids. */
export const parseJobIds = (raw: unknown): JobId[] | null => {
  const parsed = parseWith(jobIds, raw);
  return parsed.ok ? parsed.value : null;
};
