// Filter and score: the machine with room on which a task would start soonest, weighed against what its room is worth
// to others.
import { fits } from '../resources.js';
import type { Job } from '../job.js';
import type { JobSpec } from '../types.js';
import type { MachineTypeName, Zone } from '../units.js';
import { constraintSignature } from './placement-constraints.js';
import { CandidateRanking, estimatedFetchS, type CandidateMachine } from './candidate-machine.js';
import type { Snapshot, ZoneCounts } from './snapshot.js';

/** Seconds of waiting that it is worth to leave an empty machine empty. */
const OPEN_EMPTY_S = 8;
/** Seconds for each unit of a machine type's placement penalty. */
const TYPE_PENALTY_S = 10;
/** Share of a fetch that slows each other fetch on the machine. */
const SLOWS_OTHERS = 0.3;
/** Seconds of waiting that it is worth to leave an ordinary machine to work that may not use spot machines. */
const ORDINARY_FOR_SPOT_S = 8;
/** Seconds for the whole of a machine left free: full machines leave others empty. */
const FREE_ROOM_S = 2;

/** The same for all tasks that get the same answer from the filter. */
const keysOf = (sig: string, zone: Zone | null): string[] =>
  zone === null ? [sig] : [sig, `${sig}|${zone}`];

/**
 * Signatures that were refused: within a cycle room only shrinks, so a failure holds for all like them until something
 * that was only tried is undone.
 */
export class UnschedulableSignatures {
  private readonly refused = new Set<string>();
  private readonly signatures = new Map<Job, string>();

  private signature(job: Job): string {
    let sig = this.signatures.get(job);
    if (sig === undefined) this.signatures.set(job, (sig = constraintSignature(job)));
    return sig;
  }

  has(job: Job, onlyZone: Zone | null): boolean {
    const sig = this.signature(job);
    return this.refused.has(sig) || (onlyZone !== null && this.refused.has(`${sig}|${onlyZone}`));
  }

  /** Only where the zones of the job's other tasks, and machines that it avoids, have no part in the failure. */
  record(job: Job, zones: ZoneCounts, onlyZone: Zone | null): void {
    const { spread, oneZone } = job.spec;
    const zonesMatter = zones.size > 0 && (spread || oneZone);
    if (zonesMatter || job.errorMachines.size > 0) return;
    const sig = this.signature(job);
    this.refused.add(onlyZone === null ? sig : `${sig}|${onlyZone}`);
  }

  forget(job: Job, onlyZone: Zone | null): void {
    for (const key of keysOf(this.signature(job), onlyZone)) this.refused.delete(key);
  }
}

export class CandidateSelection {
  private readonly hopeless = new UnschedulableSignatures();
  /** Scores for the job that is being placed; another placed in between makes them out of date. */
  private ranked: { job: Job; ranking: CandidateRanking } | null = null;
  private readonly penalties = new Map<JobSpec, Map<MachineTypeName, number>>();

  constructor(
    private readonly snapshot: Snapshot,
    private readonly penaltyOf: (spec: JobSpec, type: MachineTypeName) => number,
  ) {}

  /** The best machine with room, or null. */
  best(job: Job, zones: ZoneCounts, onlyZone: Zone | null = null): CandidateMachine | null {
    if (this.hopeless.has(job, onlyZone)) return null;
    const ranking = this.rankingFor(job);
    this.snapshot.machineEvaluations += ranking.size;
    const fitting = (slot: CandidateMachine): boolean =>
      fits(job.spec, slot.free) && this.snapshot.allows(job, slot, zones, onlyZone);
    const best = ranking.best(fitting);
    if (!best) this.hopeless.record(job, zones, onlyZone);
    return best;
  }

  /** What was refused while a part of a plan was assumed isn't so without it. */
  forgetUnschedulable(job: Job, onlyZone: Zone | null): void {
    this.hopeless.forget(job, onlyZone);
  }

  /** Expected seconds until the task can start, plus what it costs to use up this machine's room. */
  score(spec: JobSpec, slot: CandidateMachine): number {
    const type = slot.machine.type!;
    let score = estimatedFetchS(spec, slot);
    if (!slot.machine.hasImage(spec.image) && !slot.fetchingImagesGb.has(spec.image)) {
      score += (SLOWS_OTHERS * slot.fetchingImagesGb.size * spec.imageGb) / type.fetchGbPerS;
    }
    if (slot.isEmpty) score += OPEN_EMPTY_S;
    score += TYPE_PENALTY_S * this.penalty(spec, slot.machine.info.type);
    if (spec.spot && !slot.machine.info.spot) score += ORDINARY_FOR_SPOT_S;
    const left =
      type.gpus > 0 ? (slot.free.gpus - spec.gpus) / type.gpus : (slot.free.cpus - spec.cpus) / type.cpus;
    return score + FREE_ROOM_S * left;
  }

  private rankingFor(job: Job): CandidateRanking {
    if (this.ranked?.job === job) return this.ranked.ranking;
    const { candidatesWithCapacity } = this.snapshot;
    this.snapshot.machineEvaluations += candidatesWithCapacity.length;
    const anywhere: ZoneCounts = new Map();
    const slots = candidatesWithCapacity.filter(
      (slot) => fits(job.spec, slot.free) && this.snapshot.allows(job, slot, anywhere, null),
    );
    if (slots.length === 0) this.hopeless.record(job, anywhere, null);
    const ranking = new CandidateRanking(slots, (slot) => this.score(job.spec, slot));
    this.ranked = { job, ranking };
    return ranking;
  }

  private penalty(spec: JobSpec, type: MachineTypeName): number {
    const byType = this.penalties.get(spec) ?? new Map<MachineTypeName, number>();
    this.penalties.set(spec, byType);
    const penalty = byType.get(type) ?? this.penaltyOf(spec, type);
    byType.set(type, penalty);
    return penalty;
  }
}
