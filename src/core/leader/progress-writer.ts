/**
 * Makes completions durable: writes the segments of the jobs' progress that have new completions, at a bounded rate.
 */
import type { Job } from '../job.js';
import { segmentName, segmentStart } from '../progress-segments.js';
import type { JobId, SegmentName, MonotonicTime } from '../units.js';
import type { LeaderState } from './leader-state.js';

const PROGRESS_WRITE_INTERVAL_MS = 1000;
const BITS_PER_BYTE = 8;

/** Writes the jobs' progress. Until its completion is durable, a completed task stays in its worker's heartbeats. */
export class ProgressWriter {
  private lastWrittenAt = -Infinity;

  constructor(private readonly state: LeaderState) {}

  /**
   * Writes progress, if that is due, beginning with the jobs whose last write is the longest ago. It uses only a
   * fraction of the key-value store's write rate, because starting and finalizing jobs needs the remainder.
   */
  writeIfDue(now: MonotonicTime): void {
    if (now - this.lastWrittenAt < PROGRESS_WRITE_INTERVAL_MS) return;
    this.lastWrittenAt = now;
    const unpersistedJobs = [...this.state.jobs.values()].filter(
      (job) => job.progress.unpersisted.size > 0 && !job.finalizing && !job.cancelled,
    );
    unpersistedJobs.sort((a, b) => a.progress.lastPersistedAt - b.progress.lastPersistedAt);
    const { progressWritesPerS } = this.state.settings;
    let writesLeft = Math.max(1, Math.floor((progressWritesPerS * PROGRESS_WRITE_INTERVAL_MS) / 1000));
    for (const job of unpersistedJobs) {
      if (writesLeft <= 0) break;
      job.progress.lastPersistedAt = now;
      writesLeft -= this.writeSegments(job, writesLeft);
    }
  }

  /** Writes up to `maxSegments` segments with new completions and no write in flight, and returns their number. */
  private writeSegments(job: Job, maxSegments: number): number {
    const { segmentBytes } = this.state.settings;
    const { completedBits, segmentsBeingWritten, unpersisted } = job.progress;
    const segmentOf = (task: number): number => Math.floor((task >> 3) / segmentBytes);
    const indices = new Set<number>();
    for (const task of unpersisted) indices.add(segmentOf(task));
    let written = 0;
    for (const index of indices) {
      if (written === maxSegments) break;
      const segment = segmentName(index, segmentBytes, completedBits.length);
      if (segmentsBeingWritten.has(segment)) continue;
      const startByte = index * segmentBytes;
      for (const task of unpersisted) if (segmentOf(task) === index) unpersisted.delete(task);
      segmentsBeingWritten.add(segment);
      const bytes = completedBits.slice(startByte, startByte + segmentBytes);
      this.state.effects.push({ kind: 'write-progress', job: job.id, segment, bytes });
      written++;
    }
    return written;
  }

  /** Loads completions stored in the key-value store, read at the start or after a write conflict. */
  loadProgress(id: JobId, segment: SegmentName, bytes: Uint8Array): void {
    const startByte = segmentStart(segment);
    if (startByte !== null) this.state.jobs.get(id)?.confirmCompletions(segment, startByte, bytes);
  }

  /** Handles the result of writing a segment. After a failure, its completions are written again. */
  onProgressWritten(id: JobId, segment: SegmentName, bytes: Uint8Array, ok: boolean): void {
    const job = this.state.jobs.get(id);
    const startByte = segmentStart(segment);
    if (!job || startByte === null) return;
    job.progress.segmentsBeingWritten.delete(segment);
    if (ok) job.confirmCompletions(segment, startByte, bytes);
    else markUnpersisted(job, startByte, bytes);
  }
}

const markUnpersisted = (job: Job, startByte: number, bytes: Uint8Array): void => {
  for (let i = 0; i < bytes.length * BITS_PER_BYTE; i++) {
    const task = startByte * BITS_PER_BYTE + i;
    if ((bytes[i >> 3] & (1 << (i & 7))) !== 0 && !job.isDurable(task)) job.progress.unpersisted.add(task);
  }
};
