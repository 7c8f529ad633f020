/** One run of a process on a simulated host: it can be killed, paused, and has clocks of its own. */
import type { SimulationRuntime } from './simulation-runtime.js';

/** One run of a process (or a stand-in) at an address. */
export class SimulatedHost {
  alive = true;
  private paused = false;
  private deferred: (() => void)[] = [];
  onKilled: (() => void)[] = [];

  constructor(
    readonly runtime: SimulationRuntime,
    readonly ip: string,
    /** Monotonic clocks of different processes have nothing in common. */
    readonly monotonicOffsetMs: number,
    /** The wall clock is off by this. */
    readonly wallClockOffsetMs: number,
  ) {}

  /** Runs the action as this process: at once, after a pause, or never once the process is dead. */
  run(action: () => void): void {
    if (!this.alive) return;
    if (this.paused) this.deferred.push(action);
    else this.runtime.currentHost.run(this, action);
  }

  /** Ends the process: nothing of it runs any more, and its connections are reset. */
  kill(): void {
    this.alive = false;
    this.deferred = [];
    for (const action of this.onKilled.splice(0)) action();
  }

  /** Pauses the process while its clocks continue. */
  freeze(ms: number): void {
    this.paused = true;
    this.runtime.clock.after(ms, () => {
      this.paused = false;
      for (const action of this.deferred.splice(0)) this.run(action);
    });
  }
}
