// How many machines of which type, zone and kind the waiting and the expected work needs.
import { addResources, fits } from '../resources.js';
import { type Machine } from '../machine.js';
import { mayRunOn } from '../scheduler/placement-constraints.js';
import type { Resources, JobSpec, MachineType } from '../types.js';
import type { MachineId, MonotonicTime, MachineTypeName, Zone } from '../units.js';

export interface CapacityDemand {
  spec: JobSpec;
  tasks: number;
  /** Zones already used by the job's tasks, for spread and one-zone jobs. */
  zones: Map<Zone, number>;
  isForecast: boolean;
}

export interface ScaleOutRequest {
  type: MachineTypeName;
  zone: Zone;
  spot: boolean;
  count: number;
}

interface Capacity {
  free: Resources;
  type: MachineTypeName;
  zone: Zone;
  spot: boolean;
  machine: MachineId | null;
  busy: boolean;
  /** An hour of one accelerator, or of one CPU where there are none. */
  price: number;
}

export interface ScaleOutInput {
  /** Schedulable machines with what is free on them, and machines still booting. */
  capacities: { machine: Machine; free: Resources }[];
  demands: CapacityDemand[];
  types: MachineType[];
  unavailableUntil: Map<string, MonotonicTime>;
  now: MonotonicTime;
  maxNewMachines: number;
}

export interface ScaleOutPlan {
  requests: ScaleOutRequest[];
  /** Machines that waiting or expected work would use: not idle, whatever they do now. */
  neededMachines: Set<MachineId>;
}

export const capacityKey = (type: MachineTypeName, zone: Zone, spot: boolean): string =>
  `${type}|${zone}|${spot}`;

/** How many tasks of this kind an empty machine of the type takes. */
export const tasksPerMachine = (spec: Resources, type: MachineType): number => {
  let n = 100_000;
  if (spec.cpus > 0) n = Math.min(n, Math.floor(type.cpus / spec.cpus + 1e-6));
  if (spec.gpus > 0) n = Math.min(n, Math.floor(type.gpus / spec.gpus + 1e-6));
  if (spec.memoryGb > 0) n = Math.min(n, Math.floor(type.memoryGb / spec.memoryGb + 1e-6));
  return n;
};

export const fitsSomeType = (spec: JobSpec, types: MachineType[]): boolean =>
  types.some((t) => t.zones.some((z) => mayRunOn(spec, t.name, z, false)) && fits(spec, t));

/** Groups whose tasks run at the same time, spread over zones, need more than one zone as soon as they are two. */
export const canBeSpread = (spec: JobSpec, types: MachineType[]): boolean => {
  if (!spec.spread || spec.kind === 'array' || spec.tasks < 2) return true;
  if (spec.oneZone) return false;
  const fitting = types.filter((t) => fits(spec, t));
  const zones = fitting.flatMap((t) => t.zones.filter((z) => mayRunOn(spec, t.name, z, false)));
  return new Set(zones).size > 1;
};

const unitPrice = (t: MachineType, spot: boolean): number =>
  (spot ? t.spotPrice : t.price) / (t.gpus > 0 ? t.gpus : t.cpus);

class Plan {
  private readonly rooms: Capacity[] = [];
  private readonly orders = new Map<string, ScaleOutRequest>();
  readonly needed = new Set<MachineId>();
  private fresh = 0;

  constructor(private readonly input: ScaleOutInput) {
    for (const { machine, free } of input.capacities) {
      const { type, zone, spot } = machine.info;
      const price = machine.type ? unitPrice(machine.type, spot) : 0;
      this.rooms.push({
        free: { ...free },
        type,
        zone,
        spot,
        machine: machine.id,
        busy: machine.busy,
        price,
      });
    }
  }

  run(): ScaleOutPlan {
    this.rooms.sort((a, b) => this.order(a, b));
    for (const want of this.input.demands) this.satisfy(want);
    return { requests: [...this.orders.values()], neededMachines: this.needed };
  }

