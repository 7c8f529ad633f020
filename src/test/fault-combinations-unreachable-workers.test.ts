/** Cancellations that coincide with unreachable machines, a team at its limit or the end of a job, in a simulated cluster. */
import { test } from 'node:test';
import { FAULTS_AT_MS, cancelAtTeamLimit } from './sim/cancellation-scenarios.js';
import { WORK_STARTS_AT_MS, assertScenarioPasses, startMixedWork } from './sim/scenario.js';

test('workers cannot connect to a controller, or receive no response, while their jobs are cancelled', () =>
  assertScenarioPasses({ faultsEndMs: 110_000, endMs: 330_000 }, (scenario) => {
    const jobs = startMixedWork(scenario);
    scenario.cluster.at(FAULTS_AT_MS, () => {
      const inboundPartitioned = scenario.cluster.machinesOf(jobs[0]);
      const outboundPartitioned = scenario.cluster.machinesOf(jobs[3]);
      for (const workerHost of inboundPartitioned) workerHost.worker.inboundPartitioned = true;
      for (const workerHost of outboundPartitioned) workerHost.heartbeatsDropped = true;
      scenario.cluster.at(FAULTS_AT_MS + 45_000, () => {
        for (const workerHost of inboundPartitioned) workerHost.worker.inboundPartitioned = false;
        for (const workerHost of outboundPartitioned) workerHost.heartbeatsDropped = false;
      });
    });
    scenario.cluster.at(FAULTS_AT_MS + 1000, () => {
      for (const id of [jobs[0], jobs[3]]) scenario.cluster.cancel(id);
    });
    scenario.cluster.at(FAULTS_AT_MS + 2000, () => scenario.cluster.restart(scenario.cluster.leader!, 400));
  }));

test('a team is at its limit during a failover with unreachable machines and a cancellation', () =>
  assertScenarioPasses({ faultsEndMs: 110_000, endMs: 400_000 }, (scenario) => {
    cancelAtTeamLimit(scenario);
    scenario.cluster.at(FAULTS_AT_MS + 12_000, () => scenario.cluster.restart(scenario.cluster.leader!, 500));
  }));

test('a cancellation, a query or a repeated submission coincides with the end of the last task', () =>
  assertScenarioPasses({ faultsEndMs: 120_000, endMs: 160_000 }, (scenario) => {
    for (let i = 0; i < 30; i++)
      scenario.cluster.at(WORK_STARTS_AT_MS + i * 2500, () =>
        scenario.submit({ tasks: 1 + (i % 3) }, 6000 + 100 * i),
      );
    scenario.cluster.checker.onJobCompleted = (id) => {
      const user = scenario.cluster.users.get(id)!;
      const jobNumber = Number(id.slice(3));
      const delayMs = 1 + ((jobNumber * 37) % 1200);
      if (jobNumber % 3 === 0)
        scenario.cluster.at(scenario.cluster.now + delayMs, () => scenario.cluster.cancel(id));
      else scenario.cluster.at(scenario.cluster.now + delayMs, () => user.queryAllControllers());
    };
  }));
