/** The data that a leader loads at its start may arrive in any order, in a simulated cluster. */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import { runScenario } from './sim/scenario.js';

const SUBMITTED_MS = 5000;
/** Covers a worker's lease, its first heartbeats and one interval, which is all that the first leader waits for. */
const STARTED_MS = 20_000;

for (const cloudDelayMs of [0, 400, 800, 1200, 1600, 2000]) {
  test(`a leader that is still loading receives machine types that arrive ${cloudDelayMs} ms late`, async () => {
    let startCount = 0;
    const { violations } = await runScenario(
      1,
      { faultsEndMs: 30_000, endMs: 40_000 },
      ({ cluster, submit }) => {
        cluster.keyValueStore.responseDelayMs = 300;
        cluster.cloudProvider.responseDelayMs = cloudDelayMs;
        cluster.at(SUBMITTED_MS, () => submit({ tasks: 4 }, 10_000));
        cluster.at(STARTED_MS, () => (startCount = cluster.checker.startCount));
      },
    );
    assert.deepEqual(violations, []);
    assert.equal(startCount, 4);
  });
}
