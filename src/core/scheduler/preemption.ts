/** Preemption: nominates the victims that cost least to stop for a task. The leader stops them after the cycle. */
import type { Job } from '../job.js';
import type { Zone } from '../units.js';
import { estimatedFetchS, estimatedFreeInS, type CandidateMachine } from './candidate-machine.js';
import type { Nomination, Victim, VictimSet } from './nomination.js';
import type { ZoneCounts } from './placement-constraints.js';
import type { Snapshot } from './snapshot.js';
import { UnschedulableSignatures } from './unschedulable-signatures.js';
import { lowerPriorityVictims, reclaimVictims, type VictimFilter } from './victim-selection.js';

/** No task is stopped to avoid an image fetch shorter than this. */
export const MIN_FETCH_TO_PREEMPT_S = 12;

const anyVictim = (): boolean => true;

/** Whether the victim is an array task that saves in less than this time and resumes elsewhere from its checkpoint. */
export const checkpointsWithin = ({ job: { spec } }: Victim, seconds: number): boolean =>
  spec.kind === 'array' && spec.checkpointS > 0 && spec.saveS < seconds;

/**
 * Guards against endless mutual preemption. A job stopped for a team's guarantee could preempt the guaranteed job by
 * its priority, and the guaranteed job, which is scheduled first, would then reclaim the capacity. This can also happen
 * between jobs of one team.
 */
const isProtectedFrom = (job: Job, victim: Victim): boolean =>
  victim.job.withinGuarantee && !job.withinGuarantee;

/** Expected seconds until a task of the job starts if the victims are stopped now. */
const estimatedStartInS = (job: Job, { candidate, victims }: Nomination): number =>
  Math.max(0, ...victims.map((victim) => victim.job.spec.saveS)) + estimatedFetchS(job.spec, candidate);

/** The victims found on a machine, valid for one version of it. */
interface CachedVictimSet {
  version: number;
  victimSet: VictimSet | null;
}

/** Nominates victims in one cycle. */
export class Preemption {
  private readonly unschedulable = new UnschedulableSignatures();
  private readonly unschedulableByReclaim = new UnschedulableSignatures();
  /**
   * Victims found for the job being placed. Its tasks are identical and a nomination changes one machine, so the
   * victims found on the other machines stay valid.
   */
  private cached: { job: Job; victimSets: Map<CandidateMachine, CachedVictimSet> } | null = null;

  constructor(private readonly snapshot: Snapshot) {}

  /**
   * Nominates lower-priority tasks or, failing that, for a job within its team's guarantee, tasks that other teams run
   * beyond their guarantees. A nomination without victims means that tasks already stopping will release enough.
   */
  nominateVictims(job: Job, zones: ZoneCounts, onlyZone: Zone | null = null): Nomination | null {
    return this.nominateLowerPriority(job, zones, onlyZone) ?? this.nominateReclaim(job, zones, onlyZone);
  }

  /** Nominates lower-priority tasks that pass the filter, on a machine that has the job's image. */
  nominateWithImage(
    job: Job,
    zones: ZoneCounts,
    mayStop: VictimFilter,
    onlyZone: Zone | null,
  ): Nomination | null {
    const candidates = this.snapshot.preemptionCandidates(job.priority);
    this.snapshot.machineEvaluations += candidates.length;
    let best: Nomination | null = null;
    for (const candidate of candidates) {
      if (!candidate.machine.hasImage(job.spec.image)) continue;
      if (!this.snapshot.allows(job, candidate, zones, onlyZone)) continue;
      const found = this.victimsOn(job, candidate, mayStop);
      if (found && (best === null || found.cost < best.cost)) best = { candidate, ...found };
    }
    return best;
  }

  /** Discards recorded failures that may have been due to a tentative placement, now reverted. */
  forgetUnschedulable(job: Job, onlyZone: Zone | null): void {
    this.unschedulable.forget(job, onlyZone);
    this.unschedulableByReclaim.forget(job, onlyZone);
  }

  /** Nominates lower-priority tasks on the machine where stopping them costs least. */
  private nominateLowerPriority(job: Job, zones: ZoneCounts, onlyZone: Zone | null): Nomination | null {
    if (this.unschedulable.has(job, onlyZone)) return null;
    const candidates = this.snapshot.preemptionCandidates(job.priority);
    this.snapshot.machineEvaluations += candidates.length;
    let best: Nomination | null = null;
    for (const candidate of candidates) {
      if (!this.snapshot.allows(job, candidate, zones, onlyZone)) continue;
      const found = this.cachedVictimsOn(job, candidate);
      if (found && (best === null || found.cost < best.cost)) best = { candidate, ...found };
    }
    if (!best) this.unschedulable.record(job, zones, onlyZone);
    return best;
  }

  /** Nominates tasks that other teams run beyond their guarantees, on the machine where stopping them costs least. */
  private nominateReclaim(job: Job, zones: ZoneCounts, onlyZone: Zone | null): Nomination | null {
    if (!job.withinGuarantee || this.unschedulableByReclaim.has(job, onlyZone)) return null;
    const { candidates, guaranteeAccounting, time } = this.snapshot;
    let best: Nomination | null = null;
    let soonestStartS = Infinity;
    for (const candidate of candidates) {
      if (!this.snapshot.allows(job, candidate, zones, onlyZone)) continue;
      this.snapshot.machineEvaluations += candidate.machine.placements.size;
      const mayStop = (victim: Victim): boolean => !this.snapshot.isNominated(victim.placement);
      const found = reclaimVictims(job, candidate, mayStop, guaranteeAccounting, time);
      const fetchS = estimatedFetchS(job.spec, candidate);
      soonestStartS = Math.min(soonestStartS, estimatedFreeInS(job.spec, candidate, time.now) + fetchS);
      if (found && (best === null || found.cost + fetchS < best.cost))
        best = { candidate, victims: found.victims, cost: found.cost + fetchS };
    }
    if (!best) this.unschedulableByReclaim.record(job, zones, onlyZone);
    // No task is stopped if the capacity is expected to become free just as soon without preemption.
    return best && soonestStartS > estimatedStartInS(job, best) ? best : null;
  }

  private cachedVictimsOn(job: Job, candidate: CandidateMachine): VictimSet | null {
    if (this.cached?.job !== job) this.cached = { job, victimSets: new Map() };
    const { victimSets } = this.cached;
    const known = victimSets.get(candidate);
    if (known?.version === candidate.version) return known.victimSet;
    const victimSet = this.victimsOn(job, candidate, anyVictim);
    if (victimSet) victimSet.cost += estimatedFetchS(job.spec, candidate);
    victimSets.set(candidate, { version: candidate.version, victimSet });
    return victimSet;
  }

  private victimsOn(job: Job, candidate: CandidateMachine, filter: VictimFilter): VictimSet | null {
    this.snapshot.machineEvaluations += candidate.machine.placements.size;
    const mayStop = (victim: Victim): boolean =>
      !this.snapshot.isNominated(victim.placement) && !isProtectedFrom(job, victim) && filter(victim);
    return lowerPriorityVictims(job, candidate, mayStop, this.snapshot.time);
  }
}
