/** How the completions of a job are divided into records of the key-value store, each within its limit on a value. */
import type { SegmentName } from './units.js';

/** The largest segment, of 16,384 tasks: all that versions before the one with lowered limits wrote. */
export const LARGEST_SEGMENT_BYTES = 2048;

/**
 * The name of a segment in the key-value store. A number alone counts segments of the largest size, and stands for all of
 * a job that fits one segment; any other size is part of the name, which versions that know one size only pass over.
 */
export const segmentName = (index: number, segmentBytes: number, jobBytes: number): SegmentName =>
  (segmentBytes === LARGEST_SEGMENT_BYTES || jobBytes <= segmentBytes
    ? String(index)
    : `${index}x${segmentBytes}`) as SegmentName;

/** The index of a segment and, for any but the largest size, its size in bytes. */
const SEGMENT_NAME = /^(\d+)(?:x(\d+))?$/;

/** At which byte of the job's completions the segment begins; null for a name that is not one of ours. */
export const segmentStart = (name: string): number | null => {
  const match = SEGMENT_NAME.exec(name);
  if (!match) return null;
  const [, index, segmentBytes] = match;
  return Number(index) * (segmentBytes === undefined ? LARGEST_SEGMENT_BYTES : Number(segmentBytes));
};
