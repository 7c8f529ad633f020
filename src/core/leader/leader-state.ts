// Shared by the parts of the leader; stopping and releasing of placements.
import { Machine } from '../machine.js';
import { fits } from '../resources.js';
import { mayRunOn } from '../scheduler/placement-constraints.js';
import { Job, type Placement } from '../job.js';
import type { Resources, Leadership, MachineInfo, MachineType } from '../types.js';
import type { JobId, MachineId, MonotonicTime, Zone } from '../units.js';
import { DecisionLog, type ReleaseCause } from './decision-log.js';
import type { Effect, LeaderSettings } from './effects.js';

/** What the parts of the leader share: the machines and jobs it knows, and the effects to be carried out. */
export class LeaderState {
  readonly machines = new Map<MachineId, Machine>();
  readonly jobs = new Map<JobId, Job>();
  machineTypes: MachineType[] = [];
  /** Machines that may hold tasks of an earlier leader and have not reported under our token. */
  readonly unreconciledMachines = new Set<MachineId>();
  /** Machines whose return was answered: lists lag and go on showing them for a while. */
  readonly deletedMachines = new Map<MachineId, MonotonicTime>();
  readonly machinesWithPendingCommands = new Set<Machine>();
  /** Zones of which half or more was silent a moment ago, and when. */
  readonly partitionedZones = new Map<Zone, MonotonicTime>();
  /** The cloud has listed its machines to this leader. */
  machinesListed = false;
  effects: Effect[] = [];
  needsScheduling = true;
  changedSinceTick = true;
  capacityVersion = 0;

  readonly decisionLog: DecisionLog;

  specOf = (id: JobId): Resources | null => this.jobs.get(id)?.spec ?? null;

  constructor(
    readonly leadership: Leadership,
    readonly settings: LeaderSettings,
    readonly startedAt: MonotonicTime,
  ) {
    this.decisionLog = new DecisionLog(leadership.term, (...line) => this.log(...line));
  }

  /**
   * Whether a task of the job may be on a machine that has not reported under our token: an earlier leader has started
   * it only where the job's types, zones and kinds of machine allow, and a record's description never changes.
   */
  mayRunOnUnreconciledMachine(job: Job): boolean {
    if (!job.fromEarlierLeader || this.unreconciledMachines.size === 0 || this.neverStarted(job))
      return false;
    return this.unheardKinds().some((m) => this.mayHaveBeenStartedOn(job, m));
  }

  /** A job that it depends on is not over, or was cancelled: no leader has started anything of it. */
  private neverStarted(job: Job): boolean {
    if (job.dependencyCancelled) return true;
    for (const id of job.unfinishedDependencies) if (this.jobs.has(id)) return true;
    return false;
  }

  /** Whether an earlier leader may have started a task of the job on this machine, which has not been heard since. */
  mayHaveBeenStartedOn(job: Job, { info, type }: Machine): boolean {
    if (!job.fromEarlierLeader || this.neverStarted(job)) return false;
    return (
      mayRunOn(job.spec, info.type, info.zone, info.spot) && (type === undefined || fits(job.spec, type))
    );
  }

  /** Blockers only leave, so their number tells whether the list still holds. */
  private kinds: { of: number; list: Machine[] } | null = null;

  /** One silent machine of each type, zone and kind. */
  private unheardKinds(): Machine[] {
    const key = (m: Machine): string => `${m.info.type}|${m.info.zone}|${m.info.spot}`;
    if (this.kinds && this.kinds.of === this.unreconciledMachines.size) return this.kinds.list;
    const byKind = new Map<string, Machine>();
    for (const id of this.unreconciledMachines) {
      const m = this.machines.get(id);
      if (m) byKind.set(key(m), m);
    }
    this.kinds = { of: this.unreconciledMachines.size, list: [...byKind.values()] };
    return this.kinds.list;
  }

  takeEffects(): Effect[] {
    const out = this.effects;
    this.effects = [];
    return out;
  }

  releasePlacement(job: Job, p: Placement, cause: ReleaseCause, now: MonotonicTime): void {
    this.decisionLog.recordReleased(job, p, cause);
    const m = this.machines.get(p.machine);
    m?.unassign(job.id, p.index);
    job.removePlacement(p.index);
    job.waitingSince = now;
    this.needsScheduling = true;
    this.noteCapacityGained();
  }

  loseTask(job: Job, p: Placement, why: ReleaseCause, now: MonotonicTime): void {
    this.log('info', { job: job.id, task: p.index, machine: p.machine, why }, 'task lost');
    this.releasePlacement(job, p, why, now);
    if (job.spec.kind === 'gang') this.stopBrokenGang(job, why, now);
  }

  /** A gang below its minimum is stopped; once its members are gone it requeues from its checkpoint. */
  stopBrokenGang(job: Job, why: string, now: MonotonicTime): void {
    for (const p of [...job.placements.values()]) this.stopPlacement(job, p, 0, `gang broken: ${why}`, now);
  }

  stopPlacement(job: Job, p: Placement, graceS: number, why: string, now: MonotonicTime): void {
    if (p.stop) {
      if (graceS === 0) p.stop.graceS = 0;
      this.machines.get(p.machine)?.invalidate();
      return;
    }
    p.stop = { graceS, since: now, reason: why };
    this.changedSinceTick = true;
    const m = this.machines.get(p.machine);
    m?.invalidate();
    if (!p.startSentInReplyTo && !p.directStartInFlight && !p.directStartOutcomeUnknown && !p.observed) {
      this.releasePlacement(job, p, 'never told to its worker', now);
      return;
    }
    if (m) this.machinesWithPendingCommands.add(m);
  }

  /** Stops a task for a reason of ours; a gang goes as a whole, all members told at once. */
  evict(job: Job, p: Placement, why: string, now: MonotonicTime): void {
    const graceS = job.spec.checkpointS > 0 ? job.spec.saveS : 0;
    const group = job.spec.kind === 'gang' ? [...job.placements.values()] : [p];
    for (const each of group) this.stopPlacement(job, each, graceS, why, now);
  }

  cancelJob(job: Job, now: MonotonicTime): void {
    this.log('debug', { job: job.id, tasks: job.placements.size }, 'job cancelled');
    for (const p of [...job.placements.values()]) this.stopPlacement(job, p, 0, 'cancelled', now);
    this.needsScheduling = true;
  }

  addMachine(info: MachineInfo, now: MonotonicTime): Machine {
    const plain = { id: info.id, endpoint: info.endpoint, type: info.type, zone: info.zone, spot: info.spot };
    const m = new Machine(
      plain,
      this.machineTypes.find((t) => t.name === info.type),
      now,
    );
    this.machines.set(info.id, m);
    return m;
  }

  /** Anything that could let a rejected group fit ends its back-off early. */
  noteCapacityGained(): void {
    this.capacityVersion++;
  }

  placementsByZone(job: Job): Map<Zone, number> {
    const zones = new Map<Zone, number>();
    for (const p of job.placements.values()) {
      const zone = this.machines.get(p.machine)?.info.zone;
      if (zone !== undefined) zones.set(zone, (zones.get(zone) ?? 0) + 1);
    }
    return zones;
  }

  log(level: 'info' | 'debug', fields: Record<string, unknown>, text: string): void {
    this.effects.push({ kind: 'log', level, fields, text });
  }
}
