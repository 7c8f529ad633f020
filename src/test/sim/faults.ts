/** Faults from which the tests draw at random. The order of the entries determines which fault a seed draws. */
import type { Scenario } from './scenario.js';
import type { JobId } from '../../core/units.js';

/** Starts the fault. A fault with a duration derives it from `forMs`. */
export type Fault = (scenario: Scenario, forMs: number, jobs: JobId[]) => void;

/** Picks a random element. Returns undefined if there is none. */
export const pickRandom = <T>(scenario: Scenario, all: T[]): T | undefined =>
  all[Math.floor(scenario.random() * all.length)];

const randomWorkers = (scenario: Scenario, fraction: number) =>
  [...scenario.cluster.workers.values()].filter(() => scenario.random() < fraction);

/** Faults of the key-value store, the cloud provider, controllers, machines and zones, and cancellations. */
export const basicFaults: Record<string, Fault> = {
  'leader refused': (scenario, forMs) => scenario.cluster.refuseLeader(forMs / 3),
  outage: (scenario, forMs) => scenario.cluster.keyValueStore.startOutage(forMs),
  'delayed transactions': (scenario, forMs) => scenario.cluster.keyValueStore.delayTransactions(0.3, forMs),
  'duplicate heartbeats': (scenario, forMs) => scenario.cluster.duplicateHeartbeats(0.4, forMs),
  'leader restarted': (scenario) =>
    scenario.cluster.leader &&
    scenario.cluster.restart(scenario.cluster.leader, 100 + scenario.random() * 6000),
  'all restarted': (scenario) =>
    scenario.cluster.controllers.forEach((controller) =>
      scenario.cluster.restart(controller, 100 + scenario.random() * 9000),
    ),
  'one restarted': (scenario) =>
    scenario.cluster.restart(pickRandom(scenario, scenario.cluster.controllers)!, scenario.random() * 800),
  'leader frozen': (scenario, forMs) => scenario.cluster.leader?.host.freeze(Math.min(forMs, 25_000)),
  'leader without peers': (scenario, forMs) =>
    scenario.cluster.leader && scenario.cluster.isolateFromPeers(scenario.cluster.leader, 'hold', forMs),
  'peers refuse connections': (scenario, forMs) =>
    scenario.cluster.controllers.forEach((controller) =>
      scenario.cluster.isolateFromPeers(controller, 'refuse', forMs),
    ),
  'one without key-value store and peers': (scenario, forMs) => {
    const controller = pickRandom(scenario, scenario.cluster.controllers)!;
    scenario.cluster.isolateFromKeyValueStore(controller, forMs);
    scenario.cluster.isolateFromPeers(controller, 'hold', forMs);
  },
  'zone partition': (scenario, forMs) =>
    scenario.cluster.isolateZone('west', scenario.random() < 0.5 ? 'hold' : 'lose', forMs),
  'machines hang': (scenario, forMs) =>
    randomWorkers(scenario, 0.3).forEach((workerHost) => workerHost.hang(scenario.random() * forMs)),
  'machines end': (scenario) => randomWorkers(scenario, 0.2).forEach((workerHost) => workerHost.terminate()),
  'machines with inbound partition': (scenario, forMs) => {
    const partitioned = randomWorkers(scenario, 0.25);
    partitioned.forEach((workerHost) => (workerHost.worker.inboundPartitioned = true));
    scenario.cluster.at(scenario.cluster.now + forMs, () =>
      partitioned.forEach((workerHost) => (workerHost.worker.inboundPartitioned = false)),
    );
  },
  'machines with outbound partition': (scenario, forMs) => {
    const partitioned = randomWorkers(scenario, 0.25);
    partitioned.forEach((workerHost) => (workerHost.heartbeatsDropped = true));
    scenario.cluster.at(scenario.cluster.now + forMs, () =>
      partitioned.forEach((workerHost) => (workerHost.heartbeatsDropped = false)),
    );
  },
  'cloud provider outage': (scenario, forMs) => {
    scenario.cluster.cloudProvider.unavailable = true;
    scenario.cluster.at(
      scenario.cluster.now + Math.min(forMs, 12_000),
      () => (scenario.cluster.cloudProvider.unavailable = false),
    );
  },
  'cancel and hang': (scenario, forMs, jobs) => {
    const id = pickRandom(scenario, jobs);
    if (id === undefined || scenario.random() < 0.1) return;
    for (const workerHost of scenario.cluster.machinesOf(id))
      if (scenario.random() < 0.6) workerHost.hang(Math.max(45_000, forMs));
    scenario.cluster.cancel(id);
  },
  'cancel many': (scenario, _forMs, jobs) =>
    jobs.filter(() => scenario.random() < 0.4).forEach((id) => scenario.cluster.cancel(id)),
};

/** The basic faults, and additional ones: slow links, lost responses, delayed commands and repeated restarts. */
export const allFaults: Record<string, Fault> = {
  ...basicFaults,
  'lost responses': (scenario, forMs) => scenario.cluster.keyValueStore.loseResponses(0.5, forMs / 3),
  'key-value store slow': (scenario, forMs) => {
    scenario.cluster.keyValueStore.responseDelayMs = 200 + scenario.random() * 1400;
    scenario.cluster.at(
      scenario.cluster.now + forMs / 3,
      () => (scenario.cluster.keyValueStore.responseDelayMs = 0),
    );
  },
  'delayed commands': (scenario, forMs) => scenario.cluster.delayDirectCommands(0.5, forMs),
  'slow links': (scenario, forMs) => {
    const ips = [...scenario.cluster.workers.values()].map((workerHost) => workerHost.host.ip);
    const controllers = scenario.cluster.controllers
      .filter(() => scenario.random() < 0.7)
      .map((controller) => controller.ip);
    scenario.cluster.network.setLatency(ips, controllers, () => scenario.random() * 1800, forMs);
  },
  'peers slow': (scenario, forMs) => {
    const controllers = scenario.cluster.controllers.map((controller) => controller.ip);
    scenario.cluster.network.setLatency(controllers, controllers, () => scenario.random() * 900, forMs);
  },
  'leader restarted twice': (scenario) => {
    const controller = scenario.cluster.leader;
    if (!controller) return;
    scenario.cluster.restart(controller, 100);
    scenario.cluster.at(
      scenario.cluster.now + 1500,
      () => scenario.cluster.leader && scenario.cluster.restart(scenario.cluster.leader, 200),
    );
  },
};
