/** Random faults in a simulated cluster. RANDOM_FAULT_SEEDS=FIRST-LAST replaces the default seeds. */
import { test } from 'node:test';
import { assertScenarioPasses, submitMixedWork, type Scenario } from './sim/scenario.js';
import { pickRandom, basicFaults } from './sim/faults.js';
import type { JobId, Team, Zone } from '../core/units.js';

const [first = 1, last = 8] = (process.env['RANDOM_FAULT_SEEDS'] ?? '')
  .split('-')
  .filter(Boolean)
  .map(Number);
const FAULTS_START_MS = 30_000;
const FAULTS_DURATION_MS = 90_000;
const LONGEST_FAULT_MS = 60_000;

/** Submits random jobs at random times. */
const submitRandomJobs = (scenario: Scenario, jobs: JobId[]): void => {
  for (let i = 0; i < 14; i++)
    scenario.cluster.at(10_000 + scenario.random() * 100_000, () => {
      const kind = scenario.random() < 0.5 ? 'array' : 'gang';
      const tasks = 1 + Math.floor(scenario.random() * 3);
      const priority = scenario.random() < 0.3 ? 'high' : scenario.random() < 0.5 ? 'normal' : 'low';
      const team = (scenario.random() < 0.5 ? 'blue' : 'green') as Team;
      const zone = scenario.random() < 0.2 ? ('west' as Zone) : null;
      const runMs = 4000 + scenario.random() * 60_000;
      jobs.push(
        scenario.submit({ kind, tasks, priority, team, zone, oneZone: scenario.random() < 0.3 }, runMs),
      );
    });
};

for (let seed = first; seed <= last; seed++) {
  test(`random faults, seed ${seed}`, () =>
    assertScenarioPasses(
      {
        seeds: [seed],
        faultsEndMs: FAULTS_START_MS + FAULTS_DURATION_MS + LONGEST_FAULT_MS + 10_000,
        endMs: 500_000,
      },
      (scenario) => {
        const jobs: JobId[] = [];
        scenario.cluster.at(10_000, () => jobs.push(...submitMixedWork(scenario)));
        submitRandomJobs(scenario, jobs);
        const names = Object.keys(basicFaults);
        const faultCount = 4 + Math.floor(scenario.random() * 7);
        let atMs = FAULTS_START_MS;
        for (let i = 0; i < faultCount; i++) {
          // Some faults follow the previous one within 3 s.
          atMs +=
            scenario.random() < 0.4
              ? scenario.random() * 3000
              : (scenario.random() * 2 * FAULTS_DURATION_MS) / faultCount;
          const name = pickRandom(scenario, names)!;
          const durationMs = 2000 + scenario.random() * (LONGEST_FAULT_MS - 2000);
          scenario.cluster.at(Math.min(atMs, FAULTS_START_MS + FAULTS_DURATION_MS), () => {
            scenario.cluster.addNote(`${name} for ${Math.round(durationMs / 1000)} s`);
            basicFaults[name](scenario, durationMs, jobs);
          });
        }
      },
    ));
}
