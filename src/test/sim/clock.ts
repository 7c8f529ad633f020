// Virtual time: events in order of time, then of their making. Nothing sleeps.
export class VirtualClock {
  now = 0;
  private queue: { at: number; order: number; run: () => void }[] = [];
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

  runUntil(end: number): void {
    for (;;) {
      let next = -1;
      for (let i = 0; i < this.queue.length; i++) {
        const a = this.queue[i]!;
        const b = this.queue[next];
        if (!b || a.at < b.at || (a.at === b.at && a.order < b.order)) next = i;
      }
      const event = this.queue[next];
      if (!event || event.at > end) break;
      this.queue.splice(next, 1);
      this.now = event.at;
      event.run();
    }
    this.now = end;
  }
}
