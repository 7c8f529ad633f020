/**
 * Admission control for user requests: a bounded number run concurrently, and others are rejected immediately with a
 * retry time. Capacity reserved for retries prevents a request from being rejected repeatedly while others are served.
 */

/** Bounds the memory for subjects, which are chosen by clients. */
const MAX_REJECTED_SUBJECTS = 5000;

/**
 * Bounds the number of requests in progress. The subject of a request identifies it across retries: its target, or null
 * if the target alone does not identify it.
 */
export class AdmissionControl {
  private inProgress = 0;
  private readonly rejectedSubjects = new Set<string>();
  private rejected = 0;

  constructor(
    private readonly limit: number,
    /** Additional capacity beyond the limit, for requests that were rejected before. */
    private readonly reservedForRetries: number,
  ) {}

  /** The number of requests in progress. */
  get openRequests(): number {
    return this.inProgress;
  }

  /** The number of requests rejected since the process started. */
  get rejectedCount(): number {
    return this.rejected;
  }

  /** Returns whether the request is admitted. The caller must release each admitted request. */
  tryAdmit(subject: string | null): boolean {
    const isRetry = subject !== null && this.rejectedSubjects.has(subject);
    if (this.inProgress < this.limit + (isRetry ? this.reservedForRetries : 0)) {
      this.inProgress++;
      return true;
    }
    this.rejected++;
    if (subject === null) return false;
    if (this.rejectedSubjects.size >= MAX_REJECTED_SUBJECTS) this.rejectedSubjects.clear();
    this.rejectedSubjects.add(subject);
    return false;
  }

  /** Ends an admitted request. `served` is false if the response only requested a retry. */
  release(subject: string | null, served: boolean): void {
    this.inProgress--;
    if (subject === null) return;
    if (served) this.rejectedSubjects.delete(subject);
    else if (this.rejectedSubjects.size < MAX_REJECTED_SUBJECTS) this.rejectedSubjects.add(subject);
  }
}
