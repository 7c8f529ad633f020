// Virtual time: events in order of time, then of their making. Nothing sleeps.
import TinyQueue from 'tinyqueue';

interface Event {
  at: number;
  order: number;
  run: () => void;
}

export class VirtualClock {
  now = 0;
  private readonly queue = new TinyQueue<Event>([], (a, b) => a.at - b.at || a.order - b.order);
  private order = 0;

  after(ms: number, run: () => void): void {
    this.queue.push({ at: this.now + Math.max(0, ms), order: this.order++, run });
  }

  every(ms: number, run: () => void): void {
    const again = (): void => {
      run();
      this.after(ms, again);
    };
    this.after(ms, again);
  }

  /** Runs the next event, if there is one by then. */
  step(end: number): boolean {
    const next = this.queue.peek();
    if (!next || next.at > end) return false;
    this.queue.pop();
    this.now = next.at;
    next.run();
    return true;
  }

  runUntil(end: number): void {
    while (this.step(end));
    this.now = end;
  }
}
