/** Combinations of two faults, in a simulated cluster. */
import { test } from 'node:test';
import { EARLY_FAULTS_AT_MS, partitionZoneDuringFailover, workerHosts } from './sim/fault-scenarios.js';
import { WORK_STARTS_AT_MS, assertScenarioPasses, startMixedWork } from './sim/scenario.js';

test('a command or its response is delayed for seconds, and the machine then continues', () =>
  assertScenarioPasses({ faultsEndMs: 120_000, endMs: 260_000 }, (scenario) => {
    startMixedWork(scenario);
    for (let i = 0; i < 20; i++)
      scenario.cluster.at(WORK_STARTS_AT_MS + i * 1500, () => {
        scenario.submit({ tasks: 1 + (i % 3) }, 15_000);
        // Machines hang while commands for them are in flight.
        scenario.cluster.at(scenario.cluster.now + 100 + 40 * i, () => {
          for (const workerHost of workerHosts(scenario))
            if (scenario.random() < 0.3) workerHost.hang(3000 + scenario.random() * 5000);
        });
      });
  }));

test('a leader crashes while machines with long tasks are unreachable or behind a one-way partition', () =>
  assertScenarioPasses({ faultsEndMs: 110_000, endMs: 330_000 }, (scenario) => {
    const jobs = startMixedWork(scenario);
    scenario.cluster.at(EARLY_FAULTS_AT_MS, () => {
      for (const workerHost of scenario.cluster.machinesOf(jobs[3])) workerHost.hang(8000);
      const partitioned = scenario.cluster.machinesOf(jobs[2]);
      for (const workerHost of partitioned) workerHost.worker.inboundPartitioned = true;
      scenario.cluster.at(EARLY_FAULTS_AT_MS + 30_000, () =>
        partitioned.forEach((workerHost) => (workerHost.worker.inboundPartitioned = false)),
      );
      scenario.cluster.restart(scenario.cluster.leader!, 5000);
    });
    scenario.cluster.at(EARLY_FAULTS_AT_MS + 20_000, () =>
      scenario.cluster.restart(scenario.cluster.leader!, 300),
    );
  }));

test('a zone with workers and a controller is partitioned for longer than lease_s', () =>
  assertScenarioPasses({ faultsEndMs: 120_000, endMs: 400_000 }, partitionZoneDuringFailover));

test('jobs of high and low priority need more than the capacity during failovers', () =>
  assertScenarioPasses({ setup: { capacity: 16 }, faultsEndMs: 100_000, endMs: 500_000 }, (scenario) => {
    scenario.cluster.at(WORK_STARTS_AT_MS, () => {
      for (let i = 0; i < 12; i++) scenario.submit({ tasks: 6, priority: 'low', class: 'many' }, 40_000);
      for (let i = 0; i < 6; i++)
        scenario.submit({ kind: 'gang', tasks: 2, priority: 'high', class: 'gangs' }, 20_000);
    });
    for (const atMs of [40_000, 60_000])
      scenario.cluster.at(atMs, () => scenario.cluster.restart(scenario.cluster.leader!, 5000));
  }));

test('controllers restart one after the other, then all crash, and one of them restarts within a second', () =>
  assertScenarioPasses({ faultsEndMs: 120_000, endMs: 330_000 }, (scenario) => {
    const jobs = startMixedWork(scenario);
    for (const [i, controller] of scenario.cluster.controllers.entries())
      scenario.cluster.at(EARLY_FAULTS_AT_MS + i * 900, () =>
        scenario.cluster.restart(controller, 200 + 100 * i),
      );
    scenario.cluster.at(EARLY_FAULTS_AT_MS + 8000, () =>
      scenario.cluster.controllers.forEach((controller, i) =>
        scenario.cluster.restart(controller, i === 0 ? 600 : 20_000),
      ),
    );
    scenario.cluster.at(EARLY_FAULTS_AT_MS + 8200, () => scenario.cluster.cancel(jobs[0]));
    scenario.cluster.at(EARLY_FAULTS_AT_MS + 9000, () =>
      scenario.cluster.restart(scenario.cluster.controllers[0], 100),
    );
  }));

test('all controllers are down for longer than lease_s', () =>
  assertScenarioPasses({ faultsEndMs: 80_000, endMs: 330_000 }, (scenario) => {
    const jobs = startMixedWork(scenario);
    scenario.cluster.at(EARLY_FAULTS_AT_MS, () => scenario.cluster.cancel(jobs[0]));
    scenario.cluster.at(EARLY_FAULTS_AT_MS + 50, () =>
      scenario.cluster.controllers.forEach((controller, i) =>
        scenario.cluster.restart(controller, 14_000 + 700 * i),
      ),
    );
  }));

test('heartbeats are delayed until there is a new leader, and old ones arrive after newer ones', () =>
  assertScenarioPasses({ faultsEndMs: 130_000, endMs: 330_000 }, (scenario) => {
    const jobs = startMixedWork(scenario);
    // Tasks start and end continually, so that an old heartbeat differs from the newest one.
    for (let i = 0; i < 40; i++)
      scenario.cluster.at(WORK_STARTS_AT_MS + i * 2000, () =>
        scenario.submit({ tasks: 1 + (i % 2), checkpointS: 0 }, 9000 + 200 * i),
      );
    scenario.cluster.at(WORK_STARTS_AT_MS + 5000, () => scenario.cluster.duplicateHeartbeats(0.5, 105_000));
    scenario.cluster.at(EARLY_FAULTS_AT_MS, () => {
      const ips = scenario.cluster.machinesOf(jobs[3]).map((workerHost) => workerHost.host.ip);
      const controllers = scenario.cluster.controllers.map((controller) => controller.ip);
      scenario.cluster.network.injectFault(ips, controllers, 'hold', 7000);
      scenario.cluster.restart(scenario.cluster.leader!, 4000);
    });
    scenario.cluster.at(EARLY_FAULTS_AT_MS + 25_000, () => {
      for (const workerHost of workerHosts(scenario)) if (scenario.random() < 0.2) workerHost.hang(14_000);
      scenario.cluster.restart(scenario.cluster.leader!, 500);
    });
  }));
