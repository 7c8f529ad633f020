/** Ten failovers in two minutes, and controller processes that pause, in a simulated cluster. */
import { test } from 'node:test';
import { EARLY_FAULTS_AT_MS, leadersChangeTenTimes } from './sim/fault-scenarios.js';
import { assertScenarioPasses, startMixedWork } from './sim/scenario.js';

for (const outageMs of [0, 40_000]) {
  test(`ten failovers in two minutes${outageMs > 0 ? ', also during an outage' : ''}`, () =>
    assertScenarioPasses({ faultsEndMs: 180_000, endMs: 480_000 }, leadersChangeTenTimes(outageMs)));
}

test('a controller process pauses for seconds while its clocks continue', () =>
  assertScenarioPasses({ faultsEndMs: 120_000, endMs: 330_000 }, (scenario) => {
    const jobs = startMixedWork(scenario);
    scenario.cluster.at(EARLY_FAULTS_AT_MS, () => scenario.cluster.leader!.host.freeze(12_000));
    scenario.cluster.at(EARLY_FAULTS_AT_MS + 4500, () => scenario.cluster.cancel(jobs[1]));
    scenario.cluster.at(EARLY_FAULTS_AT_MS + 30_000, () =>
      scenario.cluster.controllers[1].host.freeze(20_000),
    );
  }));
