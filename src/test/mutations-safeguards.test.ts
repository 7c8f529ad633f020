/** Mutation tests of the fault combinations: without a safeguard, the scenario that needs it must violate its invariant. */
import assert from 'node:assert/strict';
import { test, type TestContext } from 'node:test';
import { FAULTS_AT_MS, cancelAtTeamLimit, cancelWhileMachinesHang } from './sim/cancellation-scenarios.js';
import { runScenario, startMixedWork, type ScenarioScript } from './sim/scenario.js';
import type { Job } from '../core/job.js';
import { Leader } from '../core/leader/leader.js';
import { MachinePool } from '../core/leader/machine-pool.js';
import { SchedulingQueue } from '../core/leader/scheduling-queue.js';
import { LeaderState } from '../core/leader/leader-state.js';
import { CancellationFeed } from '../runtime/cancellations/cancellation-feed.js';
import { LeaderlessFencing } from '../runtime/workers/leaderless-fencing.js';
import { KeyValueStoreClient } from '../runtime/key-value-store/key-value-store-client.js';
import { UserApi } from '../runtime/users/user-api.js';
import type { Transaction } from '../wire/key-value-store.js';

const times = { faultsEndMs: 140_000, endMs: 260_000 };

/** Asserts that the scenario violates the rule, because a safeguard is missing. */
const assertViolates = async (rule: string, script: ScenarioScript, seed = 1): Promise<void> => {
  const { violations } = await runScenario(seed, times, script);
  assert.ok(
    violations.some((violation) => violation.startsWith(rule)),
    `${rule} expected, found: ${violations.slice(0, 3).join('; ') || 'nothing'}`,
  );
};

test('mutation: no fencing by a leader without authority', async (t: TestContext) => {
  t.mock.method(Leader.prototype, 'tickWithoutAuthority', () => undefined);
  await assertViolates('ran_cancelled', cancelWhileMachinesHang());
});

test('mutation: no leaderless fencing', async (t: TestContext) => {
  t.mock.method(LeaderlessFencing.prototype, 'check', () => Promise.resolve());
  await assertViolates(
    'ran_cancelled',
    cancelWhileMachinesHang((scenario) =>
      scenario.cluster.at(FAULTS_AT_MS + 4000, () =>
        scenario.cluster.restart(scenario.cluster.leader!, 5000),
      ),
    ),
  );
});

test('mutation: leases renewed without proof of cancellation coverage', async (t: TestContext) => {
  t.mock.method(CancellationFeed.prototype, 'mayRenewLeases', () => true);
  t.mock.method(CancellationFeed.prototype, 'onPeerPage', () => undefined);
  t.mock.method(CancellationFeed.prototype, 'onPushed', () => undefined);
  await assertViolates('ran_cancelled', (scenario) => {
    const jobs = startMixedWork(scenario);
    scenario.cluster.at(FAULTS_AT_MS, () => {
      scenario.cluster.refuseLeader(14_000);
      scenario.cluster.at(FAULTS_AT_MS + 150, () =>
        jobs.slice(0, 5).forEach((id) => scenario.cluster.cancel(id)),
      );
    });
    scenario.cluster.at(FAULTS_AT_MS + 600, () => scenario.cluster.keyValueStore.startOutage(57_000));
  });
});

test('mutation: a new leader treats unreconciled machines as empty', async (t: TestContext) => {
  t.mock.method(LeaderState.prototype, 'mayRunOnUnreconciledMachine', () => false);
  await assertViolates('ran_twice', (scenario) => {
    const jobs = startMixedWork(scenario);
    scenario.cluster.at(FAULTS_AT_MS, () => {
      for (const id of jobs.slice(0, 4))
        for (const workerHost of scenario.cluster.machinesOf(id)) workerHost.hang(9000);
      scenario.cluster.restart(scenario.cluster.leader!, 5000);
    });
  });
});

test('mutation: cancelled jobs do not count against the quota while unreconciled machines may run them', async (t: TestContext) => {
  const mayRun = Reflect.get<LeaderState, 'mayRunOnUnreconciledMachine'>(
    LeaderState.prototype,
    'mayRunOnUnreconciledMachine',
  );
  t.mock.method(LeaderState.prototype, 'mayRunOnUnreconciledMachine', function (this: LeaderState, job: Job) {
    return !job.cancelled && mayRun.call(this, job);
  });
  await assertViolates('quota', cancelAtTeamLimit);
});

test('mutation: controllers accept jobs and report every job as unknown', async (t: TestContext) => {
  t.mock.method(UserApi.prototype, 'handle', (request: { method: string }) =>
    Promise.resolve(request.method === 'POST' ? { status: 201, body: Buffer.from([0xa0]) } : { status: 404 }),
  );
  await assertViolates('forgotten', startMixedWork);
});

test('mutation: the leader leaves a job pending', async (t: TestContext) => {
  const buildQueue = Reflect.get<SchedulingQueue, 'buildQueue'>(SchedulingQueue.prototype, 'buildQueue');
  t.mock.method(
    SchedulingQueue.prototype,
    'buildQueue',
    function (this: SchedulingQueue, ...now: Parameters<SchedulingQueue['buildQueue']>) {
      const { queue, backedOff } = buildQueue.apply(this, now);
      return { queue: queue.filter((job) => job.id !== 'wk-1'), backedOff };
    },
  );
  await assertViolates('left_waiting', startMixedWork);
});

test('mutation: machines are released before the cloud provider confirms their deletion', async (t: TestContext) => {
  const fence = Reflect.get<MachinePool, 'fence'>(MachinePool.prototype, 'fence');
  t.mock.method(
    MachinePool.prototype,
    'fence',
    function (this: MachinePool, ...a: Parameters<MachinePool['fence']>) {
      const [machine, , now] = a;
      fence.apply(this, a);
      this.onDeletionResult([machine.id], true, now);
    },
  );
  await assertViolates('ran_twice', (scenario) => {
    const jobs = startMixedWork(scenario);
    // The machines are healthy but unreachable, so their tasks continue.
    scenario.cluster.at(FAULTS_AT_MS, () =>
      scenario.cluster.machinesOf(jobs[2]).forEach((workerHost) => workerHost.hang(9500)),
    );
  });
});

test('mutation: writes without compare-and-swap', async (t: TestContext) => {
  const transact = Reflect.get<KeyValueStoreClient, 'transact'>(KeyValueStoreClient.prototype, 'transact');
  t.mock.method(
    KeyValueStoreClient.prototype,
    'transact',
    function (this: KeyValueStoreClient, transaction: Transaction, reserve?: number) {
      const leadershipConditions = transaction.conditions.filter((condition) =>
        condition.key.startsWith('l/'),
      );
      return transact.call(this, { ...transaction, conditions: leadershipConditions }, reserve);
    },
  );
  await assertViolates('went_back', (scenario) => {
    scenario.cluster.at(8000, () => scenario.cluster.keyValueStore.delayTransactions(0.3, 100_000));
    scenario.cluster.checker.onJobCompleted = (id) => {
      for (const ms of [5000, 9000, 13_000])
        scenario.cluster.at(scenario.cluster.now + ms, () =>
          scenario.cluster.users.get(id)!.queryAllControllers(),
        );
    };
    for (let i = 0; i < 25; i++)
      scenario.cluster.at(10_000 + i * 2500, () => {
        const id = scenario.submit({ tasks: 1 + (i % 2) }, 6000 + 300 * i);
        scenario.cluster.at(scenario.cluster.now + 12_000 + 300 * i, () => scenario.cluster.cancel(id));
      });
  });
});
