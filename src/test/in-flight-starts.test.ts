/** What a message proves of a start in flight: the leader must not give a task up while one may still arrive. */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import { FETCH_MS, LeaderHarness, containsStartOf } from './sim/leader-harness.js';

const LONG_MS = 60_000;
const SHORT_MS = 1000;

/** One start is in flight straight to the worker, and another one in the response to a heartbeat. */
const twoStartsOnTheirWay = (machines: number) => {
  const harness = new LeaderHarness(machines, LONG_MS);
  const first = harness.submit('wk-1', { cpus: 64 });
  const worker = harness.workers[0];
  const direct = harness.tickWithCommands(worker);
  // Placed while the direct command is in flight: its start goes with the response to the next heartbeat.
  const second = harness.submit('wk-2', { cpus: 0, gpus: 1, types: null });
  harness.tick();
  const slowAnswer = harness.sendHeartbeat(worker);
  assert.ok(containsStartOf(direct.commands, first) && containsStartOf(slowAnswer.commands, second));
  return { harness, worker, direct, slowAnswer, second };
};

test('a task moved for an interruption notice does not run twice, though its start is still in flight', () => {
  const { harness, worker, direct, slowAnswer, second } = twoStartsOnTheirWay(2);
  // The notice comes with the response to the direct command.
  worker.interruptionNoticeS = 30;
  harness.onCommandsExecuted(direct, harness.executeCommands(worker, direct));
  const other = harness.workers[1];
  for (let i = 0; i < 3; i++) {
    harness.tick();
    harness.exchangeHeartbeat(other);
  }
  harness.advance(FETCH_MS);
  harness.deliverResponse(worker, slowAnswer);
  harness.advance(FETCH_MS);
  assert.deepEqual(harness.checker.violations, []);
  // A later heartbeat decides it: the response has been executed, or never will be.
  harness.exchangeHeartbeat(worker);
  harness.exchangeHeartbeat(worker);
  harness.tick();
  harness.exchangeHeartbeat(other);
  harness.advance(FETCH_MS);
  assert.deepEqual(harness.checker.violations, []);
  assert.deepEqual(harness.checker.machineIdsOf(second), [other.info.id]);
});

test('a cancelled task stays known while its start may still arrive', () => {
  const { harness, worker, direct, slowAnswer, second } = twoStartsOnTheirWay(1);
  harness.cancel(second);
  harness.onCommandsExecuted(direct, harness.executeCommands(worker, direct));
  harness.tick();
  assert.ok(harness.hasPlacement(second), 'the start is on its way');
  harness.deliverResponse(worker, slowAnswer);
  harness.exchangeHeartbeat(worker);
  harness.exchangeHeartbeat(worker);
  assert.ok(!harness.hasPlacement(second));
  harness.advance(FETCH_MS);
  assert.equal(harness.checker.startsAfterCancellation, 0);
});

test('a completed task is not started again by a late duplicate, though a later one was never sent', () => {
  const harness = new LeaderHarness(1, SHORT_MS);
  const worker = harness.workers[0];
  // There is no capacity for its second task, so the job continues when the first has completed.
  const job = harness.submit('wk-1', { tasks: 2, gpus: 5 });
  const late = harness.tickWithCommands(worker);
  harness.onCommandsWithoutResponse(late);
  harness.submit('wk-2');
  const repeated = harness.tickWithCommands(worker);
  assert.ok(containsStartOf(late.commands, job) && containsStartOf(repeated.commands, job));
  harness.onCommandsNotSent(repeated);
  harness.exchangeHeartbeat(worker);
  for (let i = 0; i < 2; i++) {
    harness.advance(FETCH_MS + SHORT_MS);
    for (let j = 0; j < 8; j++) {
      harness.exchangeHeartbeat(worker);
      harness.saveProgress(harness.tick());
    }
  }
  harness.executeCommands(worker, late);
  harness.advance(FETCH_MS);
  assert.deepEqual(harness.checker.violations, []);
});
