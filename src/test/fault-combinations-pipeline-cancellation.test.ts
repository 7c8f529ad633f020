/** Dependencies are cancelled during combinations of faults, in a simulated cluster. */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import { FAULTS_AT_MS, LONG_OUTAGE_MS } from './sim/cancellation-scenarios.js';
import { cancelBeforeOutage, submitDiamondPipeline } from './sim/pipeline-scenarios.js';
import { WORK_STARTS_AT_MS, assertScenarioPasses, runScenario, type Scenario } from './sim/scenario.js';
import type { JobId } from '../core/units.js';

const times = { faultsEndMs: 140_000, endMs: 330_000 };

test('a cancellation is confirmed, followed by a key-value store outage longer than cancel_s', () =>
  assertScenarioPasses(times, cancelBeforeOutage(FAULTS_AT_MS, LONG_OUTAGE_MS)));

test('a job is cancelled while the key-value store refuses the leader, the leader crashes, and users query all controllers', () =>
  assertScenarioPasses(times, (scenario) => {
    let jobs: JobId[] = [];
    scenario.cluster.at(WORK_STARTS_AT_MS, () => (jobs = submitDiamondPipeline(scenario, 60_000)));
    scenario.cluster.at(FAULTS_AT_MS, () => {
      scenario.cluster.refuseLeader(14_000);
      scenario.cluster.cancel(jobs[0]);
    });
    scenario.cluster.at(FAULTS_AT_MS + 3000, () => scenario.cluster.restart(scenario.cluster.leader!, 300));
    for (let i = 0; i < 60; i++)
      scenario.cluster.at(FAULTS_AT_MS + 200 * i, () => {
        for (const id of jobs) scenario.cluster.users.get(id)!.queryAllControllers();
      });
  }));

test('dependencies are cancelled while a controller is isolated from the key-value store and its peers', () =>
  assertScenarioPasses(times, (scenario) => {
    let jobs: JobId[] = [];
    scenario.cluster.at(
      WORK_STARTS_AT_MS,
      () =>
        (jobs = [submitDiamondPipeline(scenario, 90_000), submitDiamondPipeline(scenario, 90_000)].flat()),
    );
    scenario.cluster.at(FAULTS_AT_MS, () => {
      const isolated = scenario.cluster.controllers.find(
        (controller) => controller !== scenario.cluster.leader,
      )!;
      scenario.cluster.isolateFromPeers(isolated, 'hold', 50_000);
      scenario.cluster.isolateFromKeyValueStore(isolated, 50_000);
    });
    scenario.cluster.at(FAULTS_AT_MS + 1000, () => scenario.cluster.cancel(jobs[0]));
    scenario.cluster.at(FAULTS_AT_MS + 52_000, () => scenario.cluster.cancel(jobs[4]));
  }));

test('a dependent job is submitted at about the time its dependency is cancelled', () =>
  assertScenarioPasses({ ...times, seeds: [1, 2, 3, 4, 5] }, (scenario) => {
    for (let i = 0; i < 12; i++)
      scenario.cluster.at(WORK_STARTS_AT_MS + i * 4000, () => {
        const first = scenario.submit({ tasks: 2 }, 30_000);
        scenario.cluster.at(scenario.cluster.now + 3000, () => scenario.cluster.cancel(first));
        scenario.cluster.at(scenario.cluster.now + 2990 + i * 4, () => {
          const second = scenario.submitAfter([first], { tasks: 1 }, 5000);
          scenario.submitAfter([second], { tasks: 1 }, 5000);
        });
      });
  }));

const cancelAtCompletion = (scenario: Scenario): void => {
  scenario.cluster.checker.onJobCompleted = (id) =>
    scenario.cluster.at(scenario.cluster.now + scenario.random() * 300, () => scenario.cluster.cancel(id));
  for (let i = 0; i < 8; i++)
    scenario.cluster.at(WORK_STARTS_AT_MS + i * 3000, () => {
      const first = scenario.submit({ tasks: 1 + (i % 2) }, 5000 + 500 * i);
      scenario.submitAfter([first], { tasks: 2 }, 5000);
    });
};

test('jobs are cancelled at about the time their last task ends: their dependents run or are cancelled', () =>
  assertScenarioPasses({ ...times, seeds: [1, 2, 3, 4] }, cancelAtCompletion));

test('a dependent runs if its dependency was done before it was cancelled', async () => {
  let completedDependentCount = 0;
  for (const seed of [1, 2, 3]) {
    const { cluster } = await runScenario(seed, times, cancelAtCompletion);
    for (const [id, user] of cluster.users)
      if (
        user.spec.dependsOn.length > 0 &&
        user.status === 'done' &&
        cluster.checker.completedTaskCount(id) === 2
      )
        completedDependentCount++;
  }
  assert.ok(completedDependentCount > 0);
});
