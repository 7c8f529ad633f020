// Two zones with controllers can't reach each other, and a third controller reaches both. Whole controllers on
// virtual time.
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
  // As many as are up: none is rented beside those that can't be reached.
  capacity: 24,
  initialMachines: { type: 'small', perZone: 8 },
};
const PARTED_MS = 30_000;
const FOR_MS = 70_000;
const SUBMITTED_MS = PARTED_MS + 10_000;
/** Before any machine of the far zone would be fenced, and replaced by one that reports elsewhere. */
const RUNNING_MS = PARTED_MS + 40_000;
const FENCED_MS = PARTED_MS + FOR_MS - 5000;

interface Seen {
  violations: string[];
  unfinished: string[];
  /** Machines given back to the cloud while the zones were apart. */
  fenced: number;
  /** Tasks of the job bound to the far zone that run there soon after it was submitted. */
  running: number;
}

const part = async (trouble: LinkFault, seed: number): Promise<Seen> => {
  let fenced = 0;
  let running = 0;
  const script = (scenario: Scenario): void => {
    const { cluster } = scenario;
    let bound: JobId;
    cluster.at(10_000, () => [2, 4, 6].forEach((tasks) => scenario.submit({ tasks }, 120_000)));
    let far: string;
    cluster.at(PARTED_MS, () => {
      const near = cluster.leader!.platform.zone;
      far = zones.find((zone) => zone !== near)!;
      cluster.partitionZones(near, far, trouble, FOR_MS);
    });
    cluster.at(SUBMITTED_MS, () => (bound = scenario.submit({ tasks: 4, zone: far as Zone }, 120_000)));
    cluster.at(RUNNING_MS, () => (running = cluster.checker.machinesOf(bound).length));
    cluster.at(FENCED_MS, () => {
      fenced = [...cluster.cloudProvider.deletedAt.values()].filter((at) => at > PARTED_MS).length;
    });
  };
  // Nothing is given back for being idle.
  const operator = { scaling: [{ idle_hold_s: 600 }] };
  const result = await runScenario(
    seed,
    { setup: { ...over, operator }, faultsEndMs: 110_000, endMs: 330_000 },
    script,
  );
  return { violations: result.violations, unfinished: result.unfinished, fenced, running };
};

for (const trouble of ['hold', 'refuse'] as const) {
  test(`zone partition (${trouble}): the far zone is commanded through the third controller, and keeps its machines`, async () => {
    for (const seed of [1, 2, 3])
      assert.deepEqual(await part(trouble, seed), { violations: [], unfinished: [], fenced: 0, running: 4 });
  });
}

test('zone partition: without the third controller the far zone gets no work and is fenced', async (t: TestContext) => {
  t.mock.method(LeaderRoutes.prototype, 'directlyReachableLeader', () => null);
  const { running, fenced } = await part('hold', 1);
  assert.equal(running, 0);
  assert.ok(fenced > 0);
});
