/** Dependencies between jobs, as the leader keeps them: against a reference model on random graphs, and rule by rule. */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus';
import { uniformInt } from 'pure-rand/distribution/uniformInt';
import { jobSpec } from './sim/fixtures.js';
import { Job } from '../core/job.js';
import { JobDependencies } from '../core/leader/job-dependencies.js';
import type { LeaderSettings } from '../core/leader/effects.js';
import { DeadlinePredictor } from '../core/leader/deadline-predictor.js';
import { LeaderState } from '../core/leader/leader-state.js';
import { markWithinGuarantee } from '../core/scheduler/guarantees.js';
import { priorityRank, type FinalState, type JobSpec, type Priority } from '../core/job-spec.js';
import type { JobId, MonotonicTime, Team, Term, WallTime } from '../core/units.js';

const now = 0 as MonotonicTime;
const idOf = (index: number): JobId => `wk-${index}` as JobId;

const setup = () => {
  const state = new LeaderState({ term: 1 as Term, keyRevision: 1 }, {} as LeaderSettings, now);
  const ready: JobId[] = [];
  const dependencies = new JobDependencies(state, (job) => ready.push(job.id));
  const learn = (id: JobId, over: Partial<JobSpec> = {}): Job => {
    const record = { spec: jobSpec(id, over), submittedAt: 0 as WallTime, cancelledAt: null };
    const job = new Job(id, record, 1, false, now);
    state.jobs.set(id, job);
    dependencies.addJob(job, now);
    return job;
  };
  const finish = (id: JobId, final: FinalState): void => {
    state.jobs.delete(id);
    dependencies.onJobFinal(id, final, now);
  };
  return { state, ready, dependencies, learn, finish };
};

test('a job is ready when its last dependency is done', () => {
  const { ready, learn, finish } = setup();
  learn(idOf(1));
  learn(idOf(2));
  const last = learn(idOf(3), { dependsOn: [idOf(1), idOf(2)] });
  assert.deepEqual(ready, [idOf(1), idOf(2)]);
  assert.deepEqual(last.waitReason, { why: 'waiting for other jobs', jobs: 2 });
  finish(idOf(2), 'done');
  assert.equal(last.ready, false);
  finish(idOf(1), 'done');
  assert.deepEqual(ready, [idOf(1), idOf(2), idOf(3)]);
});

test('the final records of dependencies that ended before are read: done, cancelled, or requested again', () => {
  const { state, ready, dependencies, learn } = setup();
  const after = learn(idOf(3), { dependsOn: [idOf(1)] });
  const other = learn(idOf(4), { dependsOn: [idOf(2)] });
  assert.deepEqual(dependencies.startDueLookups(now), [idOf(1), idOf(2)]);
  assert.deepEqual(dependencies.startDueLookups(now), [], 'asked for once');
  dependencies.onFinalRecordRead(idOf(1), null, now);
  dependencies.onFinalRecordRead(idOf(2), 'cancelled', now);
  assert.ok(!after.ready && !after.cancelled && other.cancelled);
  assert.deepEqual(dependencies.startDueLookups(499 as MonotonicTime), []);
  assert.deepEqual(dependencies.startDueLookups(500 as MonotonicTime), [idOf(1)]);
  dependencies.onFinalRecordRead(idOf(1), 'done', 500 as MonotonicTime);
  assert.deepEqual(ready, [idOf(3)]);
  assert.ok(state.jobs.get(idOf(3))!.ready);
});

test('many final records are read a few at a time', () => {
  const { dependencies, learn } = setup();
  learn(idOf(0), { dependsOn: Array.from({ length: 100 }, (_item, index) => idOf(index + 1)) });
  const asked = dependencies.startDueLookups(now);
  assert.ok(asked.length > 1 && asked.length < 50);
  dependencies.onFinalRecordRead(asked[0], 'done', now);
  assert.equal(dependencies.startDueLookups(now).length, 1);
});

test('priority and deadline are inherited from dependents; own ones are never lowered', () => {
  const { dependencies, learn } = setup();
  const first = learn(idOf(1), { priority: 'low', estimateS: 10 });
  const second = learn(idOf(2), { dependsOn: [idOf(1)], priority: 'low', estimateS: 20 });
  dependencies.propagateUrgency();
  assert.equal(first.priority, 'low');
  assert.equal(first.dueAt, null);
  const alert = { dependsOn: [idOf(2)], priority: 'high', estimateS: 5, deadlineS: 100 } as const;
  learn(idOf(3), { ...alert, dependsOn: [idOf(2)] });
  const urgent = learn(idOf(4), { dependsOn: [idOf(2)], priority: 'low' });
  dependencies.propagateUrgency();
  assert.deepEqual([first.priority, second.priority, urgent.priority], ['high', 'high', 'low']);
  assert.deepEqual([first.dueAt, second.dueAt], [75_000, 95_000]);
  const production = learn(idOf(5), { priority: 'production', deadlineS: 30 });
  learn(idOf(6), { dependsOn: [idOf(5)], priority: 'low', deadlineS: 1000 });
  dependencies.propagateUrgency();
  assert.equal(production.priority, 'production');
  assert.equal(production.dueAt, 30_000);
});

test('a cancelled dependent passes nothing on', () => {
  const { state, dependencies, learn } = setup();
  const first = learn(idOf(1), { priority: 'low' });
  const alert = learn(idOf(2), { dependsOn: [idOf(1)], priority: 'high' });
  dependencies.propagateUrgency();
  assert.equal(first.priority, 'high');
  alert.record = { ...alert.record, cancelledAt: 1 as WallTime };
  dependencies.cancelDependents(alert.id);
  dependencies.propagateUrgency();
  assert.equal(first.priority, 'low');
  assert.equal(state.jobs.get(idOf(1))!.inheritedUrgency?.priority, 'low');
});

