/**
 * An index of the unfinished jobs, with which a controller can check whether a job was accepted, whether it is
 * cancelled, and on which jobs it depends. It is updated with the changes of the key-value store, and lags behind the
 * store.
 */
import type { JobId } from './units.js';

/** The index entry of an unfinished job. */
export interface IndexedJob {
  dependsOn: readonly JobId[];
  cancelled: boolean;
}

/** Shared by all jobs without dependencies to save memory, since there are many. */
const NO_DEPENDENCIES: readonly JobId[] = [];

/** The unfinished jobs, as of the last changes read. */
export class JobIndex {
  private jobs = new Map<JobId, IndexedJob>();

  /** Adds or updates a job after its record was created or changed. */
  put(id: JobId, dependsOn: readonly JobId[], cancelled: boolean): void {
    this.jobs.set(id, { dependsOn: dependsOn.length > 0 ? dependsOn : NO_DEPENDENCIES, cancelled });
  }

  /** Removes a job after its record was deleted, which means that there is a final record. */
  remove(id: JobId): void {
    this.jobs.delete(id);
  }

  /** Removes all jobs, before all records are added again. */
  clear(): void {
    this.jobs = new Map();
  }

  /** The entry of a job; undefined if the job has ended or is not known yet. */
  get(id: JobId): IndexedJob | undefined {
    return this.jobs.get(id);
  }
}
