// Pipelines as users submit them: stage by stage, each as soon as what it depends on is accepted.
import type { Meeting } from './meeting.js';
import type { JobId } from '../../core/units.js';

export const START = 10_000;

const small = { gpus: 0, cpus: 1, memoryGb: 4, imageGb: 1, checkpointS: 0, saveS: 0 } as const;

/** Four jobs: the second and third need the first, the last needs both and is urgent. */
export const diamond = (m: Meeting, runMs: number): JobId[] => {
  const first = m.submit({ ...small, tasks: 3, priority: 'low' }, runMs);
  const left = m.submitAfter([first], { ...small, tasks: 4, priority: 'low' }, runMs / 2);
  const right = m.submitAfter([first], { ...small, kind: 'gang', tasks: 2, oneZone: true }, runMs / 2);
  const last = m.submitAfter([left, right], { ...small, priority: 'high', deadlineS: 120 }, runMs / 4);
  return [first, left, right, last];
};

const cancelIfSubmitted = (m: Meeting, id: JobId): void => {
  if (m.sim.users.has(id)) m.sim.cancel(id);
};

/** One every ten seconds; every third is cancelled in the middle. */
export const submitPipelines = (m: Meeting, count: number): void => {
  for (let i = 0; i < count; i++)
    m.sim.at(START + i * 10_000, () => {
      const jobs = diamond(m, 8000 + m.random() * 8000);
      if (i % 3 === 2) m.sim.at(m.sim.now + 6000, () => cancelIfSubmitted(m, jobs[i % 4]));
    });
};

/** After the answer to a cancellation, before the leader has written anything. */
const BEFORE_THE_LEADER_MS = 18;

/** The first job is cancelled, the state service out for so long at once, and then all users ask everywhere. */
export const cancelledBeforeAnOutage =
  (atMs: number, outageMs: number) =>
  (m: Meeting): void => {
    let jobs: JobId[] = [];
    m.sim.at(START, () => (jobs = diamond(m, 90_000)));
    m.sim.at(atMs, () => m.sim.cancel(jobs[0]));
    m.sim.at(atMs + BEFORE_THE_LEADER_MS, () => m.sim.state.outage(outageMs));
    for (let i = 0; i < 50; i++)
      m.sim.at(atMs + outageMs + 20 * i, () => {
        for (const id of jobs) m.sim.users.get(id)!.repeat();
      });
  };
