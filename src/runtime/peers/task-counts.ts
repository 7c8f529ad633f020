/** How many of a job's tasks are done and running, from the leader: for display only. */
import type { JobId } from '../../core/units.js';
import type { TaskCounts } from '../../wire/peer-messages.js';
import { monotonicNow } from '../clock.js';
import type { LeadershipManager } from '../leadership/leadership-manager.js';
import type { PeerLink } from './peer-link.js';

const RESPONSE_TIMEOUT_MS = 500;

/** Of this controller where it leads; else the leader is asked. */
export class TaskCountLookup {
  constructor(
    private readonly leadership: LeadershipManager,
    private readonly links: readonly PeerLink[],
  ) {}

  /** Null where this controller doesn't lead, or doesn't know the job. */
  localCounts(id: JobId): TaskCounts | null {
    const job = this.leadership.leader?.jobs.get(id);
    return job ? { done: job.completedCount, running: job.runningCount } : null;
  }

  /** Null without a leader in reach. */
  async find(id: JobId): Promise<TaskCounts | null> {
    if (this.leadership.leaderLoop) return this.localCounts(id);
    const now = monotonicNow();
    const leader = this.links.find((link) => link.isAlive(now) && link.status?.leading);
    const response = await leader?.sendRequest({ kind: 'task-counts', job: id }, RESPONSE_TIMEOUT_MS);
    return response?.counts ?? null;
  }
}