  private satisfy(want: CapacityDemand): void {
    let left = want.tasks;
    // Expected work is many jobs: spread and one-zone hold within each of them, not over all.
    const each = want.isForecast ? Math.max(1, want.spec.tasks) : left;
    while (left > 0) {
      const group = Math.min(each, left);
      if (!this.place(want, new Map(want.zones), group)) return; // nothing rentable can take it at present
      left -= group;
    }
  }

  /** One pass over the rooms in their order, then machines to be rented. */
  private place(want: CapacityDemand, zones: Map<Zone, number>, tasks: number): boolean {
    const { spec } = want;
    let left = tasks;
    for (const r of this.rooms) {
      if (left === 0) return true;
      if (!fits(spec, r.free) || !mayRunOn(spec, r.type, r.zone, r.spot)) continue;
      left -= this.fill(spec, r, zones, left);
    }
    while (left > 0) {
      const room = this.newRoom(want, zones, left);
      if (!room) return false;
      left -= this.fill(spec, room, zones, left);
    }
    return true;
  }

  private fill(spec: JobSpec, room: Capacity, zones: Map<Zone, number>, most: number): number {
    let n = 0;
    while (n < most && fits(spec, room.free) && this.zoneAllowed(spec, room.zone, zones)) {
      addResources(room.free, spec, -1);
      zones.set(room.zone, (zones.get(room.zone) ?? 0) + 1);
      n++;
    }
    if (n > 0 && room.machine !== null) this.needed.add(room.machine);
    return n;
  }

  private zoneAllowed(spec: JobSpec, zone: Zone, zones: Map<Zone, number>): boolean {
    if (spec.oneZone && zones.size > 0 && !zones.has(zone)) return false;
    return !spec.spread || (zones.get(zone) ?? 0) < Math.ceil(spec.tasks / 2);
  }

  /** Machines in use first, then cheap ones, then full ones: the dear and empty ones are free to go back. */
  private order(a: Capacity, b: Capacity): number {
    if (a.busy !== b.busy) return a.busy ? -1 : 1;
    return a.price - b.price || a.free.gpus - b.free.gpus;
  }

  private newRoom(want: CapacityDemand, zones: Map<Zone, number>, left: number): Capacity | null {
    if (this.fresh >= this.input.maxNewMachines) return null;
    const spec = want.spec;
    let best: { type: MachineType; zone: Zone; spot: boolean; cost: number } | null = null;
    for (const type of this.input.types) {
      const fit = tasksPerMachine(spec, type);
      if (fit === 0) continue;
      const used = Math.min(left, fit);
      // Room beyond this job's tasks is worth something, as others will use it, but less.
      const share = (used + 0.35 * (fit - used)) / fit;
      for (const zone of type.zones) {
        if (!this.zoneAllowed(spec, zone, zones)) continue;
        for (const spot of spec.spot ? [true, false] : [false]) {
          if (!mayRunOn(spec, type.name, zone, spot)) continue;
          if (
            (this.input.unavailableUntil.get(capacityKey(type.name, zone, spot)) ?? -Infinity) >
            this.input.now
          )
            continue;
          const cost = (spot ? type.spotPrice : type.price) / (fit * share);
          if (best === null || cost < best.cost) best = { type, zone, spot, cost };
        }
      }
    }
    if (!best) return null;
    this.fresh++;
    const key = capacityKey(best.type.name, best.zone, best.spot);
    const order = this.orders.get(key) ?? {
      type: best.type.name,
      zone: best.zone,
      spot: best.spot,
      count: 0,
    };
    order.count++;
    this.orders.set(key, order);
    const { cpus, gpus, memoryGb } = best.type;
    const free = { cpus, gpus, memoryGb };
    const { zone, spot } = best;
    const price = unitPrice(best.type, spot);
    // Rented for this work: as good as in use.
    const room: Capacity = { free, type: best.type.name, zone, spot, machine: null, busy: true, price };
    this.rooms.push(room);
    return room;
  }
}

export const planScaleOut = (input: ScaleOutInput): ScaleOutPlan => new Plan(input).run();
