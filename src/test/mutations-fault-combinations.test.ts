/**
 * Mutation tests of the scenarios that detect none of the mutations in other files: without the safeguard that a scenario
 * tests, it must violate the corresponding invariant.
 */
import assert from 'node:assert/strict';
import { test, type TestContext } from 'node:test';
import {
  leaderRefusedAtTeamLimit,
  leadersChangeTenTimes,
  partitionZoneDuringFailover,
  zoneBoundJobsLoseMachines,
} from './sim/fault-scenarios.js';
import { runScenario, type ScenarioScript } from './sim/scenario.js';
import { Recovery } from '../core/leader/recovery.js';
import { MachinePool } from '../core/leader/machine-pool.js';
import { LeaderState } from '../core/leader/leader-state.js';
import { Snapshot } from '../core/scheduler/snapshot.js';

/** The violations of all seeds together, since the missing safeguard may show with only some of them. */
const violationsOf = async (script: ScenarioScript, seeds = [1]): Promise<string> => {
  const violations: string[] = [];
  for (const seed of seeds)
    violations.push(
      ...(await runScenario(seed, { faultsEndMs: 180_000, endMs: 400_000 }, script)).violations,
    );
  return violations.join('; ');
};

test('mutation: placement ignores the zone of the other tasks of a single-zone job', async (t: TestContext) => {
  t.mock.method(Snapshot.prototype, 'tasksPerZone', () => new Map());
  assert.match(await violationsOf(zoneBoundJobsLoseMachines), /wrong_place/);
});

test('mutation: a new leader places tasks before machines are reconciled', async (t: TestContext) => {
  t.mock.method(LeaderState.prototype, 'mayRunOnUnreconciledMachine', () => false);
  t.mock.method(Recovery.prototype, 'isComplete', () => true);
  assert.match(await violationsOf(leadersChangeTenTimes(0)), /ran_twice|wrong_place/);
});

test('mutation: placement ignores the team quota', async (t: TestContext) => {
  t.mock.method(Snapshot.prototype, 'teamAllows', () => true);
  assert.match(await violationsOf(leaderRefusedAtTeamLimit), /quota/);
});

test('mutation: unreachable machines of a partitioned zone are released before the cloud provider responds', async (t: TestContext) => {
  const fence = Reflect.get<MachinePool, 'fence'>(MachinePool.prototype, 'fence');
  t.mock.method(
    MachinePool.prototype,
    'fence',
    function (this: MachinePool, ...args: Parameters<MachinePool['fence']>) {
      const [machine, , now] = args;
      fence.apply(this, args);
      this.onDeletionResult([machine.id], true, now);
    },
  );
  assert.match(await violationsOf(partitionZoneDuringFailover, [1, 2, 3, 4]), /ran_twice|ran_cancelled/);
});
