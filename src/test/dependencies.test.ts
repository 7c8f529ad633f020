/** Dependencies between jobs in the leader: each rule, and a comparison with a reference model on random graphs. */
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
  const addJob = (id: JobId, overrides: Partial<JobSpec> = {}): Job => {
    const record = { spec: jobSpec(id, overrides), submittedAt: 0 as WallTime, cancelledAt: null };
    const job = new Job(id, record, 1, false, now);
    state.jobs.set(id, job);
    dependencies.addJob(job, now);
    return job;
  };
  const finishJob = (id: JobId, final: FinalState): void => {
    state.jobs.delete(id);
    dependencies.onJobFinal(id, final, now);
  };
  return { state, ready, dependencies, addJob, finishJob };
};

test('a job is ready when its last dependency is done', () => {
  const { ready, addJob, finishJob } = setup();
  addJob(idOf(1));
  addJob(idOf(2));
  const last = addJob(idOf(3), { dependsOn: [idOf(1), idOf(2)] });
  assert.deepEqual(ready, [idOf(1), idOf(2)]);
  assert.deepEqual(last.waitReason, { why: 'waiting for other jobs', jobs: 2 });
  finishJob(idOf(2), 'done');
  assert.equal(last.ready, false);
  finishJob(idOf(1), 'done');
  assert.deepEqual(ready, [idOf(1), idOf(2), idOf(3)]);
});

test('final records of dependencies that ended earlier are read, and a missing one is requested again', () => {
  const { state, ready, dependencies, addJob } = setup();
  const dependent = addJob(idOf(3), { dependsOn: [idOf(1)] });
  const other = addJob(idOf(4), { dependsOn: [idOf(2)] });
  assert.deepEqual(dependencies.startDueLookups(now), [idOf(1), idOf(2)]);
  assert.deepEqual(dependencies.startDueLookups(now), [], 'each record is requested once');
  dependencies.onFinalRecordRead(idOf(1), null, now);
  dependencies.onFinalRecordRead(idOf(2), 'cancelled', now);
  assert.ok(!dependent.ready && !dependent.cancelled && other.cancelled);
  assert.deepEqual(dependencies.startDueLookups(499 as MonotonicTime), []);
  assert.deepEqual(dependencies.startDueLookups(500 as MonotonicTime), [idOf(1)]);
  dependencies.onFinalRecordRead(idOf(1), 'done', 500 as MonotonicTime);
  assert.deepEqual(ready, [idOf(3)]);
  assert.ok(state.jobs.get(idOf(3))!.ready);
});

test('the number of concurrent reads of final records is bounded', () => {
  const { dependencies, addJob } = setup();
  addJob(idOf(0), { dependsOn: Array.from({ length: 100 }, (_item, index) => idOf(index + 1)) });
  const requestedIds = dependencies.startDueLookups(now);
  assert.ok(requestedIds.length > 1 && requestedIds.length < 50);
  dependencies.onFinalRecordRead(requestedIds[0], 'done', now);
  assert.equal(dependencies.startDueLookups(now).length, 1);
});

test("priority and deadline are inherited from dependents; a job's own are never relaxed", () => {
  const { dependencies, addJob } = setup();
  const first = addJob(idOf(1), { priority: 'low', estimateS: 10 });
  const second = addJob(idOf(2), { dependsOn: [idOf(1)], priority: 'low', estimateS: 20 });
  dependencies.propagateUrgency();
  assert.equal(first.priority, 'low');
  assert.equal(first.dueAt, null);
  const urgentSpec = { dependsOn: [idOf(2)], priority: 'high', estimateS: 5, deadlineS: 100 } as const;
  addJob(idOf(3), { ...urgentSpec, dependsOn: [idOf(2)] });
  const lowDependent = addJob(idOf(4), { dependsOn: [idOf(2)], priority: 'low' });
  dependencies.propagateUrgency();
  assert.deepEqual([first.priority, second.priority, lowDependent.priority], ['high', 'high', 'low']);
  assert.deepEqual([first.dueAt, second.dueAt], [75_000, 95_000]);
  const production = addJob(idOf(5), { priority: 'production', deadlineS: 30 });
  addJob(idOf(6), { dependsOn: [idOf(5)], priority: 'low', deadlineS: 1000 });
  dependencies.propagateUrgency();
  assert.equal(production.priority, 'production');
  assert.equal(production.dueAt, 30_000);
});

test('a cancelled dependent passes no priority to its dependencies', () => {
  const { state, dependencies, addJob } = setup();
  const first = addJob(idOf(1), { priority: 'low' });
  const dependent = addJob(idOf(2), { dependsOn: [idOf(1)], priority: 'high' });
  dependencies.propagateUrgency();
  assert.equal(first.priority, 'high');
  dependent.record = { ...dependent.record, cancelledAt: 1 as WallTime };
  dependencies.cancelDependents(dependent.id);
  dependencies.propagateUrgency();
  assert.equal(first.priority, 'low');
  assert.equal(state.jobs.get(idOf(1))!.inheritedUrgency?.priority, 'low');
});

test('a chain of 20,000 jobs does not overflow the stack', () => {
  const { state, dependencies, addJob } = setup();
  const first = addJob(idOf(0), { priority: 'low' });
  for (let index = 1; index < 20_000; index++)
    addJob(idOf(index), { dependsOn: [idOf(index - 1)], priority: 'low' });
  addJob(idOf(20_000), { dependsOn: [idOf(19_999)], priority: 'high' });
  dependencies.propagateUrgency();
  assert.equal(first.priority, 'high');
  dependencies.cancelDependents(first.id);
  assert.ok(state.jobs.get(idOf(20_000))!.cancelled);
});

