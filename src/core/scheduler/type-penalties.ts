// Which machine types suit which class: a task that is as well off on either leaves the one that others need.
import { mayRunOn } from './placement-constraints.js';
import { tasksPerMachine } from '../scaling/scale-out-plan.js';
import type { JobSpec, MachineType } from '../types.js';
import type { MachineTypeName } from '../units.js';

const MAX_CLASSES = 50;

export class TypePenalties {
  private types: MachineType[] = [];
  private readonly classes = new Map<string, JobSpec>();
  private cache = new Map<string, number>();

  setTypes(types: MachineType[]): void {
    this.types = types;
    this.cache.clear();
  }

  recordSpec(spec: JobSpec): void {
    if (this.classes.has(spec.class) || this.classes.size >= MAX_CLASSES) return;
    this.classes.set(spec.class, spec);
    this.cache.clear();
  }

  /** Own disadvantage of the type, less the mean disadvantage that the other classes have there. */
  penaltyOf(spec: JobSpec, type: MachineTypeName): number {
    const key = `${spec.class}|${spec.cpus}|${spec.gpus}|${spec.memoryGb}|${type}`;
    const known = this.cache.get(key);
    if (known !== undefined) return known;
    let others = 0;
    let count = 0;
    for (const [name, other] of this.classes) {
      if (name === spec.class) continue;
      others += this.disadvantage(other, type);
      count++;
    }
    const penalty = this.disadvantage(spec, type) - (count === 0 ? 0 : others / count);
    if (this.cache.size > 1000) this.cache.clear();
    this.cache.set(key, penalty);
    return penalty;
  }

  /** How much more a task's share of the machine costs here than on the type where it costs least, up to 2. */
  private disadvantage(spec: JobSpec, name: MachineTypeName): number {
    let own = Infinity;
    let least = Infinity;
    for (const t of this.types) {
      if (!t.zones.some((z) => mayRunOn(spec, t.name, z, false))) continue;
      const fit = tasksPerMachine(spec, t);
      if (fit === 0) continue;
      const cost = t.price / fit;
      least = Math.min(least, cost);
      if (t.name === name) own = cost;
    }
    return own === Infinity || least === 0 ? 2 : Math.min(2, own / least - 1);
  }
}
