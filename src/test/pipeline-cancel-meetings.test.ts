// Jobs that others depend on are cancelled while troubles meet: whole controllers on virtual time.
import assert from 'node:assert/strict';
import { test } from 'node:test';
import { LONG_OUTAGE, MEETING, playDay, playMeeting, type Meeting } from './sim/meeting.js';
import { START, cancelledBeforeAnOutage, diamond } from './sim/pipelines.js';
import type { JobId } from '../core/units.js';

const times = { quietMs: 140_000, endMs: 330_000 };

test('a cancellation is confirmed, and the state service is out for longer than cancel_s right after', () =>
  playMeeting(times, cancelledBeforeAnOutage(MEETING, LONG_OUTAGE)));

test('the leader alone is refused as a job is cancelled, ends, and users ask everywhere', () =>
  playMeeting(times, (m) => {
    let jobs: JobId[] = [];
    m.sim.at(START, () => (jobs = diamond(m, 60_000)));
    m.sim.at(MEETING, () => {
      m.sim.refuseLeader(14_000);
      m.sim.cancel(jobs[0]);
    });
    m.sim.at(MEETING + 3000, () => m.sim.restart(m.sim.leader!, 300));
    for (let i = 0; i < 60; i++)
      m.sim.at(MEETING + 200 * i, () => {
        for (const id of jobs) m.sim.users.get(id)!.repeat();
      });
  }));

test('a controller without state service and peers, while jobs that others depend on are cancelled elsewhere', () =>
  playMeeting(times, (m) => {
    let jobs: JobId[] = [];
    m.sim.at(START, () => (jobs = [diamond(m, 90_000), diamond(m, 90_000)].flat()));
    m.sim.at(MEETING, () => {
      const cut = m.sim.processes.find((p) => p !== m.sim.leader)!;
      m.sim.cutPeers(cut, 'hold', 50_000);
      m.sim.cutState(cut, 50_000);
    });
    m.sim.at(MEETING + 1000, () => m.sim.cancel(jobs[0]));
    m.sim.at(MEETING + 52_000, () => m.sim.cancel(jobs[4]));
  }));

test('a dependent job is submitted as the one it depends on is cancelled', () =>
  playMeeting({ ...times, seeds: [1, 2, 3, 4, 5] }, (m) => {
    for (let i = 0; i < 12; i++)
      m.sim.at(START + i * 4000, () => {
        const first = m.submit({ tasks: 2 }, 30_000);
        m.sim.at(m.sim.now + 3000, () => m.sim.cancel(first));
        m.sim.at(m.sim.now + 2990 + i * 4, () => {
          const second = m.submitAfter([first], { tasks: 1 }, 5000);
          m.submitAfter([second], { tasks: 1 }, 5000);
        });
      });
  }));

const cancelledAtTheEnd = (m: Meeting): void => {
  m.sim.checker.onCompleted = (id) => m.sim.at(m.sim.now + m.random() * 300, () => m.sim.cancel(id));
  for (let i = 0; i < 8; i++)
    m.sim.at(START + i * 3000, () => {
      const first = m.submit({ tasks: 1 + (i % 2) }, 5000 + 500 * i);
      m.submitAfter([first], { tasks: 2 }, 5000);
    });
};

test('jobs are cancelled at the end of their last task: the jobs after them go on, or are cancelled with them', () =>
  playMeeting({ ...times, seeds: [1, 2, 3, 4] }, cancelledAtTheEnd));

test('a job after one that was done when it was cancelled runs', async () => {
  let ran = 0;
  for (const seed of [1, 2, 3]) {
    const { sim } = await playDay(seed, times, cancelledAtTheEnd);
    for (const [id, user] of sim.users)
      if (user.spec.dependsOn.length > 0 && user.status === 'done' && sim.checker.completedOf(id) === 2)
        ran++;
  }
  assert.ok(ran > 0);
});
