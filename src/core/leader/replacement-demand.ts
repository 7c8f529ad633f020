/**
 * Demand for replacement capacity for urgent tasks on unreachable machines. The tasks may not start elsewhere before
 * these machines are fenced, but their replacements can boot in the meantime.
 */
import type { Job } from '../job.js';
import type { Machine } from '../machine.js';
import type { CapacityDemand } from '../scaling/scale-out-plan.js';
import { priorityRank } from '../job-spec.js';
import type { Zone } from '../units.js';
import type { LeaderState } from './leader-state.js';

/**
 * The demand for replacements, in order of decreasing priority. Machines in partitioned zones are left out, because
 * most of them are reachable again when the partition heals.
 */
export const replacementDemands = (unreachable: Machine[], state: LeaderState): CapacityDemand[] => {
  const tasksByJob = unreachableTasksByZone(unreachable, state);
  return [...tasksByJob]
    .map(([job, tasksByZone]) => ({
      rank: priorityRank[job.priority],
      demand: demandOf(job, tasksByZone, state),
    }))
    .sort((a, b) => b.rank - a.rank)
    .map(({ demand }) => demand);
};

const unreachableTasksByZone = (unreachable: Machine[], state: LeaderState): Map<Job, Map<Zone, number>> => {
  const tasksByJob = new Map<Job, Map<Zone, number>>();
  for (const machine of unreachable) {
    const { zone } = machine.info;
    if (state.partitionedZones.has(zone)) continue;
    for (const { job } of machine.placements.values()) {
      if (job.cancelled || priorityRank[job.priority] < priorityRank.high) continue;
      const byZone = tasksByJob.get(job) ?? new Map<Zone, number>();
      byZone.set(zone, (byZone.get(zone) ?? 0) + 1);
      tasksByJob.set(job, byZone);
    }
  }
  return tasksByJob;
};

const demandOf = (job: Job, tasksByZone: Map<Zone, number>, state: LeaderState): CapacityDemand => {
  const { spec } = job;
  // When a gang loses one task, all of its tasks must be placed again.
  if (spec.kind === 'gang') return { spec, tasks: spec.tasks, zones: new Map(), isForecast: false };
  const zones = state.placementsByZone(job);
  let tasks = 0;
  for (const [zone, unreachableTasks] of tasksByZone) {
    const reachableTasks = (zones.get(zone) ?? 0) - unreachableTasks;
    if (reachableTasks > 0) zones.set(zone, reachableTasks);
    else zones.delete(zone);
    tasks += unreachableTasks;
  }
  return { spec, tasks, zones, isForecast: false };
};
