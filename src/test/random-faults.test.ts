// Troubles drawn at random meet on one day. RANDOM_FAULT_SEEDS=FIRST-LAST plays other days than those kept here.
import { test } from 'node:test';
import { submitMixedWork, assertScenarioPasses, type Scenario } from './sim/scenario.js';
import { pickRandom, basicFaults } from './sim/faults.js';
import type { JobId, Team, Zone } from '../core/units.js';

const [first = 1, last = 8] = (process.env['RANDOM_FAULT_SEEDS'] ?? '')
  .split('-')
  .filter(Boolean)
  .map(Number);
const BEGIN_MS = 30_000;
const TROUBLES_MS = 90_000;
const LONGEST_MS = 60_000;

const randomWork = (m: Scenario, jobs: JobId[]): void => {
  for (let i = 0; i < 14; i++)
    m.cluster.at(10_000 + m.random() * 100_000, () => {
      const kind = m.random() < 0.5 ? 'array' : 'gang';
      const tasks = 1 + Math.floor(m.random() * 3);
      const priority = m.random() < 0.3 ? 'high' : m.random() < 0.5 ? 'normal' : 'low';
      const team = (m.random() < 0.5 ? 'blue' : 'green') as Team;
      const zone = m.random() < 0.2 ? ('west' as Zone) : null;
      const runMs = 4000 + m.random() * 60_000;
      jobs.push(m.submit({ kind, tasks, priority, team, zone, oneZone: m.random() < 0.3 }, runMs));
    });
};

for (let seed = first; seed <= last; seed++) {
  test(`random faults, seed ${seed}`, () =>
    assertScenarioPasses(
      { seeds: [seed], faultsEndMs: BEGIN_MS + TROUBLES_MS + LONGEST_MS + 10_000, endMs: 500_000 },
      (m) => {
        const jobs: JobId[] = [];
        m.cluster.at(10_000, () => jobs.push(...submitMixedWork(m)));
        randomWork(m, jobs);
        const names = Object.keys(basicFaults);
        const n = 4 + Math.floor(m.random() * 7);
        let atMs = BEGIN_MS;
        for (let i = 0; i < n; i++) {
          // Some follow one another at once.
          atMs += m.random() < 0.4 ? m.random() * 3000 : (m.random() * 2 * TROUBLES_MS) / n;
          const name = pickRandom(m, names)!;
          const forMs = 2000 + m.random() * (LONGEST_MS - 2000);
          m.cluster.at(Math.min(atMs, BEGIN_MS + TROUBLES_MS), () => {
            m.cluster.addNote(`${name} for ${Math.round(forMs / 1000)} s`);
            basicFaults[name](m, forMs, jobs);
          });
        }
      },
    ));
}
