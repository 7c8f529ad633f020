/**
 * Starts sent straight to a worker that may still arrive there. Guards against a late copy of a start that runs a task
 * again: while one may arrive, the worker must not be told to forget the attempt.
 */
import type { AttemptKey } from './task-status.js';

/** Counts the copies in flight of each attempt's start. */
export class InFlightStarts {
  private readonly copiesInFlight = new Map<AttemptKey, number>();

  /** Attempts of which a copy may still arrive. */
  get size(): number {
    return this.copiesInFlight.size;
  }

  /** Whether a copy may still arrive. */
  has(key: AttemptKey): boolean {
    return this.copiesInFlight.has(key);
  }

  /** A copy is about to be sent. */
  recordSent(key: AttemptKey): void {
    this.copiesInFlight.set(key, (this.copiesInFlight.get(key) ?? 0) + 1);
  }

  /** That copy was never sent after all; earlier ones may have been. */
  recordUnsent(key: AttemptKey): void {
    const left = (this.copiesInFlight.get(key) ?? 0) - 1;
    if (left > 0) this.copiesInFlight.set(key, left);
    else this.copiesInFlight.delete(key);
  }

  /** The worker refused a copy for its token or incarnation, and will refuse every earlier one. */
  recordRefused(key: AttemptKey): void {
    this.copiesInFlight.delete(key);
  }

  /** The worker's incarnation has ended: it refuses all that was sent for it. */
  clear(): void {
    this.copiesInFlight.clear();
  }
}
