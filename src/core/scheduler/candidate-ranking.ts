/** Cached scores of the machines on which a job's tasks may be placed. */
import type { CandidateMachine } from './candidate-machine.js';

/**
 * Ranks machines for the identical tasks of one job (opportunistic batching). A placement changes only one machine, so
 * only that machine is scored again for the next task.
 */
export class CandidateRanking {
  private readonly scores: Float64Array;
  /** The version of each machine when its score was computed. */
  private readonly versions: Int32Array;

  constructor(
    private readonly candidates: CandidateMachine[],
    private readonly score: (candidate: CandidateMachine) => number,
  ) {
    this.scores = new Float64Array(candidates.length).fill(NaN);
    this.versions = new Int32Array(candidates.length).fill(-1);
  }

  /** The allowed machine with the lowest score, the first of equal ones; null if none is allowed. */
  best(allowed: (candidate: CandidateMachine) => boolean): CandidateMachine | null {
    let best = -1;
    let bestScore = Infinity;
    for (let i = 0; i < this.candidates.length; i++) {
      const candidate = this.candidates[i];
      const isCurrent = this.versions[i] === candidate.version;
      if (isCurrent && this.scores[i] >= bestScore) continue;
      if (!allowed(candidate)) continue;
      const score = isCurrent ? this.scores[i] : this.rescore(i);
      if (score >= bestScore) continue;
      best = i;
      bestScore = score;
    }
    return best < 0 ? null : this.candidates[best];
  }

  /** The number of machines ranked. */
  get size(): number {
    return this.candidates.length;
  }

  private rescore(i: number): number {
    const candidate = this.candidates[i];
    const score = this.score(candidate);
    this.scores[i] = score;
    this.versions[i] = candidate.version;
    return score;
  }
}
