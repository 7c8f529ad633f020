// One machine in a cycle's snapshot: what is free, leaving and being fetched, and when something could start there.
import { addResources, fits } from '../resources.js';
import { type Machine } from '../machine.js';
import type { Job } from '../job.js';
import type { Resources, JobSpec } from '../types.js';
import type { JobId, MonotonicTime } from '../units.js';

export interface CandidateMachine {
  machine: Machine;
  free: Resources;
  /** Room that tasks already told to stop will leave. */
  releasing: Resources;
  /** Room that tasks ending here will leave to jobs that wait for it. */
  claimed: Resources;
  /** Images being fetched here, with their sizes: they share the rate. */
  fetchingImagesGb: Map<string, number>;
  /** Expected seconds until a booting machine is up; 0 when it is. */
  bootRemainingS: number;
  isEmpty: boolean;
  /** Kept free for a group that has waited long. */
  reservedFor: Job | null;
  /** Something here was told to stop. */
  hasStoppingTasks: boolean;
  /** By priority: what tasks of lower ones take that were not told to stop when the cycle began. */
  preemptibleBelow: readonly (Resources | null)[];
  /** Counts changes of what is free or nominated here. */
  version: number;
}

/** By the type's nominal time; a machine well past it is not counted on. */
const bootLeftS = (m: Machine, now: MonotonicTime): number => {
  const bootS = m.type!.bootS;
  const leftS = bootS - (now - m.provisionedAt) / 1000;
  if (leftS > 1) return leftS;
  return leftS > -0.5 * bootS ? Math.max(1, bootS * 0.1) : Infinity;
};

/**
 * Scores of the machines that a group's members may go to, kept while its like members are placed one after the
 * other: a placement changes one machine, so only that one is scored again (the paper's opportunistic batching).
 */
export class CandidateRanking {
  private readonly scores: Float64Array;
  /** The machine's version when it was scored. */
  private readonly versions: Int32Array;

  constructor(
    private readonly slots: CandidateMachine[],
    private readonly score: (slot: CandidateMachine) => number,
  ) {
    this.scores = new Float64Array(slots.length).fill(NaN);
    this.versions = new Int32Array(slots.length).fill(-1);
  }

  best(allowed: (slot: CandidateMachine) => boolean): CandidateMachine | null {
    let best = -1;
    let bestScore = Infinity;
    for (let i = 0; i < this.slots.length; i++) {
      const slot = this.slots[i];
      const known = this.versions[i] === slot.version;
      if (known && this.scores[i] >= bestScore) continue;
      if (!allowed(slot)) continue;
      const score = known ? this.scores[i] : this.rescore(i);
      if (score >= bestScore) continue;
      best = i;
      bestScore = score;
    }
    return best < 0 ? null : this.slots[best];
  }

  get size(): number {
    return this.slots.length;
  }

  /** Room was taken on this machine, or left again. */
  private rescore(i: number): number {
    const slot = this.slots[i];
    const score = this.score(slot);
    this.scores[i] = score;
    this.versions[i] = slot.version;
    return score;
  }
}

export interface CandidateInput {
  resourcesOf: (job: JobId) => Resources | null;
  now: MonotonicTime;
  unreachableAfterMs: number;
}

/** Null for a machine that nothing can be placed on, now or once it is up. */
export const candidateOf = (m: Machine, input: CandidateInput): CandidateMachine | null => {
  if (!m.type) return null;
  const readyInS = m.up ? 0 : bootLeftS(m, input.now);
  if (m.up ? !m.schedulable : readyInS === Infinity || m.decommissioning !== null) return null;
  // A silent machine may be gone: nothing new goes there.
  if (m.lastHeartbeatAt !== null && input.now - m.lastHeartbeatAt > input.unreachableAfterMs) return null;
  const free = { cpus: m.type.cpus, gpus: m.type.gpus, memoryGb: m.type.memoryGb };
  addResources(free, m.allocated(input.resourcesOf), -1);
  const load = m.loadSummary();
  return {
    machine: m,
    free,
    releasing: { ...load.releasing },
    claimed: { cpus: 0, gpus: 0, memoryGb: 0 },
    fetchingImagesGb: new Map(load.fetching),
    bootRemainingS: readyInS,
    isEmpty: !m.busy,
    reservedFor: null,
    hasStoppingTasks: load.hasStoppingTasks,
    preemptibleBelow: load.preemptibleBelow,
    version: 0,
  };
};

/** Expected seconds of fetching before the task could start here. */
export const estimatedFetchS = (spec: JobSpec, slot: CandidateMachine): number => {
  if (slot.machine.hasImage(spec.image)) return 0;
  const rate = slot.machine.type!.fetchGbPerS;
  let others = 0;
  for (const gb of slot.fetchingImagesGb.values()) others += gb;
  // Under way already: what is left of it isn't known, so a part of the whole.
  if (slot.fetchingImagesGb.has(spec.image)) return (0.7 * others) / rate;
  return Math.min(spec.imageGb * (slot.fetchingImagesGb.size + 1), spec.imageGb + others) / rate;
};

/** Expected seconds until there is room, by the owners' estimates, after those who wait here already. */
export const estimatedFreeInS = (spec: JobSpec, slot: CandidateMachine, now: MonotonicTime): number => {
  const room = { ...slot.free };
  addResources(room, slot.claimed, -1);
  if (fits(spec, room)) return 0;
  const ends: { at: number; spec: JobSpec }[] = [];
  for (const { job, placement: p } of slot.machine.placements.values()) {
    if (job.spec.kind === 'service') continue;
    const ranS = p.runningSince === null ? 0 : (now - p.runningSince) / 1000;
    // Past its estimate, a task is taken to need another third of it.
    const left = p.stop ? job.spec.saveS : Math.max(job.spec.estimateS - ranS, job.spec.estimateS / 3);
    ends.push({ at: left, spec: job.spec });
  }
  ends.sort((a, b) => a.at - b.at);
  for (const e of ends) {
    addResources(room, e.spec);
    if (fits(spec, room)) return e.at;
  }
  return Infinity;
};
