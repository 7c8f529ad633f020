/**
 * The monotonic clock and the wall clock of this process, and a promise-based sleep.
 *
 * Node's global functions are resolved at each call, because the test simulation replaces them with virtual time.
 */
import type { MonotonicTime, WallTime } from '../core/units.js';

/** Milliseconds on the monotonic clock; only comparable within this process. */
export const monotonicNow = (): MonotonicTime => performance.now() as MonotonicTime;

/** Milliseconds since the epoch; comparable between processes within the configured clock error. */
export const wallClockNow = (): WallTime => Date.now() as WallTime;

/** Resolves after at least `ms` milliseconds. */
export const sleep = (ms: number): Promise<void> => new Promise((resolve) => setTimeout(resolve, ms));
