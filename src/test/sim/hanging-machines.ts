// Leaders that end one after the other while machines hang with a cancelled task
// (docs/incidents/2026-12-02-rules-broken-at-production-size.md).
import { begin, playMeeting, type Meeting } from './meeting.js';
import { machines } from './scripts.js';
import type { WorkerHost } from './worker-host.js';
import type { JobId } from '../../core/units.js';

const MEETING = 60_000;
const HANGING_IN_ZONE = 2;
const HALF_OF_ZONE = 4;
/** Reports, leases and cancellations as on a large cluster. */
const slowReports = { workers: { heartbeatIntervalS: 3, leaseS: 17, cancelS: 42 } };

export type Hanging = (m: Meeting, cancelled: JobId) => WorkerHost[];

/** So many at once that their silence alone is no reason to give them up, but less than half of a zone. */
export const someOfEachZone: Hanging = (m, cancelled) => {
  const hanging = new Set(m.sim.machinesOf(cancelled));
  for (const zone of ['east', 'west']) {
    const inZone = machines(m).filter((worker) => worker.info.zone === zone);
    const left = HANGING_IN_ZONE - inZone.filter((worker) => hanging.has(worker)).length;
    for (const worker of inZone.filter((each) => !hanging.has(each)).slice(0, left)) hanging.add(worker);
  }
  return [...hanging];
};

/** Half of a zone, as if it were cut off; the other half is heard. */
export const halfOfZone: Hanging = (m, cancelled) => [
  ...m.sim.machinesOf(cancelled),
  ...machines(m).slice(0, HALF_OF_ZONE),
];

/** Machines hang with a cancelled task; the leader ends, and its successor too before it has given them up. */
const leadersEndWhileMachinesHang =
  (secondMs: number, hanging: Hanging) =>
  (m: Meeting): void => {
    const jobs = begin(m);
    m.sim.at(MEETING, () => {
      for (const worker of hanging(m, jobs[1])) worker.hang(70_000);
      m.sim.restart(m.sim.leader!, 4000);
      m.sim.cancel(jobs[1]);
    });
    m.sim.at(MEETING + secondMs, () => m.sim.restart(m.sim.leader!, 4000));
  };

export const playLeadersEnd = async (hanging: Hanging): Promise<void> => {
  for (const secondMs of [24_000, 28_000, 29_500])
    await playMeeting(
      { over: slowReports, quietMs: 160_000, endMs: 400_000 },
      leadersEndWhileMachinesHang(secondMs, hanging),
    );
};
