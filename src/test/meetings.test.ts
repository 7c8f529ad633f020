// Meetings of two troubles, between whole controllers on virtual time.
import { test } from 'node:test';
import { jobSpec, teams, types } from './sim/day.js';
import { ServiceSim } from './sim/service.js';

test('a quiet day', async () => {
  const sim = new ServiceSim({
    seed: 1,
    zones: ['east', 'west'],
    controllers: ['east', 'west', 'east'],
    teams,
    types,
    capacity: 30,
    runMs: () => 20_000,
  });
  for (let i = 0; i < 6; i++) sim.at(5000 + i * 1000, () => sim.submit(jobSpec(`wk-${i}`, { tasks: 3 })));
  await sim.run(120_000);
  sim.end();
  console.log(
    [...sim.users.values()].map((u) => u.status),
    sim.checker.starts,
    sim.checker.broken,
    sim.workers.size,
  );
});
