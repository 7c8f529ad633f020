/** A virtual clock. Events run in order of time, then of creation, without real waiting. */
import TinyQueue from 'tinyqueue';

interface Event {
  at: number;
  order: number;
  run: () => void;
}

/** A clock that advances from one scheduled event to the next. */
export class VirtualClock {
  now = 0;
  private readonly queue = new TinyQueue<Event>([], (a, b) => a.at - b.at || a.order - b.order);
  private order = 0;

  /** Schedules the action after a delay. */
  after(ms: number, run: () => void): void {
    this.queue.push({ at: this.now + Math.max(0, ms), order: this.order++, run });
  }

  /** Repeats the action at a fixed interval. It runs first after one interval. */
  every(intervalMs: number, run: () => void): void {
    const repeat = (): void => {
      run();
      this.after(intervalMs, repeat);
    };
    this.after(intervalMs, repeat);
  }

  /** Runs the next event if it is due by `endMs`. Returns whether an event ran. */
  step(endMs: number): boolean {
    const next = this.queue.peek();
    if (!next || next.at > endMs) return false;
    this.queue.pop();
    this.now = next.at;
    next.run();
    return true;
  }

  /** Runs all events that are due by `endMs`. */
  runUntil(endMs: number): void {
    while (this.step(endMs));
    this.now = endMs;
  }
}
