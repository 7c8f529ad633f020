// Single troubles, to be drawn at random by the tests.
import type { Meeting } from './meeting.js';
import type { JobId } from '../../core/units.js';

export type TroubleKind = (m: Meeting, forMs: number, jobs: JobId[]) => void;

export const somebody = <T>(m: Meeting, all: T[]): T | undefined => all[Math.floor(m.random() * all.length)];
const someWorkers = (m: Meeting, share: number) =>
  [...m.sim.workers.values()].filter(() => m.random() < share);

export const troubles: Record<string, TroubleKind> = {
  'leader refused': (m, forMs) => m.sim.refuseLeader(forMs / 3),
  outage: (m, forMs) => m.sim.state.outage(forMs),
  'late writes': (m, forMs) => m.sim.state.lateWrites(0.3, forMs),
  'late reports': (m, forMs) => m.sim.lateReports(0.4, forMs),
  'leader restarted': (m) => m.sim.leader && m.sim.restart(m.sim.leader, 100 + m.random() * 6000),
  'all restarted': (m) => m.sim.processes.forEach((p) => m.sim.restart(p, 100 + m.random() * 9000)),
  'one restarted': (m) => m.sim.restart(somebody(m, m.sim.processes)!, m.random() * 800),
  'leader frozen': (m, forMs) => m.sim.leader?.host.freeze(Math.min(forMs, 25_000)),
  'leader without peers': (m, forMs) => m.sim.leader && m.sim.cutPeers(m.sim.leader, 'hold', forMs),
  'peers refuse': (m, forMs) => m.sim.processes.forEach((p) => m.sim.cutPeers(p, 'refuse', forMs)),
  'one without state and peers': (m, forMs) => {
    const p = somebody(m, m.sim.processes)!;
    m.sim.cutState(p, forMs);
    m.sim.cutPeers(p, 'hold', forMs);
  },
  'zone cut': (m, forMs) => m.sim.cutZone('west', m.random() < 0.5 ? 'hold' : 'lose', forMs),
  hang: (m, forMs) => someWorkers(m, 0.3).forEach((w) => w.hang(m.random() * forMs)),
  'machines end': (m) => someWorkers(m, 0.2).forEach((w) => w.end()),
  deaf: (m, forMs) => {
    const deaf = someWorkers(m, 0.25);
    deaf.forEach((w) => (w.worker.deaf = true));
    m.sim.at(m.sim.now + forMs, () => deaf.forEach((w) => (w.worker.deaf = false)));
  },
  mute: (m, forMs) => {
    const mute = someWorkers(m, 0.25);
    mute.forEach((w) => (w.mute = true));
    m.sim.at(m.sim.now + forMs, () => mute.forEach((w) => (w.mute = false)));
  },
  'cloud down': (m, forMs) => {
    m.sim.cloud.down = true;
    m.sim.at(m.sim.now + Math.min(forMs, 12_000), () => (m.sim.cloud.down = false));
  },
  'cancel and hang': (m, forMs, jobs) => {
    const id = somebody(m, jobs);
    if (id === undefined || m.random() < 0.1) return;
    for (const w of m.sim.machinesOf(id)) if (m.random() < 0.6) w.hang(Math.max(45_000, forMs));
    m.sim.cancel(id);
  },
  'cancel many': (m, _forMs, jobs) => jobs.filter(() => m.random() < 0.4).forEach((id) => m.sim.cancel(id)),
};

/** Those above, and others that need slow links, lost answers and late commands. */
export const allTroubles: Record<string, TroubleKind> = {
  ...troubles,
  'lost answers': (m, forMs) => m.sim.state.loseAnswers(0.5, forMs / 3),
  'state service slow': (m, forMs) => {
    m.sim.state.answerDelayMs = 200 + m.random() * 1400;
    m.sim.at(m.sim.now + forMs / 3, () => (m.sim.state.answerDelayMs = 0));
  },
  'late commands': (m, forMs) => m.sim.lateCommands(0.5, forMs),
  'slow links': (m, forMs) => {
    const ips = [...m.sim.workers.values()].map((w) => w.host.ip);
    const controllers = m.sim.processes.filter(() => m.random() < 0.7).map((p) => p.ip);
    m.sim.network.slow(ips, controllers, () => m.random() * 1800, forMs);
  },
  'peers slow': (m, forMs) => {
    const controllers = m.sim.processes.map((p) => p.ip);
    m.sim.network.slow(controllers, controllers, () => m.random() * 900, forMs);
  },
  'leader restarted twice': (m) => {
    const p = m.sim.leader;
    if (!p) return;
    m.sim.restart(p, 100);
    m.sim.at(m.sim.now + 1500, () => m.sim.leader && m.sim.restart(m.sim.leader, 200));
  },
};
