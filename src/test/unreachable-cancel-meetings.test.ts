// Cancellations that meet machines out of reach, a team's limit, or a job's end. Whole controllers on virtual time.
import { test } from 'node:test';
import { MEETING, begin, cancelledAtTheLimit, playMeeting } from './sim/meeting.js';

const START = 10_000;

test('workers can open no connection to a controller, or hear no answer, while their jobs are cancelled', () =>
  playMeeting({ quietMs: 110_000, endMs: 330_000 }, (m) => {
    const jobs = begin(m);
    m.sim.at(MEETING, () => {
      const deaf = m.sim.machinesOf(jobs[0]);
      const mute = m.sim.machinesOf(jobs[3]);
      for (const w of deaf) w.worker.deaf = true;
      for (const w of mute) w.mute = true;
      m.sim.at(MEETING + 45_000, () => {
        for (const w of deaf) w.worker.deaf = false;
        for (const w of mute) w.mute = false;
      });
    });
    m.sim.at(MEETING + 1000, () => {
      for (const id of [jobs[0], jobs[3]]) m.sim.cancel(id);
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
