/**
 * Delay scheduling: decides whether a task should not start on the best machine with free capacity, because a machine
 * with its image will be free soon, a booting machine can fetch the image without contention, or lower-priority tasks
 * can be stopped on a machine with the image.
 */
import { addResources, fits } from '../resources.js';
import type { Job } from '../job.js';
import { estimatedFetchS, estimatedFreeInS, type CandidateMachine } from './candidate-machine.js';
import type { Nomination } from './nomination.js';
import type { ZoneCounts } from './placement-constraints.js';
import { checkpointsWithin, MIN_FETCH_TO_PREEMPT_S, type Preemption } from './preemption.js';
import type { Snapshot } from './snapshot.js';

/** No task is delayed to avoid an image fetch shorter than this. */
const MIN_FETCH_TO_DELAY_S = 15;
/** A machine with the image must be expected to be free within this fraction of the avoided fetch. */
const MAX_DELAY_FRACTION = 0.7;
/** Victims must be able to save within this fraction of the avoided fetch. */
const MAX_SAVE_FRACTION = 0.5;

/** Decides which tasks are delayed in one cycle. */
export class DelayScheduling {
  constructor(
    private readonly snapshot: Snapshot,
    private readonly preemption: Preemption,
  ) {}

  /**
   * Delays a task if a machine with its image is expected to be free well before a fetch elsewhere would end: the task
   * starts earlier, and no capacity is idle during a fetch. Returns whether the task is delayed.
   */
  delayForMachineWithImage(job: Job, candidate: CandidateMachine, zones: ZoneCounts): boolean {
    this.snapshot.machineEvaluations += this.snapshot.candidates.length;
    const fetchS = estimatedFetchS(job.spec, candidate);
    if (fetchS < MIN_FETCH_TO_DELAY_S || job.spec.kind === 'service') return false;
    for (const other of this.snapshot.candidates) {
      if (!other.machine.hasImage(job.spec.image)) continue;
      if (!this.snapshot.allows(job, other, zones, null)) continue;
      const freeInS = estimatedFreeInS(job.spec, other, this.snapshot.time.now);
      if (freeInS > fetchS * MAX_DELAY_FRACTION) continue;
      addResources(other.delayedDemand, job.spec);
      job.waitReason = { why: 'waiting for a machine with its image', expectedS: Math.round(freeInS) };
      return true;
    }
    return false;
  }

  /**
   * Delays a task if its fetch would run beside another one and a booting machine is expected to start the task sooner.
   * Returns whether the task is delayed.
   */
  delayForBootingMachine(job: Job, candidate: CandidateMachine, zones: ZoneCounts): boolean {
    const { spec } = job;
    const { fetchingImagesGb } = candidate;
    const startsNoSecondFetch =
      candidate.machine.hasImage(spec.image) ||
      fetchingImagesGb.has(spec.image) ||
      fetchingImagesGb.size === 0;
    if (startsNoSecondFetch) return false;
    const booting = this.soonestBootingMachine(job, estimatedFetchS(spec, candidate), zones);
    if (!booting) return false;
    addResources(booting.free, spec, -1);
    booting.fetchingImagesGb.set(spec.image, spec.imageGb);
    job.waitReason = { why: 'machines booting' };
    return true;
  }

  /**
   * Nominates victims for a service that would otherwise wait for a long fetch: lower-priority tasks on a machine with
   * the image. They save and leave within seconds, and resume elsewhere from their checkpoints.
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

  /** The booting machine on which the task could start soonest, if that is before `startsInS`; null otherwise. */
  private soonestBootingMachine(job: Job, startsInS: number, zones: ZoneCounts): CandidateMachine | null {
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
