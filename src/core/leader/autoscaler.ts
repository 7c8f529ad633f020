/** Scales out for pending and forecast work, and scales in machines that are not needed. */
import { ArrivalRates } from '../scaling/arrival-rates.js';
import type { Machine } from '../machine.js';
import { addResources, type Resources } from '../resources.js';
import type { Job } from '../job.js';
import {
  instancePoolKey,
  planScaleOut,
  type ScaleOutRequest,
  type CapacityDemand,
} from '../scaling/scale-out-plan.js';
import type { Endpoint, MachineId, MonotonicTime } from '../units.js';
import type { ScaleOutOutcome } from './effects.js';
import { narrowJitter } from './jitter.js';
import type { LeaderState } from './leader-state.js';
import type { MachinePool } from './machine-pool.js';
import { replacementDemands } from './replacement-demand.js';

/** Minimum interval between two plans. */
const MIN_SCALING_INTERVAL_MS = 500;
/**
 * One plan creates at most this many machines, or one for this many pending tasks if that is more, so that large
 * clusters start quickly too.
 */
const MIN_NEW_MACHINE_LIMIT = 60;
const WAITING_TASKS_PER_NEW_MACHINE = 16;
/** Maximum number of pending tasks of one job in one plan. */
const MAX_PLANNED_TASKS_PER_JOB = 200;
/** Maximum number of machines in one request, set by the cloud provider's protocol. */
const MAX_MACHINES_PER_REQUEST = 50;
/** Upper bound of the back-off after refused requests, as a multiple of the capacity_retry_s setting. */
const MAX_REFUSAL_BACKOFF_FACTOR = 4;
/**
 * As in scheduling, no task is placed on a machine whose last heartbeat is older than this many heartbeat intervals.
 */
const UNREACHABLE_HEARTBEAT_INTERVALS = 2.5;
/** A new leader waits at most this long for the cloud provider's list of machines before it scales out. */
const FIRST_LIST_TIMEOUT_MS = 10_000;
/** A machine is not scaled in before this time after it was provisioned. */
const MIN_MACHINE_AGE_MS = 60_000;

interface Capacity {
  machine: Machine;
  free: Resources;
}

/** Decides how many machines of each type to create, and which machines to delete. */
export class Autoscaler {
  lastScaledAt = -Infinity;
  readonly arrivalRates = new ArrivalRates();
  private readonly unavailableUntil = new Map<string, MonotonicTime>();
  /** Number of consecutive refusals for lack of capacity, by `capacityKey`. */
  private readonly consecutiveRefusals = new Map<string, number>();
  /** Requests without a response, by request id. */
  private readonly pendingRequests = new Map<string, ScaleOutRequest>();
  private requestCount = 0;

  constructor(
    private readonly state: LeaderState,
    private readonly machinePool: MachinePool,
  ) {}

  /** Handles the cloud provider's response to a scale-out request. */
  onScaleOutResult(requestId: string, outcome: ScaleOutOutcome, now: MonotonicTime): void {
    const request = this.pendingRequests.get(requestId);
    if (!request) return;
    if (outcome === 'retry') {
      // The request id stays the same: if the request was executed after all, the cloud provider returns the same
      // machines.
      this.state.effects.push({ kind: 'create-machines', requestId, request });
      return;
    }
    this.pendingRequests.delete(requestId);
    const { type, zone, spot } = request;
    const created = outcome === 'no-capacity' ? [] : outcome.machines;
    for (const id of created)
      if (!this.state.machines.has(id))
        this.state.addMachine({ id, endpoint: '' as Endpoint, type, zone, spot }, now);
    const key = instancePoolKey(type, zone, spot);
    if (created.length < request.count) this.recordRefusal(key, now);
    else this.consecutiveRefusals.delete(key);
    this.state.log(
      'info',
      { request: requestId, ...request, created: created.length },
      'scale-out response received',
    );
    this.state.needsScheduling = true;
  }

  /**
   * Increases the back-off with each consecutive refusal. Requests of the same plan are refused together and count
   * once.
   */
  private recordRefusal(key: string, now: MonotonicTime): void {
    if ((this.unavailableUntil.get(key) ?? -Infinity) > now) return;
    const refusals = (this.consecutiveRefusals.get(key) ?? 0) + 1;
    this.consecutiveRefusals.set(key, refusals);
    const { capacityRetryS, random } = this.state.settings;
    const backoffMs = capacityRetryS * 1000 * Math.min(MAX_REFUSAL_BACKOFF_FACTOR, 2 ** (refusals - 1));
    this.unavailableUntil.set(key, (now + backoffMs * narrowJitter(random)) as MonotonicTime);
  }

