/** Recorded traces of one leader on virtual time; see `UPDATE_TRACES` in `sim/trace-file.ts`. */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import { jobSpec } from './sim/fixtures.js';
import { LeaderSimulation } from './sim/leader-simulation.js';
import { assertTraceMatches } from './sim/trace-file.js';
import type { Zone } from '../core/units.js';

test('trace: a gang is placed completely, survives a failover, and ends', () => {
  const simulation = new LeaderSimulation(1);
  simulation.submit(jobSpec('wk-1', { kind: 'gang', tasks: 3, oneZone: true, estimateS: 60 }));
  simulation.clock.after(50_000, () => simulation.crashLeader(2000));
  simulation.clock.runUntil(150_000);
  assert.deepEqual(simulation.checker.violations, []);
  assertTraceMatches('gang-over-two-leaders', simulation.trace);
});

test('trace: an unacknowledged start stays in flight while it may still arrive', () => {
  const simulation = new LeaderSimulation(2);
  simulation.submit(jobSpec('wk-1', { zone: 'east' as Zone, tasks: 1, estimateS: 20 }));
  simulation.clock.after(5000, () => (simulation.link.commandLossFraction = 1));
  simulation.clock.after(60_000, () => (simulation.link.commandLossFraction = 0));
  simulation.clock.after(80_000, () => simulation.link.deliverHeldCommands());
  simulation.clock.runUntil(110_000);
  assert.deepEqual(simulation.checker.violations, []);
  assert.equal(simulation.checker.startCount, 1);
  assertTraceMatches('lost-start', simulation.trace);
});

test('trace: an unreachable machine is fenced before its task starts elsewhere', () => {
  const simulation = new LeaderSimulation(4);
  simulation.submit(jobSpec('wk-1', { kind: 'service', tasks: 1, estimateS: 0, priority: 'production' }));
  simulation.clock.after(60_000, () => {
    const [id] = [...simulation.machines.running].find(
      ([, running]) => running.worker.nextHeartbeat().tasks.length > 0,
    )!;
    simulation.machines.running.get(id)!.worker.unreachable = true;
  });
  simulation.clock.runUntil(130_000);
  assert.deepEqual(simulation.checker.violations, []);
  assert.equal(simulation.checker.startCount, 2);
  assertTraceMatches('silent-machine', simulation.trace);
});
