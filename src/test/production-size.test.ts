/**
 * A simulated cluster at production size: machines hang and are lost, jobs are cancelled and leaders fail one after the other
 * while pipelines run. The environment variables MACHINES and SEED select another size and seed.
 */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import { workerHosts } from './sim/fault-scenarios.js';
import { submitPipelines } from './sim/pipeline-scenarios.js';
import { runScenario, submitMixedWork, type Scenario } from './sim/scenario.js';
import type { ClusterSetup } from './sim/cluster-setup.js';
import type { JobId } from '../core/units.js';

const MACHINES = Number(process.env['MACHINES'] ?? 1000);
const SEED = Number(process.env['SEED'] ?? 1);
const SUBMITTED_AT_MS = 10_000;
const FAULTS_AT_MS = 45_000;
const FAULTS_END_MS = 110_000;
const END_MS = 240_000;
const TASKS_PER_JOB = 10;

const clusterSetup: Partial<ClusterSetup> = {
  capacity: MACHINES * 1.5,
  initialMachines: { type: 'small', perZone: MACHINES / 2 },
  socketLimit: 2000,
  workers: { heartbeatIntervalS: 3, leaseS: 17, cancelS: 42 },
  keyValueStoreLimits: { requestsPerS: 400, writesPerS: 100, maxValueKb: 16, maxTransactionChanges: 16 },
};

const someMachines = (scenario: Scenario, fraction: number) =>
  workerHosts(scenario).filter(() => scenario.random() < fraction);

const injectFaults = (scenario: Scenario, jobs: JobId[]): void => {
  const restartLeader = (): void => {
    if (scenario.cluster.leader) scenario.cluster.restart(scenario.cluster.leader, 4000);
  };
  scenario.cluster.at(FAULTS_AT_MS, () => {
    for (const worker of someMachines(scenario, 0.15)) worker.hang(50_000);
    for (const id of jobs.slice(0, MACHINES / 50)) scenario.cluster.cancel(id);
    restartLeader();
  });
  scenario.cluster.at(FAULTS_AT_MS + 12_000, () => {
    for (const worker of someMachines(scenario, 0.05)) worker.terminate();
    scenario.cluster.delayDirectCommands(0.3, 30_000);
    scenario.cluster.duplicateHeartbeats(0.1, 30_000);
  });
  scenario.cluster.at(FAULTS_AT_MS + 27_500, restartLeader);
  scenario.cluster.at(FAULTS_AT_MS + 31_500, restartLeader);
  scenario.cluster.at(FAULTS_AT_MS + 33_000, () =>
    scenario.cluster.controllers.forEach((controller, i) => scenario.cluster.restart(controller, 300 * i)),
  );
};

test(`${MACHINES} machines: hangs, cancellations, losses and four failovers while pipelines run`, async () => {
  const { cluster, violations, unfinished } = await runScenario(
    SEED,
    { setup: clusterSetup, faultsEndMs: FAULTS_END_MS, endMs: END_MS },
    (scenario) => {
      const jobs: JobId[] = [];
      scenario.cluster.at(SUBMITTED_AT_MS, () => {
        for (let i = 0; i < MACHINES / TASKS_PER_JOB; i++)
          jobs.push(scenario.submit({ tasks: TASKS_PER_JOB }, 20_000 + scenario.random() * 60_000));
        submitMixedWork(scenario);
      });
      submitPipelines(scenario, 8);
      injectFaults(scenario, jobs);
    },
  );
  assert.deepEqual({ violations: violations.slice(0, 5), unfinished }, { violations: [], unfinished: [] });
  assert.ok(cluster.checker.startCount >= MACHINES);
});
