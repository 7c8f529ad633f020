// Pipelines of dependent jobs while troubles meet: whole controllers on virtual time.
import assert from 'node:assert/strict';
import { test } from 'node:test';
import { runScenario, assertScenarioPasses } from './sim/scenario.js';
import { WORK_STARTS_AT_MS, submitPipelines } from './sim/pipeline-scenarios.js';
import type { JobId } from '../core/units.js';

const times = { faultsEndMs: 140_000, endMs: 330_000 };

test('pipelines through a leader restart, an outage and delayed transactions', () =>
  assertScenarioPasses(times, (m) => {
    submitPipelines(m, 6);
    m.cluster.at(40_000, () => m.cluster.restart(m.cluster.leader!, 4000));
    m.cluster.at(55_000, () => m.cluster.keyValueStore.startOutage(12_000));
    m.cluster.at(70_000, () => m.cluster.keyValueStore.delayTransactions(0.2, 40_000));
  }));

test('ten failovers during a dependency chain', () =>
  assertScenarioPasses({ faultsEndMs: 180_000, endMs: 400_000 }, (m) => {
    m.cluster.at(WORK_STARTS_AT_MS, () => {
      let last: JobId[] = [];
      for (let i = 0; i < 12; i++) last = [m.submitAfter(last, { tasks: 2, gpus: 0, cpus: 1 }, 4000)];
    });
    for (let i = 0; i < 10; i++)
      m.cluster.at(20_000 + i * 12_000, () => {
        if (m.cluster.leader) m.cluster.restart(m.cluster.leader, 200 + m.random() * 3000);
      });
  }));

test('the leader crashes between the completion of a dependency and its record', () =>
  assertScenarioPasses({ ...times, seeds: [1, 2, 3, 4] }, (m) => {
    let ends = 0;
    m.cluster.checker.onJobCompleted = () => {
      if (++ends <= 3 && m.cluster.leader) m.cluster.restart(m.cluster.leader, 500);
    };
    submitPipelines(m, 3);
  }));

test('wrong dependency names: refused as never accepted, or malformed', async () => {
  const statuses = new Map<string, string>();
  const { broken } = await runScenario(1, { faultsEndMs: 20_000, endMs: 40_000 }, (m) => {
    m.cluster.at(WORK_STARTS_AT_MS, () => {
      const stranger = m.submit({ dependsOn: ['wk-999' as JobId] });
      const bad = m.submit({ dependsOn: ['no id' as JobId] });
      m.cluster.at(WORK_STARTS_AT_MS + 5000, () => {
        for (const id of [stranger, bad]) statuses.set(id, m.cluster.users.get(id)!.status);
      });
    });
  });
  assert.deepEqual([...statuses.values()], ['422', '400']);
  assert.deepEqual(broken, []);
});
