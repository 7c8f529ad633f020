/** Nominates victims: the machine on which the least work has to stop for a task. No task is stopped here. */
import type { Job } from '../job.js';
import type { Zone } from '../units.js';
import { estimatedFetchS, estimatedFreeInS, type CandidateMachine } from './candidate-machine.js';
import type { Nomination, Victim, VictimSet } from './nomination.js';
import type { ZoneCounts } from './placement-constraints.js';
import type { Snapshot } from './snapshot.js';
import { UnschedulableSignatures } from './unschedulable-signatures.js';
import { lowerPriorityVictims, reclaimVictims, type VictimFilter } from './victim-selection.js';

/** For shorter fetches no task is stopped. */
export const MIN_FETCH_TO_PREEMPT_S = 12;

const anyVictim = (): boolean => true;

/** Array work that saves in less than this and resumes elsewhere from its checkpoint. */
export const checkpointsWithin = ({ job: { spec } }: Victim, seconds: number): boolean =>
  spec.kind === 'array' && spec.checkpointS > 0 && spec.saveS < seconds;

/**
 * Guards against two jobs that stop one another's tasks without end: what was stopped for a guarantee would take its
 * place back by priority, and the guaranteed work, which goes first, take it again. So too within one team.
 */
const isProtectedFrom = (job: Job, victim: Victim): boolean =>
  victim.job.withinGuarantee && !job.withinGuarantee;

/** Expected seconds until the job starts once the victims have left. */
const estimatedStartInS = (job: Job, { candidate, victims }: Nomination): number =>
  Math.max(0, ...victims.map((victim) => victim.job.spec.saveS)) + estimatedFetchS(job.spec, candidate);

/** The victims found on a machine, as of the machine's version then. */
interface CachedVictimSet {
  version: number;
  victimSet: VictimSet | null;
}

/** Nominates victims in one cycle. */
export class Preemption {
  private readonly unschedulable = new UnschedulableSignatures();
  private readonly unschedulableByReclaim = new UnschedulableSignatures();
  /** Kept while victims are nominated for a job's like tasks one after the other: each changes one machine. */
  private cached: { job: Job; victimSets: Map<CandidateMachine, CachedVictimSet> } | null = null;

  constructor(private readonly snapshot: Snapshot) {}

  /**
   * Lower-priority work first; for a job within its team's guarantee then what other teams run beyond theirs. A
   * nomination without victims means that enough is being released already.
   */
  nominateVictims(job: Job, zones: ZoneCounts, onlyZone: Zone | null = null): Nomination | null {
    return this.nominateLowerPriority(job, zones, onlyZone) ?? this.nominateReclaim(job, zones, onlyZone);
  }

  /** Lower-priority work that passes the filter, on machines that have the job's image. */
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

  /** What failed while a part of a plan was assumed need not fail without it. */
  forgetUnschedulable(job: Job, onlyZone: Zone | null): void {
    this.unschedulable.forget(job, onlyZone);
    this.unschedulableByReclaim.forget(job, onlyZone);
  }

  /** The machine where a place costs the least lower-priority work. */
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

  /** The machine where a place costs the least work that other teams run beyond their guarantees. */
  private nominateReclaim(job: Job, zones: ZoneCounts, onlyZone: Zone | null): Nomination | null {
    if (!job.withinGuarantee || this.unschedulableByReclaim.has(job, onlyZone)) return null;
    const { candidates, guaranteeAccounting, time } = this.snapshot;
    let best: Nomination | null = null;
    let soonestS = Infinity;
    for (const candidate of candidates) {
      if (!this.snapshot.allows(job, candidate, zones, onlyZone)) continue;
      this.snapshot.machineEvaluations += candidate.machine.placements.size;
      const mayStop = (victim: Victim): boolean => !this.snapshot.isNominated(victim.placement);
      const found = reclaimVictims(job, candidate, mayStop, guaranteeAccounting, time);
      const fetchS = estimatedFetchS(job.spec, candidate);
      soonestS = Math.min(soonestS, estimatedFreeInS(job.spec, candidate, time.now) + fetchS);
      if (found && (best === null || found.cost + fetchS < best.cost))
        best = { candidate, victims: found.victims, cost: found.cost + fetchS };
    }
    if (!best) this.unschedulableByReclaim.record(job, zones, onlyZone);
    // No task is stopped where one that ends by itself makes the place as soon.
    return best && soonestS > estimatedStartInS(job, best) ? best : null;
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
