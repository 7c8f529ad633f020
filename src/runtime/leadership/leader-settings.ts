/** Derives what the leader is told at its start from the settings of the platform and the operators. */
import type { OperatorSettings } from '../../config/operator.js';
import type { PlatformSettings } from '../../config/platform.js';
import type { LeaderSettings } from '../../core/leader/effects.js';
import { fitsRegistryPage, maxSegmentBytes } from '../../wire/stored-records.js';

/** Evaluations of machines in a cycle, for each processor core of the controller. */
const CYCLE_WORK_PER_CORE = 600_000;
const MIN_CYCLE_WORK = 30_000;
/** Of the store's rate of writes: what a leader's progress may take. */
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
    cycleWorkLimit: Math.max(MIN_CYCLE_WORK, platform.processLimits.cpu * CYCLE_WORK_PER_CORE),
    random,
  };
};
