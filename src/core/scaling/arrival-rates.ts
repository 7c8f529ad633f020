// What has arrived lately, by class: the base for room that is kept ready for work still to come.
import type { JobRecord, JobSpec, MachineType } from '../types.js';
import type { MonotonicTime, WallTime } from '../units.js';

const WINDOW_MS = 150_000;

interface ClassHistory {
  spec: JobSpec;
  arrivals: { at: MonotonicTime; tasks: number }[];
}

export class ArrivalRates {
  private readonly classes = new Map<string, ClassHistory>();

  recordArrival(record: JobRecord, now: MonotonicTime, wall: WallTime): void {
    const at = (now - Math.max(0, wall - record.submittedAt)) as MonotonicTime;
    this.recordTasks(record.spec, at);
  }

  /** Work that began to need room then. */
  recordTasks(spec: JobSpec, at: MonotonicTime): void {
    const h = this.classes.get(spec.class) ?? { spec, arrivals: [] };
    h.spec = spec;
    h.arrivals.push({ at, tasks: spec.tasks });
    this.classes.set(spec.class, h);
  }

  /** Room for the fluctuation of arrivals (so many standard deviations) over the time that a new machine takes. */
  forecastTasks(
    types: MachineType[],
    headroom: number,
    now: MonotonicTime,
  ): { spec: JobSpec; tasks: number }[] {
    const out: { spec: JobSpec; tasks: number }[] = [];
    for (const h of this.classes.values()) {
      h.arrivals = h.arrivals.filter((a) => now - a.at < WINDOW_MS);
      if (h.arrivals.length === 0) continue;
      const usable = types.filter((t) => h.spec.types === null || h.spec.types.includes(t.name));
      if (usable.length === 0) continue;
      const bootS = Math.min(...usable.map((t) => t.bootS * 1.2 + h.spec.imageGb / t.fetchGbPerS));
      const jobs = (h.arrivals.length / (WINDOW_MS / 1000)) * bootS;
      const perJob = h.arrivals.reduce((sum, a) => sum + a.tasks, 0) / h.arrivals.length;
      out.push({ spec: h.spec, tasks: Math.ceil(headroom * Math.sqrt(jobs) * Math.min(perJob, 8)) });
    }
    return out;
  }
}
