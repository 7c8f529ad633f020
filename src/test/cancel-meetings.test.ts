// Meetings of troubles with cancellations: named as the operators name them. Whole controllers on virtual time.
import { test } from 'node:test';
import { LONG_OUTAGE, MEETING, begin, cancelledAsMachinesHang, playMeeting } from './sim/meeting.js';

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
      m.sim.at(MEETING + atMs, () => m.sim.cancel(jobs[i]));
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
