/** Which tasks of a job are completed, and which completions the key-value store holds. */
import type { SegmentName } from './units.js';

const hasBit = (bits: Uint8Array, index: number): boolean => (bits[index >> 3] & (1 << (index & 7))) !== 0;

/** One bit for each task, and the bookkeeping of the segments in which they are written. */
export class JobProgress {
  readonly completedBits: Uint8Array;
  completedCount = 0;
  /** Tasks whose completion the key-value store doesn't hold yet, and that no write under way has. */
  readonly unpersisted = new Set<number>();
  lastPersistedAt = -Infinity;
  readonly segmentsBeingWritten = new Set<SegmentName>();
  /** Segments that have a key in the key-value store. */
  readonly persistedSegments = new Set<SegmentName>();
  private readonly durableBits: Uint8Array;

  constructor(private readonly tasks: number) {
    const bytes = Math.ceil(tasks / 8);
    this.completedBits = new Uint8Array(bytes);
    this.durableBits = new Uint8Array(bytes);
  }

  /** Whether the task is done. */
  isCompleted(index: number): boolean {
    return hasBit(this.completedBits, index);
  }

  /** Whether the key-value store holds the task's completion. */
  isDurable(index: number): boolean {
    return hasBit(this.durableBits, index);
  }

  /** The task is done; false: it was before. */
  markCompleted(index: number): boolean {
    if (index >= this.tasks || this.isCompleted(index)) return false;
    this.completedBits[index >> 3] |= 1 << (index & 7);
    this.completedCount++;
    this.unpersisted.add(index);
    return true;
  }

  /** Completions read back from the key-value store, or confirmed as written to it, from that byte on. */
  confirm(segment: SegmentName, startByte: number, bytes: Uint8Array): void {
    this.persistedSegments.add(segment);
    for (let i = 0; i < bytes.length && startByte + i < this.durableBits.length; i++) {
      this.durableBits[startByte + i] |= bytes[i];
      this.completedBits[startByte + i] |= bytes[i];
    }
    this.completedCount = countBits(this.completedBits);
  }
}

const countBits = (bytes: Uint8Array): number => {
  let count = 0;
  // Each step clears the lowest bit that is set.
  for (const byte of bytes) for (let bits = byte; bits !== 0; bits &= bits - 1) count++;
  return count;
};
