/** Two zones with controllers can't reach each other, and a third controller reaches both; on whole controllers. */
import assert from 'node:assert/strict';
import { test, type TestContext } from 'node:test';
import { types } from './sim/fixtures.js';
import { runScenario, type Scenario } from './sim/scenario.js';
import type { LinkFault } from './sim/simulated-network.js';
import type { ClusterSetup } from './sim/cluster-setup.js';
import { LeaderRoutes } from '../runtime/peers/leader-route.js';
import type { JobId, Zone } from '../core/units.js';

const zones = ['north', 'east', 'south'];
const over: Partial<ClusterSetup> = {
  zones,
  controllers: zones,
  types: types.map((t) => ({ ...t, zones: zones as Zone[] })),
  // As many as are up: none is created beside those that can't be reached.
  capacity: 24,
  initialMachines: { type: 'small', perZone: 8 },
};
const PARTITIONED_AT_MS = 30_000;
const PARTITION_MS = 70_000;
const SUBMITTED_AT_MS = PARTITIONED_AT_MS + 10_000;
/** Before any machine of the far zone would be fenced, and replaced by one that sends heartbeats elsewhere. */
const RUNNING_AT_MS = PARTITIONED_AT_MS + 40_000;
const FENCED_AT_MS = PARTITIONED_AT_MS + PARTITION_MS - 5000;

interface Outcome {
  violations: string[];
  unfinished: string[];
  /** Machines deleted while the zones were partitioned. */
  fenced: number;
  /** Tasks of the job bound to the far zone that run there soon after it was submitted. */
  running: number;
}

const partitionZones = async (fault: LinkFault, seed: number): Promise<Outcome> => {
  let fenced = 0;
  let running = 0;
  const script = (scenario: Scenario): void => {
    const { cluster } = scenario;
    let bound: JobId;
    cluster.at(10_000, () => [2, 4, 6].forEach((tasks) => scenario.submit({ tasks }, 120_000)));
    let far: string;
    cluster.at(PARTITIONED_AT_MS, () => {
      const near = cluster.leader!.platform.zone;
      far = zones.find((zone) => zone !== near)!;
      cluster.partitionZones(near, far, fault, PARTITION_MS);
    });
    cluster.at(SUBMITTED_AT_MS, () => (bound = scenario.submit({ tasks: 4, zone: far as Zone }, 120_000)));
    cluster.at(RUNNING_AT_MS, () => (running = cluster.checker.machineIdsOf(bound).length));
    cluster.at(FENCED_AT_MS, () => {
      fenced = [...cluster.cloudProvider.deletedAt.values()].filter((at) => at > PARTITIONED_AT_MS).length;
    });
  };
  // Nothing is scaled in for being idle.
  const operator = { scaling: [{ idle_hold_s: 600 }] };
  const result = await runScenario(
    seed,
    { setup: { ...over, operator }, faultsEndMs: 110_000, endMs: 330_000 },
    script,
  );
  return { violations: result.violations, unfinished: result.unfinished, fenced, running };
};

for (const fault of ['hold', 'refuse'] as const) {
  test(`zone partition (${fault}): the far zone is commanded through the third controller, and keeps its machines`, async () => {
    for (const seed of [1, 2, 3])
      assert.deepEqual(await partitionZones(fault, seed), {
        violations: [],
        unfinished: [],
        fenced: 0,
        running: 4,
      });
  });
}

test('zone partition: without the third controller the far zone gets no work and is fenced', async (t: TestContext) => {
  t.mock.method(LeaderRoutes.prototype, 'directlyReachableLeader', () => null);
  const { running, fenced } = await partitionZones('hold', 1);
  assert.equal(running, 0);
  assert.ok(fenced > 0);
});
