// The first meeting of the operators' letter: the leader refused alone, cancellations confirmed elsewhere, an outage.
import { test } from 'node:test';
import { LONG_OUTAGE, MEETING, begin, playMeeting } from './sim/meeting.js';

const times = { quietMs: 140_000, endMs: 330_000 };

for (const gapMs of [0, 500, 1000, 2500, 4000, 8000, 14_000]) {
  test(`the state service refuses the leader alone, ${gapMs / 1000} s later it is out for longer than cancel_s`, () =>
    playMeeting(times, (m) => {
      const jobs = begin(m);
      m.sim.at(MEETING, () => m.sim.refuseLeader(14_000));
      for (const atMs of [0, 200, 900]) m.sim.at(MEETING + atMs, () => m.sim.cancel(jobs[atMs % 7]!));
      m.sim.at(MEETING + gapMs, () => m.sim.state.outage(LONG_OUTAGE));
    }));
}
