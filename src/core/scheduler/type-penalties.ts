/** Penalties for machine types: jobs that run equally well on several types avoid the one that others need. */
import { tasksPerMachine } from '../resources.js';
import type { JobSpec } from '../job-spec.js';
import type { MachineType } from '../machine-info.js';
import type { MachineTypeName } from '../units.js';
import { mayRunOn } from './placement-constraints.js';

const MAX_CLASSES = 50;
const MAX_CACHED_PENALTIES = 1000;
const MAX_EXCESS_COST_FRACTION = 2;

/** Computes penalties for placing a job's tasks on a machine type, relative to the other classes of jobs. */
export class TypePenalties {
  private types: MachineType[] = [];
  /** The first known job of each class, which represents the class. */
  private readonly classes = new Map<string, JobSpec>();
  private readonly cache = new Map<string, number>();

  /** Sets the machine types and their current prices. */
  setTypes(types: MachineType[]): void {
    this.types = types;
    this.cache.clear();
  }

  /** Records the job's class. */
  recordSpec(spec: JobSpec): void {
    if (this.classes.has(spec.class) || this.classes.size >= MAX_CLASSES) return;
    this.classes.set(spec.class, spec);
    this.cache.clear();
  }

  /** The job's own excess cost on the type, minus the mean excess cost of the other classes. */
  penaltyOf(spec: JobSpec, type: MachineTypeName): number {
    const key = `${spec.class}|${spec.cpus}|${spec.gpus}|${spec.memoryGb}|${type}`;
    const cached = this.cache.get(key);
    if (cached !== undefined) return cached;
    const penalty = this.excessCostFraction(spec, type) - this.meanExcessCostOfOthers(spec, type);
    if (this.cache.size > MAX_CACHED_PENALTIES) this.cache.clear();
    this.cache.set(key, penalty);
    return penalty;
  }

  private meanExcessCostOfOthers(spec: JobSpec, type: MachineTypeName): number {
    let sum = 0;
    let count = 0;
    for (const [name, other] of this.classes) {
      if (name === spec.class) continue;
      sum += this.excessCostFraction(other, type);
      count++;
    }
    return count === 0 ? 0 : sum / count;
  }

  /** How much more a task costs on this type than on the type where it costs least, as a fraction of the latter. */
  private excessCostFraction(spec: JobSpec, name: MachineTypeName): number {
    let costOnType = Infinity;
    let leastCost = Infinity;
    for (const type of this.types) {
      if (!type.zones.some((zone) => mayRunOn(spec, type.name, zone, false))) continue;
      const tasks = tasksPerMachine(spec, type);
      if (tasks === 0) continue;
      const cost = type.price / tasks;
      leastCost = Math.min(leastCost, cost);
      if (type.name === name) costOnType = cost;
    }
    return costOnType === Infinity || leastCost === 0
      ? MAX_EXCESS_COST_FRACTION
      : Math.min(MAX_EXCESS_COST_FRACTION, costOnType / leastCost - 1);
  }
}
