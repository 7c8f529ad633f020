// A day on which troubles meet, for the tests: work of all kinds on machines that are up, then the meeting, then a
// time without troubles.
import assert from 'node:assert/strict';
import { jobSpec, types } from './fixtures.js';
import { ClusterSimulation, type ClusterSetup } from './cluster-simulation.js';
import type { JobSpec, TeamQuota } from '../../core/types.js';
import type { JobId, Team } from '../../core/units.js';

const LONG_MS = 100_000;
const DEPENDENCY_LOOK_MS = 50;

export const teams: TeamQuota[] = [
  { name: 'green' as Team, cpus: 0, cpusMax: 0, gpus: 0, gpusMax: 0 },
  { name: 'blue' as Team, cpus: 0, cpusMax: 0, gpus: 4, gpusMax: 8 },
];

export interface Scenario {
  cluster: ClusterSimulation;
  /** Submits a job; runMs: how long each of its tasks runs. */
  submit: (over?: Partial<JobSpec>, runMs?: number) => JobId;
  /** Submits a job as soon as those that it depends on are accepted; its id is known at once. */
  submitAfter: (dependsOn: JobId[], over?: Partial<JobSpec>, runMs?: number) => JobId;
  random: () => number;
}

/** Jobs that run for long: arrays, gangs and a service. */
export const submitMixedWork = (scenario: Scenario): JobId[] => [
  ...[1, 2, 3, 4].map((tasks) => scenario.submit({ tasks })),
  scenario.submit({ kind: 'gang', tasks: 2, team: 'blue' as Team }),
  scenario.submit({ kind: 'gang', tasks: 3, oneZone: true, team: 'blue' as Team, priority: 'high' }),
  scenario.submit({ kind: 'service', tasks: 2, spread: true, estimateS: 0, priority: 'production' }),
];

interface ScenarioOptions {
  seeds?: number[];
  setup?: Partial<ClusterSetup>;
  /** When all troubles are over, and when the day ends. */
  faultsEndMs: number;
  endMs: number;
}

/** One day: what broke, and the jobs that never ended though nobody called them off. */
export const runScenario = async (
  seed: number,
  { setup = {}, faultsEndMs, endMs }: ScenarioOptions,
  script: (scenario: Scenario) => void,
): Promise<{ sim: ClusterSimulation; broken: string[]; unfinished: string[] }> => {
  const durations = new Map<JobId, number>();
  const sim = new ClusterSimulation({
    seed,
    zones: ['east', 'west'],
    controllers: ['east', 'west', 'east'],
    teams,
    types,
    capacity: 40,
    initialMachines: { type: 'small', perZone: 8 },
    runMs: (job) => durations.get(job)!,
    ...setup,
  });
  let jobs = 0;
  const prepare = (spec: Partial<JobSpec>, runMs: number): JobSpec => {
    const id = `wk-${++jobs}` as JobId;
    durations.set(id, runMs);
    return jobSpec(id, spec);
  };
  const submit = (over: Partial<JobSpec> = {}, runMs = LONG_MS): JobId => {
    const spec = prepare(over, runMs);
    sim.submit(spec);
    return spec.id;
  };
  const submitAfter = (dependsOn: JobId[], over: Partial<JobSpec> = {}, runMs = LONG_MS): JobId => {
    const spec = prepare({ ...over, dependsOn }, runMs);
    const accepted = (id: JobId): boolean => sim.users.get(id)?.accepted ?? false;
    const submitOnce = (): void => {
      if (dependsOn.every(accepted)) sim.submit(spec);
      else sim.at(sim.now + DEPENDENCY_LOOK_MS, submitOnce);
    };
    submitOnce();
    return spec.id;
  };
  try {
    script({ cluster: sim, submit, submitAfter, random: sim.random });
    await sim.run(faultsEndMs);
    await sim.runUntilSettled(endMs);
    sim.checker.checkAtEnd();
    const unfinished = [...sim.users]
      .filter(([, user]) => user.accepted && user.spec.kind !== 'service')
      .filter(([, user]) => user.status !== 'done' && user.status !== 'cancelled')
      .map(([id, user]) => `${id} ${user.status}`);
    return { sim, broken: sim.checker.violations, unfinished };
  } finally {
    sim.dispose();
  }
};

