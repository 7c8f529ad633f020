/** A machine in a cycle's snapshot: what is free, releasing and being fetched there, and when a task could start. */
import { addResources, copyResources, fits, noResources, type Resources } from '../resources.js';
import type { Machine } from '../machine.js';
import type { Job } from '../job.js';
import type { JobSpec } from '../job-spec.js';
import type { JobId, MonotonicTime } from '../units.js';

/** A machine that the cycle may place tasks on, with the cycle's own account of it. */
export interface CandidateMachine {
  machine: Machine;
  free: Resources;
  /** What stopping tasks will release. */
  releasing: Resources;
  /** What tasks that end here will release to jobs that wait for that. */
  claimed: Resources;
  /** Images being fetched here, with their sizes: they share the rate. */
  fetchingImagesGb: Map<string, number>;
  /** Expected seconds until a booting machine is up; 0 when it is. */
  bootRemainingS: number;
  isEmpty: boolean;
  /** The gang that its capacity is reserved for. */
  reservedFor: Job | null;
  hasStoppingTasks: boolean;
  /** By priority rank: what preemptible tasks of lower ones took when the cycle began. */
  preemptibleBelow: readonly (Resources | null)[];
  /** Counts changes of what is free or nominated here. */
  version: number;
}

/** What candidates are derived from. */
export interface CandidateInput {
  /** What a task of the job takes; null for an unknown job. */
  resourcesOf: (job: JobId) => Resources | null;
  now: MonotonicTime;
  /** A machine without a heartbeat for longer than this gets no tasks. */
  unreachableAfterMs: number;
}

/** A machine that exceeds its nominal boot time by more than this share of it is not counted on. */
const MAX_BOOT_OVERRUN_FRACTION = 0.5;
/** Share of the nominal boot time that an overdue machine is expected to need yet. */
const OVERDUE_BOOT_FRACTION = 0.1;
const MIN_BOOT_REMAINING_S = 1;
/** Share of a fetch under way that is taken to be left; how much really is left isn't known. */
const FETCH_REMAINING_FRACTION = 0.7;
/** A task that runs longer than its estimate is taken to need another such part of it. */
const OVERRUN_DIVISOR = 3;

/** By the type's nominal boot time; Infinity for a machine that is not counted on. */
const bootRemainingS = (machine: Machine, now: MonotonicTime): number => {
  const { bootS } = machine.type!;
  const remainingS = bootS - (now - machine.provisionedAt) / 1000;
  if (remainingS > MIN_BOOT_REMAINING_S) return remainingS;
  return remainingS > -MAX_BOOT_OVERRUN_FRACTION * bootS
    ? Math.max(MIN_BOOT_REMAINING_S, bootS * OVERDUE_BOOT_FRACTION)
    : Infinity;
};

/** Null for a machine that nothing can be placed on, now or once it is up. */
export const candidateOf = (machine: Machine, input: CandidateInput): CandidateMachine | null => {
  if (!machine.type) return null;
  const remainingS = machine.up ? 0 : bootRemainingS(machine, input.now);
  if (machine.up ? !machine.schedulable : remainingS === Infinity || machine.decommissioning !== null)
    return null;
  // Guards against placements on a machine that may be gone.
  const { lastHeartbeatAt } = machine;
  if (lastHeartbeatAt !== null && input.now - lastHeartbeatAt > input.unreachableAfterMs) return null;
  const free = copyResources(machine.type);
  addResources(free, machine.allocated(input.resourcesOf), -1);
  const load = machine.loadSummary();
  return {
    machine,
    free,
    releasing: { ...load.releasing },
    claimed: noResources(),
    fetchingImagesGb: new Map(load.fetching),
    bootRemainingS: remainingS,
    isEmpty: !machine.busy,
    reservedFor: null,
    hasStoppingTasks: load.hasStoppingTasks,
    preemptibleBelow: load.preemptibleBelow,
    version: 0,
  };
};

/** Expected seconds of fetching the image before the task could start here. */
export const estimatedFetchS = (spec: JobSpec, candidate: CandidateMachine): number => {
  if (candidate.machine.hasImage(spec.image)) return 0;
  const gbPerS = candidate.machine.type!.fetchGbPerS;
  let fetchingGb = 0;
  for (const sizeGb of candidate.fetchingImagesGb.values()) fetchingGb += sizeGb;
  if (candidate.fetchingImagesGb.has(spec.image)) return (FETCH_REMAINING_FRACTION * fetchingGb) / gbPerS;
  const sharedGb = spec.imageGb * (candidate.fetchingImagesGb.size + 1);
  return Math.min(sharedGb, spec.imageGb + fetchingGb) / gbPerS;
};

/** Expected seconds until the task fits here, by the owners' estimates, after the tasks that wait for that already. */
export const estimatedFreeInS = (spec: JobSpec, candidate: CandidateMachine, now: MonotonicTime): number => {
  const available = { ...candidate.free };
  addResources(available, candidate.claimed, -1);
  if (fits(spec, available)) return 0;
  const ends: { endsInS: number; spec: JobSpec }[] = [];
  for (const { job, placement } of candidate.machine.placements.values()) {
    if (job.spec.kind === 'service') continue;
    const { estimateS, saveS } = job.spec;
    const ranS = placement.runningSince === null ? 0 : (now - placement.runningSince) / 1000;
    const endsInS = placement.stop ? saveS : Math.max(estimateS - ranS, estimateS / OVERRUN_DIVISOR);
    ends.push({ endsInS, spec: job.spec });
  }
  ends.sort((a, b) => a.endsInS - b.endsInS);
  for (const end of ends) {
    addResources(available, end.spec);
    if (fits(spec, available)) return end.endsInS;
  }
  return Infinity;
};
