/**
 * Runs test scenarios: jobs of all kinds start on machines that are up, several faults occur at the same time, and in
 * the phase without faults that follows every job has to end.
 */
import assert from 'node:assert/strict';
import type { ClusterSetup } from './cluster-setup.js';
import { ClusterSimulation } from './cluster-simulation.js';
import { jobSpec, types } from './fixtures.js';
import type { JobSpec } from '../../core/job-spec.js';
import type { TeamQuota } from '../../core/team-quota.js';
import type { JobId, Team } from '../../core/units.js';

/** The time at which most scenarios submit their jobs. */
export const WORK_STARTS_AT_MS = 10_000;
const DEFAULT_TASK_DURATION_MS = 100_000;
const DEPENDENCY_CHECK_INTERVAL_MS = 50;
const MAX_VIOLATIONS_SHOWN = 5;

/** One team without a guarantee and a limit, and one with both. */
export const teams: TeamQuota[] = [
  { name: 'green' as Team, guaranteedCpus: 0, maxCpus: 0, guaranteedGpus: 0, maxGpus: 0 },
  { name: 'blue' as Team, guaranteedCpus: 0, maxCpus: 0, guaranteedGpus: 4, maxGpus: 8 },
];

/** The simulated cluster and the helpers that a scenario's script uses. */
export interface Scenario {
  cluster: ClusterSimulation;
  /** Submits a job. `runMs` is the duration of each of its tasks. */
  submit: (overrides?: Partial<JobSpec>, runMs?: number) => JobId;
  /** Submits a job as soon as the jobs that it depends on are accepted. Returns its id at once. */
  submitAfter: (dependsOn: JobId[], overrides?: Partial<JobSpec>, runMs?: number) => JobId;
  random: () => number;
}

/** Schedules the jobs and the faults of a scenario. */
export type ScenarioScript = (scenario: Scenario) => void;

interface ScenarioOptions {
  seeds?: number[];
  setup?: Partial<ClusterSetup>;
  /** The time at which all faults have ended. */
  faultsEndMs: number;
  /** The time at which the run ends. */
  endMs: number;
}

/** The outcome of one run. */
export interface ScenarioResult {
  cluster: ClusterSimulation;
  violations: string[];
  /** Accepted jobs, services excepted, that were neither done nor cancelled at the end of the run. */
  unfinished: string[];
}

/** Submits long-running arrays, gangs and a service. */
export const submitMixedWork = (scenario: Scenario): JobId[] => [
  ...[1, 2, 3, 4].map((tasks) => scenario.submit({ tasks })),
  scenario.submit({ kind: 'gang', tasks: 2, team: 'blue' as Team }),
  scenario.submit({ kind: 'gang', tasks: 3, oneZone: true, team: 'blue' as Team, priority: 'high' }),
  scenario.submit({ kind: 'service', tasks: 2, spread: true, estimateS: 0, priority: 'production' }),
];

/** Submits the mixed work at `WORK_STARTS_AT_MS`. The returned list is empty until then. */
export const startMixedWork = (scenario: Scenario): JobId[] => {
  const jobs: JobId[] = [];
  scenario.cluster.at(WORK_STARTS_AT_MS, () => jobs.push(...submitMixedWork(scenario)));
  return jobs;
};

const createScenario = (seed: number, setup: Partial<ClusterSetup>): Scenario => {
  const taskDurations = new Map<JobId, number>();
  const cluster = new ClusterSimulation({
    seed,
    zones: ['east', 'west'],
    controllers: ['east', 'west', 'east'],
    teams,
    types,
    capacity: 40,
    initialMachines: { type: 'small', perZone: 8 },
    runMs: (job) => taskDurations.get(job)!,
    ...setup,
  });
  let jobCount = 0;
  const createSpec = (spec: Partial<JobSpec>, runMs: number): JobSpec => {
    const id = `wk-${++jobCount}` as JobId;
    taskDurations.set(id, runMs);
    return jobSpec(id, spec);
  };
  const submit = (overrides: Partial<JobSpec> = {}, runMs = DEFAULT_TASK_DURATION_MS): JobId => {
    const spec = createSpec(overrides, runMs);
    cluster.submit(spec);
    return spec.id;
  };
  const submitAfter = (
    dependsOn: JobId[],
    overrides: Partial<JobSpec> = {},
    runMs = DEFAULT_TASK_DURATION_MS,
  ): JobId => {
    const spec = createSpec({ ...overrides, dependsOn }, runMs);
    const accepted = (id: JobId): boolean => cluster.users.get(id)?.accepted ?? false;
    const submitOnceAccepted = (): void => {
      if (dependsOn.every(accepted)) cluster.submit(spec);
      else cluster.at(cluster.now + DEPENDENCY_CHECK_INTERVAL_MS, submitOnceAccepted);
    };
    submitOnceAccepted();
    return spec.id;
  };
  return { cluster, submit, submitAfter, random: cluster.random };
};

const unfinishedJobs = (cluster: ClusterSimulation): string[] =>
  [...cluster.users]
    .filter(([, user]) => user.accepted && user.spec.kind !== 'service')
    .filter(([, user]) => user.status !== 'done' && user.status !== 'cancelled')
    .map(([id, user]) => `${id} ${user.status}`);

/** Runs a scenario with one seed. */
export const runScenario = async (
  seed: number,
  { setup = {}, faultsEndMs, endMs }: ScenarioOptions,
  script: ScenarioScript,
): Promise<ScenarioResult> => {
  const scenario = createScenario(seed, setup);
  const { cluster } = scenario;
  try {
    script(scenario);
    await cluster.run(faultsEndMs);
    await cluster.runAfterFaults(endMs);
    cluster.checker.checkAtEnd();
    return { cluster, violations: cluster.checker.violations, unfinished: unfinishedJobs(cluster) };
  } finally {
    cluster.dispose();
  }
};

/** Runs a scenario with several seeds. Asserts that no invariant is violated and that every job ends. */
export const assertScenarioPasses = async (
  options: ScenarioOptions,
  script: ScenarioScript,
): Promise<void> => {
  for (const seed of options.seeds ?? [1, 2, 3]) {
    const { cluster, violations, unfinished } = await runScenario(seed, options, script);
    const actual = { seed, violations: violations.slice(0, MAX_VIOLATIONS_SHOWN), unfinished };
    assert.deepEqual(actual, { seed, violations: [], unfinished: [] }, cluster.notes.join('; '));
    assert.ok(cluster.checker.startCount > 0);
  }
};
