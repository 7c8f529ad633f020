/** The invariant checker of the simulations reports each violation and nothing else. */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import { InvariantChecker } from './sim/invariant-checker.js';
import { LeaderSimulation } from './sim/leader-simulation.js';
import { jobSpec, teams } from './sim/fixtures.js';
import { Leader } from '../core/leader/leader.js';
import type { Heartbeat } from '../core/heartbeat.js';
import type { JobSpec } from '../core/job-spec.js';
import type { MachineInfo } from '../core/machine-info.js';
import type { Command } from '../core/worker-command.js';
import type {
  Endpoint,
  JobId,
  MachineId,
  MonotonicTime,
  Team,
  MachineTypeName,
  Zone,
} from '../core/units.js';

const machineInfo = (id: string, zone: string, spot = false): MachineInfo => ({
  id: id as MachineId,
  endpoint: '10.0.0.1:9000' as Endpoint,
  type: 'small' as MachineTypeName,
  zone: zone as Zone,
  spot,
});

const checkerFor = (overrides: Partial<JobSpec>) => {
  const spec = jobSpec('wk-1', { tasks: 4, ...overrides });
  const world = { now: 0 };
  const checker = new InvariantChecker(new Map([[spec.id, spec]]), teams, 40, () => world.now);
  return { checker, world, id: spec.id };
};
const rules = (checker: InvariantChecker): string[] => checker.violations.map((b) => b.split(' ')[0]);

test('the invariant checker reports each violated rule, and none before the violation', () => {
  const twice = checkerFor({});
  const place = twice.checker.onTaskStarted(machineInfo('a', 'east'), twice.id, 0);
  twice.checker.onTaskEnded(place);
  twice.checker.onTaskStarted(machineInfo('b', 'east'), twice.id, 0);
  assert.deepEqual(rules(twice.checker), []);
  twice.checker.onTaskStarted(machineInfo('c', 'east'), twice.id, 0);
  assert.deepEqual(rules(twice.checker), ['ran_twice']);

  const quota = checkerFor({ team: 'blue' as Team, gpus: 10 });
  quota.checker.onTaskStarted(machineInfo('a', 'east'), quota.id, 0);
  quota.checker.onTaskStarted(machineInfo('b', 'east'), quota.id, 1);
  assert.deepEqual(rules(quota.checker), []);
  quota.checker.onTaskStarted(machineInfo('c', 'east'), quota.id, 2);
  assert.deepEqual(rules(quota.checker), ['quota']);

  const wrong: [Partial<JobSpec>, MachineInfo][] = [
    [{ types: ['large' as MachineTypeName] }, machineInfo('a', 'east')],
    [{ zone: 'west' as Zone }, machineInfo('a', 'east')],
    [{}, machineInfo('a', 'east', true)],
  ];
  for (const [overrides, machine] of wrong) {
    const scenario = checkerFor(overrides);
    scenario.checker.onTaskStarted(machine, scenario.id, 0);
    assert.deepEqual(rules(scenario.checker), ['wrong_place'], JSON.stringify(overrides));
  }
  const split = checkerFor({ oneZone: true });
  split.checker.onTaskStarted(machineInfo('a', 'east'), split.id, 0);
  split.checker.onTaskStarted(machineInfo('b', 'west'), split.id, 1);
  assert.deepEqual(rules(split.checker), ['wrong_place']);
  const unspread = checkerFor({ spread: true });
  for (let i = 0; i < 3; i++) unspread.checker.onTaskStarted(machineInfo(`m${i}`, 'east'), unspread.id, i);
  assert.deepEqual(rules(unspread.checker), ['wrong_place']);

  const cancelled = checkerFor({});
  cancelled.checker.onTaskStarted(machineInfo('a', 'east'), cancelled.id, 0);
  cancelled.checker.onCancellationReported(cancelled.id);
  cancelled.world.now = 39_000;
  cancelled.checker.checkPeriodically();
  assert.deepEqual(rules(cancelled.checker), []);
  cancelled.world.now = 41_000;
  cancelled.checker.checkPeriodically();
  cancelled.checker.onTaskStarted(machineInfo('b', 'east'), cancelled.id, 1);
  assert.deepEqual(rules(cancelled.checker), ['ran_cancelled', 'ran_cancelled']);

  const early = checkerFor({});
  for (let i = 0; i < 3; i++) early.checker.onTaskCompleted(early.id, i);
  early.checker.onStatusReported(early.id, 'done');
  assert.deepEqual(rules(early.checker), ['not_done']);
  early.checker.onStatusReported(early.id, 'running');
  assert.deepEqual(rules(early.checker), ['not_done', 'went_back']);
});

test('a task that starts again after completion is a violation once a controller has acknowledged the completion or a user has seen it', () => {
  const unacknowledged = checkerFor({ tasks: 1 });
  unacknowledged.checker.onTaskCompleted(unacknowledged.id, 0);
  unacknowledged.checker.onTaskStarted(machineInfo('a', 'east'), unacknowledged.id, 0);
  assert.deepEqual(rules(unacknowledged.checker), [], 'its machine may have been lost with the result');

  const acknowledged = checkerFor({ tasks: 1 });
  acknowledged.checker.onTaskCompleted(acknowledged.id, 0);
  acknowledged.checker.onCompletionAcknowledged(acknowledged.id, 0);
  acknowledged.checker.onTaskStarted(machineInfo('a', 'east'), acknowledged.id, 0);
  assert.deepEqual(rules(acknowledged.checker), ['ran_twice']);

  const reported = checkerFor({ tasks: 1 });
  reported.checker.onTaskCompleted(reported.id, 0);
  reported.checker.onStatusReported(reported.id, 'done');
  reported.checker.onTaskStarted(machineInfo('a', 'east'), reported.id, 0);
  assert.deepEqual(rules(reported.checker), ['ran_twice']);
});

test('a task that stays on a machine although its job was reported done is orphaned', () => {
  const { checker, world, id } = checkerFor({ tasks: 1 });
  checker.onTaskStarted(machineInfo('a', 'east'), id, 0);
  checker.onTaskCompleted(id, 0);
  checker.onStatusReported(id, 'done');
  world.now = 39_000;
  checker.checkPeriodically();
  assert.deepEqual(rules(checker), []);
  world.now = 41_000;
  checker.checkPeriodically();
  assert.deepEqual(rules(checker), ['orphaned']);
});

test('the invariant checker detects a leader that does not stop cancelled tasks', () => {
  // Drops every stop command.
  class LeaderWithoutStops extends Leader {
    override onHeartbeat(heartbeat: Heartbeat, now: MonotonicTime): Command[] {
      return super.onHeartbeat(heartbeat, now).filter((command) => command.op !== 'stop');
    }
    override takeEffects() {
      return super
        .takeEffects()
        .filter(
          (effect) =>
            effect.kind !== 'send-direct-commands' ||
            effect.commands.every((command) => command.op === 'start'),
        );
    }
  }
  const simulation = new LeaderSimulation(8, (...a) => new LeaderWithoutStops(...a));
  simulation.submit(jobSpec('wk-1', { kind: 'service', tasks: 2, estimateS: 0 }));
  simulation.clock.after(90_000, () => simulation.cancel('wk-1' as JobId));
  simulation.clock.runUntil(180_000);
  assert.ok(
    simulation.checker.violations.some((b) => b.startsWith('ran_cancelled')),
    'the mutation is detected',
  );
});
