/** The cost of a scheduling cycle, counted in evaluations of machines. */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import { makeJob, makeMachine, placeRunningTask, runTestCycle } from './sim/scheduling-cycle-fixtures.js';
import type { Job } from '../core/job.js';

test('at 700 machines the cost of a cycle grows with its signatures, not with jobs times tasks', () => {
  const full = makeJob('wk-0', { tasks: 5600, priority: 'production', cpus: 8 });
  const machines = Array.from({ length: 700 }, (_item, i) =>
    makeMachine(`m${i}`, 'large', i % 2 ? 'east' : 'west'),
  );
  machines.forEach((machine, i) => {
    for (let slot = 0; slot < 8; slot++) placeRunningTask(machine, full, i * 8 + slot);
  });
  const waiting = (count: number): Job[] =>
    Array.from({ length: count }, (_item, i) =>
      makeJob(`wk-${i + 1}`, { tasks: 40, cpus: 4 + (i % 5), kind: i % 2 ? 'gang' : 'array', oneZone: true }),
    );
  // Each job requests different resources, so that no filter result is reused. Full machines are still not checked one by one.
  const distinct = waiting(300).map((j, i) => makeJob(j.id, { tasks: 40, cpus: 4 + i / 100 }));
  const { machineEvaluations } = runTestCycle(machines, distinct);
  assert.ok(
    machineEvaluations <= 2 * machines.length + distinct.length,
    `${machineEvaluations} for 300 distinct jobs`,
  );
  const few = runTestCycle(machines, waiting(10)).machineEvaluations;
  const many = runTestCycle(machines, waiting(300)).machineEvaluations;
  assert.ok(
    many <= few * 2,
    `${few} machine evaluations for 10 jobs, ${many} for 300 with the same signatures`,
  );
  // With free capacity on every machine, the limit on machine evaluations per cycle holds, and the unprocessed jobs are
  // left for the next cycle.
  const empty = Array.from({ length: 700 }, (_item, i) =>
    makeMachine(`e${i}`, 'large', i % 2 ? 'east' : 'west'),
  );
  const busy = runTestCycle(empty, waiting(120));
  assert.ok(
    busy.unprocessed.length > 0 && busy.machineEvaluations < 200_000 + 40 * 4 * 700,
    `${busy.machineEvaluations}`,
  );
});
