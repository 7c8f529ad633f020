/** The key-value store refuses the leader, other controllers confirm cancellations, and an outage follows. */
import { test } from 'node:test';
import { leaderRefusedThenOutage } from './sim/cancellation-scenarios.js';
import { assertScenarioPasses } from './sim/scenario.js';

const times = { faultsEndMs: 140_000, endMs: 330_000 };

for (const gapMs of [0, 500, 1000, 2500]) {
  test(`the key-value store refuses the leader, and an outage longer than cancel_s follows ${gapMs / 1000} s later`, () =>
    assertScenarioPasses(times, leaderRefusedThenOutage(gapMs)));
}
