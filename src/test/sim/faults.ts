// Single troubles, to be drawn at random by the tests.
import type { Scenario } from './scenario.js';
import type { JobId } from '../../core/units.js';

export type Fault = (scenario: Scenario, forMs: number, jobs: JobId[]) => void;

export const pickRandom = <T>(scenario: Scenario, all: T[]): T | undefined =>
  all[Math.floor(scenario.random() * all.length)];
const someWorkers = (scenario: Scenario, share: number) =>
  [...scenario.cluster.workers.values()].filter(() => scenario.random() < share);

export const basicFaults: Record<string, Fault> = {
  'leader refused': (scenario, forMs) => scenario.cluster.refuseLeader(forMs / 3),
  outage: (scenario, forMs) => scenario.cluster.keyValueStore.startOutage(forMs),
  'late writes': (scenario, forMs) => scenario.cluster.keyValueStore.delayTransactions(0.3, forMs),
  'late reports': (scenario, forMs) => scenario.cluster.duplicateHeartbeats(0.4, forMs),
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
  'peers refuse': (scenario, forMs) =>
    scenario.cluster.controllers.forEach((controller) =>
      scenario.cluster.isolateFromPeers(controller, 'refuse', forMs),
    ),
  'one without state and peers': (scenario, forMs) => {
    const controller = pickRandom(scenario, scenario.cluster.controllers)!;
    scenario.cluster.isolateFromKeyValueStore(controller, forMs);
    scenario.cluster.isolateFromPeers(controller, 'hold', forMs);
  },
  'zone cut': (scenario, forMs) =>
    scenario.cluster.isolateZone('west', scenario.random() < 0.5 ? 'hold' : 'lose', forMs),
  hang: (scenario, forMs) =>
    someWorkers(scenario, 0.3).forEach((workerHost) => workerHost.hang(scenario.random() * forMs)),
  'machines end': (scenario) => someWorkers(scenario, 0.2).forEach((workerHost) => workerHost.terminate()),
  deaf: (scenario, forMs) => {
    const deaf = someWorkers(scenario, 0.25);
    deaf.forEach((workerHost) => (workerHost.worker.inboundPartitioned = true));
    scenario.cluster.at(scenario.cluster.now + forMs, () =>
      deaf.forEach((workerHost) => (workerHost.worker.inboundPartitioned = false)),
    );
  },
  mute: (scenario, forMs) => {
    const mute = someWorkers(scenario, 0.25);
    mute.forEach((workerHost) => (workerHost.heartbeatsDropped = true));
    scenario.cluster.at(scenario.cluster.now + forMs, () =>
      mute.forEach((workerHost) => (workerHost.heartbeatsDropped = false)),
    );
  },
  'cloud down': (scenario, forMs) => {
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

/** Those above, and others that need slow links, lost answers and late commands. */
export const allFaults: Record<string, Fault> = {
  ...basicFaults,
  'lost answers': (scenario, forMs) => scenario.cluster.keyValueStore.loseResponses(0.5, forMs / 3),
  'state service slow': (scenario, forMs) => {
    scenario.cluster.keyValueStore.responseDelayMs = 200 + scenario.random() * 1400;
    scenario.cluster.at(
      scenario.cluster.now + forMs / 3,
      () => (scenario.cluster.keyValueStore.responseDelayMs = 0),
    );
  },
  'late commands': (scenario, forMs) => scenario.cluster.delayDirectCommands(0.5, forMs),
  'slow links': (scenario, forMs) => {
    const ips = [...scenario.cluster.workers.values()].map((workerHost) => workerHost.host.ip);
    const controllers = scenario.cluster.controllers
      .filter(() => scenario.random() < 0.7)
      .map((controller) => controller.ip);
    scenario.cluster.network.slow(ips, controllers, () => scenario.random() * 1800, forMs);
  },
  'peers slow': (scenario, forMs) => {
    const controllers = scenario.cluster.controllers.map((controller) => controller.ip);
    scenario.cluster.network.slow(controllers, controllers, () => scenario.random() * 900, forMs);
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
