/** Combinations of faults with cancellations, in a simulated cluster. */
import { test } from 'node:test';
import { FAULTS_AT_MS, LONG_OUTAGE_MS, cancelWhileMachinesHang } from './sim/cancellation-scenarios.js';
import { assertScenarioPasses, startMixedWork } from './sim/scenario.js';

const times = { faultsEndMs: 140_000, endMs: 330_000 };

test('jobs are cancelled while the key-value store refuses the leader and their machines hang, and an outage follows', () =>
  assertScenarioPasses(times, cancelWhileMachinesHang()));

test('jobs are cancelled while the key-value store refuses the leader, the confirming controllers crash, and an outage follows', () =>
  assertScenarioPasses(times, (scenario) => {
    const jobs = startMixedWork(scenario);
    scenario.cluster.at(FAULTS_AT_MS, () => {
      scenario.cluster.refuseLeader(14_000);
      for (const id of jobs.slice(0, 4)) scenario.cluster.cancel(id);
    });
    scenario.cluster.at(FAULTS_AT_MS + 60, () => {
      for (const controller of scenario.cluster.controllers)
        if (controller !== scenario.cluster.leader) scenario.cluster.restart(controller, 3000);
    });
    scenario.cluster.at(FAULTS_AT_MS + 1000, () =>
      scenario.cluster.keyValueStore.startOutage(LONG_OUTAGE_MS),
    );
  }));

test('jobs are cancelled while the key-value store refuses the leader and their machines hang, and the leader crashes during an outage', () =>
  assertScenarioPasses(
    times,
    cancelWhileMachinesHang((scenario) =>
      scenario.cluster.at(FAULTS_AT_MS + 4000, () =>
        scenario.cluster.restart(scenario.cluster.leader!, 5000),
      ),
    ),
  ));

test('a leader is partitioned from the key-value store and its peers, and jobs are cancelled through the other controllers', () =>
  assertScenarioPasses(times, (scenario) => {
    const jobs = startMixedWork(scenario);
    scenario.cluster.at(FAULTS_AT_MS, () => {
      const leader = scenario.cluster.leader!;
      scenario.cluster.isolateFromPeers(leader, 'hold', 50_000);
      scenario.cluster.isolateFromKeyValueStore(leader, 50_000);
    });
    for (const [i, atMs] of [500, 4000, 9000].entries())
      scenario.cluster.at(FAULTS_AT_MS + atMs, () => scenario.cluster.cancel(jobs[i]));
  }));

test('jobs are cancelled just before an outage during which the leader is also isolated from its peers', () =>
  assertScenarioPasses(times, (scenario) => {
    const jobs = startMixedWork(scenario);
    scenario.cluster.at(FAULTS_AT_MS, () => {
      const leader = scenario.cluster.leader!;
      scenario.cluster.refuseLeader(14_000);
      scenario.cluster.isolateFromPeers(leader, 'refuse', 60_000);
      for (const id of jobs.slice(0, 3)) scenario.cluster.cancel(id);
    });
    scenario.cluster.at(FAULTS_AT_MS + 2000, () =>
      scenario.cluster.keyValueStore.startOutage(LONG_OUTAGE_MS),
    );
  }));
