/** Two zones with controllers can't reach each other, and a third controller reaches both, in a simulated cluster. */
import assert from 'node:assert/strict';
import { test, type TestContext } from 'node:test';
import { types } from './sim/fixtures.js';
import { runScenario, type Scenario } from './sim/scenario.js';
import type { LinkFault } from './sim/simulated-network.js';
import type { ClusterSetup } from './sim/cluster-setup.js';
import { LeaderRoutes } from '../runtime/peers/leader-route.js';
import type { JobId, Zone } from '../core/units.js';

const zones = ['north', 'east', 'south'];
const clusterSetup: Partial<ClusterSetup> = {
  zones,
  controllers: zones,
  types: types.map((t) => ({ ...t, zones: zones as Zone[] })),
  // All of the capacity is in use from the start, so that no machine is created to replace an unreachable one.
  capacity: 24,
  initialMachines: { type: 'small', perZone: 8 },
};
const PARTITIONED_AT_MS = 30_000;
const PARTITION_MS = 70_000;
const SUBMITTED_AT_MS = PARTITIONED_AT_MS + 10_000;
/** Before machines of the partitioned zone would be fenced and replaced by machines that send heartbeats to other controllers. */
const RUNNING_AT_MS = PARTITIONED_AT_MS + 40_000;
const FENCED_AT_MS = PARTITIONED_AT_MS + PARTITION_MS - 5000;

interface Outcome {
  violations: string[];
  unfinished: string[];
  /** Machines deleted while the zones were partitioned. */
  fenced: number;
  /** Number of tasks that run, at `RUNNING_AT_MS`, of the job that may only use the zone partitioned from the leader. */
  running: number;
}

const partitionZones = async (fault: LinkFault, seed: number): Promise<Outcome> => {
  let fenced = 0;
  let running = 0;
  const script = (scenario: Scenario): void => {
    const { cluster } = scenario;
    let partitionedZoneJob: JobId;
    cluster.at(10_000, () => [2, 4, 6].forEach((tasks) => scenario.submit({ tasks }, 120_000)));
    let partitionedZone: string;
    cluster.at(PARTITIONED_AT_MS, () => {
      const leaderZone = cluster.leader!.platform.zone;
      partitionedZone = zones.find((zone) => zone !== leaderZone)!;
      cluster.partitionZones(leaderZone, partitionedZone, fault, PARTITION_MS);
    });
    cluster.at(
      SUBMITTED_AT_MS,
      () => (partitionedZoneJob = scenario.submit({ tasks: 4, zone: partitionedZone as Zone }, 120_000)),
    );
    cluster.at(RUNNING_AT_MS, () => (running = cluster.checker.machineIdsOf(partitionedZoneJob).length));
    cluster.at(FENCED_AT_MS, () => {
      fenced = [...cluster.cloudProvider.deletedAt.values()].filter((at) => at > PARTITIONED_AT_MS).length;
    });
  };
  // Idle machines are not scaled in.
  const operator = { scaling: [{ idle_hold_s: 600 }] };
  const result = await runScenario(
    seed,
    { setup: { ...clusterSetup, operator }, faultsEndMs: 110_000, endMs: 330_000 },
    script,
  );
  return { violations: result.violations, unfinished: result.unfinished, fenced, running };
};

for (const fault of ['hold', 'refuse'] as const) {
  test(`zone partition (${fault}): the zone partitioned from the leader gets its commands through the third controller, and no machine is fenced`, async () => {
    for (const seed of [1, 2, 3])
      assert.deepEqual(await partitionZones(fault, seed), {
        violations: [],
        unfinished: [],
        fenced: 0,
        running: 4,
      });
  });
}

test('zone partition: without the third controller the zone partitioned from the leader gets no work and is fenced', async (t: TestContext) => {
  t.mock.method(LeaderRoutes.prototype, 'directlyReachableLeader', () => null);
  const { running, fenced } = await partitionZones('hold', 1);
  assert.equal(running, 0);
  assert.ok(fenced > 0);
});
