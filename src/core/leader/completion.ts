// Jobs that end, and progress that becomes durable.

import type { JobId, Steady } from '../units.js';
import type { FinishOutcome } from './effects.js';
import type { LeaderState } from './state.js';

export class Completion {
  private lastProgress = -Infinity;

  constructor(private readonly state: LeaderState) {}

  finishJobs(now: Steady): void {
    const flush = now - this.lastProgress >= 1000;
    if (flush) this.lastProgress = now;
    for (const job of this.state.jobs.values()) {
      if (job.finalizing) continue;
      // Not while a machine that has not reported to this leader may hold its tasks: they count for their team's
      // limit, and that machine must be fenced in time.
      const gone = job.placements.size === 0 && !this.state.mayBeOnSilent(job);
      if (job.allDone || (job.cancelled && gone)) {
        job.finalizing = true;
        const state = job.cancelled ? 'cancelled' : 'done';
        const chunks = [...job.stored];
        const { id, stamp } = job;
        this.state.effects.push({ kind: 'finish', job: id, stamp, state, tasks: job.doneCount, chunks });
      } else if (flush && job.unsavedChunks.size > 0 && !job.cancelled) {
        for (const chunk of job.unsavedChunks) {
          if (job.writing.has(chunk)) continue;
          job.unsavedChunks.delete(chunk);
          job.writing.add(chunk);
          this.state.effects.push({
            kind: 'progress',
            job: job.id,
            chunk,
            bytes: job.chunkBytes(chunk).slice(),
          });
        }
      }
    }
  }

  onProgress(id: JobId, chunk: number, bytes: Uint8Array, ok: boolean): void {
    const job = this.state.jobs.get(id);
    if (!job) return;
    job.writing.delete(chunk);
    if (ok) job.confirmChunk(chunk, bytes);
    else job.unsavedChunks.add(chunk);
  }

  onFinished(id: JobId, outcome: FinishOutcome, now: Steady): void {
    const job = this.state.jobs.get(id);
    if (!job) return;
    job.finalizing = false;
    if (outcome.kind === 'retry') return;
    if (outcome.kind === 'changed') {
      const cancelledNow = !job.cancelled && outcome.record.cancelledAt !== null;
      job.record = outcome.record;
      job.stamp = outcome.stamp;
      if (cancelledNow) this.state.cancel(job, now);
      return;
    }
    // Whatever is still reported of it is stopped and forgotten as a task of no known job.
    for (const p of [...job.placements.values()]) {
      const m = this.state.machines.get(p.machine);
      m?.unassign(job.id, p.index);
      if (m) this.state.machinesToCommand.add(m);
    }
    this.state.jobs.delete(id);
    this.state.needsScheduling = true;
    this.state.log('debug', { job: id, cancelled: job.cancelled }, 'job finished');
  }
}
