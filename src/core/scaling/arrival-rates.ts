/** Arrival rates of jobs by class, and a forecast of the tasks for which capacity is to be kept ready. */
import type { JobRecord, JobSpec } from '../job-spec.js';
import type { MachineType } from '../machine-info.js';
import type { MonotonicTime, WallTime } from '../units.js';

const ARRIVAL_WINDOW_MS = 150_000;
const ARRIVAL_WINDOW_S = ARRIVAL_WINDOW_MS / 1000;
/** Allowance for machines that boot more slowly than their nominal boot time. */
const BOOT_TIME_FACTOR = 1.2;
/** Upper limit of the mean number of tasks per job in the forecast. */
const MAX_FORECAST_TASKS_PER_JOB = 8;

interface Arrival {
  at: MonotonicTime;
  tasks: number;
}

interface ClassHistory {
  /** The newest job of the class, which represents the class. */
  spec: JobSpec;
  arrivals: Arrival[];
}

/** The expected seconds until a new machine of the fastest usable type could start a task; null without such a type. */
const estimatedProvisioningS = (spec: JobSpec, types: MachineType[]): number | null => {
  const usable = types.filter((type) => spec.types === null || spec.types.includes(type.name));
  if (usable.length === 0) return null;
  return Math.min(...usable.map((type) => type.bootS * BOOT_TIME_FACTOR + spec.imageGb / type.fetchGbPerS));
};

/** Arrival rates by class of jobs, over a sliding window. */
export class ArrivalRates {
  private readonly classes = new Map<string, ClassHistory>();

  /** Records the arrival of a job at its submission time, which may be some time ago. */
  recordArrival(record: JobRecord, now: MonotonicTime, wallTime: WallTime): void {
    const at = (now - Math.max(0, wallTime - record.submittedAt)) as MonotonicTime;
    this.recordTasks(record.spec, at);
  }

  /** Records tasks that began to need capacity at the given time. */
  recordTasks(spec: JobSpec, at: MonotonicTime): void {
    const history = this.classes.get(spec.class) ?? { spec, arrivals: [] };
    history.spec = spec;
    history.arrivals.push({ at, tasks: spec.tasks });
    this.classes.set(spec.class, history);
  }

  /**
   * The number of tasks of each class to keep capacity ready for: `headroom` standard deviations of the arrivals within
   * the time that provisioning a machine takes.
   */
  forecastTasks(
    types: MachineType[],
    headroom: number,
    now: MonotonicTime,
  ): { spec: JobSpec; tasks: number }[] {
    const forecast: { spec: JobSpec; tasks: number }[] = [];
    for (const history of this.classes.values()) {
      history.arrivals = history.arrivals.filter((arrival) => now - arrival.at < ARRIVAL_WINDOW_MS);
      const { spec, arrivals } = history;
      if (arrivals.length === 0) continue;
      const leadTimeS = estimatedProvisioningS(spec, types);
      if (leadTimeS === null) continue;
      const jobs = (arrivals.length / ARRIVAL_WINDOW_S) * leadTimeS;
      const tasksPerJob = arrivals.reduce((sum, arrival) => sum + arrival.tasks, 0) / arrivals.length;
      const tasks = headroom * Math.sqrt(jobs) * Math.min(tasksPerJob, MAX_FORECAST_TASKS_PER_JOB);
      forecast.push({ spec, tasks: Math.ceil(tasks) });
    }
    return forecast;
  }
}
