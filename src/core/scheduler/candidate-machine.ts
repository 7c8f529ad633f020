/** A machine in the snapshot of a scheduling cycle, and estimates of when a task could start on it. */
import { addResources, copyResources, fits, noResources, type Resources } from '../resources.js';
import type { Machine } from '../machine.js';
import type { Job } from '../job.js';
import type { JobSpec } from '../job-spec.js';
import type { JobId, MonotonicTime } from '../units.js';

/** A machine on which the cycle may place tasks, with the state that the cycle updates as it places them. */
export interface CandidateMachine {
  machine: Machine;
  free: Resources;
  /** Resources that stopping tasks and nominated victims will release. */
  releasing: Resources;
  /** Resources of delayed tasks that wait for running tasks here to end. */
  delayedDemand: Resources;
  /** Sizes of the images being fetched here, by image; concurrent fetches share the machine's fetch rate. */
  fetchingImagesGb: Map<string, number>;
  /** Expected seconds until a booting machine is up; 0 for a machine that is up. */
  bootRemainingS: number;
  isEmpty: boolean;
  /** The gang for which the machine is reserved. */
  reservedFor: Job | null;
  hasStoppingTasks: boolean;
  /** Resources of preemptible tasks of lower ranks when the cycle began, by priority rank; null if there were none. */
  preemptibleBelow: readonly (Resources | null)[];
  /** Incremented whenever the free capacity or the nominations change here, which invalidates cached results. */
  version: number;
}

/** The state from which candidates are derived. */
export interface CandidateInput {
  /** Resources of one task of the job; null for an unknown job. */
  resourcesOf: (job: JobId) => Resources | null;
  now: MonotonicTime;
  /** A machine whose last heartbeat is older than this gets no tasks. */
  unreachableAfterMs: number;
}

/** A booting machine that exceeds its nominal boot time by more than this fraction is not considered. */
const MAX_BOOT_OVERRUN_FRACTION = 0.5;
/** Fraction of the nominal boot time that an overdue machine is still expected to need. */
const OVERDUE_BOOT_FRACTION = 0.1;
const MIN_BOOT_REMAINING_S = 1;
/** Assumed remaining fraction of a fetch in progress; the actual progress is unknown. */
const FETCH_REMAINING_FRACTION = 0.7;
/** A running task is expected to need at least its estimated run time divided by this, however long it has run. */
const MIN_REMAINING_RUN_DIVISOR = 3;

/** Expected seconds until a machine is up, from its type's nominal boot time; Infinity if it is too long overdue. */
const bootRemainingS = (machine: Machine, now: MonotonicTime): number => {
  const { bootS } = machine.type!;
  const remainingS = bootS - (now - machine.provisionedAt) / 1000;
  if (remainingS > MIN_BOOT_REMAINING_S) return remainingS;
  return remainingS > -MAX_BOOT_OVERRUN_FRACTION * bootS
    ? Math.max(MIN_BOOT_REMAINING_S, bootS * OVERDUE_BOOT_FRACTION)
    : Infinity;
};

/** Creates a candidate from a machine; null if no task can be placed there, neither now nor once it is up. */
export const createCandidate = (machine: Machine, input: CandidateInput): CandidateMachine | null => {
  if (!machine.type) return null;
  const remainingS = machine.up ? 0 : bootRemainingS(machine, input.now);
  if (machine.up ? !machine.schedulable : remainingS === Infinity || machine.decommissioning !== null)
    return null;
  // Guards against placements on a machine that may no longer exist.
  const { lastHeartbeatAt } = machine;
  if (lastHeartbeatAt !== null && input.now - lastHeartbeatAt > input.unreachableAfterMs) return null;
  const free = copyResources(machine.type);
  addResources(free, machine.allocated(input.resourcesOf), -1);
  const load = machine.loadSummary();
  return {
    machine,
    free,
    releasing: { ...load.releasing },
    delayedDemand: noResources(),
    fetchingImagesGb: new Map(load.fetching),
    bootRemainingS: remainingS,
    isEmpty: !machine.busy,
    reservedFor: null,
    hasStoppingTasks: load.hasStoppingTasks,
    preemptibleBelow: load.preemptibleBelow,
    version: 0,
  };
};

/** Expected seconds to fetch the image before a task could start here. */
export const estimatedFetchS = (spec: JobSpec, candidate: CandidateMachine): number => {
  if (candidate.machine.hasImage(spec.image)) return 0;
  const gbPerS = candidate.machine.type!.fetchGbPerS;
  let fetchingGb = 0;
  for (const sizeGb of candidate.fetchingImagesGb.values()) fetchingGb += sizeGb;
  if (candidate.fetchingImagesGb.has(spec.image)) return (FETCH_REMAINING_FRACTION * fetchingGb) / gbPerS;
  const sharedGb = spec.imageGb * (candidate.fetchingImagesGb.size + 1);
  return Math.min(sharedGb, spec.imageGb + fetchingGb) / gbPerS;
};

/**
 * Expected seconds until a task fits here, from the estimated run times, after the delayed tasks that wait for the same
 * capacity; Infinity if it won't fit.
 */
export const estimatedFreeInS = (spec: JobSpec, candidate: CandidateMachine, now: MonotonicTime): number => {
  const available = { ...candidate.free };
  addResources(available, candidate.delayedDemand, -1);
  if (fits(spec, available)) return 0;
  const ends: { endsInS: number; spec: JobSpec }[] = [];
  for (const { job, placement } of candidate.machine.placements.values()) {
    if (job.spec.kind === 'service') continue;
    const { estimateS, saveS } = job.spec;
    const ranS = placement.runningSince === null ? 0 : (now - placement.runningSince) / 1000;
    const endsInS = placement.stop
      ? saveS
      : Math.max(estimateS - ranS, estimateS / MIN_REMAINING_RUN_DIVISOR);
    ends.push({ endsInS, spec: job.spec });
  }
  ends.sort((a, b) => a.endsInS - b.endsInS);
  for (const end of ends) {
    addResources(available, end.spec);
    if (fits(spec, available)) return end.endsInS;
  }
  return Infinity;
};
