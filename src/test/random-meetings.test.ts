// Troubles drawn at random meet on one day. RANDOM_DAYS=FIRST-LAST plays other days than those kept here.
import { test } from 'node:test';
import { mixedWork, playMeeting, type Meeting } from './sim/meeting.js';
import type { JobId, Team, Zone } from '../core/units.js';

const [first = 1, last = 8] = (process.env['RANDOM_DAYS'] ?? '').split('-').filter(Boolean).map(Number);
const BEGIN_MS = 30_000;
const TROUBLES_MS = 90_000;
const LONGEST_MS = 60_000;

type TroubleKind = (m: Meeting, forMs: number, jobs: JobId[]) => void;

const somebody = <T>(m: Meeting, all: T[]): T | undefined => all[Math.floor(m.random() * all.length)];
const someWorkers = (m: Meeting, share: number) =>
  [...m.sim.workers.values()].filter(() => m.random() < share);

const troubles: Record<string, TroubleKind> = {
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

const randomWork = (m: Meeting, jobs: JobId[]): void => {
  for (let i = 0; i < 14; i++)
    m.sim.at(10_000 + m.random() * 100_000, () => {
      const kind = m.random() < 0.5 ? 'array' : 'gang';
      const tasks = 1 + Math.floor(m.random() * 3);
      const priority = m.random() < 0.3 ? 'high' : m.random() < 0.5 ? 'normal' : 'low';
      const team = (m.random() < 0.5 ? 'blue' : 'green') as Team;
      const zone = m.random() < 0.2 ? ('west' as Zone) : null;
      const runMs = 4000 + m.random() * 60_000;
      jobs.push(m.submit({ kind, tasks, priority, team, zone, oneZone: m.random() < 0.3 }, runMs));
    });
};

for (let seed = first; seed <= last; seed++) {
  test(`troubles drawn at random, day ${seed}`, () =>
    playMeeting(
      { seeds: [seed], quietMs: BEGIN_MS + TROUBLES_MS + LONGEST_MS + 10_000, endMs: 500_000 },
      (m) => {
        const jobs: JobId[] = [];
        m.sim.at(10_000, () => jobs.push(...mixedWork(m)));
        randomWork(m, jobs);
        const names = Object.keys(troubles);
        const n = 4 + Math.floor(m.random() * 7);
        let atMs = BEGIN_MS;
        for (let i = 0; i < n; i++) {
          // Some follow one another at once.
          atMs += m.random() < 0.4 ? m.random() * 3000 : (m.random() * 2 * TROUBLES_MS) / n;
          const name = somebody(m, names)!;
          const forMs = 2000 + m.random() * (LONGEST_MS - 2000);
          m.sim.at(Math.min(atMs, BEGIN_MS + TROUBLES_MS), () => {
            m.sim.note(`${name} for ${Math.round(forMs / 1000)} s`);
            troubles[name](m, forMs, jobs);
          });
        }
      },
    ));
}
