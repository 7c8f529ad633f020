/**
 * Capacity for urgent work on unreachable machines. It may not start elsewhere before they are fenced, but the machines
 * for it can boot meanwhile.
 */
import type { Job } from '../job.js';
import type { Machine } from '../machine.js';
import type { CapacityDemand } from '../scaling/scale-out-plan.js';
import { priorityRank } from '../job-spec.js';
import type { Zone } from '../units.js';
import type { LeaderState } from './leader-state.js';

/**
 * The demand, the most urgent first. None for a zone that is partitioned: most of what it holds is there again when the
 * partition heals.
 */
export const replacementDemands = (unreachable: Machine[], state: LeaderState): CapacityDemand[] => {
  const lost = unreachableTasksByZone(unreachable, state);
  return [...lost]
    .map(([job, lostByZone]) => ({
      rank: priorityRank[job.priority],
      demand: demandOf(job, lostByZone, state),
    }))
    .sort((a, b) => b.rank - a.rank)
    .map(({ demand }) => demand);
};

const unreachableTasksByZone = (unreachable: Machine[], state: LeaderState): Map<Job, Map<Zone, number>> => {
  const lost = new Map<Job, Map<Zone, number>>();
  for (const machine of unreachable) {
    const { zone } = machine.info;
    if (state.partitionedZones.has(zone)) continue;
    for (const { job } of machine.placements.values()) {
      if (job.cancelled || priorityRank[job.priority] < priorityRank.high) continue;
      const byZone = lost.get(job) ?? new Map<Zone, number>();
      byZone.set(zone, (byZone.get(zone) ?? 0) + 1);
      lost.set(job, byZone);
    }
  }
  return lost;
};

const demandOf = (job: Job, lostByZone: Map<Zone, number>, state: LeaderState): CapacityDemand => {
  const { spec } = job;
  // A gang loses all of its tasks with one of them.
  if (spec.kind === 'gang') return { spec, tasks: spec.tasks, zones: new Map(), isForecast: false };
  const zones = state.placementsByZone(job);
  let tasks = 0;
  for (const [zone, lost] of lostByZone) {
    const left = (zones.get(zone) ?? 0) - lost;
    if (left > 0) zones.set(zone, left);
    else zones.delete(zone);
    tasks += lost;
  }
  return { spec, tasks, zones, isForecast: false };
};
