// Pipelines as users submit them: stage by stage, each as soon as what it depends on is accepted.
import type { Scenario } from './scenario.js';
import type { JobId } from '../../core/units.js';

export const WORK_STARTS_AT_MS = 10_000;

const small = { gpus: 0, cpus: 1, memoryGb: 4, imageGb: 1, checkpointS: 0, saveS: 0 } as const;

/** Four jobs: the second and third need the first, the last needs both and is urgent. */
export const submitDiamond = (scenario: Scenario, runMs: number): JobId[] => {
  const first = scenario.submit({ ...small, tasks: 3, priority: 'low' }, runMs);
  const left = scenario.submitAfter([first], { ...small, tasks: 4, priority: 'low' }, runMs / 2);
  const right = scenario.submitAfter([first], { ...small, kind: 'gang', tasks: 2, oneZone: true }, runMs / 2);
  const last = scenario.submitAfter([left, right], { ...small, priority: 'high', deadlineS: 120 }, runMs / 4);
  return [first, left, right, last];
};

const cancelIfSubmitted = (scenario: Scenario, id: JobId): void => {
  if (scenario.cluster.users.has(id)) scenario.cluster.cancel(id);
};

/** One every ten seconds; every third is cancelled in the middle. */
export const submitPipelines = (scenario: Scenario, count: number): void => {
  for (let i = 0; i < count; i++)
    scenario.cluster.at(WORK_STARTS_AT_MS + i * 10_000, () => {
      const jobs = submitDiamond(scenario, 8000 + scenario.random() * 8000);
      if (i % 3 === 2)
        scenario.cluster.at(scenario.cluster.now + 6000, () => cancelIfSubmitted(scenario, jobs[i % 4]));
    });
};

/** After the answer to a cancellation, before the leader has written anything. */
const BEFORE_THE_LEADER_MS = 18;

/** The first job is cancelled, the state service out for so long at once, and then all users ask everywhere. */
export const cancelBeforeOutage =
  (atMs: number, outageMs: number) =>
  (scenario: Scenario): void => {
    let jobs: JobId[] = [];
    scenario.cluster.at(WORK_STARTS_AT_MS, () => (jobs = submitDiamond(scenario, 90_000)));
    scenario.cluster.at(atMs, () => scenario.cluster.cancel(jobs[0]));
    scenario.cluster.at(atMs + BEFORE_THE_LEADER_MS, () =>
      scenario.cluster.keyValueStore.startOutage(outageMs),
    );
    for (let i = 0; i < 50; i++)
      scenario.cluster.at(atMs + outageMs + 20 * i, () => {
        for (const id of jobs) scenario.cluster.users.get(id)!.queryAllControllers();
      });
  };
