// Meetings of troubles with cancellations: named as the operators name them. Whole controllers on virtual time.
import { test } from 'node:test';
import { mixedWork, playMeeting, type Meeting } from './sim/meeting.js';
import type { JobId, Team } from '../core/units.js';

const START = 10_000;
const MEETING = 60_000;
/** cancel_s of the stand-ins is 40 s. */
const LONG_OUTAGE = 57_000;

const begin = (m: Meeting): JobId[] => {
  const jobs: JobId[] = [];
  m.sim.at(START, () => jobs.push(...mixedWork(m)));
  return jobs;
};

for (const gapMs of [0, 500, 1000, 2500, 4000, 8000, 14_000]) {
  test(`the state service refuses the leader alone, ${gapMs / 1000} s later it is out for longer than cancel_s`, () =>
    playMeeting({ quietMs: 140_000, endMs: 330_000 }, (m) => {
      const jobs = begin(m);
      m.sim.at(MEETING, () => m.sim.refuseLeader(14_000));
      for (const atMs of [0, 200, 900]) m.sim.at(MEETING + atMs, () => m.sim.cancel(jobs[atMs % 7]!));
      m.sim.at(MEETING + gapMs, () => m.sim.state.outage(LONG_OUTAGE));
    }));
}

test('jobs are cancelled at the very moment at which the leader alone is refused; their machines hang; then an outage', () =>
  playMeeting({ quietMs: 140_000, endMs: 330_000 }, (m) => {
    const jobs = begin(m);
    m.sim.at(MEETING, () => {
      m.sim.refuseLeader(14_000);
      for (const id of jobs.slice(0, 3)) {
        for (const w of m.sim.machinesOf(id)) w.hang(60_000);
        m.sim.cancel(id);
      }
    });
    m.sim.at(MEETING + 1000, () => m.sim.state.outage(LONG_OUTAGE));
  }));

test('the same, and the controller that confirmed ends right after its answer', () =>
  playMeeting({ quietMs: 140_000, endMs: 330_000 }, (m) => {
    const jobs = begin(m);
    m.sim.at(MEETING, () => {
      m.sim.refuseLeader(14_000);
      for (const id of jobs.slice(0, 4)) m.sim.cancel(id);
    });
    m.sim.at(MEETING + 60, () => {
      for (const p of m.sim.processes) if (p !== m.sim.leader) m.sim.restart(p, 3000);
    });
    m.sim.at(MEETING + 1000, () => m.sim.state.outage(LONG_OUTAGE));
  }));

test('the same, and the leader ends within the outage', () =>
  playMeeting({ quietMs: 140_000, endMs: 330_000 }, (m) => {
    const jobs = begin(m);
    m.sim.at(MEETING, () => {
      m.sim.refuseLeader(14_000);
      for (const id of jobs.slice(0, 3)) {
        for (const w of m.sim.machinesOf(id)) w.hang(60_000);
        m.sim.cancel(id);
      }
    });
    m.sim.at(MEETING + 1000, () => m.sim.state.outage(LONG_OUTAGE));
    m.sim.at(MEETING + 4000, () => m.sim.restart(m.sim.leader!, 5000));
  }));

test('a leader is cut from state service and controllers, and jobs are cancelled through the new one', () =>
  playMeeting({ quietMs: 140_000, endMs: 330_000 }, (m) => {
    const jobs = begin(m);
    m.sim.at(MEETING, () => {
      const leader = m.sim.leader!;
      m.sim.cutPeers(leader, 'hold', 50_000);
      m.sim.cutState(leader, 50_000);
    });
    for (const [i, atMs] of [500, 4000, 9000].entries())
      m.sim.at(MEETING + atMs, () => m.sim.cancel(jobs[i]!));
  }));

test('all peers are cut too while the state service is out, and jobs were cancelled just before', () =>
  playMeeting({ quietMs: 140_000, endMs: 330_000 }, (m) => {
    const jobs = begin(m);
    m.sim.at(MEETING, () => {
      const leader = m.sim.leader!;
      m.sim.refuseLeader(14_000);
      m.sim.cutPeers(leader, 'refuse', 60_000);
      for (const id of jobs.slice(0, 3)) m.sim.cancel(id);
    });
    m.sim.at(MEETING + 2000, () => m.sim.state.outage(LONG_OUTAGE));
  }));

test('workers can open no connection to a controller, or hear no answer, while their jobs are cancelled', () =>
  playMeeting({ quietMs: 110_000, endMs: 330_000 }, (m) => {
    const jobs = begin(m);
    m.sim.at(MEETING, () => {
      const deaf = m.sim.machinesOf(jobs[0]!);
      const mute = m.sim.machinesOf(jobs[3]!);
      for (const w of deaf) w.worker.deaf = true;
      for (const w of mute) w.mute = true;
      m.sim.at(MEETING + 45_000, () => {
        for (const w of deaf) w.worker.deaf = false;
        for (const w of mute) w.mute = false;
      });
    });
    m.sim.at(MEETING + 1000, () => {
      for (const id of [jobs[0]!, jobs[3]!]) m.sim.cancel(id);
    });
    m.sim.at(MEETING + 2000, () => m.sim.restart(m.sim.leader!, 400));
  }));

test('a team is at its limit when the leader changes, machines can not be asked, and a cancellation falls into it', () =>
  playMeeting({ quietMs: 110_000, endMs: 400_000 }, (m) => {
    const jobs: JobId[] = [];
    const blue = { team: 'blue' as Team };
    m.sim.at(START, () => {
      for (let i = 0; i < 2; i++) jobs.push(m.submit({ ...blue, tasks: 4 }, 90_000));
    });
    m.sim.at(MEETING, () => {
      // With so many silent at once the leader waits before it fences them.
      for (const w of m.sim.machinesOf(jobs[0]!)) w.hang(25_000);
      for (const w of [...m.sim.workers.values()].slice(0, 4)) w.hang(25_000);
      m.sim.restart(m.sim.leader!, 5000);
      m.sim.cancel(jobs[0]!);
    });
    m.sim.at(MEETING + 5000, () => m.submit({ ...blue, tasks: 6 }, 30_000));
    m.sim.at(MEETING + 12_000, () => m.sim.restart(m.sim.leader!, 500));
  }));

test('a cancellation, a question or a repeated submission meets the end of the last task', () =>
  playMeeting({ quietMs: 120_000, endMs: 160_000 }, (m) => {
    for (let i = 0; i < 30; i++)
      m.sim.at(START + i * 2500, () => m.submit({ tasks: 1 + (i % 3) }, 6000 + 100 * i));
    m.sim.checker.onCompleted = (id) => {
      const user = m.sim.users.get(id)!;
      const n = Number(id.slice(3));
      const delayMs = 1 + ((n * 37) % 1200);
      if (n % 3 === 0) m.sim.at(m.sim.now + delayMs, () => m.sim.cancel(id));
      else m.sim.at(m.sim.now + delayMs, () => user.repeat());
    };
  }));
