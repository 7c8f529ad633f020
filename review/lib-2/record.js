/** The record of one run: what was sent, answered and run, with the seconds since the start. */
import { appendFileSync, writeFileSync } from 'node:fs';
import { performance } from 'node:perf_hooks';
import { setTimeout as delay } from 'node:timers/promises';

export const now = () => performance.now();

export const sleep = (ms) => delay(Math.max(0, ms));

export class Record {
  constructor(path) {
    this.path = path;
    this.startedAt = now();
    writeFileSync(path, '');
  }

  get seconds() {
    return (now() - this.startedAt) / 1000;
  }

  add(text, fields = {}) {
    const details = Object.entries(fields)
      .map(([key, value]) => `${key}=${typeof value === 'string' ? value : JSON.stringify(value)}`)
      .join(' ');
    appendFileSync(this.path, `${this.seconds.toFixed(3).padStart(8)} ${text} ${details}\n`);
  }
}
