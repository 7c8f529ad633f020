/** Derives the leader's settings from the platform settings and the operator settings. */
import type { OperatorSettings } from '../../config/operator.js';
import type { PlatformSettings } from '../../config/platform.js';
import type { LeaderSettings } from '../../core/leader/effects.js';
import { fitsRegistryPage, maxSegmentBytes } from '../../wire/stored-records.js';

/** Machines that one scheduling cycle may evaluate, per processor core of the controller. */
const CYCLE_MACHINE_EVALUATIONS_PER_CORE = 600_000;
const MIN_CYCLE_MACHINE_EVALUATIONS = 30_000;
/** Fraction of the store's write rate limit that a leader may use for progress. */
const PROGRESS_WRITES_FRACTION = 0.2;

/** The settings of one leadership. */
export const leaderSettings = (
  platform: PlatformSettings,
  operator: OperatorSettings,
  random: () => number,
): LeaderSettings => {
  const { maxValueKb, writesPerS } = platform.keyValueStoreLimits;
  return {
    workers: platform.workers,
    teams: platform.teams,
    objectives: platform.objectives,
    idleHoldS: operator.idleHoldS,
    capacityRetryS: operator.capacityRetryS,
    headroom: operator.headroom,
    listLagS: platform.cloudProviderLimits.listLagS,
    agingS: operator.agingS,
    fitsRegistryPage: (machines) => fitsRegistryPage(machines, maxValueKb),
    segmentBytes: maxSegmentBytes(maxValueKb),
    progressWritesPerS: writesPerS * PROGRESS_WRITES_FRACTION,
    maxMachineEvaluationsPerCycle: Math.max(
      MIN_CYCLE_MACHINE_EVALUATIONS,
      platform.processLimits.cpu * CYCLE_MACHINE_EVALUATIONS_PER_CORE,
    ),
    random,
  };
};
