// Renting for the waiting and the expected work; giving back what nothing needs.
import { ArrivalRates } from '../scaling/arrival-rates.js';
import { Machine } from '../machine.js';
import { addResources } from '../resources.js';
import { Job } from '../job.js';
import {
  capacityKey,
  planScaleOut,
  type ScaleOutRequest,
  type CapacityDemand,
} from '../scaling/scale-out-plan.js';
import { priorityRank, type Resources } from '../types.js';
import type { Endpoint, MachineId, MonotonicTime, Zone } from '../units.js';
import type { MachinePool } from './machine-pool.js';
import type { LeaderState } from './leader-state.js';

/** New machines planned at once: at least so many, and more where much work waits, or a large cluster would start slowly. */
const LEAST_NEW_MACHINES = 60;
const WAITING_TASKS_A_MACHINE = 16;
/** Machines in one request (PROTOCOL, cloud). */
const MOST_RENTED = 50;
/** A refused kind of machine is asked for again after the operators' time, or this many times as long at the most. */
const MOST_RESTS = 4;
/** Like the scheduler: so many reports missed, and nothing new goes to a machine. */
const SILENT_REPORTS = 2.5;
/** For so long a leader that got no list rents nothing. */
const UNLISTED_MS = 10_000;

export class Autoscaler {
  private readonly refusedUntil = new Map<string, MonotonicTime>();
  private readonly refusals = new Map<string, number>();
  private readonly rents = new Map<string, ScaleOutRequest>();
  private requests = 0;

  lastScaledAt = -Infinity;
  readonly arrivalRates = new ArrivalRates();

  constructor(
    private readonly state: LeaderState,
    private readonly fleet: MachinePool,
  ) {}

  onScaleOutResult(
    request: string,
    outcome: { machines: MachineId[] } | 'no-capacity' | 'retry',
    now: MonotonicTime,
  ): void {
    const order = this.rents.get(request);
    if (!order) return;
    const key = capacityKey(order.type, order.zone, order.spot);
    if (outcome === 'retry') {
      // The name is kept: a repeat of a request that was carried out gives the same machines.
      this.state.effects.push({ kind: 'create-machines', request, order });
      return;
    }
    this.rents.delete(request);
    const got = outcome === 'no-capacity' ? 0 : outcome.machines.length;
    if (outcome !== 'no-capacity') {
      for (const id of outcome.machines) {
        if (this.state.machines.has(id)) continue;
        const info = { id, endpoint: '' as Endpoint, type: order.type, zone: order.zone, spot: order.spot };
        this.state.addMachine(info, now);
      }
    }
    if (got < order.count) {
      this.noteRefusal(key, now);
    } else {
      this.refusals.delete(key);
    }
    this.state.log('info', { request, ...order, got }, 'rental answered');
    this.state.needsScheduling = true;
  }

  /** Rests for longer with each refusal in a row. Requests of one round are refused together: that counts once. */
  private noteRefusal(key: string, now: MonotonicTime): void {
    if ((this.refusedUntil.get(key) ?? -Infinity) > now) return;
    const refusals = (this.refusals.get(key) ?? 0) + 1;
    this.refusals.set(key, refusals);
    const { capacityRetryS, random } = this.state.settings;
    const restMs = capacityRetryS * 1000 * Math.min(MOST_RESTS, 2 ** (refusals - 1));
    this.refusedUntil.set(key, (now + restMs * (0.75 + 0.5 * random())) as MonotonicTime);
  }

  /**
   * Urgent work on machines that have fallen silent: it may not start elsewhere before they are fenced, but the machines
   * for it can boot meanwhile. Not for a zone that is cut off: most of what it holds is there again when the cut ends.
   */
  private replacements(silent: Machine[]): CapacityDemand[] {
    const lost = new Map<Job, Map<Zone, number>>();
    for (const m of silent) {
      if (this.state.partitionedZones.has(m.info.zone)) continue;
      for (const { job } of m.placements.values()) {
        if (job.cancelled || priorityRank[job.priority] < priorityRank.high) continue;
        const zones = lost.get(job) ?? new Map<Zone, number>();
        zones.set(m.info.zone, (zones.get(m.info.zone) ?? 0) + 1);
        lost.set(job, zones);
      }
    }
    const wants: { want: CapacityDemand; rank: number }[] = [];
    for (const [job, gone] of lost) {
      const zones = this.state.placementsByZone(job);
      let tasks = 0;
      for (const [zone, n] of gone) {
        const left = (zones.get(zone) ?? 0) - n;
        if (left > 0) zones.set(zone, left);
        else zones.delete(zone);
        tasks += n;
      }
      // A gang loses all of its tasks with one of them.
      const gang = job.spec.kind === 'gang';
      const want: CapacityDemand = {
        spec: job.spec,
        tasks: gang ? job.spec.tasks : tasks,
        zones: gang ? new Map<Zone, number>() : zones,
        isForecast: false,
      };
      wants.push({ want, rank: priorityRank[job.priority] });
    }
    wants.sort((a, b) => b.rank - a.rank);
    return wants.map(({ want }) => want);
  }

