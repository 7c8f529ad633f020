/** Looks up the numbers of completed and running tasks of a job at the leader; for display only. */
import type { JobId } from '../../core/units.js';
import type { TaskCounts } from '../../wire/peer-messages.js';
import { monotonicNow } from '../clock.js';
import type { LeadershipManager } from '../leadership/leadership-manager.js';
import type { PeerLink } from './peer-link.js';

const TASK_COUNTS_TIMEOUT_MS = 500;

/** Uses the local leader if this controller leads, and queries the leading peer otherwise. */
export class TaskCountLookup {
  constructor(
    private readonly leadership: LeadershipManager,
    private readonly links: readonly PeerLink[],
  ) {}

  /** The counts of the local leader; null if this controller does not lead or its leader has no such job. */
  localCounts(id: JobId): TaskCounts | null {
    const job = this.leadership.leader?.jobs.get(id);
    return job ? { done: job.completedCount, running: job.runningCount } : null;
  }

  /** The counts of the current leader; null if no leader is reachable or it has no such job. */
  async find(id: JobId): Promise<TaskCounts | null> {
    if (this.leadership.leaderLoop) return this.localCounts(id);
    const now = monotonicNow();
    const leader = this.links.find((link) => link.isAlive(now) && link.status?.leading);
    const response = await leader?.sendRequest({ kind: 'task-counts', job: id }, TASK_COUNTS_TIMEOUT_MS);
    return response?.counts ?? null;
  }
}
