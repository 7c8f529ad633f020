// What controllers tell one another of cancellations. A frame of another shape is dropped: it proves nothing.
import * as v from 'valibot';
import { nonNegativeNumber, parseWith, safeInteger, boundedText } from './common.js';
import type { CancellationLogPosition, CancellationLogPage } from '../core/cancellation-log.js';
import type { JobId } from '../core/units.js';
import { isJobId } from './users.js';

const jobs = v.array(v.custom<JobId>((j) => typeof j === 'string' && isJobId(j)));
const position = v.object({ incarnation: boundedText, position: safeInteger });
const logPage = v.object({
  incarnation: boundedText,
  from: safeInteger,
  jobs,
  end: safeInteger,
  completeAgoMs: v.nullable(nonNegativeNumber),
});

export const parseLogPage = (
  raw: unknown,
): { ok: true; value: CancellationLogPage } | { ok: false; cause: string } => {
  const r = parseWith(logPage, raw);
  if (!r.ok) return r;
  const s = r.value as CancellationLogPage;
  return s.from + s.jobs.length > s.end
    ? { ok: false, cause: 'jobs beyond the end of the log' }
    : (r as { ok: true; value: CancellationLogPage });
};

/** Null where the asker holds nothing, or says so in a shape that we don't know. */
export const parsePosition = (raw: unknown): CancellationLogPosition | null => {
  const r = parseWith(position, raw);
  return r.ok ? (r.value as CancellationLogPosition) : null;
};

export const parseCancelledJobs = (raw: unknown): JobId[] | null => {
  const r = parseWith(jobs, raw);
  return r.ok ? r.value : null;
};
