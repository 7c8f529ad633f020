// Leaders change ten times in two minutes, and controllers stand still. Whole controllers on virtual time.
import { test } from 'node:test';
import { startMixedWork, assertScenarioPasses } from './sim/scenario.js';
import { leadersChangeTenTimes } from './sim/fault-scenarios.js';

const MEETING = 50_000;

for (const outageMs of [0, 40_000]) {
  test(`ten failovers in two minutes${outageMs > 0 ? ', also during an outage' : ''}`, () =>
    assertScenarioPasses({ faultsEndMs: 180_000, endMs: 480_000 }, leadersChangeTenTimes(outageMs)));
}

test('a controller process pauses for seconds while its clocks continue', () =>
  assertScenarioPasses({ faultsEndMs: 120_000, endMs: 330_000 }, (scenario) => {
    const jobs = startMixedWork(scenario);
    scenario.cluster.at(MEETING, () => scenario.cluster.leader!.host.freeze(12_000));
    scenario.cluster.at(MEETING + 4500, () => scenario.cluster.cancel(jobs[1]));
    scenario.cluster.at(MEETING + 30_000, () => scenario.cluster.controllers[1].host.freeze(20_000));
  }));
