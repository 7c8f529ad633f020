/** Pipelines of dependent jobs. Each job is submitted as soon as its dependencies are accepted. */
import { WORK_STARTS_AT_MS, type Scenario, type ScenarioScript } from './scenario.js';
import type { JobId } from '../../core/units.js';

const smallTask = { gpus: 0, cpus: 1, memoryGb: 4, imageGb: 1, checkpointS: 0, saveS: 0 } as const;

/** Submits four jobs: two depend on the first one, and the last one, with high priority, depends on both of them. */
export const submitDiamondPipeline = (scenario: Scenario, runMs: number): JobId[] => {
  const first = scenario.submit({ ...smallTask, tasks: 3, priority: 'low' }, runMs);
  const left = scenario.submitAfter([first], { ...smallTask, tasks: 4, priority: 'low' }, runMs / 2);
  const right = scenario.submitAfter(
    [first],
    { ...smallTask, kind: 'gang', tasks: 2, oneZone: true },
    runMs / 2,
  );
  const last = scenario.submitAfter(
    [left, right],
    { ...smallTask, priority: 'high', deadlineS: 120 },
    runMs / 4,
  );
  return [first, left, right, last];
};

const cancelIfSubmitted = (scenario: Scenario, id: JobId): void => {
  if (scenario.cluster.users.has(id)) scenario.cluster.cancel(id);
};

/** Submits a pipeline every ten seconds. In every third pipeline, one job is cancelled after six seconds. */
export const submitPipelines = (scenario: Scenario, count: number): void => {
  for (let i = 0; i < count; i++)
    scenario.cluster.at(WORK_STARTS_AT_MS + i * 10_000, () => {
      const jobs = submitDiamondPipeline(scenario, 8000 + scenario.random() * 8000);
      if (i % 3 === 2)
        scenario.cluster.at(scenario.cluster.now + 6000, () => cancelIfSubmitted(scenario, jobs[i % 4]));
    });
};

/** Time from a cancellation to the outage. The user has the response by then, but the leader has written nothing yet. */
const CANCELLATION_TO_OUTAGE_MS = 18;

/** The first job is cancelled directly before an outage. After the outage, all users query all controllers. */
export const cancelBeforeOutage =
  (atMs: number, outageMs: number): ScenarioScript =>
  (scenario) => {
    let jobs: JobId[] = [];
    scenario.cluster.at(WORK_STARTS_AT_MS, () => (jobs = submitDiamondPipeline(scenario, 90_000)));
    scenario.cluster.at(atMs, () => scenario.cluster.cancel(jobs[0]));
    scenario.cluster.at(atMs + CANCELLATION_TO_OUTAGE_MS, () =>
      scenario.cluster.keyValueStore.startOutage(outageMs),
    );
    for (let i = 0; i < 50; i++)
      scenario.cluster.at(atMs + outageMs + 20 * i, () => {
        for (const id of jobs) scenario.cluster.users.get(id)!.queryAllControllers();
      });
  };
