/** One leader on virtual time: with single faults and pairs of them, at size, and in the cases that need a safeguard. */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import { jobSpec } from './sim/fixtures.js';
import { busySimulation, crowdedSimulation, leaderFaults, minutes } from './sim/leader-scenarios.js';
import { LeaderSimulation } from './sim/leader-simulation.js';
import { Leader } from '../core/leader/leader.js';
import type { JobId, MachineId, MonotonicTime, WallTime } from '../core/units.js';

const assertServed = (simulation: LeaderSimulation, what: string): void => {
  simulation.checker.checkAtEnd();
  assert.deepEqual(simulation.checker.violations, [], what);
  assert.ok(simulation.checker.startCount > 40, `${what}: ${simulation.checker.startCount} starts`);
  const open = [...simulation.specs.keys()].filter((id) => !simulation.finalStates.has(id));
  assert.deepEqual(open, [], `${what}: all jobs end`);
};

test('every single fault: no invariant is violated and every job ends', () => {
  for (const [name, fault] of Object.entries(leaderFaults)) {
    const simulation = busySimulation(7);
    simulation.clock.after(minutes(3), () => fault(simulation));
    simulation.clock.runUntil(minutes(20));
    assertServed(simulation, name);
  }
});

test('every pair of faults: no invariant is violated and every job ends', () => {
  const names = Object.keys(leaderFaults);
  let seed = 100;
  for (const first of names) {
    for (const second of names) {
      const simulation = busySimulation(seed++);
      simulation.clock.after(minutes(2) + 20_000, () => leaderFaults[first](simulation));
      simulation.clock.after(minutes(2) + 20_000 + simulation.random() * 30_000, () =>
        leaderFaults[second](simulation),
      );
      simulation.clock.runUntil(minutes(20));
      assertServed(simulation, `${first}, then ${second}`);
    }
  }
});

test('930 machines: live work recovers first after a mass loss with failover, in cycles of bounded work', () => {
  const simulation = new LeaderSimulation(21);
  simulation.machines.capacity.set('small', 780);
  simulation.machines.capacity.set('large', 150);
  const live = {
    class: 'live',
    kind: 'service',
    priority: 'production',
    estimateS: 0,
    spread: true,
  } as const;
  const lives = Array.from({ length: 50 }, (_item, i) => `wk-${i}` as JobId);
  for (const [i, id] of lives.entries())
    simulation.submit(jobSpec(id, { ...live, tasks: 8, image: `live-${i % 9}`, checkpointS: 0 }));
  for (let i = 0; i < 40; i++)
    simulation.submit(
      jobSpec(`wk-${100 + i}`, { class: 'batch', tasks: 80, image: `batch-${i % 4}`, estimateS: 200 }),
    );
  const running = (of: JobId[]): number =>
    of.reduce((sum, id) => sum + (simulation.leader?.jobs.get(id)?.runningCount ?? 0), 0);
  simulation.clock.runUntil(70_000);
  assert.ok(simulation.machines.running.size > 900, `${simulation.machines.running.size} machines are up`);
  assert.equal(running(lives), 400);
  // Every sixth machine dies, with its tasks; the leader too, and another is elected at once.
  [...simulation.machines.running.keys()]
    .filter((_item, i) => i % 6 === 0)
    .forEach((id) => simulation.machines.remove(id));
  simulation.crashLeader(100);
  simulation.clock.runUntil(125_000);
  assert.deepEqual(simulation.checker.violations, []);
  assert.equal(running(lives), 400, 'every live replica runs again');
  assert.ok(
    simulation.maxCycleWork <= 200_000 + 100_000,
    `${simulation.maxCycleWork} units of work in one cycle`,
  );
});

test('for live work on unreachable machines replacements boot before the old machines are fenced', () => {
  const simulation = new LeaderSimulation(22);
  const live = { kind: 'service', priority: 'production', estimateS: 0, imageGb: 1 } as const;
  for (let i = 0; i < 6; i++) simulation.submit(jobSpec(`wk-${i}`, { ...live, tasks: 8 }));
  simulation.clock.runUntil(90_000);
  const busy = [...simulation.machines.running.values()].filter(
    (running) => running.worker.nextHeartbeat().tasks.length > 0,
  );
  // More than a tenth, but less than half of a zone: waited for, and not taken for a partition.
  for (const { worker } of busy.slice(0, Math.ceil(busy.length / 4))) worker.unreachable = true;
  const from = simulation.trace.length;
  simulation.clock.runUntil(130_000);
  const at = (what: string): number => simulation.trace.slice(from).findIndex((line) => line.includes(what));
  assert.ok(at('creates') >= 0 && at('creates') < at('fenced'), simulation.trace.slice(from).join('\n'));
  assert.deepEqual(simulation.checker.violations, []);
});

test('the same seed gives the same trace', () => {
  const run = (): string[] => {
    const simulation = busySimulation(3);
    simulation.clock.after(minutes(3), () => simulation.crashLeader(2000));
    simulation.clock.runUntil(minutes(10));
    return simulation.trace;
  };
  assert.deepEqual(run(), run());
});

test('no starvation behind a stream of higher priority: whole machines, low priority', () => {
  assert.deepEqual(crowdedSimulation().checker.violations, []);
});

