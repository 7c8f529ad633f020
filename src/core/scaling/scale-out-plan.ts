/** Plans how many machines of which type, zone and purchase kind are needed for pending and forecast tasks. */
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
  /** The number of the job's placed tasks in each zone, for the constraints of spread and one-zone jobs. */
  zones: ZoneCounts;
  /** Forecast tasks belong to several jobs, none of which has been submitted yet. */
  isForecast: boolean;
}

/** The cloud provider's machines of one type, zone and purchase kind. */
interface InstancePool {
  type: MachineTypeName;
  zone: Zone;
  spot: boolean;
}

/** A request for new machines. */
export interface ScaleOutRequest extends InstancePool {
  count: number;
}

/** The input of a plan. */
export interface ScaleOutInput {
  /** Schedulable and booting machines, with their free resources. */
  capacities: { machine: Machine; free: Resources }[];
  /** In the order in which capacity is assigned to them. */
  demands: CapacityDemand[];
  types: MachineType[];
  /** By `instancePoolKey`: until when no machines are requested from a pool, since the cloud provider had none left. */
  unavailableUntil: Map<string, MonotonicTime>;
  now: MonotonicTime;
  maxNewMachines: number;
}

/** The machines to request, and the existing ones to keep. */
export interface ScaleOutPlan {
  requests: ScaleOutRequest[];
  /** Machines that pending or forecast tasks would use. They are not idle, even if they hold no task now. */
  neededMachines: Set<MachineId>;
}

/** The free capacity of a machine that exists or is to be requested. */
interface Capacity extends InstancePool {
  free: Resources;
  /** Null for a machine to be requested. */
  machine: MachineId | null;
  busy: boolean;
  /** Hourly price per accelerator, or per CPU for a machine without accelerators. */
  unitPrice: number;
}

/** A machine that could be requested. Its cost is the price per task, weighted by how much of the machine is used. */
interface Offer {
  type: MachineType;
  zone: Zone;
  spot: boolean;
  cost: number;
}

/** Value of capacity beyond a job's tasks, which other jobs may use, as a fraction of the value of used capacity. */
const SPARE_CAPACITY_VALUE_FRACTION = 0.35;

/** Identifies the pool of machines of one type, zone and purchase kind. */
export const instancePoolKey = (type: MachineTypeName, zone: Zone, spot: boolean): string =>
  `${type}|${zone}|${spot}`;

const priceOf = (type: MachineType, spot: boolean): number => (spot ? type.spotPrice : type.price);

const unitPriceOf = (type: MachineType, spot: boolean): number =>
  priceOf(type, spot) / (type.gpus > 0 ? type.gpus : type.cpus);

/** Machines in use first, then cheap ones, then full ones: expensive and empty ones are left free for scale-in. */
const packingOrder = (a: Capacity, b: Capacity): number => {
  if (a.busy !== b.busy) return a.busy ? -1 : 1;
  return a.unitPrice - b.unitPrice || a.free.gpus - b.free.gpus;
};

/** Plans which machines to request for the demands. */
export const planScaleOut = (input: ScaleOutInput): ScaleOutPlan => new ScaleOutPlanner(input).run();

class ScaleOutPlanner {
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

  /** Assigns capacity to the demands in their order. */
  run(): ScaleOutPlan {
    this.capacities.sort(packingOrder);
    for (const demand of this.input.demands) this.planDemand(demand);
    return { requests: [...this.requests.values()], neededMachines: this.neededMachines };
  }

  private planDemand(demand: CapacityDemand): void {
    let remaining = demand.tasks;
    // The zone constraints apply within each forecast job, not across all of them.
    const groupSize = demand.isForecast ? Math.max(1, demand.spec.tasks) : remaining;
    while (remaining > 0) {
      const group = Math.min(groupSize, remaining);
      if (!this.placeGroup(demand.spec, new Map(demand.zones), group)) return;
      remaining -= group;
    }
  }

  /** Assigns tasks to the machines in order, then to new ones; false if none available fits the remaining tasks. */
  private placeGroup(spec: JobSpec, zones: ZoneCounts, tasks: number): boolean {
    let remaining = tasks;
    for (const capacity of this.capacities) {
      if (remaining === 0) return true;
      if (!fits(spec, capacity.free) || !mayRunOn(spec, capacity.type, capacity.zone, capacity.spot))
        continue;
      remaining -= this.fill(spec, capacity, zones, remaining);
    }
    while (remaining > 0) {
      const capacity = this.requestMachine(spec, zones, remaining);
      if (!capacity) return false;
      remaining -= this.fill(spec, capacity, zones, remaining);
    }
    return true;
  }

  /** Assigns up to `limit` tasks to the machine and returns their number. */
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
      // It is requested for these tasks, so it counts as in use.
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
