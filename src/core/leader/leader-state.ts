/** What the parts of the leader share: the machines and jobs it knows, and the effects to be carried out. */
import { Machine } from '../machine.js';
import { fits, type Resources } from '../resources.js';
import { mayRunOn } from '../scheduler/placement-constraints.js';
import type { Job } from '../job.js';
import type { Leadership } from '../election.js';
import type { MachineInfo, MachineType } from '../machine-info.js';
import type { JobId, MachineId, MonotonicTime, Zone } from '../units.js';
import { DecisionLog } from './decision-log.js';
import type { Effect, LeaderSettings, LogLevel } from './effects.js';
import { PlacementLifecycle } from './placement-lifecycle.js';

/** The state of one leadership. */
export class LeaderState {
  readonly machines = new Map<MachineId, Machine>();
  readonly jobs = new Map<JobId, Job>();
  machineTypes: MachineType[] = [];
  /** Machines that may hold tasks of an earlier leader and have not reported under our token. */
  readonly unreconciledMachines = new Set<MachineId>();
  /** Machines that were deleted, and when: lists lag and go on showing them for a while. */
  readonly deletedMachines = new Map<MachineId, MonotonicTime>();
  readonly machinesWithPendingCommands = new Set<Machine>();
  /** Zones that were partitioned a moment ago, and when. */
  readonly partitionedZones = new Map<Zone, MonotonicTime>();
  /** The cloud provider has listed its machines to this leader. */
  machinesListed = false;
  effects: Effect[] = [];
  needsScheduling = true;
  changedSinceTick = true;
  /** Rises with every change that could let a job fit that was rejected before. */
  capacityVersion = 0;
  readonly decisionLog: DecisionLog;
  readonly placements: PlacementLifecycle;
  /** One unreconciled machine of each type, zone and purchase kind, and of how many: they only get fewer. */
  private unreconciledRepresentatives: { machineCount: number; machines: Machine[] } | null = null;

  constructor(
    readonly leadership: Leadership,
    readonly settings: LeaderSettings,
    readonly startedAt: MonotonicTime,
  ) {
    this.decisionLog = new DecisionLog(leadership.term, (level, fields, text) =>
      this.log(level, fields, text),
    );
    this.placements = new PlacementLifecycle(this);
  }

  /** What a task of the job takes; null where the job is unknown. */
  resourcesOf = (id: JobId): Resources | null => this.jobs.get(id)?.spec ?? null;

  /**
   * Whether a task of the job may be on a machine that has not reported under our token: an earlier leader has started
   * it only where the job's types, zones and kinds of machine allow, and a record's description never changes.
   */
  mayRunOnUnreconciledMachine(job: Job): boolean {
    if (!job.fromEarlierLeader || this.unreconciledMachines.size === 0 || this.neverStarted(job))
      return false;
    return this.representativeUnreconciledMachines().some((machine) =>
      this.mayHaveBeenStartedOn(job, machine),
    );
  }

  /** Whether an earlier leader may have started a task of the job on this machine, which is not yet reconciled. */
  mayHaveBeenStartedOn(job: Job, { info, type }: Machine): boolean {
    if (!job.fromEarlierLeader || this.neverStarted(job)) return false;
    return (
      mayRunOn(job.spec, info.type, info.zone, info.spot) && (type === undefined || fits(job.spec, type))
    );
  }

  /** A job that it depends on is not over, or was cancelled: no leader has started anything of it. */
  private neverStarted(job: Job): boolean {
    if (job.dependencyCancelled) return true;
    for (const id of job.unfinishedDependencies) if (this.jobs.has(id)) return true;
    return false;
  }

  private representativeUnreconciledMachines(): Machine[] {
    const machineCount = this.unreconciledMachines.size;
    if (this.unreconciledRepresentatives?.machineCount === machineCount)
      return this.unreconciledRepresentatives.machines;
    const byKind = new Map<string, Machine>();
    for (const id of this.unreconciledMachines) {
      const machine = this.machines.get(id);
      if (machine) byKind.set(`${machine.info.type}|${machine.info.zone}|${machine.info.spot}`, machine);
    }
    this.unreconciledRepresentatives = { machineCount, machines: [...byKind.values()] };
    return this.unreconciledRepresentatives.machines;
  }

  /** The effects since the last call. */
  takeEffects(): Effect[] {
    const { effects } = this;
    this.effects = [];
    return effects;
  }

  /** A machine that becomes known. */
  addMachine({ id, endpoint, type, zone, spot }: MachineInfo, now: MonotonicTime): Machine {
    const machineType = this.machineTypes.find(({ name }) => name === type);
    const machine = new Machine({ id, endpoint, type, zone, spot }, machineType, now);
    this.machines.set(id, machine);
    return machine;
  }

  /** Anything that could let a rejected job fit ends its back-off early. */
  recordCapacityGained(): void {
    this.capacityVersion++;
  }

  /** How many of the job's tasks are placed in each zone. */
  placementsByZone(job: Job): Map<Zone, number> {
    const counts = new Map<Zone, number>();
    for (const placement of job.placements.values()) {
      const zone = this.machines.get(placement.machine)?.info.zone;
      if (zone !== undefined) counts.set(zone, (counts.get(zone) ?? 0) + 1);
    }
    return counts;
  }

  /** Logs an event by an effect, in order with the others. */
  log(level: LogLevel, fields: Record<string, unknown>, text: string): void {
    this.effects.push({ kind: 'log', level, fields, text });
  }
}
