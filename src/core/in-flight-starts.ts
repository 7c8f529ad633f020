/**
 * Starts sent directly to a worker that may still arrive there. Guards against a delayed copy of a start that runs a
 * task again: while a copy may arrive, the worker must not be commanded to forget the attempt.
 */
import type { AttemptKey } from './task-status.js';

/** Counts the copies of each attempt's start that are in flight. */
export class InFlightStarts {
  private readonly copiesInFlight = new Map<AttemptKey, number>();

  /** The number of attempts whose start may still arrive. */
  get size(): number {
    return this.copiesInFlight.size;
  }

  /** Whether a copy of the attempt's start may still arrive. */
  has(key: AttemptKey): boolean {
    return this.copiesInFlight.has(key);
  }

  /** Records that a copy is about to be sent. */
  recordSent(key: AttemptKey): void {
    this.copiesInFlight.set(key, (this.copiesInFlight.get(key) ?? 0) + 1);
  }

  /** Records that the last copy was not sent. Earlier copies may have been. */
  recordUnsent(key: AttemptKey): void {
    const left = (this.copiesInFlight.get(key) ?? 0) - 1;
    if (left > 0) this.copiesInFlight.set(key, left);
    else this.copiesInFlight.delete(key);
  }

  /** Records that the worker refused a copy for its token or incarnation, and so will refuse every earlier copy. */
  recordRefused(key: AttemptKey): void {
    this.copiesInFlight.delete(key);
  }

  /** Removes all entries. The worker's incarnation has ended, and it refuses commands sent to an earlier one. */
  clear(): void {
    this.copiesInFlight.clear();
  }
}
