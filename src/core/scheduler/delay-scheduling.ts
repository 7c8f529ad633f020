/**
 * Delay scheduling: when a task is better off not to start on the best machine with capacity now, because one that has
 * its image is free soon, one that boots fetches alone, or lower-priority work can leave a machine with the image.
 */
import { addResources, fits } from '../resources.js';
import type { Job } from '../job.js';
import { estimatedFetchS, estimatedFreeInS, type CandidateMachine } from './candidate-machine.js';
import type { Nomination } from './nomination.js';
import type { ZoneCounts } from './placement-constraints.js';
import { checkpointsWithin, MIN_FETCH_TO_PREEMPT_S, type Preemption } from './preemption.js';
import type { Snapshot } from './snapshot.js';

/** Shorter fetches are not worth a delay. */
const MIN_FETCH_TO_DELAY_S = 15;
/** A machine with the image must be free within this share of the fetch elsewhere. */
const MAX_DELAY_FRACTION = 0.7;
/** Victims must have saved within this share of the fetch that they save. */
const MAX_SAVE_FRACTION = 0.5;

/** Decides in one cycle which tasks are delayed. */
export class DelayScheduling {
  constructor(
    private readonly snapshot: Snapshot,
    private readonly preemption: Preemption,
  ) {}

  /**
   * A machine that has the image and is expected to be free well before a fetch elsewhere would end is worth waiting
   * for: the task starts earlier, and no machine stands idle while it fetches.
   */
  awaitsMachineWithImage(job: Job, candidate: CandidateMachine, zones: ZoneCounts): boolean {
    this.snapshot.machineEvaluations += this.snapshot.candidates.length;
    const fetchS = estimatedFetchS(job.spec, candidate);
    if (fetchS < MIN_FETCH_TO_DELAY_S || job.spec.kind === 'service') return false;
    for (const other of this.snapshot.candidates) {
      if (!other.machine.hasImage(job.spec.image)) continue;
      if (!this.snapshot.allows(job, other, zones, null)) continue;
      const freeInS = estimatedFreeInS(job.spec, other, this.snapshot.time.now);
      if (freeInS > fetchS * MAX_DELAY_FRACTION) continue;
      addResources(other.claimed, job.spec);
      job.waitReason = { why: 'waiting for a machine with its image', expectedS: Math.round(freeInS) };
      return true;
    }
    return false;
  }

  /** Rather than a second fetch beside a running one: a machine that is about to be up, and fetches this image alone. */
  awaitsBootingMachine(job: Job, candidate: CandidateMachine, zones: ZoneCounts): boolean {
    const { spec } = job;
    const { fetchingImagesGb } = candidate;
    const startsNoSecondFetch =
      candidate.machine.hasImage(spec.image) ||
      fetchingImagesGb.has(spec.image) ||
      fetchingImagesGb.size === 0;
    if (startsNoSecondFetch) return false;
    const booting = this.soonestBooting(job, estimatedFetchS(spec, candidate), zones);
    if (!booting) return false;
    addResources(booting.free, spec, -1);
    booting.fetchingImagesGb.set(spec.image, spec.imageGb);
    job.waitReason = { why: 'machines booting' };
    return true;
  }

  /**
   * For a service, a long fetch on a free machine loses against a machine that has the image and holds work of lower
   * priority which can save: that leaves within seconds, and resumes elsewhere from its checkpoint.
   */
  nominateWithImage(job: Job, candidate: CandidateMachine, zones: ZoneCounts): Nomination | null {
    if (job.spec.kind !== 'service') return null;
    const fetchS = estimatedFetchS(job.spec, candidate);
    if (fetchS < MIN_FETCH_TO_PREEMPT_S) return null;
    const maxSaveS = fetchS * MAX_SAVE_FRACTION;
    return this.preemption.nominateWithImage(
      job,
      zones,
      (victim) => checkpointsWithin(victim, maxSaveS),
      null,
    );
  }

  /** The booting machine on which the task could start soonest, before `startsInS`. */
  private soonestBooting(job: Job, startsInS: number, zones: ZoneCounts): CandidateMachine | null {
    const { spec } = job;
    let best: CandidateMachine | null = null;
    let bestS = startsInS;
    for (const booting of this.snapshot.bootingCandidates) {
      if (!fits(spec, booting.free) || !this.snapshot.allows(job, booting, zones, null)) continue;
      const startS = booting.bootRemainingS + estimatedFetchS(spec, booting);
      if (startS >= bestS) continue;
      best = booting;
      bestS = startS;
    }
    return best;
  }
}
