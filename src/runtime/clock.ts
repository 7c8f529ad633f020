/**
 * The process's clocks, and waiting.
 *
 * Node's own functions are looked up at each call: the simulation replaces them by virtual time.
 */
import type { MonotonicTime, WallTime } from '../core/units.js';

/** Milliseconds that never go back; only meaningful inside this process. */
export const monotonicNow = (): MonotonicTime => performance.now() as MonotonicTime;

/** Milliseconds of the time of day; comparable between processes within the clock error. */
export const wallClockNow = (): WallTime => Date.now() as WallTime;

/** Resolves after at least this time. */
export const sleep = (ms: number): Promise<void> => new Promise((resolve) => setTimeout(resolve, ms));
