/** How many machines of which type, zone and kind the waiting and the forecast work needs. */
import { addResources, copyResources, fits, tasksPerMachine, type Resources } from '../resources.js';
import type { Machine } from '../machine.js';
import { mayRunOn, zoneAllowsOneMore, type ZoneCounts } from '../scheduler/placement-constraints.js';
import type { JobSpec } from '../job-spec.js';
import type { MachineType } from '../machine-info.js';
import type { MachineId, MonotonicTime, MachineTypeName, Zone } from '../units.js';

/** Tasks that need capacity. */
export interface CapacityDemand {
  spec: JobSpec;
  tasks: number;
  /** Zones already used by the job's tasks, for spread and one-zone jobs. */
  zones: ZoneCounts;
  /** Forecast work is that of many jobs, none of which has been submitted. */
  isForecast: boolean;
}

/** Machines of one type, zone and kind that the cloud can be asked for. */
interface InstancePool {
  type: MachineTypeName;
  zone: Zone;
  spot: boolean;
}

/** A request for new machines. */
export interface ScaleOutRequest extends InstancePool {
  count: number;
}

/** What a plan is made from. */
export interface ScaleOutInput {
  /** Schedulable machines with what is free on them, and machines still booting. */
  capacities: { machine: Machine; free: Resources }[];
  /** In the order in which they are served. */
  demands: CapacityDemand[];
  types: MachineType[];
  /** By `instancePoolKey`: until when the cloud isn't asked again for what it refused. */
  unavailableUntil: Map<string, MonotonicTime>;
  now: MonotonicTime;
  maxNewMachines: number;
}

/** What to request, and what to keep. */
export interface ScaleOutPlan {
  requests: ScaleOutRequest[];
  /** Machines that waiting or forecast work would use: not idle, whatever they do now. */
  neededMachines: Set<MachineId>;
}

/** Free capacity of a machine, existing or to be requested. */
interface Capacity extends InstancePool {
  free: Resources;
  /** Null for a machine to be requested. */
  machine: MachineId | null;
  busy: boolean;
  /** Hourly price of one accelerator, or of one CPU where there are none. */
  unitPrice: number;
}

/** A machine to be requested, with its price for each task, weighed by how much of it is used. */
interface Offer {
  type: MachineType;
  zone: Zone;
  spot: boolean;
  cost: number;
}

/** Value of capacity beyond a job's tasks, as others will use it, as a share of that of used capacity. */
const SPARE_CAPACITY_VALUE_FRACTION = 0.35;

/** Names a pool of instances of one type, zone and kind. */
export const instancePoolKey = (type: MachineTypeName, zone: Zone, spot: boolean): string =>
  `${type}|${zone}|${spot}`;

const priceOf = (type: MachineType, spot: boolean): number => (spot ? type.spotPrice : type.price);

const unitPriceOf = (type: MachineType, spot: boolean): number =>
  priceOf(type, spot) / (type.gpus > 0 ? type.gpus : type.cpus);

/** Machines in use first, then cheap ones, then full ones: the expensive and empty ones are free for scale-in. */
const packingOrder = (a: Capacity, b: Capacity): number => {
  if (a.busy !== b.busy) return a.busy ? -1 : 1;
  return a.unitPrice - b.unitPrice || a.free.gpus - b.free.gpus;
};

/** Plans the capacity for the demands. */
export const planScaleOut = (input: ScaleOutInput): ScaleOutPlan => new Planner(input).run();

class Planner {
  private readonly capacities: Capacity[] = [];
  private readonly requests = new Map<string, ScaleOutRequest>();
  private readonly neededMachines = new Set<MachineId>();
  private newMachines = 0;

  constructor(private readonly input: ScaleOutInput) {
    for (const { machine, free } of input.capacities) {
      const { type, zone, spot } = machine.info;
      this.capacities.push({
        free: { ...free },
        type,
        zone,
        spot,
        machine: machine.id,
        busy: machine.busy,
        unitPrice: machine.type ? unitPriceOf(machine.type, spot) : 0,
      });
    }
  }

