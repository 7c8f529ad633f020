// Nominates victims: the machine on which the least work has to stop for a task. Nobody is stopped here.
import type { Job } from '../job.js';
import type { Zone } from '../units.js';
import { UnschedulableSignatures } from './candidate-selection.js';
import { estimatedFetchS, estimatedFreeInS, type CandidateMachine } from './candidate-machine.js';
import type { Snapshot, ZoneCounts } from './snapshot.js';
import {
  reclaimVictims,
  lowerPriorityVictims,
  type CachedVictimSet,
  type Nomination,
  type Victim,
  type VictimSet,
} from './victims.js';

const anybody = (): boolean => true;

/** Array work that leaves soon and goes on elsewhere from where it was. */
export const checkpointsWithin = ({ job: { spec } }: Victim, seconds: number): boolean =>
  spec.kind === 'array' && spec.checkpointS > 0 && spec.saveS < seconds;

/**
 * Guaranteed work, and the job would borrow: else what was stopped for a guarantee would take its place back by
 * priority, and the guaranteed work, which goes first, take it again, without end. So too within one team.
 */
const isOwed = (victim: Victim, job: Job): boolean => victim.job.withinGuarantee && !job.withinGuarantee;

/** Expected seconds until the job starts once the victims have left. */
const startS = (job: Job, { candidate, victims }: Nomination): number =>
  Math.max(0, ...victims.map((victim) => victim.job.spec.saveS)) + estimatedFetchS(job.spec, candidate);

export class Preemption {
  private readonly hopeless = new UnschedulableSignatures();
  private readonly hopelessBorrowed = new UnschedulableSignatures();
  /** Kept while like members are nominated for one after the other: each changes one machine. */
  private nominated: { job: Job; bySlot: Map<CandidateMachine, CachedVictimSet> } | null = null;

  constructor(private readonly snapshot: Snapshot) {}

  /** The machine where room costs the least lower-priority work; an empty list: only wait for those leaving. */
  nominateLowerPriority(job: Job, zones: ZoneCounts, onlyZone: Zone | null = null): Nomination | null {
    if (this.hopeless.has(job, onlyZone)) return null;
    const slots = this.snapshot.preemptionCandidates(job.priority);
    this.snapshot.machineEvaluations += slots.length;
    let best: Nomination | null = null;
    for (const slot of slots) {
      if (!this.snapshot.allows(job, slot, zones, onlyZone)) continue;
      const victims = this.foundOn(job, slot);
      if (victims && (best === null || victims.cost < best.cost)) best = { candidate: slot, ...victims };
    }
    if (!best) this.hopeless.record(job, zones, onlyZone);
    return best;
  }

  /** The same among machines that have the job's image, with only such victims as may be stopped for that. */
  nominateWithImage(
    job: Job,
    zones: ZoneCounts,
    whom: (victim: Victim) => boolean,
    onlyZone: Zone | null,
  ): Nomination | null {
    const slots = this.snapshot.preemptionCandidates(job.priority);
    this.snapshot.machineEvaluations += slots.length;
    let best: Nomination | null = null;
    for (const slot of slots) {
      if (!slot.machine.hasImage(job.spec.image)) continue;
      if (!this.snapshot.allows(job, slot, zones, onlyZone)) continue;
      const victims = this.victimsOn(job, slot, whom);
      if (victims && (best === null || victims.cost < best.cost)) best = { candidate: slot, ...victims };
    }
    return best;
  }

  /** Lower priority first; for a job within its team's guarantee then the work that other teams borrow. */
  nominateVictims(job: Job, zones: ZoneCounts, onlyZone: Zone | null = null): Nomination | null {
    return this.nominateLowerPriority(job, zones, onlyZone) ?? this.nominateReclaim(job, zones, onlyZone);
  }

  /** The machine where room costs the least work that other teams run beyond their own guarantees. */
  private nominateReclaim(job: Job, zones: ZoneCounts, onlyZone: Zone | null): Nomination | null {
    if (!job.withinGuarantee || this.hopelessBorrowed.has(job, onlyZone)) return null;
    const { candidates, guaranteeAccounting, time } = this.snapshot;
    let best: Nomination | null = null;
    let soonestS = Infinity;
    for (const slot of candidates) {
      if (!this.snapshot.allows(job, slot, zones, onlyZone)) continue;
      this.snapshot.machineEvaluations += slot.machine.placements.size;
      const whom = (victim: Victim): boolean => !this.snapshot.isStopping(victim.placement);
      const victims = reclaimVictims(job, slot, whom, guaranteeAccounting, time);
      const coldS = estimatedFetchS(job.spec, slot);
      soonestS = Math.min(soonestS, estimatedFreeInS(job.spec, slot, time.now) + coldS);
      if (victims && (best === null || victims.cost + coldS < best.cost))
        best = { candidate: slot, victims: victims.victims, cost: victims.cost + coldS };
    }
    if (!best) this.hopelessBorrowed.record(job, zones, onlyZone);
    return best && soonestS > startS(job, best) ? best : null;
  }

  /** What was refused while a part of a plan was assumed isn't so without it. */
  forgetUnschedulable(job: Job, onlyZone: Zone | null): void {
    this.hopeless.forget(job, onlyZone);
    this.hopelessBorrowed.forget(job, onlyZone);
  }

  private foundOn(job: Job, slot: CandidateMachine): VictimSet | null {
    if (this.nominated?.job !== job) this.nominated = { job, bySlot: new Map() };
    const { bySlot } = this.nominated;
    const known = bySlot.get(slot);
    if (known?.version === slot.version) return known.victimSet;
    const victims = this.victimsOn(job, slot, anybody);
    if (victims) victims.cost += estimatedFetchS(job.spec, slot);
    bySlot.set(slot, { version: slot.version, victimSet: victims });
    return victims;
  }

  private victimsOn(job: Job, slot: CandidateMachine, whom: (victim: Victim) => boolean): VictimSet | null {
    this.snapshot.machineEvaluations += slot.machine.placements.size;
    const mayStop = (victim: Victim): boolean =>
      !this.snapshot.isStopping(victim.placement) && !isOwed(victim, job) && whom(victim);
    return lowerPriorityVictims(job, slot, mayStop, this.snapshot.time);
  }
}
