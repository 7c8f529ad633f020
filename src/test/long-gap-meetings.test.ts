// The same as the short gaps between the refusal of the leader and the outage, with longer ones.
import { test } from 'node:test';
import { playMeeting, refusedThenOutage } from './sim/meeting.js';

const times = { quietMs: 140_000, endMs: 330_000 };

for (const gapMs of [4000, 8000, 14_000]) {
  test(`the state service refuses the leader alone, ${gapMs / 1000} s later it is out for longer than cancel_s`, () =>
    playMeeting(times, refusedThenOutage(gapMs)));
}
