/**
 * Filters and scores machines. Selects the machine with enough capacity on which a task would start soonest, weighed
 * against the value of that capacity to other tasks.
 */
import { fits } from '../resources.js';
import type { Job } from '../job.js';
import type { JobSpec } from '../job-spec.js';
import type { MachineTypeName, Zone } from '../units.js';
import { estimatedFetchS, type CandidateMachine } from './candidate-machine.js';
import { CandidateRanking } from './candidate-ranking.js';
import type { ZoneCounts } from './placement-constraints.js';
import type { Snapshot } from './snapshot.js';
import { UnschedulableSignatures } from './unschedulable-signatures.js';

/** Additional seconds of waiting accepted to keep an empty machine empty. */
const EMPTY_MACHINE_PENALTY_S = 8;
/** Seconds of waiting that one unit of the type penalty is worth. */
const TYPE_PENALTY_S = 10;
/** Fraction of its own duration by which a fetch is assumed to slow down each other fetch on the machine. */
const FETCH_CONTENTION_FRACTION = 0.3;
/** Additional seconds of waiting accepted to leave on-demand machines to jobs that may not use spot instances. */
const ON_DEMAND_MACHINE_PENALTY_S = 8;
/** Penalty for leaving the whole machine free, or a proportional part of it: filling machines keeps others empty. */
const FREE_CAPACITY_PENALTY_S = 2;

/** Selects machines for tasks in one cycle. */
export class CandidateSelection {
  private readonly unschedulable = new UnschedulableSignatures();
  /** The ranking for the job being placed. It is outdated once another job has been placed. */
  private currentRanking: { job: Job; ranking: CandidateRanking } | null = null;
  private readonly penalties = new Map<JobSpec, Map<MachineTypeName, number>>();

  constructor(
    private readonly snapshot: Snapshot,
    private readonly typePenalty: (spec: JobSpec, type: MachineTypeName) => number,
  ) {}

  /** The best machine with enough free capacity; null if there is none. */
  best(job: Job, zones: ZoneCounts, onlyZone: Zone | null = null): CandidateMachine | null {
    if (this.unschedulable.has(job, onlyZone)) return null;
    const ranking = this.rankingFor(job);
    this.snapshot.machineEvaluations += ranking.size;
    const isFeasible = (candidate: CandidateMachine): boolean =>
      fits(job.spec, candidate.free) && this.snapshot.allows(job, candidate, zones, onlyZone);
    const best = ranking.best(isFeasible);
    if (!best) this.unschedulable.record(job, zones, onlyZone);
    return best;
  }

  /** Discards recorded failures that may have been due to a tentative placement, now reverted. */
  forgetUnschedulable(job: Job, onlyZone: Zone | null): void {
    this.unschedulable.forget(job, onlyZone);
  }

  /** Expected seconds until a task can start, plus penalties for using up this machine's capacity; lower is better. */
  score(spec: JobSpec, candidate: CandidateMachine): number {
    const type = candidate.machine.type!;
    const { fetchingImagesGb, free } = candidate;
    let score = estimatedFetchS(spec, candidate);
    if (!candidate.machine.hasImage(spec.image) && !fetchingImagesGb.has(spec.image)) {
      score += (FETCH_CONTENTION_FRACTION * fetchingImagesGb.size * spec.imageGb) / type.fetchGbPerS;
    }
    if (candidate.isEmpty) score += EMPTY_MACHINE_PENALTY_S;
    score += TYPE_PENALTY_S * this.penaltyOf(spec, candidate.machine.info.type);
    if (spec.spot && !candidate.machine.info.spot) score += ON_DEMAND_MACHINE_PENALTY_S;
    const freeFraction =
      type.gpus > 0 ? (free.gpus - spec.gpus) / type.gpus : (free.cpus - spec.cpus) / type.cpus;
    return score + FREE_CAPACITY_PENALTY_S * freeFraction;
  }

  private rankingFor(job: Job): CandidateRanking {
    if (this.currentRanking?.job === job) return this.currentRanking.ranking;
    const { candidatesWithCapacity } = this.snapshot;
    this.snapshot.machineEvaluations += candidatesWithCapacity.length;
    const anyZone: ZoneCounts = new Map();
    const feasible = candidatesWithCapacity.filter(
      (candidate) => fits(job.spec, candidate.free) && this.snapshot.allows(job, candidate, anyZone, null),
    );
    if (feasible.length === 0) this.unschedulable.record(job, anyZone, null);
    const ranking = new CandidateRanking(feasible, (candidate) => this.score(job.spec, candidate));
    this.currentRanking = { job, ranking };
    return ranking;
  }

  private penaltyOf(spec: JobSpec, type: MachineTypeName): number {
    const byType = this.penalties.get(spec) ?? new Map<MachineTypeName, number>();
    this.penalties.set(spec, byType);
    const penalty = byType.get(type) ?? this.typePenalty(spec, type);
    byType.set(type, penalty);
    return penalty;
  }
}
