/** Workloads and faults for the simulation of one leader. */
import { jobSpec } from './fixtures.js';
import { LeaderSimulation } from './leader-simulation.js';
import type { JobId, Team } from '../../core/units.js';

/** Converts minutes to milliseconds. */
export const minutes = (count: number): number => count * 60_000;

/** A simulation in which jobs of every kind are submitted over eight minutes and some are cancelled. */
export const busySimulation = (seed: number): LeaderSimulation => {
  const simulation = new LeaderSimulation(seed);
  for (let i = 0; i < 24; i++) {
    const at = simulation.random() * minutes(8);
    const kind = i % 4;
    simulation.clock.after(at, () => {
      const id = `wk-${100 + i}`;
      if (kind === 0)
        simulation.submit(jobSpec(id, { tasks: 1 + Math.floor(simulation.random() * 9), spot: true }));
      if (kind === 1) {
        simulation.submit(
          jobSpec(id, { kind: 'gang', tasks: 3, oneZone: true, priority: 'high', image: 'img-2' }),
        );
      }
      if (kind === 2) {
        simulation.submit(
          jobSpec(id, { kind: 'service', tasks: 2, spread: true, priority: 'production', estimateS: 0 }),
        );
      }
      if (kind === 3)
        simulation.submit(jobSpec(id, { tasks: 6, team: 'blue' as Team, priority: 'low', gpus: 2 }));
      if (kind === 2 || i % 7 === 0)
        simulation.clock.after(minutes(2), () => cancelWhenAvailable(simulation, id as JobId));
    });
  }
  return simulation;
};

const cancelWhenAvailable = (simulation: LeaderSimulation, id: JobId): void => {
  if (simulation.keyValueStoreUnavailable)
    simulation.clock.after(1000, () => cancelWhenAvailable(simulation, id));
  else simulation.cancel(id);
};

/** Injects a fault at the current time. */
export type LeaderFault = (simulation: LeaderSimulation) => void;

const randomWorkers = (simulation: LeaderSimulation, fraction: number) =>
  [...simulation.machines.running.values()]
    .filter(() => simulation.random() < fraction)
    .map((running) => running.worker);

/** Faults by name. Tests derive the seed of a pair of faults from the order of the entries. */
export const leaderFaults: Record<string, LeaderFault> = {
  'leader crashes': (simulation) => simulation.crashLeader(3000),
  'leader crashes, successor after 100 ms': (simulation) => simulation.crashLeader(100),
  'key-value store outage': (simulation) => {
    simulation.keyValueStoreUnavailable = true;
    simulation.clock.after(20_000, () => (simulation.keyValueStoreUnavailable = false));
  },
  'cloud provider outage': (simulation) => {
    simulation.cloudUnavailable = true;
    simulation.clock.after(45_000, () => (simulation.cloudUnavailable = false));
  },
  'half the machines unreachable, commands held': (simulation) => {
    const unreachable = randomWorkers(simulation, 0.5);
    for (const worker of unreachable) worker.unreachable = true;
    simulation.link.holdCommands = true;
    simulation.clock.after(20_000, () => {
      for (const worker of unreachable) worker.unreachable = false;
      simulation.link.holdCommands = false;
    });
    simulation.clock.after(75_000, () => simulation.link.deliverHeldCommands());
  },
  'one command in three lost': (simulation) => {
    simulation.link.commandLossFraction = 0.33;
    simulation.clock.after(60_000, () => (simulation.link.commandLossFraction = 0));
    simulation.clock.after(90_000, () => simulation.link.deliverHeldCommands());
  },
  'machines removed': (simulation) => {
    for (const worker of randomWorkers(simulation, 0.4)) simulation.machines.remove(worker.info.id);
  },
  'interruption notices': (simulation) => {
    for (const worker of randomWorkers(simulation, 0.5)) {
      worker.interruptionNoticeS = 10;
      simulation.clock.after(10_000, () => simulation.machines.remove(worker.info.id));
    }
  },
  'machines behind a one-way partition': (simulation) => {
    const partitioned = randomWorkers(simulation, 0.2);
    for (const worker of partitioned) worker.inboundPartitioned = true;
    simulation.clock.after(60_000, () => {
      for (const worker of partitioned) worker.inboundPartitioned = false;
    });
  },
  'late duplicates of heartbeats and commands': (simulation) => {
    simulation.link.duplicateFraction = 0.3;
    simulation.clock.after(minutes(3), () => (simulation.link.duplicateFraction = 0));
  },
  'leader crashes repeatedly, successors after 60 ms': (simulation) => {
    for (const ms of [0, 150, 400, 900, 4000]) simulation.clock.after(ms, () => simulation.crashLeader(60));
  },
  'a machine fails every task': (simulation) => {
    for (const worker of randomWorkers(simulation, 0.2)) worker.failsTasks = true;
  },
};

/**
 * Runs a simulation in which a gang needs two whole machines while small jobs of a higher priority are submitted every
 * four seconds until minute seven.
 */
export const crowdedSimulation = (
  createLeader?: ConstructorParameters<typeof LeaderSimulation>[1],
): LeaderSimulation => {
  const simulation = new LeaderSimulation(11, createLeader);
  simulation.machines.capacity.set('large', 4);
  simulation.machines.capacity.set('small', 0);
  let submitted = 0;
  simulation.clock.every(4000, () => {
    if (simulation.clock.now > minutes(7)) return;
    simulation.submit(
      jobSpec(`wk-${1000 + submitted++}`, {
        class: 'small',
        tasks: submitted === 40 ? 5 : 4,
        priority: 'high',
        imageGb: 1,
      }),
    );
  });
  const wholeMachineGang = {
    kind: 'gang',
    tasks: 2,
    gpus: 8,
    cpus: 60,
    memoryGb: 400,
    oneZone: true,
  } as const;
  simulation.clock.after(minutes(2), () =>
    simulation.submit(jobSpec('wk-1', { class: 'whole', ...wholeMachineGang })),
  );
  simulation.clock.after(minutes(2), () =>
    simulation.submit(jobSpec('wk-2', { class: 'wide', tasks: 30, priority: 'low', imageGb: 1 })),
  );
  simulation.clock.runUntil(minutes(14));
  simulation.checker.checkAtEnd();
  return simulation;
};
