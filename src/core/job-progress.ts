/** Which tasks of a job are completed, and which completions the key-value store holds. */
import type { SegmentName } from './units.js';

const hasBit = (bits: Uint8Array, index: number): boolean => (bits[index >> 3] & (1 << (index & 7))) !== 0;

/** A completion bit for each task, and the state of the segments in which the bits are stored. */
export class JobProgress {
  readonly completedBits: Uint8Array;
  completedCount = 0;
  /** Completed tasks that the key-value store doesn't hold yet and that no pending write contains. */
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

  /** Whether the task is completed. */
  isCompleted(index: number): boolean {
    return hasBit(this.completedBits, index);
  }

  /** Whether the key-value store holds the task's completion. */
  isDurable(index: number): boolean {
    return hasBit(this.durableBits, index);
  }

  /** Marks the task as completed; returns false if the job has no such task or it was already completed. */
  markCompleted(index: number): boolean {
    if (index >= this.tasks || this.isCompleted(index)) return false;
    this.completedBits[index >> 3] |= 1 << (index & 7);
    this.completedCount++;
    this.unpersisted.add(index);
    return true;
  }

  /** Records completions that the key-value store holds, read from it or written to it, from `startByte` on. */
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
  // Each step clears the lowest set bit.
  for (const byte of bytes) for (let bits = byte; bits !== 0; bits &= bits - 1) count++;
  return count;
};