test("a job that waits for dependencies does not use its team's guarantee", () => {
  const { state, addJob } = setup();
  const gold = { name: 'gold' as Team, guaranteedCpus: 0, maxCpus: 0, guaranteedGpus: 2, maxGpus: 0 };
  addJob(idOf(1), { team: gold.name, tasks: 1 });
  const waiting = addJob(idOf(2), { team: gold.name, tasks: 1, dependsOn: [idOf(1)] });
  const later = addJob(idOf(3), { team: gold.name, tasks: 1 });
  markWithinGuarantee(state.jobs.values(), new Map([[gold.name, gold]]));
  assert.deepEqual([waiting.withinGuarantee, later.withinGuarantee], [false, true]);
});

test('a pipeline is logged once when it will miss its deadline, and once when it is in time again', () => {
  const { state, addJob, finishJob } = setup();
  const predictor = new DeadlinePredictor(state);
  const takeLogMessages = (): string[] =>
    state.takeEffects().flatMap((effect) => (effect.kind === 'log' ? [effect.text] : []));
  const update = (atS: number): string[] => {
    predictor.update((atS * 1000) as MonotonicTime, (atS * 1000) as WallTime);
    return takeLogMessages();
  };
  addJob(idOf(1), { estimateS: 30 });
  addJob(idOf(2), { estimateS: 30, dependsOn: [idOf(1)] });
  const last = addJob(idOf(3), { estimateS: 10, dependsOn: [idOf(2)], deadlineS: 100 });
  takeLogMessages();
  assert.deepEqual(update(20), [], '20 + 30 + 30 + 10 s: in time');
  assert.deepEqual(update(40), ['job is predicted to miss its deadline']);
  assert.equal(last.predictedLateS, 10);
  assert.deepEqual(update(50), [], 'logged once');
  finishJob(idOf(1), 'done');
  takeLogMessages();
  assert.deepEqual(update(55), ['job is predicted to meet its deadline again']);
});

interface ModelJob {
  dependsOn: number[];
  priority: Priority;
  state: 'waiting' | 'ready' | FinalState;
}
const PRIORITIES: Priority[] = ['low', 'normal', 'high', 'production'];

/** The reference model: derives the state of every job from the whole graph. */
const updateModelStates = (jobs: ModelJob[]): void => {
  for (const job of jobs) {
    if (job.state === 'done' || job.state === 'cancelled') continue;
    const needed = job.dependsOn.map((index) => jobs[index].state);
    if (needed.includes('cancelled')) job.state = 'cancelled';
    else job.state = needed.every((state) => state === 'done') ? 'ready' : 'waiting';
  }
};
const expectedRank = (jobs: ModelJob[], index: number): number => {
  const dependents = jobs.flatMap((job, i) =>
    job.dependsOn.includes(index) && job.state !== 'cancelled' ? [i] : [],
  );
  return Math.max(priorityRank[jobs[index].priority], ...dependents.map((i) => expectedRank(jobs, i)));
};

test('random graphs: states, releases, cancellations and priorities match a reference model', () => {
  for (let seed = 1; seed <= 60; seed++) {
    const rng = xoroshiro128plus(seed);
    const randomInt = (bound: number): number => uniformInt(rng, 0, bound - 1);
    const { state, dependencies, addJob, finishJob } = setup();
    const jobs: ModelJob[] = [];
    for (let step = 0; step < 60; step++) {
      if (randomInt(2) === 0 || jobs.length === 0) {
        const dependencyCount = Math.min(jobs.length, randomInt(4));
        const dependsOn = [...new Set(Array.from({ length: dependencyCount }, () => randomInt(jobs.length)))];
        const priority = PRIORITIES[randomInt(4)];
        jobs.push({ dependsOn, priority, state: 'waiting' });
        addJob(idOf(jobs.length - 1), { dependsOn: dependsOn.map(idOf), priority });
      } else {
        const picked = randomInt(jobs.length);
        const job = state.jobs.get(idOf(picked));
        if (!job) continue;
        if (randomInt(4) === 0 && jobs[picked].state !== 'cancelled') {
          jobs[picked].state = 'cancelled';
          job.record = { ...job.record, cancelledAt: 1 as WallTime };
          dependencies.cancelDependents(job.id);
        } else if (jobs[picked].state === 'ready') {
          jobs[picked].state = 'done';
          finishJob(job.id, 'done');
        } else if (jobs[picked].state === 'cancelled') finishJob(job.id, 'cancelled');
      }
      updateModelStates(jobs);
      dependencies.propagateUrgency();
      for (const [index, model] of jobs.entries()) {
        const job = state.jobs.get(idOf(index));
        if (!job) continue;
        const actual = job.cancelled ? 'cancelled' : job.ready ? 'ready' : 'waiting';
        assert.equal(actual, model.state, `seed ${seed}, step ${step}, job ${index}`);
        if (model.state !== 'cancelled')
          assert.equal(
            priorityRank[job.priority],
            expectedRank(jobs, index),
            `priority of ${index}, seed ${seed}`,
          );
      }
    }
  }
});
