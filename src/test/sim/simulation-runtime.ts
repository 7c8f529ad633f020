/** The virtual time and hosts of a simulation. Tracks the current host, and lets promises settle between events. */
import { AsyncLocalStorage } from 'node:async_hooks';
import { SimulatedHost } from './simulated-host.js';
import { VirtualClock } from './virtual-clock.js';

/** The original function of Node.js. It runs after all promise callbacks that are ready. */
const runAfterPromises = setImmediate;

/** Offsets of the monotonic clocks: those of consecutive hosts differ by one step. */
const MONOTONIC_OFFSET_BASE_MS = 1000;
const MONOTONIC_OFFSET_STEP_MS = 7919;

/** The clock and the hosts of one simulation. */
export class SimulationRuntime {
  readonly clock = new VirtualClock();
  readonly currentHost = new AsyncLocalStorage<SimulatedHost>();
  private hostCount = 0;

  /** Creates a process at the IP address. */
  createHost(ip: string, wallClockOffsetMs = 0): SimulatedHost {
    const monotonicOffsetMs = MONOTONIC_OFFSET_BASE_MS + MONOTONIC_OFFSET_STEP_MS * ++this.hostCount;
    return new SimulatedHost(this, ip, monotonicOffsetMs, wallClockOffsetMs);
  }

  /** Runs events in order until `endMs`. After each event, the callbacks of settled promises run. */
  async runUntil(endMs: number): Promise<void> {
    while (this.clock.step(endMs)) await new Promise((resolve) => runAfterPromises(resolve));
    this.clock.now = endMs;
  }
}
