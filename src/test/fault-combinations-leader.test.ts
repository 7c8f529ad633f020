/** Combinations of two faults around failovers, in a simulated cluster. */
import { test } from 'node:test';
import {
  EARLY_FAULTS_AT_MS,
  leaderRefusedAtTeamLimit,
  workerHosts,
  zoneBoundJobsLoseMachines,
} from './sim/fault-scenarios.js';
import { WORK_STARTS_AT_MS, assertScenarioPasses, startMixedWork } from './sim/scenario.js';

test('single-zone jobs, arrays included, lose machines', () =>
  assertScenarioPasses({ faultsEndMs: 120_000, endMs: 500_000 }, zoneBoundJobsLoseMachines));

test('the tasks of a job end at different times, before and after a failover', () =>
  assertScenarioPasses({ faultsEndMs: 120_000, endMs: 330_000 }, (scenario) => {
    scenario.cluster.at(WORK_STARTS_AT_MS, () => {
      for (let i = 0; i < 8; i++) {
        scenario.submit({ tasks: 2 + (i % 2) }, 30_000 + 2000 * i);
        scenario.submit({ kind: 'gang', tasks: 2 + (i % 2) }, 30_000 + 2000 * i);
      }
    });
    // Some tasks end at about the time of a failover, others later. Machines that hang send no heartbeats for a while.
    for (const atMs of [44_000, 52_000]) {
      scenario.cluster.at(atMs - 1000, () => {
        for (const workerHost of workerHosts(scenario)) if (scenario.random() < 0.4) workerHost.hang(6000);
      });
      scenario.cluster.at(atMs, () => scenario.cluster.restart(scenario.cluster.leader!, 3000));
    }
  }));

test('a transaction without a response is executed late, after newer ones of the same controller', () =>
  assertScenarioPasses({ faultsEndMs: 130_000, endMs: 330_000 }, (scenario) => {
    scenario.cluster.at(WORK_STARTS_AT_MS - 5000, () =>
      scenario.cluster.keyValueStore.delayTransactions(0.3, 100_000),
    );
    for (let i = 0; i < 25; i++) {
      scenario.cluster.at(WORK_STARTS_AT_MS + i * 3000, () => {
        const id = scenario.submit({ tasks: 1 + (i % 4) }, 10_000 + 1000 * (i % 7));
        if (i % 5 === 0) scenario.cluster.at(scenario.cluster.now + 9000, () => scenario.cluster.cancel(id));
      });
    }
    scenario.cluster.at(EARLY_FAULTS_AT_MS, () => scenario.cluster.restart(scenario.cluster.leader!, 3000));
    scenario.cluster.at(EARLY_FAULTS_AT_MS + 20_000, () =>
      scenario.cluster.restart(scenario.cluster.leader!, 500),
    );
  }));

test('the key-value store refuses the leader while a team is at its limit and work is pending', () =>
  assertScenarioPasses({ faultsEndMs: 120_000, endMs: 500_000 }, leaderRefusedAtTeamLimit));

test('a controller is isolated from the key-value store and its peers, but not from its workers', () =>
  assertScenarioPasses({ faultsEndMs: 130_000, endMs: 400_000 }, (scenario) => {
    const jobs = startMixedWork(scenario);
    scenario.cluster.at(EARLY_FAULTS_AT_MS, () => {
      const controller = scenario.cluster.controllers.find(
        (controller) => controller !== scenario.cluster.leader,
      )!;
      scenario.cluster.isolateFromKeyValueStore(controller, 60_000);
      scenario.cluster.isolateFromPeers(controller, 'hold', 60_000);
    });
    scenario.cluster.at(EARLY_FAULTS_AT_MS + 5000, () => scenario.cluster.cancel(jobs[3]));
    scenario.cluster.at(EARLY_FAULTS_AT_MS + 20_000, () =>
      scenario.cluster.restart(scenario.cluster.leader!, 300),
    );
  }));
