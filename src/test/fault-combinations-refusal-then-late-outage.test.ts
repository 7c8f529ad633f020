/** As fault-combinations-refusal-then-outage.test.ts, with longer gaps between refusal and outage. */
import { test } from 'node:test';
import { leaderRefusedThenOutage } from './sim/cancellation-scenarios.js';
import { assertScenarioPasses } from './sim/scenario.js';

const times = { faultsEndMs: 140_000, endMs: 330_000 };

for (const gapMs of [4000, 8000, 14_000]) {
  test(`the key-value store refuses the leader, ${gapMs / 1000} s later an outage longer than cancel_s`, () =>
    assertScenarioPasses(times, leaderRefusedThenOutage(gapMs)));
}
