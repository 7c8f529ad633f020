/** A process on a simulated host. It has its own clocks and can be killed or paused. */
import type { SimulationRuntime } from './simulation-runtime.js';

/** A process, of a controller or of a simulated service, at an IP address. */
export class SimulatedHost {
  alive = true;
  private paused = false;
  private deferred: (() => void)[] = [];
  onKilled: (() => void)[] = [];

  constructor(
    readonly runtime: SimulationRuntime,
    readonly ip: string,
    /** Offset of the monotonic clock. It differs between processes, whose monotonic clocks are not comparable. */
    readonly monotonicOffsetMs: number,
    /** Error of the wall clock. */
    readonly wallClockOffsetMs: number,
  ) {}

  /** Runs the action as this process, or defers it to the end of a pause. Has no effect on a killed process. */
  run(action: () => void): void {
    if (!this.alive) return;
    if (this.paused) this.deferred.push(action);
    else this.runtime.currentHost.run(this, action);
  }

  /** Kills the process. Its pending actions don't run, and its connections are reset. */
  kill(): void {
    this.alive = false;
    this.deferred = [];
    for (const action of this.onKilled.splice(0)) action();
  }

  /** Pauses the process for `ms`. Its clocks continue. */
  freeze(ms: number): void {
    this.paused = true;
    this.runtime.clock.after(ms, () => {
      this.paused = false;
      for (const action of this.deferred.splice(0)) this.run(action);
    });
  }
}
