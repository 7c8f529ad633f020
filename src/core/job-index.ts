/**
 * What a controller knows of the unfinished jobs without asking for each: that they were accepted, which are cancelled,
 * and which others they depend on. Fed by the changes of the key-value store, so it is some time behind them.
 */
import type { JobId } from './units.js';

/** What is kept of an unfinished job. */
export interface IndexedJob {
  dependsOn: readonly JobId[];
  cancelled: boolean;
}

/** Shared by all jobs without dependencies: there are many. */
const NO_DEPENDENCIES: readonly JobId[] = [];

/** The unfinished jobs, as of the last changes read. */
export class JobIndex {
  private jobs = new Map<JobId, IndexedJob>();

  /** The job's record was created or changed. */
  put(id: JobId, dependsOn: readonly JobId[], cancelled: boolean): void {
    this.jobs.set(id, { dependsOn: dependsOn.length > 0 ? dependsOn : NO_DEPENDENCIES, cancelled });
  }

  /** The job's record was deleted: there is a final one. */
  remove(id: JobId): void {
    this.jobs.delete(id);
  }

  /** All records are about to be put again. */
  clear(): void {
    this.jobs = new Map();
  }

  /** Undefined for a job that is over, or not known yet. */
  get(id: JobId): IndexedJob | undefined {
    return this.jobs.get(id);
  }
}
