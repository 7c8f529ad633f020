/** The state that the leader's components share: machines, jobs, and the effects to be executed. */
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
  /** Machines that may hold tasks of an earlier leader and have sent no heartbeat with this leader's fencing token. */
  readonly unreconciledMachines = new Set<MachineId>();
  /** Deletion times of deleted machines. The cloud provider's list lags and still contains them for a while. */
  readonly deletedMachines = new Map<MachineId, MonotonicTime>();
  readonly machinesWithPendingCommands = new Set<Machine>();
  /** Zones that are or recently were partitioned, with the time at which the partition was last detected. */
  readonly partitionedZones = new Map<Zone, MonotonicTime>();
  /** Whether this leader has received a list of machines from the cloud provider. */
  machinesListed = false;
  effects: Effect[] = [];
  needsScheduling = true;
  changedSinceTick = true;
  /** Incremented by each change that may allow a previously rejected job to be placed. */
  capacityVersion = 0;
  readonly decisionLog: DecisionLog;
  readonly placements: PlacementLifecycle;
  /**
   * One unreconciled machine for each combination of type, zone and spot or on-demand. Valid while the number of
   * unreconciled machines is `machineCount`, since that number only decreases after the leader is loaded.
   */
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

  /** Resources of one task of the job; null if the job is unknown. */
  resourcesOf = (id: JobId): Resources | null => this.jobs.get(id)?.spec ?? null;

  /**
   * Whether an unreconciled machine may hold a task of the job. An earlier leader can only have started it on a machine
   * that satisfies the job's placement constraints, because a job's spec never changes.
   */
  mayRunOnUnreconciledMachine(job: Job): boolean {
    if (!job.fromEarlierLeader || this.unreconciledMachines.size === 0 || this.neverStarted(job))
      return false;
    return this.representativeUnreconciledMachines().some((machine) =>
      this.mayHaveBeenStartedOn(job, machine),
    );
  }

  /** Whether an earlier leader may have started a task of the job on this unreconciled machine. */
  mayHaveBeenStartedOn(job: Job, { info, type }: Machine): boolean {
    if (!job.fromEarlierLeader || this.neverStarted(job)) return false;
    return (
      mayRunOn(job.spec, info.type, info.zone, info.spot) && (type === undefined || fits(job.spec, type))
    );
  }

  /**
   * Whether no leader has started a task of the job, because a job that it depends on is unfinished or was cancelled.
   */
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

  /** Returns and clears the effects since the last call. */
  takeEffects(): Effect[] {
    const { effects } = this;
    this.effects = [];
    return effects;
  }

  /** Adds a machine that was not known before. */
  addMachine({ id, endpoint, type, zone, spot }: MachineInfo, now: MonotonicTime): Machine {
    const machineType = this.machineTypes.find(({ name }) => name === type);
    const machine = new Machine({ id, endpoint, type, zone, spot }, machineType, now);
    this.machines.set(id, machine);
    return machine;
  }

  /** Records a change that may allow rejected jobs to be placed, which ends their back-off early. */
  recordCapacityGained(): void {
    this.capacityVersion++;
  }

  /** Number of the job's placed tasks in each zone. */
  placementsByZone(job: Job): Map<Zone, number> {
    const counts = new Map<Zone, number>();
    for (const placement of job.placements.values()) {
      const zone = this.machines.get(placement.machine)?.info.zone;
      if (zone !== undefined) counts.set(zone, (counts.get(zone) ?? 0) + 1);
    }
    return counts;
  }

  /** Adds a log event to the effects, in order with the other effects. */
  log(level: LogLevel, fields: Record<string, unknown>, text: string): void {
    this.effects.push({ kind: 'log', level, fields, text });
  }
}
