/** What a leader needs at its start may arrive in any order; on whole controllers. */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import { runScenario } from './sim/scenario.js';

const SUBMITTED_MS = 5000;
/** A worker's lease, its first heartbeats and one interval: everything that a first leader has to wait for. */
const STARTED_MS = 20_000;

for (const cloudDelayMs of [0, 400, 800, 1200, 1600, 2000]) {
  test(`machine types that arrive ${cloudDelayMs} ms late are known to a leader that loads meanwhile`, async () => {
    let startsByThen = 0;
    const { violations } = await runScenario(
      1,
      { faultsEndMs: 30_000, endMs: 40_000 },
      ({ cluster, submit }) => {
        cluster.keyValueStore.responseDelayMs = 300;
        cluster.cloudProvider.responseDelayMs = cloudDelayMs;
        cluster.at(SUBMITTED_MS, () => submit({ tasks: 4 }, 10_000));
        cluster.at(STARTED_MS, () => (startsByThen = cluster.checker.startCount));
      },
    );
    assert.deepEqual(violations, []);
    assert.equal(startsByThen, 4);
  });
}
