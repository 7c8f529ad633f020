// The first meeting of the operators' letter: the leader refused alone, cancellations confirmed elsewhere, an outage.
import { test } from 'node:test';
import { playMeeting, refusedThenOutage } from './sim/meeting.js';

const times = { quietMs: 140_000, endMs: 330_000 };

for (const gapMs of [0, 500, 1000, 2500]) {
  test(`the state service refuses the leader alone, ${gapMs / 1000} s later it is out for longer than cancel_s`, () =>
    playMeeting(times, refusedThenOutage(gapMs)));
}
