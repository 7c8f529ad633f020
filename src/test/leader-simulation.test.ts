/** One leader on virtual time: single faults, pairs of faults, a large cluster, and cases that each need a safeguard. */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import { jobSpec } from './sim/fixtures.js';
import { busySimulation, crowdedSimulation, leaderFaults, minutes } from './sim/leader-scenarios.js';
import { LeaderSimulation } from './sim/leader-simulation.js';
import { Leader } from '../core/leader/leader.js';
import type { JobId, MachineId, MonotonicTime, WallTime } from '../core/units.js';

const assertPasses = (simulation: LeaderSimulation, description: string): void => {
  simulation.checker.checkAtEnd();
  assert.deepEqual(simulation.checker.violations, [], description);
  assert.ok(simulation.checker.startCount > 40, `${description}: ${simulation.checker.startCount} starts`);
  const open = [...simulation.specs.keys()].filter((id) => !simulation.finalStates.has(id));
  assert.deepEqual(open, [], `${description}: every job ends`);
};

test('every single fault: no invariant is violated and every job ends', () => {
  for (const [name, fault] of Object.entries(leaderFaults)) {
    const simulation = busySimulation(7);
    simulation.clock.after(minutes(3), () => fault(simulation));
    simulation.clock.runUntil(minutes(20));
    assertPasses(simulation, name);
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
      assertPasses(simulation, `${first}, then ${second}`);
    }
  }
});

test('930 machines: after a loss of many machines and a failover, services recover first, in cycles of bounded work', () => {
  const simulation = new LeaderSimulation(21);
  simulation.machines.capacity.set('small', 780);
  simulation.machines.capacity.set('large', 150);
  const serviceSpec = {
    class: 'live',
    kind: 'service',
    priority: 'production',
    estimateS: 0,
    spread: true,
  } as const;
  const serviceIds = Array.from({ length: 50 }, (_item, i) => `wk-${i}` as JobId);
  for (const [i, id] of serviceIds.entries())
    simulation.submit(jobSpec(id, { ...serviceSpec, tasks: 8, image: `live-${i % 9}`, checkpointS: 0 }));
  for (let i = 0; i < 40; i++)
    simulation.submit(
      jobSpec(`wk-${100 + i}`, { class: 'batch', tasks: 80, image: `batch-${i % 4}`, estimateS: 200 }),
    );
  const running = (of: JobId[]): number =>
    of.reduce((sum, id) => sum + (simulation.leader?.jobs.get(id)?.runningCount ?? 0), 0);
  simulation.clock.runUntil(70_000);
  assert.ok(simulation.machines.running.size > 900, `${simulation.machines.running.size} machines are up`);
  assert.equal(running(serviceIds), 400);
  // Every sixth machine is lost with its tasks. The leader crashes too, and another one is elected at once.
  [...simulation.machines.running.keys()]
    .filter((_item, i) => i % 6 === 0)
    .forEach((id) => simulation.machines.remove(id));
  simulation.crashLeader(100);
  simulation.clock.runUntil(125_000);
  assert.deepEqual(simulation.checker.violations, []);
  assert.equal(running(serviceIds), 400, 'every service replica runs again');
  assert.ok(
    simulation.maxCycleWork <= 200_000 + 100_000,
    `${simulation.maxCycleWork} units of work in one cycle`,
  );
});

test('for services on unreachable machines, replacements boot before the old machines are fenced', () => {
  const simulation = new LeaderSimulation(22);
  const serviceSpec = { kind: 'service', priority: 'production', estimateS: 0, imageGb: 1 } as const;
  for (let i = 0; i < 6; i++) simulation.submit(jobSpec(`wk-${i}`, { ...serviceSpec, tasks: 8 }));
  simulation.clock.runUntil(90_000);
  const busy = [...simulation.machines.running.values()].filter(
    (running) => running.worker.nextHeartbeat().tasks.length > 0,
  );
  // More than a tenth of a zone, so the leader waits before it fences them; less than half, so it assumes no partition.
  for (const { worker } of busy.slice(0, Math.ceil(busy.length / 4))) worker.unreachable = true;
  const traceStart = simulation.trace.length;
  simulation.clock.runUntil(130_000);
  const traceIndexOf = (text: string): number =>
    simulation.trace.slice(traceStart).findIndex((line) => line.includes(text));
  assert.ok(
    traceIndexOf('creates') >= 0 && traceIndexOf('creates') < traceIndexOf('fenced'),
    simulation.trace.slice(traceStart).join('\n'),
  );
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

test('low-priority jobs that need whole machines do not starve behind a stream of jobs with higher priority', () => {
  assert.deepEqual(crowdedSimulation().checker.violations, []);
});

test('a duplicate of a start command that was executed and acknowledged does not run the task again', () => {
  // Mutation that drops in-flight starts at once. The checker must detect it.
  class LeaderWithoutInFlightStarts extends Leader {
    override tick(now: MonotonicTime, wall: WallTime): void {
      for (const machine of this.machines.values())
        if (!machine.directCommandInFlight) machine.inFlightStarts.clear();
      super.tick(now, wall);
    }
  }
  const run = (createLeader?: ConstructorParameters<typeof LeaderSimulation>[1]): LeaderSimulation => {
    const simulation = new LeaderSimulation(13, createLeader);
    simulation.link.duplicateFraction = 1;
    for (let i = 0; i < 20; i++) {
      simulation.clock.after(i * 9000, () =>
        simulation.submit(jobSpec(`wk-${i}`, { tasks: 6, imageGb: 1, estimateS: 20 })),
      );
      // Preempted tasks start on other machines while duplicates of their first start are still in flight.
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
  const broken = run((...a) => new LeaderWithoutInFlightStarts(...a)).checker.violations;
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

for (const heartbeatsLost of [false, true]) {
  const outcome = heartbeatsLost ? 'lost' : 'delayed';
  // Guards against a leader that fences healthy machines when a partition longer than the lease ends.
  test(`heartbeats that were ${outcome} in a partition are not treated as a sign of a one-way partition`, () =>
    partitionLongerThanLease(heartbeatsLost));
}

const partitionLongerThanLease = (heartbeatsLost: boolean): void => {
  const simulation = new LeaderSimulation(15);
  const serviceSpec = {
    kind: 'service',
    tasks: 12,
    estimateS: 0,
    priority: 'production',
    imageGb: 1,
  } as const;
  simulation.submit(jobSpec('wk-1', serviceSpec));
  simulation.clock.runUntil(60_000);
  const workers = [...simulation.machines.running.values()].map((running) => running.worker);
  const busy = workers.filter((worker) => simulation.leader!.machines.get(worker.info.id)!.busy);
  assert.ok(busy.length > 1);
  const delayedHeartbeats = workers.map((worker) => worker.nextHeartbeat());
  for (const worker of workers) worker.unreachable = true;
  simulation.clock.runUntil(74_000);
  if (!heartbeatsLost)
    for (const heartbeat of delayedHeartbeats)
      simulation.leader!.onHeartbeat(heartbeat, simulation.clock.now as MonotonicTime);
  for (const worker of workers) worker.unreachable = false;
  simulation.clock.runUntil(80_000);
  assert.ok(
    busy.every(
      (worker) =>
        worker.incarnation === 2 && simulation.leader!.machines.get(worker.info.id)?.decommissioning === null,
    ),
  );
  // The last machines that are still unreachable while the others send heartbeats again are not fenced either.
  assert.deepEqual(
    simulation.trace.filter((line) => line.includes('fenced')),
    [],
  );
};

test('a new leader places tasks by the image locations that its predecessor recorded', () => {
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