  /**
   * Plans capacity for the waiting jobs, requests the missing machines, and scales in machines that the plan does not
   * use.
   */
  scale(waiting: Job[], now: MonotonicTime): void {
    const { machineTypes } = this.state;
    if (now - this.lastScaledAt < MIN_SCALING_INTERVAL_MS || machineTypes.length === 0) return;
    this.lastScaledAt = now;
    const { capacities, unreachable } = this.usableMachines(now);
    const demands = this.demands(waiting, unreachable, now);
    const plan = planScaleOut({
      capacities,
      demands,
      types: machineTypes,
      unavailableUntil: this.unavailableUntil,
      now,
      maxNewMachines: maxNewMachines(demands),
    });
    if (this.pendingRequests.size === 0 && !this.isAwaitingFirstList(now))
      for (const request of plan.requests) this.requestMachines(request);
    this.scaleIn(plan.neededMachines, now);
  }

  /** Machines that a plan can place tasks on, and machines that it cannot use because their heartbeats are missing. */
  private usableMachines(now: MonotonicTime): { capacities: Capacity[]; unreachable: Machine[] } {
    const capacities: Capacity[] = [];
    const unreachable: Machine[] = [];
    const { heartbeatIntervalS } = this.state.settings.workers;
    const unreachableMs = heartbeatIntervalS * UNREACHABLE_HEARTBEAT_INTERVALS * 1000;
    for (const machine of this.state.machines.values()) {
      const { type, lastHeartbeatAt } = machine;
      if (!type || machine.decommissioning || machine.quarantined) continue;
      if (machine.interruptionNoticedAt !== null) continue;
      if (machine.up && !machine.reconciled && !this.isUnregisteredFromEarlierLeader(machine)) continue;
      if (machine.up && lastHeartbeatAt !== null && now - lastHeartbeatAt > unreachableMs) {
        unreachable.push(machine);
        continue;
      }
      const free = { cpus: type.cpus, gpus: type.gpus, memoryGb: type.memoryGb };
      addResources(free, machine.allocated(this.state.resourcesOf), -1);
      capacities.push({ machine, free });
    }
    return { capacities, unreachable };
  }

  /**
   * Whether the machine was up before this leadership began but is not registered, so it holds no tasks. Its next
   * heartbeat makes it usable. If it did not count as capacity, a new leader would scale out although a whole cluster
   * is up.
   */
  private isUnregisteredFromEarlierLeader(machine: Machine): boolean {
    return !this.state.unreconciledMachines.has(machine.id) && machine.provisionedAt < this.state.startedAt;
  }

  /** Demands in order of priority: replacements of unreachable machines, waiting jobs, forecast work. */
  private demands(waiting: Job[], unreachable: Machine[], now: MonotonicTime): CapacityDemand[] {
    const demands = replacementDemands(unreachable, this.state);
    for (const job of waiting) {
      const tasks = Math.min(job.pendingCount, MAX_PLANNED_TASKS_PER_JOB);
      demands.push({ spec: job.spec, tasks, zones: this.state.placementsByZone(job), isForecast: false });
    }
    const { machineTypes, settings } = this.state;
    for (const { spec, tasks } of this.arrivalRates.forecastTasks(machineTypes, settings.headroom, now))
      demands.push({ spec, tasks, zones: new Map(), isForecast: true });
    return demands;
  }

  /**
   * Whether to wait for the first list of machines, since unregistered machines may be up, as at the first leader's
   * start.
   */
  private isAwaitingFirstList(now: MonotonicTime): boolean {
    return !this.state.machinesListed && now - this.state.startedAt < FIRST_LIST_TIMEOUT_MS;
  }

  /** Splits the request into batches that the cloud provider accepts. Each batch has its own id, which retries keep. */
  private requestMachines(request: ScaleOutRequest): void {
    for (let remaining = request.count; remaining > 0; remaining -= MAX_MACHINES_PER_REQUEST) {
      const requestId = `t${this.state.leadership.term}-${++this.requestCount}`;
      const batch = { ...request, count: Math.min(remaining, MAX_MACHINES_PER_REQUEST) };
      this.pendingRequests.set(requestId, batch);
      this.state.effects.push({ kind: 'create-machines', requestId, request: batch });
    }
  }

  private scaleIn(needed: ReadonlySet<MachineId>, now: MonotonicTime): void {
    const idleHoldMs = this.state.settings.idleHoldS * 1000;
    for (const machine of this.state.machines.values()) {
      if (!machine.reconciled || machine.decommissioning || machine.busy) continue;
      if (needed.has(machine.id) || machine.idleSince === null) continue;
      if (now - machine.idleSince > idleHoldMs && now - machine.provisionedAt > MIN_MACHINE_AGE_MS)
        this.machinePool.drain(machine, 'idle', now);
    }
  }
}

const maxNewMachines = (demands: CapacityDemand[]): number => {
  const tasks = demands.reduce((sum, demand) => sum + demand.tasks, 0);
  return Math.max(MIN_NEW_MACHINE_LIMIT, Math.ceil(tasks / WAITING_TASKS_PER_NEW_MACHINE));
};
