/**
 * Groups of three random faults in quick succession, during pipelines, cancellations and short jobs. The title of each test
 * contains its seed; DENSE_FAULT_SEEDS=FIRST-LAST replaces the default seeds.
 */
import { test } from 'node:test';
import { submitPipelines } from './sim/pipeline-scenarios.js';
import { assertScenarioPasses, submitMixedWork, type Scenario } from './sim/scenario.js';
import { allFaults, pickRandom } from './sim/faults.js';
import type { JobId, Team } from '../core/units.js';

/** The last three seeds violate ran_cancelled unless machines are fenced within cancel_s across failovers. */
const DEFAULT_SEEDS = [1, 2, 112, 220, 227];
const [first, last] = (process.env['DENSE_FAULT_SEEDS'] ?? '').split('-').filter(Boolean).map(Number);
const seeds =
  first === undefined || last === undefined
    ? DEFAULT_SEEDS
    : Array.from({ length: last - first + 1 }, (_item, i) => first + i);
const FAULTS_START_MS = 25_000;
const FAULTS_DURATION_MS = 110_000;
const LONGEST_FAULT_MS = 45_000;
const FAULTS_PER_GROUP = 3;
const SHORT_JOB_COUNT = 60;

/** Submits short jobs throughout; a quarter of them are cancelled, many at about the time they end. */
const submitShortJobs = (scenario: Scenario, jobs: JobId[]): void => {
  for (let i = 0; i < SHORT_JOB_COUNT; i++)
    scenario.cluster.at(10_000 + scenario.random() * (FAULTS_START_MS + FAULTS_DURATION_MS), () => {
      const kind = scenario.random() < 0.7 ? 'array' : 'gang';
      const team = (scenario.random() < 0.5 ? 'blue' : 'green') as Team;
      const runMs = 1000 + scenario.random() * 12_000;
      const checkpointS = scenario.random() < 0.5 ? 0 : 10;
      const id = scenario.submit(
        { kind, team, tasks: 1 + Math.floor(scenario.random() * 3), checkpointS },
        runMs,
      );
      jobs.push(id);
      if (scenario.random() < 0.25)
        scenario.cluster.at(scenario.cluster.now + runMs * (0.5 + scenario.random()), () =>
          scenario.cluster.cancel(id),
        );
    });
};

const injectDenseFaults = (scenario: Scenario, jobs: JobId[]): void => {
  const names = Object.keys(allFaults);
  for (
    let atMs = FAULTS_START_MS;
    atMs < FAULTS_START_MS + FAULTS_DURATION_MS;
    atMs += 3000 + scenario.random() * 12_000
  )
    for (let i = 0; i < FAULTS_PER_GROUP; i++) {
      const name = pickRandom(scenario, names)!;
      const durationMs = 2000 + scenario.random() * (LONGEST_FAULT_MS - 2000);
      scenario.cluster.at(
        Math.min(atMs + scenario.random() * 2000, FAULTS_START_MS + FAULTS_DURATION_MS),
        () => {
          scenario.cluster.addNote(`${name} for ${Math.round(durationMs / 1000)} s`);
          allFaults[name](scenario, durationMs, jobs);
        },
      );
    }
};

for (const seed of seeds) {
  test(`dense faults with pipelines and cancellations, seed ${seed}`, () =>
    assertScenarioPasses(
      {
        seeds: [seed],
        faultsEndMs: FAULTS_START_MS + FAULTS_DURATION_MS + LONGEST_FAULT_MS + 10_000,
        endMs: 500_000,
      },
      (scenario) => {
        const jobs: JobId[] = [];
        scenario.cluster.at(10_000, () => jobs.push(...submitMixedWork(scenario)));
        submitShortJobs(scenario, jobs);
        submitPipelines(scenario, 10);
        injectDenseFaults(scenario, jobs);
      },
    ));
}
