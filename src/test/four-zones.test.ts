/** Four zones and three controllers: one zone has none. Machines run before the first leader starts. */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import { types } from './sim/fixtures.js';
import { assertScenarioPasses, runScenario, type Scenario } from './sim/scenario.js';
import type { ClusterSetup } from './sim/cluster-setup.js';
import type { TeamQuota } from '../core/team-quota.js';
import type { JobId, Team, Zone } from '../core/units.js';

const zones = ['north', 'east', 'south', 'west'];
const teams: TeamQuota[] = [
  { name: 'green' as Team, guaranteedCpus: 0, maxCpus: 0, guaranteedGpus: 16, maxGpus: 60 },
  { name: 'blue' as Team, guaranteedCpus: 0, maxCpus: 0, guaranteedGpus: 8, maxGpus: 24 },
];
const over: Partial<ClusterSetup> = {
  zones,
  controllers: ['north', 'east', 'south'],
  teams,
  types: types.map((t) => ({ ...t, zones: zones as Zone[] })),
  capacity: 60,
  initialMachines: { type: 'small', perZone: 4 },
};

const work = (scenario: Scenario): JobId[] => [
  ...[4, 6, 2].map((tasks) => scenario.submit({ tasks, priority: 'low', checkpointS: 10 })),
  ...[1, 2, 4].map((tasks) =>
    scenario.submit({ kind: 'gang', tasks, priority: 'high', team: 'blue' as Team, gpus: 2 }),
  ),
];

test('machines that run before the first leader are used at once, not fenced, and none is added', async () => {
  for (const seed of [1, 2, 3]) {
    // No capacity is kept for work to come.
    const operator = { scaling: [{ headroom: 0 }] };
    const { cluster, violations } = await runScenario(
      seed,
      { setup: { ...over, operator }, faultsEndMs: 30_000, endMs: 60_000 },
      (scenario) => {
        scenario.cluster.at(100, () => work(scenario));
      },
    );
    const running = [...cluster.users.values()].filter((user) => user.status === 'running').length;
    const early = [...cluster.cloudProvider.deletedAt].filter(([, at]) => at < 14_000).length;
    assert.deepEqual(
      { violations, running, early, created: cluster.cloudProvider.scaledOutCount },
      { violations: [], running: 6, early: 0, created: 0 },
    );
  }
});

test('the zone without a controller is partitioned from everything, and jobs are cancelled', () =>
  assertScenarioPasses({ setup: over, faultsEndMs: 120_000, endMs: 400_000 }, (scenario) => {
    const jobs: JobId[] = [];
    scenario.cluster.at(5000, () => jobs.push(...work(scenario)));
    scenario.cluster.at(40_000, () => scenario.cluster.isolateZone('west', 'hold', 60_000));
    scenario.cluster.at(42_000, () => jobs.slice(1, 5).forEach((id) => scenario.cluster.cancel(id)));
    scenario.cluster.at(60_000, () => scenario.cluster.restart(scenario.cluster.leader!, 6000));
  }));

test('two zones with controllers are partitioned from one another, then all controllers crash', () =>
  assertScenarioPasses({ setup: over, faultsEndMs: 130_000, endMs: 400_000 }, (scenario) => {
    const jobs: JobId[] = [];
    scenario.cluster.at(5000, () => jobs.push(...work(scenario)));
    scenario.cluster.at(40_000, () => scenario.cluster.partitionZones('north', 'east', 'refuse', 55_000));
    scenario.cluster.at(45_000, () => scenario.cluster.cancel(jobs[0]));
    scenario.cluster.at(80_000, () =>
      scenario.cluster.controllers.forEach((controller, i) =>
        scenario.cluster.restart(controller, 6000 + 300 * i),
      ),
    );
    scenario.cluster.at(81_000, () => scenario.cluster.keyValueStore.startOutage(5000));
  }));

test('teams at guarantee and limit, gangs and arrays, through failovers with unreachable machines', () =>
  assertScenarioPasses({ setup: over, faultsEndMs: 130_000, endMs: 500_000 }, (scenario) => {
    scenario.cluster.at(5000, () => {
      for (let i = 0; i < 5; i++) scenario.submit({ tasks: 10, priority: 'low' }, 30_000);
      for (let i = 0; i < 8; i++)
        scenario.submit(
          { kind: 'gang', tasks: 2 + (i % 3), gpus: 2, priority: 'high', team: 'blue' as Team },
          25_000,
        );
    });
    for (const atMs of [30_000, 60_000])
      scenario.cluster.at(atMs, () => {
        for (const workerHost of scenario.cluster.workers.values())
          if (scenario.random() < 0.3) workerHost.hang(9000);
        scenario.cluster.restart(scenario.cluster.leader!, 6000);
      });
  }));
