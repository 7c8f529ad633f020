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
  const slowAnswer = day.sendHeartbeat(worker);
  assert.ok(startsJob(direct.commands, first) && startsJob(slowAnswer.commands, second));
  return { day, worker, direct, slowAnswer, second };
};

test('a task moved for an interruption notice does not run twice, though its start is still in flight', () => {
  const { day, worker, direct, slowAnswer, second } = twoStartsOnTheirWay(2);
  // The notice comes with the answer to the direct command.
  worker.interruptionNoticeS = 30;
  day.onCommandsExecuted(direct, day.executeCommands(worker, direct));
  const other = day.workers[1];
  for (let i = 0; i < 3; i++) {
    day.tick();
    day.exchangeHeartbeat(other);
  }
  day.advance(FETCH_MS);
  day.deliverResponse(worker, slowAnswer);
  day.advance(FETCH_MS);
  assert.deepEqual(day.checker.violations, []);
  // A report that was sent later settles it: the answer has been executed, or never will be.
  day.exchangeHeartbeat(worker);
  day.exchangeHeartbeat(worker);
  day.tick();
  day.exchangeHeartbeat(other);
  day.advance(FETCH_MS);
  assert.deepEqual(day.checker.violations, []);
  assert.deepEqual(day.checker.machinesOf(second), [other.info.id]);
});

test('a cancelled task stays known while its start may still arrive', () => {
  const { day, worker, direct, slowAnswer, second } = twoStartsOnTheirWay(1);
  day.cancel(second);
  day.onCommandsExecuted(direct, day.executeCommands(worker, direct));
  day.tick();
  assert.ok(day.hasPlacement(second), 'the start is on its way');
  day.deliverResponse(worker, slowAnswer);
  day.exchangeHeartbeat(worker);
  day.exchangeHeartbeat(worker);
  assert.ok(!day.hasPlacement(second));
  day.advance(FETCH_MS);
  assert.equal(day.checker.startsAfterCancellation, 0);
});

test('a completed task is not started again by a late duplicate, though a later one was never sent', () => {
  const day = new LeaderHarness(1, SHORT_MS);
  const worker = day.workers[0];
  // Its second task has no room, so the job goes on when the first has completed.
  const job = day.submit('wk-1', { tasks: 2, gpus: 5 });
  const late = day.tickWithCommands(worker);
  day.onCommandsUnanswered(late);
  day.submit('wk-2');
  const repeated = day.tickWithCommands(worker);
  assert.ok(startsJob(late.commands, job) && startsJob(repeated.commands, job));
  day.onCommandsUnsent(repeated);
  day.exchangeHeartbeat(worker);
  for (let i = 0; i < 2; i++) {
    day.advance(FETCH_MS + SHORT_MS);
    for (let j = 0; j < 8; j++) {
      day.exchangeHeartbeat(worker);
      day.saveProgress(day.tick());
    }
  }
  day.executeCommands(worker, late);
  day.advance(FETCH_MS);
  assert.deepEqual(day.checker.violations, []);
});
