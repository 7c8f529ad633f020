// When a task is better off not to start on the best machine with room: one that has its image is free soon, one that
// boots fetches alone, or low work on a warm machine can leave.
import { addResources, fits } from '../resources.js';
import type { Job } from '../job.js';
import { checkpointsWithin, type Preemption } from './preemption.js';
import { estimatedFetchS, estimatedFreeInS, type CandidateMachine } from './candidate-machine.js';
import type { Snapshot, ZoneCounts } from './snapshot.js';
import type { Nomination } from './victims.js';

/** Shorter fetches are not waited for. */
const WORTH_WAITING_S = 15;
/** For shorter fetches nobody is stopped. */
export const MIN_FETCH_TO_PREEMPT_S = 12;
/** A machine with the image must be free within this share of the fetch. */
const WAIT_SHARE = 0.7;

export class DelayScheduling {
  constructor(
    private readonly snapshot: Snapshot,
    private readonly preemption: Preemption,
  ) {}

  /**
   * A machine that has the image and is expected to be free well before a fetch elsewhere would end is worth
   * waiting for: the task starts earlier, and no machine stands idle while it fetches.
   */
  awaitsMachineWithImage(job: Job, slot: CandidateMachine, zones: ZoneCounts): boolean {
    this.snapshot.machineEvaluations += this.snapshot.candidates.length;
    const coldS = estimatedFetchS(job.spec, slot);
    if (coldS < WORTH_WAITING_S || job.spec.kind === 'service') return false;
    for (const other of this.snapshot.candidates) {
      if (!other.machine.hasImage(job.spec.image)) continue;
      if (!this.snapshot.allows(job, other, zones, null)) continue;
      const freeS = estimatedFreeInS(job.spec, other, this.snapshot.time.now);
      if (freeS > coldS * WAIT_SHARE) continue;
      addResources(other.claimed, job.spec);
      job.waitReason = { why: 'waiting for a machine with its image', expectedS: Math.round(freeS) };
      return true;
    }
    return false;
  }

  /** Rather than a second fetch beside a running one: a machine that is about to be up, and fetches this alone. */
  awaitsBootingMachine(job: Job, slot: CandidateMachine, zones: ZoneCounts): boolean {
    const { spec } = job;
    if (
      slot.machine.hasImage(spec.image) ||
      slot.fetchingImagesGb.has(spec.image) ||
      slot.fetchingImagesGb.size === 0
    )
      return false;
    let best: CandidateMachine | null = null;
    let bestS = estimatedFetchS(spec, slot);
    for (const booting of this.snapshot.bootingCandidates) {
      if (!fits(spec, booting.free) || !this.snapshot.allows(job, booting, zones, null)) continue;
      const startS = booting.bootRemainingS + estimatedFetchS(spec, booting);
      if (startS >= bestS) continue;
      best = booting;
      bestS = startS;
    }
    if (!best) return false;
    addResources(best.free, spec, -1);
    best.fetchingImagesGb.set(spec.image, spec.imageGb);
    job.waitReason = { why: 'machines booting' };
    return true;
  }

  /**
   * For live work, a long fetch on a free machine loses against a machine that has the image and holds work of lower
   * priority which can save: that leaves within seconds, and goes on elsewhere from where it was.
   */
  nominateWithImage(job: Job, slot: CandidateMachine, zones: ZoneCounts): Nomination | null {
    if (job.spec.kind !== 'service') return null;
    const coldS = estimatedFetchS(job.spec, slot);
    if (coldS < MIN_FETCH_TO_PREEMPT_S) return null;
    return this.preemption.nominateWithImage(
      job,
      zones,
      (victim) => checkpointsWithin(victim, coldS / 2),
      null,
    );
  }
}
