// Meetings of troubles with cancellations: named as the operators name them. Whole controllers on virtual time.
import { test } from 'node:test';
import {
  LONG_OUTAGE,
  MEETING,
  begin,
  cancelledAsMachinesHang,
  cancelledAtTheLimit,
  playMeeting,
} from './sim/meeting.js';

const START = 10_000;
const times = { quietMs: 140_000, endMs: 330_000 };

test('jobs are cancelled at the very moment at which the leader alone is refused; their machines hang; then an outage', () =>
  playMeeting(times, cancelledAsMachinesHang()));

test('the same, and the controller that confirmed ends right after its answer', () =>
  playMeeting(times, (m) => {
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

test('the same, their machines hang, and the leader ends within the outage', () =>
  playMeeting(
    times,
    cancelledAsMachinesHang((m) => m.sim.at(MEETING + 4000, () => m.sim.restart(m.sim.leader!, 5000))),
  ));

test('a leader is cut from state service and controllers, and jobs are cancelled through the new one', () =>
  playMeeting(times, (m) => {
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
  playMeeting(times, (m) => {
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
    cancelledAtTheLimit(m);
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
