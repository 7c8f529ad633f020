// What a message proves of a start that is still on its way: the leader must not give a task up while one may arrive.
import assert from 'node:assert/strict';
import { test } from 'node:test';
import { FETCH_MS, LeaderHarness, startsJob } from './sim/leader-harness.js';

const LONG_MS = 60_000;
const SHORT_MS = 1000;

/** One start is on its way straight to the worker, and another one in the answer to a report, over a slow link. */
const twoStartsOnTheirWay = (machines: number) => {
  const day = new LeaderHarness(machines, LONG_MS);
  const first = day.submit('wk-1', { cpus: 64 });
  const worker = day.workers[0];
  const direct = day.tickWithCommands(worker);
  // Placed while the direct command is on its way: its start goes with the answer to the next report.
  const second = day.submit('wk-2', { cpus: 0, gpus: 1, types: null });
  day.tick();
  const slowAnswer = day.report(worker);
  assert.ok(startsJob(direct.commands, first) && startsJob(slowAnswer.commands, second));
  return { day, worker, direct, slowAnswer, second };
};

test('a task moved for a spot notice does not run twice, though its start is still on its way', () => {
  const { day, worker, direct, slowAnswer, second } = twoStartsOnTheirWay(2);
  // The notice comes with the answer to the direct command.
  worker.noticeS = 30;
  day.answered(direct, day.carryOut(worker, direct));
  const other = day.workers[1];
  for (let i = 0; i < 3; i++) {
    day.tick();
    day.reportAndAnswer(other);
  }
  day.pass(FETCH_MS);
  day.deliver(worker, slowAnswer);
  day.pass(FETCH_MS);
  assert.deepEqual(day.checker.broken, []);
  // A report that was sent later settles it: the answer has been executed, or never will be.
  day.reportAndAnswer(worker);
  day.reportAndAnswer(worker);
  day.tick();
  day.reportAndAnswer(other);
  day.pass(FETCH_MS);
  assert.deepEqual(day.checker.broken, []);
  assert.deepEqual(day.checker.machinesOf(second), [other.info.id]);
});

test('a cancelled task stays known while its start may still arrive', () => {
  const { day, worker, direct, slowAnswer, second } = twoStartsOnTheirWay(1);
  day.cancel(second);
  day.answered(direct, day.carryOut(worker, direct));
  day.tick();
  assert.ok(day.knowsPlacement(second), 'the start is on its way');
  day.deliver(worker, slowAnswer);
  day.reportAndAnswer(worker);
  day.reportAndAnswer(worker);
  assert.ok(!day.knowsPlacement(second));
  day.pass(FETCH_MS);
  assert.equal(day.checker.startsAfterCancel, 0);
});

test('a completed task is not started again by a late copy, though a later copy was never sent', () => {
  const day = new LeaderHarness(1, SHORT_MS);
  const worker = day.workers[0];
  // Its second task has no room, so the job goes on when the first has completed.
  const job = day.submit('wk-1', { tasks: 2, gpus: 5 });
  const late = day.tickWithCommands(worker);
  day.unanswered(late);
  day.submit('wk-2');
  const repeated = day.tickWithCommands(worker);
  assert.ok(startsJob(late.commands, job) && startsJob(repeated.commands, job));
  day.neverSent(repeated);
  day.reportAndAnswer(worker);
  for (let i = 0; i < 2; i++) {
    day.pass(FETCH_MS + SHORT_MS);
    for (let j = 0; j < 8; j++) {
      day.reportAndAnswer(worker);
      day.saveProgress(day.tick());
    }
  }
  day.carryOut(worker, late);
  day.pass(FETCH_MS);
  assert.deepEqual(day.checker.broken, []);
});
