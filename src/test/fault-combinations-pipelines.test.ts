/** Pipelines of dependent jobs during combinations of faults, in a simulated cluster. */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import { submitPipelines } from './sim/pipeline-scenarios.js';
import { WORK_STARTS_AT_MS, assertScenarioPasses, runScenario } from './sim/scenario.js';
import type { JobId } from '../core/units.js';

const times = { faultsEndMs: 140_000, endMs: 330_000 };

test('pipelines run during a leader restart, an outage and delayed transactions', () =>
  assertScenarioPasses(times, (scenario) => {
    submitPipelines(scenario, 6);
    scenario.cluster.at(40_000, () => scenario.cluster.restart(scenario.cluster.leader!, 4000));
    scenario.cluster.at(55_000, () => scenario.cluster.keyValueStore.startOutage(12_000));
    scenario.cluster.at(70_000, () => scenario.cluster.keyValueStore.delayTransactions(0.2, 40_000));
  }));

test('ten failovers during a dependency chain', () =>
  assertScenarioPasses({ faultsEndMs: 180_000, endMs: 400_000 }, (scenario) => {
    scenario.cluster.at(WORK_STARTS_AT_MS, () => {
      let last: JobId[] = [];
      for (let i = 0; i < 12; i++) last = [scenario.submitAfter(last, { tasks: 2, gpus: 0, cpus: 1 }, 4000)];
    });
    for (let i = 0; i < 10; i++)
      scenario.cluster.at(20_000 + i * 12_000, () => {
        if (scenario.cluster.leader)
          scenario.cluster.restart(scenario.cluster.leader, 200 + scenario.random() * 3000);
      });
  }));

test('the leader crashes after a dependency has completed and before its final record is written', () =>
  assertScenarioPasses({ ...times, seeds: [1, 2, 3, 4] }, (scenario) => {
    let ends = 0;
    scenario.cluster.checker.onJobCompleted = () => {
      if (++ends <= 3 && scenario.cluster.leader) scenario.cluster.restart(scenario.cluster.leader, 500);
    };
    submitPipelines(scenario, 3);
  }));

test('invalid dependencies: 422 for a job that was never accepted, 400 for a malformed ID', async () => {
  const statuses = new Map<string, string>();
  const { violations } = await runScenario(1, { faultsEndMs: 20_000, endMs: 40_000 }, (scenario) => {
    scenario.cluster.at(WORK_STARTS_AT_MS, () => {
      const unknownDependency = scenario.submit({ dependsOn: ['wk-999' as JobId] });
      const malformedDependency = scenario.submit({ dependsOn: ['no id' as JobId] });
      scenario.cluster.at(WORK_STARTS_AT_MS + 5000, () => {
        for (const id of [unknownDependency, malformedDependency])
          statuses.set(id, scenario.cluster.users.get(id)!.status);
      });
    });
  });
  assert.deepEqual([...statuses.values()], ['422', '400']);
  assert.deepEqual(violations, []);
});
