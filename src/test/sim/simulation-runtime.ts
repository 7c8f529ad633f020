/** Virtual time and the hosts on it: knows which host runs at present, and lets promises settle between events. */
import { AsyncLocalStorage } from 'node:async_hooks';
import { SimulatedHost } from './simulated-host.js';
import { VirtualClock } from './virtual-clock.js';

/** Node's own, kept before a simulation replaces the timers. */
const runAfterPromises = setImmediate;

/** Monotonic clocks of consecutive hosts begin so far apart. */
const MONOTONIC_OFFSET_BASE_MS = 1000;
const MONOTONIC_OFFSET_STEP_MS = 7919;

/** The clock and the hosts of one simulation. */
export class SimulationRuntime {
  readonly clock = new VirtualClock();
  readonly currentHost = new AsyncLocalStorage<SimulatedHost>();
  private hostCount = 0;

  /** A new process at that address. */
  createHost(ip: string, wallClockOffsetMs = 0): SimulatedHost {
    const monotonicOffsetMs = MONOTONIC_OFFSET_BASE_MS + MONOTONIC_OFFSET_STEP_MS * ++this.hostCount;
    return new SimulatedHost(this, ip, monotonicOffsetMs, wallClockOffsetMs);
  }

  /** Runs events in order, and after each one whatever promises it settled. */
  async runUntil(endMs: number): Promise<void> {
    while (this.clock.step(endMs)) await new Promise((resolve) => runAfterPromises(resolve));
    this.clock.now = endMs;
  }
}
