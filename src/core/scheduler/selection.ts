// Filter and score: the machine with room on which a task would start soonest, weighed against what its room is worth
// to others.
import { fits } from '../resources.js';
import type { Job } from '../job.js';
import type { JobSpec } from '../types.js';
import type { TypeName, Zone } from '../units.js';
import { signature } from './rules.js';
import { Ranking, fetchS, type MachineSlot } from './slot.js';
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
export class Hopeless {
  private readonly refused = new Set<string>();
  private readonly signatures = new Map<Job, string>();

  private signature(job: Job): string {
    let sig = this.signatures.get(job);
    if (sig === undefined) this.signatures.set(job, (sig = signature(job)));
    return sig;
  }

  has(job: Job, onlyZone: Zone | null): boolean {
    const sig = this.signature(job);
    return this.refused.has(sig) || (onlyZone !== null && this.refused.has(`${sig}|${onlyZone}`));
  }

  /** Only where the zones of the job's other tasks, and machines that it avoids, have no part in the failure. */
  note(job: Job, zones: ZoneCounts, onlyZone: Zone | null): void {
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

export class Selection {
  private readonly hopeless = new Hopeless();
  /** Scores for the job that is being placed; another placed in between makes them out of date. */
  private ranked: { job: Job; ranking: Ranking } | null = null;
  private readonly penalties = new Map<JobSpec, Map<TypeName, number>>();

  constructor(
    private readonly snapshot: Snapshot,
    private readonly penaltyOf: (spec: JobSpec, type: TypeName) => number,
  ) {}

  /** The best machine with room, or null. */
  best(job: Job, zones: ZoneCounts, onlyZone: Zone | null = null): MachineSlot | null {
    if (this.hopeless.has(job, onlyZone)) return null;
    const ranking = this.rankingFor(job);
    this.snapshot.work += ranking.size;
    const fitting = (slot: MachineSlot): boolean =>
      fits(job.spec, slot.free) && this.snapshot.allows(job, slot, zones, onlyZone);
    const best = ranking.best(fitting);
    if (!best) this.hopeless.note(job, zones, onlyZone);
    return best;
  }

  /** What was refused while a part of a plan was assumed isn't so without it. */
  forgetRefusals(job: Job, onlyZone: Zone | null): void {
    this.hopeless.forget(job, onlyZone);
  }

  /** Expected seconds until the task can start, plus what it costs to use up this machine's room. */
  score(spec: JobSpec, slot: MachineSlot): number {
    const type = slot.machine.type!;
    let score = fetchS(spec, slot);
    if (!slot.machine.hasImage(spec.image) && !slot.fetching.has(spec.image)) {
      score += (SLOWS_OTHERS * slot.fetching.size * spec.imageGb) / type.fetchGbPerS;
    }
    if (slot.empty) score += OPEN_EMPTY_S;
    score += TYPE_PENALTY_S * this.penalty(spec, slot.machine.info.type);
    if (spec.spot && !slot.machine.info.spot) score += ORDINARY_FOR_SPOT_S;
    const left =
      type.gpus > 0 ? (slot.free.gpus - spec.gpus) / type.gpus : (slot.free.cpus - spec.cpus) / type.cpus;
    return score + FREE_ROOM_S * left;
  }

  private rankingFor(job: Job): Ranking {
    if (this.ranked?.job === job) return this.ranked.ranking;
    const { open } = this.snapshot;
    this.snapshot.work += open.length;
    const anywhere: ZoneCounts = new Map();
    const slots = open.filter(
      (slot) => fits(job.spec, slot.free) && this.snapshot.allows(job, slot, anywhere, null),
    );
    if (slots.length === 0) this.hopeless.note(job, anywhere, null);
    const ranking = new Ranking(slots, (slot) => this.score(job.spec, slot));
    this.ranked = { job, ranking };
    return ranking;
  }

  private penalty(spec: JobSpec, type: TypeName): number {
    const byType = this.penalties.get(spec) ?? new Map<TypeName, number>();
    this.penalties.set(spec, byType);
    const penalty = byType.get(type) ?? this.penaltyOf(spec, type);
    byType.set(type, penalty);
    return penalty;
  }
}
