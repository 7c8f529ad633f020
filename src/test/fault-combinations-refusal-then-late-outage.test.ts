/** The scenario of fault-combinations-refusal-then-outage.test.ts with longer gaps between the refusal and the outage. */
import { test } from 'node:test';
import { leaderRefusedThenOutage } from './sim/cancellation-scenarios.js';
import { assertScenarioPasses } from './sim/scenario.js';

const times = { faultsEndMs: 140_000, endMs: 330_000 };

for (const gapMs of [4000, 8000, 14_000]) {
  test(`the key-value store refuses the leader, and an outage longer than cancel_s follows ${gapMs / 1000} s later`, () =>
    assertScenarioPasses(times, leaderRefusedThenOutage(gapMs)));
}