  /** Serves the demands in their order. */
  run(): ScaleOutPlan {
    this.capacities.sort(packingOrder);
    for (const demand of this.input.demands) this.serve(demand);
    return { requests: [...this.requests.values()], neededMachines: this.neededMachines };
  }

  private serve(demand: CapacityDemand): void {
    let left = demand.tasks;
    // Spread and one-zone hold within each of the forecast jobs, not over all of them.
    const groupSize = demand.isForecast ? Math.max(1, demand.spec.tasks) : left;
    while (left > 0) {
      const group = Math.min(groupSize, left);
      if (!this.placeGroup(demand.spec, new Map(demand.zones), group)) return;
      left -= group;
    }
  }

  /** One pass over the machines in their order, then new ones; false if nothing available can take all tasks. */
  private placeGroup(spec: JobSpec, zones: ZoneCounts, tasks: number): boolean {
    let left = tasks;
    for (const capacity of this.capacities) {
      if (left === 0) return true;
      if (!fits(spec, capacity.free) || !mayRunOn(spec, capacity.type, capacity.zone, capacity.spot))
        continue;
      left -= this.fill(spec, capacity, zones, left);
    }
    while (left > 0) {
      const capacity = this.requestMachine(spec, zones, left);
      if (!capacity) return false;
      left -= this.fill(spec, capacity, zones, left);
    }
    return true;
  }

  /** Places up to `limit` tasks on the machine and returns their number. */
  private fill(spec: JobSpec, capacity: Capacity, zones: ZoneCounts, limit: number): number {
    let placed = 0;
    while (placed < limit && fits(spec, capacity.free) && zoneAllowsOneMore(spec, capacity.zone, zones)) {
      addResources(capacity.free, spec, -1);
      zones.set(capacity.zone, (zones.get(capacity.zone) ?? 0) + 1);
      placed++;
    }
    if (placed > 0 && capacity.machine !== null) this.neededMachines.add(capacity.machine);
    return placed;
  }

  private requestMachine(spec: JobSpec, zones: ZoneCounts, tasks: number): Capacity | null {
    if (this.newMachines >= this.input.maxNewMachines) return null;
    const offer = this.cheapestOffer(spec, zones, tasks);
    if (!offer) return null;
    this.newMachines++;
    const { type, zone, spot } = offer;
    this.addRequest({ type: type.name, zone, spot });
    const capacity: Capacity = {
      free: copyResources(type),
      type: type.name,
      zone,
      spot,
      machine: null,
      // Requested for this work: as good as in use.
      busy: true,
      unitPrice: unitPriceOf(type, spot),
    };
    this.capacities.push(capacity);
    return capacity;
  }

  private cheapestOffer(spec: JobSpec, zones: ZoneCounts, tasks: number): Offer | null {
    let best: Offer | null = null;
    for (const type of this.input.types) {
      const capacity = tasksPerMachine(spec, type);
      if (capacity === 0) continue;
      const used = Math.min(tasks, capacity);
      const usedFraction = (used + SPARE_CAPACITY_VALUE_FRACTION * (capacity - used)) / capacity;
      for (const zone of type.zones) {
        if (!zoneAllowsOneMore(spec, zone, zones)) continue;
        for (const spot of spec.spot ? [true, false] : [false]) {
          if (!mayRunOn(spec, type.name, zone, spot) || this.isUnavailable(type.name, zone, spot)) continue;
          const cost = priceOf(type, spot) / (capacity * usedFraction);
          if (best === null || cost < best.cost) best = { type, zone, spot, cost };
        }
      }
    }
    return best;
  }

  private isUnavailable(type: MachineTypeName, zone: Zone, spot: boolean): boolean {
    const until = this.input.unavailableUntil.get(instancePoolKey(type, zone, spot)) ?? -Infinity;
    return until > this.input.now;
  }

  private addRequest({ type, zone, spot }: InstancePool): void {
    const key = instancePoolKey(type, zone, spot);
    const request = this.requests.get(key) ?? { type, zone, spot, count: 0 };
    request.count++;
    this.requests.set(key, request);
  }
}
