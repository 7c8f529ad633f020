// Single troubles, to be drawn at random by the tests.
import type { Scenario } from './scenario.js';
import type { JobId } from '../../core/units.js';

export type Fault = (m: Scenario, forMs: number, jobs: JobId[]) => void;

export const pickRandom = <T>(m: Scenario, all: T[]): T | undefined =>
  all[Math.floor(m.random() * all.length)];
const someWorkers = (m: Scenario, share: number) =>
  [...m.cluster.workers.values()].filter(() => m.random() < share);

export const basicFaults: Record<string, Fault> = {
  'leader refused': (m, forMs) => m.cluster.refuseLeader(forMs / 3),
  outage: (m, forMs) => m.cluster.keyValueStore.startOutage(forMs),
  'late writes': (m, forMs) => m.cluster.keyValueStore.delayTransactions(0.3, forMs),
  'late reports': (m, forMs) => m.cluster.duplicateHeartbeats(0.4, forMs),
  'leader restarted': (m) => m.cluster.leader && m.cluster.restart(m.cluster.leader, 100 + m.random() * 6000),
  'all restarted': (m) => m.cluster.controllers.forEach((p) => m.cluster.restart(p, 100 + m.random() * 9000)),
  'one restarted': (m) => m.cluster.restart(pickRandom(m, m.cluster.controllers)!, m.random() * 800),
  'leader frozen': (m, forMs) => m.cluster.leader?.host.freeze(Math.min(forMs, 25_000)),
  'leader without peers': (m, forMs) =>
    m.cluster.leader && m.cluster.isolateFromPeers(m.cluster.leader, 'hold', forMs),
  'peers refuse': (m, forMs) =>
    m.cluster.controllers.forEach((p) => m.cluster.isolateFromPeers(p, 'refuse', forMs)),
  'one without state and peers': (m, forMs) => {
    const p = pickRandom(m, m.cluster.controllers)!;
    m.cluster.isolateFromKeyValueStore(p, forMs);
    m.cluster.isolateFromPeers(p, 'hold', forMs);
  },
  'zone cut': (m, forMs) => m.cluster.isolateZone('west', m.random() < 0.5 ? 'hold' : 'lose', forMs),
  hang: (m, forMs) => someWorkers(m, 0.3).forEach((w) => w.hang(m.random() * forMs)),
  'machines end': (m) => someWorkers(m, 0.2).forEach((w) => w.terminate()),
  deaf: (m, forMs) => {
    const deaf = someWorkers(m, 0.25);
    deaf.forEach((w) => (w.worker.inboundPartitioned = true));
    m.cluster.at(m.cluster.now + forMs, () => deaf.forEach((w) => (w.worker.inboundPartitioned = false)));
  },
  mute: (m, forMs) => {
    const mute = someWorkers(m, 0.25);
    mute.forEach((w) => (w.heartbeatsDropped = true));
    m.cluster.at(m.cluster.now + forMs, () => mute.forEach((w) => (w.heartbeatsDropped = false)));
  },
  'cloud down': (m, forMs) => {
    m.cluster.cloudProvider.unavailable = true;
    m.cluster.at(
      m.cluster.now + Math.min(forMs, 12_000),
      () => (m.cluster.cloudProvider.unavailable = false),
    );
  },
  'cancel and hang': (m, forMs, jobs) => {
    const id = pickRandom(m, jobs);
    if (id === undefined || m.random() < 0.1) return;
    for (const w of m.cluster.machinesOf(id)) if (m.random() < 0.6) w.hang(Math.max(45_000, forMs));
    m.cluster.cancel(id);
  },
  'cancel many': (m, _forMs, jobs) =>
    jobs.filter(() => m.random() < 0.4).forEach((id) => m.cluster.cancel(id)),
};

/** Those above, and others that need slow links, lost answers and late commands. */
export const allFaults: Record<string, Fault> = {
  ...basicFaults,
  'lost answers': (m, forMs) => m.cluster.keyValueStore.loseResponses(0.5, forMs / 3),
  'state service slow': (m, forMs) => {
    m.cluster.keyValueStore.responseDelayMs = 200 + m.random() * 1400;
    m.cluster.at(m.cluster.now + forMs / 3, () => (m.cluster.keyValueStore.responseDelayMs = 0));
  },
  'late commands': (m, forMs) => m.cluster.delayDirectCommands(0.5, forMs),
  'slow links': (m, forMs) => {
    const ips = [...m.cluster.workers.values()].map((w) => w.host.ip);
    const controllers = m.cluster.controllers.filter(() => m.random() < 0.7).map((p) => p.ip);
    m.cluster.network.slow(ips, controllers, () => m.random() * 1800, forMs);
  },
  'peers slow': (m, forMs) => {
    const controllers = m.cluster.controllers.map((p) => p.ip);
    m.cluster.network.slow(controllers, controllers, () => m.random() * 900, forMs);
  },
  'leader restarted twice': (m) => {
    const p = m.cluster.leader;
    if (!p) return;
    m.cluster.restart(p, 100);
    m.cluster.at(m.cluster.now + 1500, () => m.cluster.leader && m.cluster.restart(m.cluster.leader, 200));
  },
};
