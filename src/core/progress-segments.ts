/** How a job's completion bits are divided into records that fit the key-value store's limit on the size of a value. */
import type { SegmentName } from './units.js';

/** The largest segment, for 16,384 tasks; the only size in versions from before the limits were lowered. */
export const LARGEST_SEGMENT_BYTES = 2048;

/**
 * The name of a segment in the key-value store: its index if it has the largest size or is the job's only one,
 * otherwise its index and size. Versions that only know the largest size ignore names with a size.
 */
export const segmentName = (index: number, segmentBytes: number, jobBytes: number): SegmentName =>
  (segmentBytes === LARGEST_SEGMENT_BYTES || jobBytes <= segmentBytes
    ? String(index)
    : `${index}x${segmentBytes}`) as SegmentName;

/** Matches the index of a segment and, for any but the largest size, its size in bytes. */
const SEGMENT_NAME_PATTERN = /^(\d+)(?:x(\d+))?$/;

/** The byte of the job's completion bits at which the segment begins; null if this is not the name of a segment. */
export const segmentStart = (name: string): number | null => {
  const match = SEGMENT_NAME_PATTERN.exec(name);
  if (!match) return null;
  const [, index, segmentBytes] = match;
  return Number(index) * (segmentBytes === undefined ? LARGEST_SEGMENT_BYTES : Number(segmentBytes));
};