test('a chain of 20,000 jobs needs no recursion', () => {
  const { state, dependencies, learn } = setup();
  const first = learn(idOf(0), { priority: 'low' });
  for (let index = 1; index < 20_000; index++)
    learn(idOf(index), { dependsOn: [idOf(index - 1)], priority: 'low' });
  learn(idOf(20_000), { dependsOn: [idOf(19_999)], priority: 'high' });
  dependencies.propagateUrgency();
  assert.equal(first.priority, 'high');
  dependencies.cancelDependents(first.id);
  assert.ok(state.jobs.get(idOf(20_000))!.cancelled);
});

test('while it waits for dependencies a job takes no part of its team guarantee', () => {
  const { state, learn } = setup();
  const gold = { name: 'gold' as Team, guaranteedCpus: 0, maxCpus: 0, guaranteedGpus: 2, maxGpus: 0 };
  learn(idOf(1), { team: gold.name, tasks: 1 });
  const waiting = learn(idOf(2), { team: gold.name, tasks: 1, dependsOn: [idOf(1)] });
  const later = learn(idOf(3), { team: gold.name, tasks: 1 });
  markWithinGuarantee(state.jobs.values(), new Map([[gold.name, gold]]));
  assert.deepEqual([waiting.withinGuarantee, later.withinGuarantee], [false, true]);
});

test('a pipeline that cannot meet its deadline is logged when that changes, and when it can again', () => {
  const { state, learn, finish } = setup();
  const predictor = new DeadlinePredictor(state);
  const messages = (): string[] =>
    state.takeEffects().flatMap((effect) => (effect.kind === 'log' ? [effect.text] : []));
  const update = (atS: number): string[] => {
    predictor.update((atS * 1000) as MonotonicTime, (atS * 1000) as WallTime);
    return messages();
  };
  learn(idOf(1), { estimateS: 30 });
  learn(idOf(2), { estimateS: 30, dependsOn: [idOf(1)] });
  const last = learn(idOf(3), { estimateS: 10, dependsOn: [idOf(2)], deadlineS: 100 });
  messages();
  assert.deepEqual(update(20), [], '20 + 30 + 30 + 10 s: in time');
  assert.deepEqual(update(40), ['job is predicted to miss its deadline']);
  assert.equal(last.predictedLateS, 10);
  assert.deepEqual(update(50), [], 'said once');
  finish(idOf(1), 'done');
  messages();
  assert.deepEqual(update(55), ['job is predicted to meet its deadline again']);
});

interface Model {
  dependsOn: number[];
  priority: Priority;
  state: 'waiting' | 'ready' | FinalState;
}
const PRIORITIES: Priority[] = ['low', 'normal', 'high', 'production'];

/** The reference model: everything is derived from the graph each time. */
const settle = (jobs: Model[]): void => {
  for (const job of jobs) {
    if (job.state === 'done' || job.state === 'cancelled') continue;
    const needed = job.dependsOn.map((index) => jobs[index].state);
    if (needed.includes('cancelled')) job.state = 'cancelled';
    else job.state = needed.every((state) => state === 'done') ? 'ready' : 'waiting';
  }
};
const effectiveRank = (jobs: Model[], index: number): number => {
  const after = jobs.flatMap((job, i) =>
    job.dependsOn.includes(index) && job.state !== 'cancelled' ? [i] : [],
  );
  return Math.max(priorityRank[jobs[index].priority], ...after.map((i) => effectiveRank(jobs, i)));
};

test('random graphs: states, releases, cancellations and priorities match a reference model', () => {
  for (let seed = 1; seed <= 60; seed++) {
    const rng = xoroshiro128plus(seed);
    const dice = (bound: number): number => uniformInt(rng, 0, bound - 1);
    const { state, dependencies, learn, finish } = setup();
    const jobs: Model[] = [];
    for (let step = 0; step < 60; step++) {
      if (dice(2) === 0 || jobs.length === 0) {
        const most = Math.min(jobs.length, dice(4));
        const dependsOn = [...new Set(Array.from({ length: most }, () => dice(jobs.length)))];
        const priority = PRIORITIES[dice(4)];
        jobs.push({ dependsOn, priority, state: 'waiting' });
        learn(idOf(jobs.length - 1), { dependsOn: dependsOn.map(idOf), priority });
      } else {
        const picked = dice(jobs.length);
        const job = state.jobs.get(idOf(picked));
        if (!job) continue;
        if (dice(4) === 0 && jobs[picked].state !== 'cancelled') {
          jobs[picked].state = 'cancelled';
          job.record = { ...job.record, cancelledAt: 1 as WallTime };
          dependencies.cancelDependents(job.id);
        } else if (jobs[picked].state === 'ready') {
          jobs[picked].state = 'done';
          finish(job.id, 'done');
        } else if (jobs[picked].state === 'cancelled') finish(job.id, 'cancelled');
      }
      settle(jobs);
      dependencies.propagateUrgency();
      for (const [index, model] of jobs.entries()) {
        const job = state.jobs.get(idOf(index));
        if (!job) continue;
        const actual = job.cancelled ? 'cancelled' : job.ready ? 'ready' : 'waiting';
        assert.equal(actual, model.state, `seed ${seed}, step ${step}, job ${index}`);
        if (model.state !== 'cancelled')
          assert.equal(
            priorityRank[job.priority],
            effectiveRank(jobs, index),
            `priority of ${index}, seed ${seed}`,
          );
      }
    }
  }
});
