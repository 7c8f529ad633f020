/** Mutation tests of the leader simulation: the invariant checker must detect leaders that lack a safeguard. */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import { jobSpec } from './sim/fixtures.js';
import { crowdedSimulation, minutes } from './sim/leader-scenarios.js';
import { LeaderSimulation } from './sim/leader-simulation.js';
import { Leader } from '../core/leader/leader.js';
import type { JobId, MonotonicTime, WallTime } from '../core/units.js';

test('the invariant checker detects a leader that restarts tasks without proof that they have ended', () => {
  // Treats missing heartbeats as proof that a machine runs no tasks.
  class LeaderWithoutFencing extends Leader {
    override tick(now: MonotonicTime, wall: WallTime): void {
      for (const machine of this.machines.values()) {
        if (machine.lastHeartbeatAt === null || now - machine.lastHeartbeatAt < 5000) continue;
        for (const { job, placement } of [...machine.placements.values()]) {
          job.removePlacement(placement.index);
          machine.unassign(job.id, placement.index);
        }
      }
      super.tick(now, wall);
    }
  }
  const simulation = new LeaderSimulation(5, (...a) => new LeaderWithoutFencing(...a));
  for (let i = 0; i < 6; i++) simulation.submit(jobSpec(`wk-${i}`, { tasks: 4, estimateS: 200, imageGb: 1 }));
  simulation.clock.after(minutes(2), () => {
    simulation.cancel('wk-0' as JobId); // frees capacity, so that the premature start happens at once
    const [busyMachine] = [...simulation.machines.running.values()].filter((running) =>
      running.worker.nextHeartbeat().tasks.some((t) => t.job !== 'wk-0'),
    );
    busyMachine.worker.unreachable = true;
  });
  simulation.clock.runUntil(minutes(4));
  assert.ok(
    simulation.checker.violations.some((b) => b.startsWith('ran_twice')),
    'the mutation is detected',
  );
});

test('the invariant checker detects a leader without aging, under which jobs starve', () => {
  const withoutAging = (...[leadership, settings, at]: ConstructorParameters<typeof Leader>): Leader =>
    new Leader(leadership, { ...settings, agingS: 100_000 }, at);
  const { violations } = crowdedSimulation(withoutAging).checker;
  assert.ok(
    violations.some((b) => b.startsWith('starved')),
    violations.join('; '),
  );
});

test('the invariant checker detects a leader that ignores a job', () => {
  class LeaderIgnoringJob extends Leader {
    override applyJobRecord(...a: Parameters<Leader['applyJobRecord']>): void {
      if (a[0].id !== 'wk-2') super.applyJobRecord(...a);
    }
  }
  const simulation = new LeaderSimulation(12, (...a) => new LeaderIgnoringJob(...a));
  for (let i = 0; i < 3; i++) simulation.submit(jobSpec(`wk-${i}`, { imageGb: 1 }));
  simulation.clock.runUntil(minutes(4));
  simulation.checker.checkAtEnd();
  assert.deepEqual(simulation.checker.violations.filter((b) => b.startsWith('forgotten')).length, 1);
});
