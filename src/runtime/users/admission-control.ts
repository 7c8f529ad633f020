/**
 * Admission of users' requests: so many at once, and others are answered at once with a time to come back. Guards
 * against requests that are refused again and again: one that was refused before has capacity that others don't get.
 */

/** Guards against names without end from outside. */
const MAX_REFUSED_SUBJECTS = 5000;

/** Bounds the requests in progress. A request's subject names what it asks about; null where only the body says. */
export class AdmissionControl {
  private inProgress = 0;
  private readonly refusedSubjects = new Set<string>();
  private refused = 0;

  constructor(
    private readonly limit: number,
    /** Beyond the limit, for requests that were refused before. */
    private readonly reservedForRetries: number,
  ) {}

  /** The number of requests in progress. */
  get openRequests(): number {
    return this.inProgress;
  }

  /** How many requests were refused since the start. */
  get refusedCount(): number {
    return this.refused;
  }

  /** Admits a request or refuses it; one that is admitted is to be released. */
  tryAdmit(subject: string | null): boolean {
    const isRetry = subject !== null && this.refusedSubjects.has(subject);
    if (this.inProgress < this.limit + (isRetry ? this.reservedForRetries : 0)) {
      this.inProgress++;
      return true;
    }
    this.refused++;
    if (subject === null) return false;
    if (this.refusedSubjects.size >= MAX_REFUSED_SUBJECTS) this.refusedSubjects.clear();
    this.refusedSubjects.add(subject);
    return false;
  }

  /** A request ends; `served`: it was answered with something other than "come back". */
  release(subject: string | null, served: boolean): void {
    this.inProgress--;
    if (subject === null) return;
    if (served) this.refusedSubjects.delete(subject);
    else if (this.refusedSubjects.size < MAX_REFUSED_SUBJECTS) this.refusedSubjects.add(subject);
  }
}