  /**
   * Up before this leader and on no roster, so nothing is on it: its next report makes it usable, and renting beside a
   * whole fleet of such machines would be for nothing.
   */
  private wasUpBefore(m: Machine): boolean {
    return !this.state.unreconciledMachines.has(m.id) && m.provisionedAt < this.state.startedAt;
  }

  private mostNew(wants: CapacityDemand[]): number {
    const tasks = wants.reduce((sum, want) => sum + want.tasks, 0);
    return Math.max(LEAST_NEW_MACHINES, Math.ceil(tasks / WAITING_TASKS_A_MACHINE));
  }

  /** In requests of the size that the cloud takes; each has a name of its own, which a repeat keeps. */
  private request(order: ScaleOutRequest): void {
    for (let left = order.count; left > 0; left -= MOST_RENTED) {
      const request = `t${this.state.leadership.term}-${++this.requests}`;
      const part = { ...order, count: Math.min(left, MOST_RENTED) };
      this.rents.set(request, part);
      this.state.effects.push({ kind: 'create-machines', request, order: part });
    }
  }

  scale(waiting: Job[], now: MonotonicTime): void {
    if (now - this.lastScaledAt < 500 || this.state.machineTypes.length === 0) return;
    this.lastScaledAt = now;
    const rooms: { machine: Machine; free: Resources }[] = [];
    const silent: Machine[] = [];
    const silentMs = this.state.settings.workers.heartbeatIntervalS * SILENT_REPORTS * 1000;
    for (const m of this.state.machines.values()) {
      if (!m.type || m.decommissioning || m.quarantined || m.interruptionNoticedAt !== null) continue;
      if (m.up && !m.reconciled && !this.wasUpBefore(m)) continue;
      if (m.up && m.lastHeartbeatAt !== null && now - m.lastHeartbeatAt > silentMs) {
        silent.push(m); // nothing is placed there
        continue;
      }
      const free = { cpus: m.type.cpus, gpus: m.type.gpus, memoryGb: m.type.memoryGb };
      addResources(free, m.allocated(this.state.specOf), -1);
      rooms.push({ machine: m, free });
    }
    const wants: CapacityDemand[] = waiting.map((job) => ({
      spec: job.spec,
      tasks: Math.min(job.pendingCount, 200),
      zones: this.state.placementsByZone(job),
      isForecast: false,
    }));
    wants.unshift(...this.replacements(silent));
    for (const e of this.arrivalRates.forecastTasks(
      this.state.machineTypes,
      this.state.settings.headroom,
      now,
    )) {
      wants.push({ spec: e.spec, tasks: e.tasks, zones: new Map(), isForecast: true });
    }
    const { refusedUntil } = this;
    const plan = planScaleOut({
      capacities: rooms,
      demands: wants,
      types: this.state.machineTypes,
      unavailableUntil: refusedUntil,
      now,
      maxNewMachines: this.mostNew(wants),
    });
    const pending = this.rents.size > 0;
    // Machines that no roster names may be up, as at a first leader's start: none is rented beside them unseen.
    const blind = !this.state.machinesListed && now - this.state.startedAt < UNLISTED_MS;
    if (!pending && !blind) {
      for (const order of plan.requests) this.request(order);
    }
    for (const m of this.state.machines.values()) {
      if (
        !m.up ||
        m.decommissioning ||
        m.busy ||
        plan.neededMachines.has(m.id) ||
        m.idleSince === null ||
        !m.reconciled
      )
        continue;
      const age = now - m.provisionedAt;
      if (now - m.idleSince > this.state.settings.idleHoldS * 1000 && age > 60_000)
        this.fleet.decommission(m, 'idle', now);
    }
  }
}