test('a duplicate of an executed and answered start command never runs the task again', () => {
  // The checker must detect it: this mutation forgets attempts at once.
  class LeaderForgettingAttempts extends Leader {
    override tick(now: MonotonicTime, wall: WallTime): void {
      for (const machine of this.machines.values())
        if (!machine.directCommandInFlight) machine.inFlightStarts.clear();
      super.tick(now, wall);
    }
  }
  const run = (make?: ConstructorParameters<typeof LeaderSimulation>[1]): LeaderSimulation => {
    const simulation = new LeaderSimulation(13, make);
    simulation.link.duplicateFraction = 1;
    for (let i = 0; i < 20; i++) {
      simulation.clock.after(i * 9000, () =>
        simulation.submit(jobSpec(`wk-${i}`, { tasks: 6, imageGb: 1, estimateS: 20 })),
      );
      // Preempted work continues elsewhere while duplicates of its first start are still in flight.
      simulation.clock.after(i * 9000 + 4000, () =>
        simulation.submit(
          jobSpec(`wk-${100 + i}`, { tasks: 3, priority: 'high', gpus: 2, imageGb: 1, estimateS: 10 }),
        ),
      );
    }
    simulation.machines.capacity.set('large', 2);
    simulation.machines.capacity.set('small', 2);
    simulation.clock.runUntil(minutes(14));
    return simulation;
  };
  assert.deepEqual(run().checker.violations, []);
  const broken = run((...a) => new LeaderForgettingAttempts(...a)).checker.violations;
  assert.ok(
    broken.some((b) => b.startsWith('ran_twice')),
    'the mutation is detected',
  );
});

test('a machine behind a one-way partition is decommissioned, and its tasks run elsewhere', () => {
  const simulation = new LeaderSimulation(14);
  simulation.submit(
    jobSpec('wk-1', { kind: 'service', tasks: 4, estimateS: 0, priority: 'production', imageGb: 1 }),
  );
  let partitioned: MachineId | null = null;
  simulation.clock.after(60_000, () => {
    const [id, running] = [...simulation.machines.running].find(
      ([, running]) => running.worker.nextHeartbeat().tasks.length > 0,
    )!;
    running.worker.inboundPartitioned = true;
    partitioned = id;
  });
  simulation.clock.runUntil(150_000);
  assert.deepEqual(simulation.checker.violations, []);
  assert.ok(partitioned !== null && !simulation.machines.running.has(partitioned), 'decommissioned');
  assert.equal(simulation.leader!.jobs.get('wk-1' as JobId)!.runningCount, 4);
});

for (const lost of [false, true]) {
  const how = lost ? 'lost' : 'held back';
  // Guards against healthy machines being fenced when a partition longer than the lease ends.
  test(`heartbeats that a partition ${how} do not count as a one-way partition`, () =>
    partitionLongerThanLease(lost));
}

const partitionLongerThanLease = (lost: boolean): void => {
  const simulation = new LeaderSimulation(15);
  const live = { kind: 'service', tasks: 12, estimateS: 0, priority: 'production', imageGb: 1 } as const;
  simulation.submit(jobSpec('wk-1', live));
  simulation.clock.runUntil(60_000);
  const workers = [...simulation.machines.running.values()].map((running) => running.worker);
  const busy = workers.filter((worker) => simulation.leader!.machines.get(worker.info.id)!.busy);
  assert.ok(busy.length > 1);
  const held = workers.map((worker) => worker.nextHeartbeat());
  for (const worker of workers) worker.unreachable = true;
  simulation.clock.runUntil(74_000);
  if (!lost)
    for (const report of held) simulation.leader!.onHeartbeat(report, simulation.clock.now as MonotonicTime);
  for (const worker of workers) worker.unreachable = false;
  simulation.clock.runUntil(80_000);
  assert.ok(
    busy.every(
      (worker) =>
        worker.incarnation === 2 && simulation.leader!.machines.get(worker.info.id)?.decommissioning === null,
    ),
  );
  // Nor is one fenced as the last of the unreachable ones, while heartbeats of the others arrive again.
  assert.deepEqual(
    simulation.trace.filter((line) => line.includes('fenced')),
    [],
  );
};

test('a new leader places by the image locations that its predecessor knew', () => {
  const simulation = new LeaderSimulation(6);
  simulation.submit(
    jobSpec('wk-1', { image: 'img-9', imageGb: 20, estimateS: 5, kind: 'service', tasks: 2, spread: true }),
  );
  simulation.clock.runUntil(90_000);
  const locations = simulation.leader!.imageLocations();
  const warm = Object.keys(locations).filter((id) => locations[id].some(([image]) => image === 'img-9'));
  assert.equal(warm.length, 2);
  simulation.cancel('wk-1' as JobId);
  simulation.clock.runUntil(95_000);
  simulation.electLeader();
  simulation.leader!.loadImageLocations(locations);
  simulation.clock.runUntil(100_000);
  simulation.submit(jobSpec('wk-2', { image: 'img-9', imageGb: 20, estimateS: 30 }));
  simulation.clock.runUntil(101_000);
  const placed = [...simulation.leader!.jobs.get('wk-2' as JobId)!.placements.values()].map(
    (placement) => placement.machine as string,
  );
  assert.ok(placed.length === 1 && warm.includes(placed[0]), `${placed.join()} of ${warm.join()}`);
});
