/** The order of the scheduling queue. */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import { Job } from '../core/job.js';
import type { LeaderSettings } from '../core/leader/effects.js';
import { SchedulingQueue } from '../core/leader/scheduling-queue.js';
import { LeaderState } from '../core/leader/leader-state.js';
import type { JobSpec } from '../core/job-spec.js';
import type { Revision, MonotonicTime, Term, WallTime } from '../core/units.js';
import { jobSpec } from './sim/fixtures.js';

/** The IDs of the queued jobs in order at `nowS`. Each job is an ID, its time of submission in seconds and its spec. */
const queueOrder = (nowS: number, jobs: [string, number, Partial<JobSpec>][]): string[] => {
  const settings = { agingS: 90, objectives: [], teams: [] } as unknown as LeaderSettings;
  const leadership = { term: 1 as Term, keyRevision: 1 as Revision };
  const state = new LeaderState(leadership, settings, 0 as MonotonicTime);
  for (const [id, submittedS, overrides] of jobs) {
    const spec = jobSpec(id, overrides);
    const record = { spec, submittedAt: (submittedS * 1000) as WallTime, cancelledAt: null };
    state.jobs.set(spec.id, new Job(spec.id, record, 1, false, 0 as MonotonicTime));
  }
  const { queue } = new SchedulingQueue(state).buildQueue(
    (nowS * 1000) as MonotonicTime,
    (nowS * 1000) as WallTime,
  );
  return queue.map((j) => j.id);
};

test('higher priorities first; arrays with the least remaining work first, and those that cannot meet their deadline last', () => {
  const jobs: [string, number, Partial<JobSpec>][] = [
    ['wk-1', 0, { tasks: 200, deadlineS: 80 }],
    ['wk-2', 1, { tasks: 10, deadlineS: 90 }],
    ['wk-3', 2, { tasks: 20, priority: 'high' }],
    ['wk-4', 3, { tasks: 10, deadlineS: 70 }],
  ];
  assert.deepEqual(queueOrder(10, jobs), ['wk-3', 'wk-4', 'wk-2', 'wk-1']);
});

test('of each class the oldest and the largest long-pending jobs go first, gangs before arrays', () => {
  const jobs: [string, number, Partial<JobSpec>][] = [
    ['wk-1', 0, { class: 'a', tasks: 5, priority: 'low' }],
    ['wk-2', 1, { class: 'a', tasks: 5, priority: 'low' }],
    ['wk-3', 2, { class: 'a', tasks: 50, priority: 'low' }],
    ['wk-4', 3, { class: 'b', kind: 'gang', tasks: 2, priority: 'low' }],
    ['wk-5', 95, { class: 'c', tasks: 1, priority: 'production' }],
  ];
  assert.deepEqual(queueOrder(100, jobs), ['wk-4', 'wk-1', 'wk-3', 'wk-5', 'wk-2']);
});
