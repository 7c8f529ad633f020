// The meetings that broke rules at production size (docs/incidents/2026-12-02-rules-broken-at-production-size.md).
import { test } from 'node:test';
import { begin, playMeeting, type Meeting } from './sim/meeting.js';
import { machines } from './sim/scripts.js';

const MEETING = 60_000;
const MANY = 4;
/** Reports, leases and cancellations as on a large cluster. */
const slowReports = { workers: { reportS: 3, leaseS: 17, cancelS: 42 } };

/** A machine hangs with a cancelled task; the leader ends, and its successor as well before it has given the machine up. */
const leadersEndWhileMachinesHang =
  (secondMs: number) =>
  (m: Meeting): void => {
    const jobs = begin(m);
    m.sim.at(MEETING, () => {
      for (const w of m.sim.machinesOf(jobs[1])) w.hang(70_000);
      // So many at once that their silence alone is no reason to give them up.
      for (const w of machines(m).slice(0, MANY)) w.hang(70_000);
      m.sim.restart(m.sim.leader!, 4000);
      m.sim.cancel(jobs[1]);
    });
    m.sim.at(MEETING + secondMs, () => m.sim.restart(m.sim.leader!, 4000));
  };

test('leaders that end one after the other do not leave a cancelled task on machines that hang', async () => {
  for (const secondMs of [24_000, 27_000, 30_000])
    await playMeeting(
      { over: slowReports, quietMs: 160_000, endMs: 400_000 },
      leadersEndWhileMachinesHang(secondMs),
    );
});
