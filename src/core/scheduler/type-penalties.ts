/** Which machine types suit which class of jobs: a task that is as well off on either leaves the one that others need. */
import { tasksPerMachine } from '../resources.js';
import type { JobSpec } from '../job-spec.js';
import type { MachineType } from '../machine-info.js';
import type { MachineTypeName } from '../units.js';
import { mayRunOn } from './placement-constraints.js';

const MAX_CLASSES = 50;
const MAX_CACHED_PENALTIES = 1000;
const MAX_DISADVANTAGE = 2;

/** Penalties for placing a job's tasks on a machine type, relative to the other classes of jobs. */
export class TypePenalties {
  private types: MachineType[] = [];
  /** A job of each class stands for all of them. */
  private readonly classes = new Map<string, JobSpec>();
  private readonly cache = new Map<string, number>();

  /** The machine types with their current prices. */
  setTypes(types: MachineType[]): void {
    this.types = types;
    this.cache.clear();
  }

  /** Takes note of the job's class. */
  recordSpec(spec: JobSpec): void {
    if (this.classes.has(spec.class) || this.classes.size >= MAX_CLASSES) return;
    this.classes.set(spec.class, spec);
    this.cache.clear();
  }

  /** The job's own disadvantage on the type, less the mean disadvantage that the other classes have there. */
  penaltyOf(spec: JobSpec, type: MachineTypeName): number {
    const key = `${spec.class}|${spec.cpus}|${spec.gpus}|${spec.memoryGb}|${type}`;
    const known = this.cache.get(key);
    if (known !== undefined) return known;
    const penalty = this.disadvantage(spec, type) - this.meanDisadvantageOfOthers(spec, type);
    if (this.cache.size > MAX_CACHED_PENALTIES) this.cache.clear();
    this.cache.set(key, penalty);
    return penalty;
  }

  private meanDisadvantageOfOthers(spec: JobSpec, type: MachineTypeName): number {
    let sum = 0;
    let count = 0;
    for (const [name, other] of this.classes) {
      if (name === spec.class) continue;
      sum += this.disadvantage(other, type);
      count++;
    }
    return count === 0 ? 0 : sum / count;
  }

  /** How much more a task's share of the machine costs here than on the type where it costs least, as a fraction. */
  private disadvantage(spec: JobSpec, name: MachineTypeName): number {
    let own = Infinity;
    let least = Infinity;
    for (const type of this.types) {
      if (!type.zones.some((zone) => mayRunOn(spec, type.name, zone, false))) continue;
      const tasks = tasksPerMachine(spec, type);
      if (tasks === 0) continue;
      const cost = type.price / tasks;
      least = Math.min(least, cost);
      if (type.name === name) own = cost;
    }
    return own === Infinity || least === 0 ? MAX_DISADVANTAGE : Math.min(MAX_DISADVANTAGE, own / least - 1);
  }
}
