// Jobs that end, and progress that becomes durable.

import type { Job } from '../job.js';
import { segmentName, segmentStart } from '../progress-segments.js';
import type { JobId, SegmentName, MonotonicTime } from '../units.js';
import type { FinalRecordOutcome } from './effects.js';
import type { JobDependencies } from './job-dependencies.js';
import type { LeaderState } from './leader-state.js';

const FLUSH_MS = 1000;

export class JobCompletion {
  private lastProgress = -Infinity;

  constructor(
    private readonly state: LeaderState,
    private readonly dependencies: JobDependencies,
  ) {}

  finishJobs(now: MonotonicTime): void {
    for (const job of this.state.jobs.values()) {
      if (job.finalizing) continue;
      // Not while a machine that has not reported to this leader may hold its tasks: they count for their team's
      // limit, and that machine must be fenced in time.
      const gone = job.placements.size === 0 && !this.state.mayRunOnUnreconciledMachine(job);
      if (!job.allCompleted && !(job.cancelled && gone)) continue;
      job.finalizing = true;
      const state = job.cancelled ? 'cancelled' : 'done';
      const segments = [...job.persistedSegments];
      const { id, revision } = job;
      this.state.effects.push({
        kind: 'write-final-record',
        job: id,
        revision: revision,
        state,
        tasks: job.completedCount,
        segments,
      });
    }
    this.flushProgress(now);
  }

  /**
   * Those that waited longest first, and no more than a part of the service's rate of changes: starts and ends need the
   * rest. Until it is saved, a completion stays in its worker's reports.
   */
  private flushProgress(now: MonotonicTime): void {
    if (now - this.lastProgress < FLUSH_MS) return;
    this.lastProgress = now;
    const unsaved = [...this.state.jobs.values()].filter(
      (job) => job.unpersistedCompletions.size > 0 && !job.finalizing && !job.cancelled,
    );
    unsaved.sort((a, b) => a.progressPersistedAt - b.progressPersistedAt);
    let left = Math.max(1, Math.floor((this.state.settings.progressWritesPerS * FLUSH_MS) / 1000));
    for (const job of unsaved) {
      if (left <= 0) break;
      job.progressPersistedAt = now;
      left -= this.saveProgress(job, left);
    }
  }

  /** Writes so many segments with new completions, but for those that a write is under way for; how many it wrote. */
  private saveProgress(job: Job, most: number): number {
    const { segmentBytes } = this.state.settings;
    const unsaved = new Set<number>();
    for (const task of job.unpersistedCompletions) unsaved.add(Math.floor((task >> 3) / segmentBytes));
    let written = 0;
    for (const index of unsaved) {
      if (written === most) break;
      const segment = segmentName(index, segmentBytes, job.completedBits.length);
      if (job.segmentsBeingWritten.has(segment)) continue;
      const start = index * segmentBytes;
      for (const task of job.unpersistedCompletions)
        if (Math.floor((task >> 3) / segmentBytes) === index) job.unpersistedCompletions.delete(task);
      job.segmentsBeingWritten.add(segment);
      const bytes = job.completedBits.slice(start, start + segmentBytes);
      this.state.effects.push({ kind: 'write-progress', job: job.id, segment, bytes });
      written++;
    }
    return written;
  }

  /** Completions that the state service holds, read at the start or in place of a refused write. */
  loadProgress(id: JobId, segment: SegmentName, bytes: Uint8Array): void {
    const start = segmentStart(segment);
    if (start !== null) this.state.jobs.get(id)?.confirmCompletions(segment, start, bytes);
  }

  onProgressWritten(id: JobId, segment: SegmentName, bytes: Uint8Array, ok: boolean): void {
    const job = this.state.jobs.get(id);
    const start = segmentStart(segment);
    if (!job || start === null) return;
    job.segmentsBeingWritten.delete(segment);
    if (ok) job.confirmCompletions(segment, start, bytes);
    else this.markUnsaved(job, start, bytes);
  }

  private markUnsaved(job: Job, startByte: number, bytes: Uint8Array): void {
    for (let i = 0; i < bytes.length * 8; i++) {
      const task = startByte * 8 + i;
      if ((bytes[i >> 3] & (1 << (i & 7))) !== 0 && !job.isDurable(task))
        job.unpersistedCompletions.add(task);
    }
  }

  onFinalRecordWritten(id: JobId, outcome: FinalRecordOutcome, now: MonotonicTime): void {
    const job = this.state.jobs.get(id);
    if (!job) return;
    job.finalizing = false;
    if (outcome.kind === 'retry') return;
    if (outcome.kind === 'changed') {
      const cancelledNow = !job.cancelled && outcome.record.cancelledAt !== null;
      job.record = outcome.record;
      job.revision = outcome.revision;
      if (cancelledNow) {
        this.state.cancelJob(job, now);
        this.dependencies.cancelDependents(id);
      }
      return;
    }
    // Whatever is still reported of it is stopped and forgotten as a task of no known job.
    for (const p of [...job.placements.values()]) {
      const m = this.state.machines.get(p.machine);
      m?.unassign(job.id, p.index);
      if (m) this.state.machinesWithPendingCommands.add(m);
    }
    this.state.jobs.delete(id);
    this.dependencies.onJobFinal(id, outcome.state, now);
    this.state.needsScheduling = true;
    this.state.log('debug', { job: id, cancelled: job.cancelled }, 'job finished');
  }
}
