/** Starts in flight: the leader must keep the placement of a task while a start command for it may still arrive. */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import { FETCH_MS, LeaderHarness, containsStartOf } from './sim/leader-harness.js';

const LONG_MS = 60_000;
const SHORT_MS = 1000;

/** One start is in flight as a direct command to the worker, and another one in the response to a heartbeat. */
const setUpTwoInFlightStarts = (machines: number) => {
  const harness = new LeaderHarness(machines, LONG_MS);
  const first = harness.submit('wk-1', { cpus: 64 });
  const worker = harness.workers[0];
  const direct = harness.tickWithCommands(worker);
  // This task is placed while the direct command is in flight, so the response to the next heartbeat contains its start.
  const second = harness.submit('wk-2', { cpus: 0, gpus: 1, types: null });
  harness.tick();
  const delayedResponse = harness.sendHeartbeat(worker);
  assert.ok(containsStartOf(direct.commands, first) && containsStartOf(delayedResponse.commands, second));
  return { harness, worker, direct, delayedResponse, second };
};

test('a task that is moved because of an interruption notice does not run twice while its first start is in flight', () => {
  const { harness, worker, direct, delayedResponse, second } = setUpTwoInFlightStarts(2);
  // The response to the direct command contains the interruption notice.
  worker.interruptionNoticeS = 30;
  harness.onCommandsExecuted(direct, harness.executeCommands(worker, direct));
  const other = harness.workers[1];
  for (let i = 0; i < 3; i++) {
    harness.tick();
    harness.exchangeHeartbeat(other);
  }
  harness.advance(FETCH_MS);
  harness.deliverResponse(worker, delayedResponse);
  harness.advance(FETCH_MS);
  assert.deepEqual(harness.checker.violations, []);
  // A later heartbeat proves that the delayed response has been executed or will never be executed.
  harness.exchangeHeartbeat(worker);
  harness.exchangeHeartbeat(worker);
  harness.tick();
  harness.exchangeHeartbeat(other);
  harness.advance(FETCH_MS);
  assert.deepEqual(harness.checker.violations, []);
  assert.deepEqual(harness.checker.machineIdsOf(second), [other.info.id]);
});

test('the placement of a cancelled task is kept while its start may still arrive', () => {
  const { harness, worker, direct, delayedResponse, second } = setUpTwoInFlightStarts(1);
  harness.cancel(second);
  harness.onCommandsExecuted(direct, harness.executeCommands(worker, direct));
  harness.tick();
  assert.ok(harness.hasPlacement(second), 'the start is in flight');
  harness.deliverResponse(worker, delayedResponse);
  harness.exchangeHeartbeat(worker);
  harness.exchangeHeartbeat(worker);
  assert.ok(!harness.hasPlacement(second));
  harness.advance(FETCH_MS);
  assert.equal(harness.checker.startsAfterCancellation, 0);
});

test('a late duplicate of a start does not run a completed task again, even if a repeated start was never sent', () => {
  const harness = new LeaderHarness(1, SHORT_MS);
  const worker = harness.workers[0];
  // There is no capacity for the second task, so the job is still unfinished when the first task has completed.
  const job = harness.submit('wk-1', { tasks: 2, gpus: 5 });
  const lateCommands = harness.tickWithCommands(worker);
  harness.onCommandsWithoutResponse(lateCommands);
  harness.submit('wk-2');
  const unsentCommands = harness.tickWithCommands(worker);
  assert.ok(containsStartOf(lateCommands.commands, job) && containsStartOf(unsentCommands.commands, job));
  harness.onCommandsNotSent(unsentCommands);
  harness.exchangeHeartbeat(worker);
  for (let i = 0; i < 2; i++) {
    harness.advance(FETCH_MS + SHORT_MS);
    for (let j = 0; j < 8; j++) {
      harness.exchangeHeartbeat(worker);
      harness.saveProgress(harness.tick());
    }
  }
  harness.executeCommands(worker, lateCommands);
  harness.advance(FETCH_MS);
  assert.deepEqual(harness.checker.violations, []);
});