/** Plays the meeting with several seeds; no rule may break, and every job that is not cancelled must have ended. */
export const assertScenarioPasses = async (
  options: ScenarioOptions,
  script: (scenario: Scenario) => void,
): Promise<void> => {
  for (const seed of options.seeds ?? [1, 2, 3]) {
    const { sim, broken, unfinished } = await runScenario(seed, options, script);
    const found = { seed, broken: broken.slice(0, 5), unfinished };
    assert.deepEqual(found, { seed, broken: [], unfinished: [] }, sim.notes.join('; '));
    assert.ok(sim.checker.startCount > 0);
  }
};

const WORK_STARTS_AT_MS = 10_000;
/** When the meetings below happen. */
export const FAULTS_AT_MS = 60_000;
/** Longer than cancel_s of the stand-ins, which is 40 s. */
export const LONG_OUTAGE_MS = 57_000;

export const startMixedWork = (scenario: Scenario): JobId[] => {
  const jobs: JobId[] = [];
  scenario.cluster.at(WORK_STARTS_AT_MS, () => jobs.push(...submitMixedWork(scenario)));
  return jobs;
};

/** Jobs are cancelled as the leader alone is refused, their machines hang, and a second later the service is out. */
export const cancelWhileMachinesHang =
  (then: (scenario: Scenario) => void = () => undefined) =>
  (scenario: Scenario): void => {
    const jobs = startMixedWork(scenario);
    scenario.cluster.at(FAULTS_AT_MS, () => {
      scenario.cluster.refuseLeader(14_000);
      for (const id of jobs.slice(0, 3)) {
        for (const workerHost of scenario.cluster.machinesOf(id)) workerHost.hang(60_000);
        scenario.cluster.cancel(id);
      }
    });
    scenario.cluster.at(FAULTS_AT_MS + 1000, () =>
      scenario.cluster.keyValueStore.startOutage(LONG_OUTAGE_MS),
    );
    then(scenario);
  };

/** A team at its limit, a change of leader, machines that can't be asked, a cancellation. */
export const cancelAtTeamLimit = (scenario: Scenario): void => {
  const jobs: JobId[] = [];
  const blue = { team: 'blue' as Team };
  scenario.cluster.at(WORK_STARTS_AT_MS, () => {
    for (let i = 0; i < 2; i++) jobs.push(scenario.submit({ ...blue, tasks: 4 }, 90_000));
  });
  scenario.cluster.at(FAULTS_AT_MS, () => {
    // With so many silent at once the leader waits before it fences them.
    for (const workerHost of scenario.cluster.machinesOf(jobs[0])) workerHost.hang(25_000);
    for (const workerHost of [...scenario.cluster.workers.values()].slice(0, 4)) workerHost.hang(25_000);
    scenario.cluster.restart(scenario.cluster.leader!, 5000);
    scenario.cluster.cancel(jobs[0]);
  });
  scenario.cluster.at(FAULTS_AT_MS + 5000, () => scenario.submit({ ...blue, tasks: 6 }, 30_000));
};

/** The leader alone is refused, and that much later everybody, for longer than cancel_s; jobs are cancelled meanwhile. */
export const leaderRefusedThenOutage =
  (gapMs: number) =>
  (scenario: Scenario): void => {
    const jobs = startMixedWork(scenario);
    scenario.cluster.at(FAULTS_AT_MS, () => scenario.cluster.refuseLeader(14_000));
    for (const atMs of [0, 200, 900])
      scenario.cluster.at(FAULTS_AT_MS + atMs, () => scenario.cluster.cancel(jobs[atMs % 7]));
    scenario.cluster.at(FAULTS_AT_MS + gapMs, () =>
      scenario.cluster.keyValueStore.startOutage(LONG_OUTAGE_MS),
    );
  };
