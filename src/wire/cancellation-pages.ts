/** Parses the parts of peer messages that concern cancellations. Malformed input is dropped, as it proves nothing. */
import * as v from 'valibot';
import type { CancellationLogPosition, CancellationLogPage } from '../core/cancellation-log.js';
import type { JobId } from '../core/units.js';
import { boundedText, nonNegativeNumber, parseWith, safeInteger, type ParseResult } from './parsing.js';
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

/** Parses a page of a peer's cancellation log. */
export const parseCancellationLogPage = (raw: unknown): ParseResult<CancellationLogPage> => {
  const parsed = parseWith(logPage, raw);
  if (!parsed.ok) return parsed;
  const page = parsed.value as CancellationLogPage;
  return page.from + page.jobs.length > page.end
    ? { ok: false, cause: 'jobs: expected none beyond the end of the log' }
    : { ok: true, value: page };
};

/** Parses a position in the cancellation log; null if the sender has no entries yet or the input is malformed. */
export const parseCancellationLogPosition = (raw: unknown): CancellationLogPosition | null => {
  const parsed = parseWith(position, raw);
  return parsed.ok ? (parsed.value as CancellationLogPosition) : null;
};

/** Parses a list of job ids; null if malformed. */
export const parseJobIds = (raw: unknown): JobId[] | null => {
  const parsed = parseWith(jobIds, raw);
  return parsed.ok ? parsed.value : null;
};
