/**
 * Filter and score: the machine with enough capacity on which a task would start soonest, weighed against what that
 * capacity is worth to other tasks.
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

/** Seconds of waiting that it is worth to leave an empty machine empty. */
const EMPTY_MACHINE_S = 8;
/** Seconds for each unit of a machine type's placement penalty. */
const TYPE_PENALTY_S = 10;
/** Share of a fetch by which it slows each other fetch on the machine. */
const FETCH_CONTENTION_FRACTION = 0.3;
/** Seconds of waiting that it is worth to leave an on-demand machine to work that may not use spot machines. */
const ON_DEMAND_MACHINE_S = 8;
/** Seconds for the whole of a machine left free: full machines leave others empty. */
const FREE_CAPACITY_S = 2;

/** Selects machines for tasks in one cycle. */
export class CandidateSelection {
  private readonly unschedulable = new UnschedulableSignatures();
  /** Scores for the job that is being placed; a placement of another job makes them out of date. */
  private ranked: { job: Job; ranking: CandidateRanking } | null = null;
  private readonly penalties = new Map<JobSpec, Map<MachineTypeName, number>>();

  constructor(
    private readonly snapshot: Snapshot,
    private readonly typePenalty: (spec: JobSpec, type: MachineTypeName) => number,
  ) {}

  /** The best machine with enough capacity, or null. */
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

  /** What failed while a part of a plan was assumed need not fail without it. */
  forgetUnschedulable(job: Job, onlyZone: Zone | null): void {
    this.unschedulable.forget(job, onlyZone);
  }

  /** Expected seconds until the task can start, plus what it costs to use up this machine's capacity; lower is better. */
  score(spec: JobSpec, candidate: CandidateMachine): number {
    const type = candidate.machine.type!;
    const { fetchingImagesGb, free } = candidate;
    let score = estimatedFetchS(spec, candidate);
    if (!candidate.machine.hasImage(spec.image) && !fetchingImagesGb.has(spec.image)) {
      score += (FETCH_CONTENTION_FRACTION * fetchingImagesGb.size * spec.imageGb) / type.fetchGbPerS;
    }
    if (candidate.isEmpty) score += EMPTY_MACHINE_S;
    score += TYPE_PENALTY_S * this.penaltyOf(spec, candidate.machine.info.type);
    if (spec.spot && !candidate.machine.info.spot) score += ON_DEMAND_MACHINE_S;
    const freeFraction =
      type.gpus > 0 ? (free.gpus - spec.gpus) / type.gpus : (free.cpus - spec.cpus) / type.cpus;
    return score + FREE_CAPACITY_S * freeFraction;
  }

  private rankingFor(job: Job): CandidateRanking {
    if (this.ranked?.job === job) return this.ranked.ranking;
    const { candidatesWithCapacity } = this.snapshot;
    this.snapshot.machineEvaluations += candidatesWithCapacity.length;
    const anyZone: ZoneCounts = new Map();
    const feasible = candidatesWithCapacity.filter(
      (candidate) => fits(job.spec, candidate.free) && this.snapshot.allows(job, candidate, anyZone, null),
    );
    if (feasible.length === 0) this.unschedulable.record(job, anyZone, null);
    const ranking = new CandidateRanking(feasible, (candidate) => this.score(job.spec, candidate));
    this.ranked = { job, ranking };
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
