// Pipelines as users submit them: stage by stage, each as soon as what it depends on is accepted.
import type { Scenario } from './scenario.js';
import type { JobId } from '../../core/units.js';

export const WORK_STARTS_AT_MS = 10_000;

const small = { gpus: 0, cpus: 1, memoryGb: 4, imageGb: 1, checkpointS: 0, saveS: 0 } as const;

/** Four jobs: the second and third need the first, the last needs both and is urgent. */
export const submitDiamond = (m: Scenario, runMs: number): JobId[] => {
  const first = m.submit({ ...small, tasks: 3, priority: 'low' }, runMs);
  const left = m.submitAfter([first], { ...small, tasks: 4, priority: 'low' }, runMs / 2);
  const right = m.submitAfter([first], { ...small, kind: 'gang', tasks: 2, oneZone: true }, runMs / 2);
  const last = m.submitAfter([left, right], { ...small, priority: 'high', deadlineS: 120 }, runMs / 4);
  return [first, left, right, last];
};

const cancelIfSubmitted = (m: Scenario, id: JobId): void => {
  if (m.cluster.users.has(id)) m.cluster.cancel(id);
};

/** One every ten seconds; every third is cancelled in the middle. */
export const submitPipelines = (m: Scenario, count: number): void => {
  for (let i = 0; i < count; i++)
    m.cluster.at(WORK_STARTS_AT_MS + i * 10_000, () => {
      const jobs = submitDiamond(m, 8000 + m.random() * 8000);
      if (i % 3 === 2) m.cluster.at(m.cluster.now + 6000, () => cancelIfSubmitted(m, jobs[i % 4]));
    });
};

/** After the answer to a cancellation, before the leader has written anything. */
const BEFORE_THE_LEADER_MS = 18;

/** The first job is cancelled, the state service out for so long at once, and then all users ask everywhere. */
export const cancelBeforeOutage =
  (atMs: number, outageMs: number) =>
  (m: Scenario): void => {
    let jobs: JobId[] = [];
    m.cluster.at(WORK_STARTS_AT_MS, () => (jobs = submitDiamond(m, 90_000)));
    m.cluster.at(atMs, () => m.cluster.cancel(jobs[0]));
    m.cluster.at(atMs + BEFORE_THE_LEADER_MS, () => m.cluster.keyValueStore.startOutage(outageMs));
    for (let i = 0; i < 50; i++)
      m.cluster.at(atMs + outageMs + 20 * i, () => {
        for (const id of jobs) m.cluster.users.get(id)!.queryAllControllers();
      });
  };
