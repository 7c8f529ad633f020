/** Teams' guarantees: which jobs are within one, which borrowed capacity is preempted for them, and convergence. */
import assert from 'node:assert/strict';
import { test, type TestContext } from 'node:test';
import { uniformFloat64 } from 'pure-rand/distribution/uniformFloat64';
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus';
import {
  runTestCycle,
  makeJob,
  makeMachine,
  placeRunningTask,
  describeDecisions,
} from './sim/scheduling-cycle-fixtures.js';
import { types } from './sim/fixtures.js';
import { runScenario, type Scenario } from './sim/scenario.js';
import type { ClusterSetup } from './sim/cluster-setup.js';
import { markWithinGuarantee } from '../core/scheduler/guarantees.js';
import { Preemption } from '../core/scheduler/preemption.js';
import type { Job } from '../core/job.js';
import type { Machine } from '../core/machine.js';
import { priorityRank, type JobSpec } from '../core/job-spec.js';
import type { TeamQuota } from '../core/team-quota.js';
import type { JobId, Team, WallTime } from '../core/units.js';

const makeTeam = (name: string, overrides: Partial<TeamQuota> = {}): TeamQuota => ({
  name: name as Team,
  guaranteedCpus: 0,
  maxCpus: 0,
  guaranteedGpus: 0,
  maxGpus: 0,
  ...overrides,
});
const red = 'red' as Team;
const gold = 'gold' as Team;
const unguaranteed = 'none' as Team;
const teams = [
  makeTeam('red', { guaranteedGpus: 2 }),
  makeTeam('gold', { guaranteedGpus: 2 }),
  makeTeam('none'),
];

const idsWithinGuarantee = (jobs: Job[], limits: TeamQuota[]): string[] => {
  markWithinGuarantee(jobs, new Map(limits.map((t) => [t.name, t])));
  return jobs.filter((job) => job.withinGuarantee).map((job) => job.id);
};

const makeSubmittedJob = (id: string, atMs: number, overrides: Partial<JobSpec>): Job => {
  const job = makeJob(id, overrides);
  job.record = { ...job.record, submittedAt: atMs as WallTime };
  return job;
};

/** A machine that is full of long-running tasks of one job. */
const makeFullMachine = (id: string, overrides: Partial<JobSpec>) => {
  const full = makeMachine(id, 'small', 'east');
  const runningJob = makeJob('wk-9', { tasks: 2, checkpointS: 10, estimateS: 500, ...overrides });
  placeRunningTask(full, runningJob, 0);
  placeRunningTask(full, runningJob, 1);
  return { full, runningJob };
};

test("a job is within its team's guarantee if it fits together with the team's earlier unfinished jobs", () => {
  const jobs = [
    makeSubmittedJob('wk-2', 20, { team: red, tasks: 1 }),
    makeSubmittedJob('wk-1', 10, { team: red, tasks: 1 }),
    makeSubmittedJob('wk-3', 30, { team: red, tasks: 1 }),
    makeSubmittedJob('wk-4', 10, { team: gold, tasks: 3 }),
    makeSubmittedJob('wk-5', 20, { team: gold, tasks: 1 }),
    makeSubmittedJob('wk-6', 10, { team: unguaranteed, tasks: 1 }),
  ];
  assert.deepEqual(
    idsWithinGuarantee(jobs, teams),
    ['wk-2', 'wk-1'],
    'gold: the first job is too large, and its demand also counts for the next job',
  );
  jobs[1].markCompleted(0);
  assert.deepEqual(
    idsWithinGuarantee(jobs, teams),
    ['wk-2', 'wk-1', 'wk-3'],
    'completed tasks have no demand',
  );
});

test('guarantees: CPUs and accelerators are checked separately, and the limit caps the guarantee', () => {
  const one = [makeSubmittedJob('wk-1', 0, { team: red, tasks: 1, cpus: 4, gpus: 1 })];
  assert.deepEqual(idsWithinGuarantee(one, [makeTeam('red', { guaranteedGpus: 2, guaranteedCpus: 3 })]), []);
  assert.deepEqual(idsWithinGuarantee(one, [makeTeam('red', { guaranteedGpus: 2, guaranteedCpus: 4 })]), [
    'wk-1',
  ]);
  assert.deepEqual(
    idsWithinGuarantee(one, [makeTeam('red', { guaranteedCpus: 4 })]),
    ['wk-1'],
    'accelerators are not checked without a guarantee of accelerators',
  );
  const two = [makeSubmittedJob('wk-1', 0, { team: red, tasks: 2 })];
  assert.deepEqual(idsWithinGuarantee(two, [makeTeam('red', { guaranteedGpus: 9, maxGpus: 1 })]), []);
});

test("borrowed capacity of any priority is preempted for a job within its team's guarantee", () => {
  const { full } = makeFullMachine('a', { team: unguaranteed, priority: 'production', kind: 'array' });
  const guaranteedJob = (overrides: Partial<JobSpec> = {}): Job =>
    makeJob('wk-1', { team: red, priority: 'low', ...overrides });
  const result = runTestCycle([full], [guaranteedJob()], teams);
  assert.deepEqual(describeDecisions(result), ['stop wk-9/0']);
  assert.equal(result.victims[0].reclaimedForTeam, 'red');
  assert.deepEqual(
    describeDecisions(runTestCycle([full], [guaranteedJob({ tasks: 3 })], teams)),
    ['wk-1 waits for 3'],
    'beyond its guarantee',
  );
  assert.deepEqual(
    describeDecisions(runTestCycle([full], [guaranteedJob({ team: unguaranteed })], teams)),
    ['wk-1 waits for 1'],
    'no guarantee',
  );
});

test('tasks within the guarantee of another team are not preempted', () => {
  const { full, runningJob } = makeFullMachine('a', { team: gold, priority: 'normal' });
  const guaranteedJob = makeJob('wk-1', { team: red });
  assert.deepEqual(
    describeDecisions(runTestCycle([full], [guaranteedJob], teams)),
    ['wk-1 waits for 1'],
    'gold uses no more than its guarantee',
  );
  const secondMachine = makeMachine('b', 'small', 'east');
  placeRunningTask(secondMachine, runningJob, 2);
  const larger = makeJob('wk-9', { team: gold, tasks: 3, estimateS: 500 });
  for (const [machine, indices] of [
    [full, [0, 1]],
    [secondMachine, [2]],
  ] as const) {
    machine.unassign(runningJob.id, indices[0]);
    if (indices[1] !== undefined) machine.unassign(runningJob.id, indices[1]);
    for (const index of indices) placeRunningTask(machine, larger, index);
  }
  const filler = makeJob('wk-8', {
    team: unguaranteed,
    priority: 'production',
    estimateS: 500,
    kind: 'gang',
  });
  placeRunningTask(secondMachine, filler, 0);
  const both = makeJob('wk-2', { team: red, kind: 'gang', tasks: 2 });
  const stopped = describeDecisions(runTestCycle([full, secondMachine], [both], teams)).sort();
  assert.equal(stopped.length, 2, "one of gold's three tasks, and the task of the team without a guarantee");
  assert.ok(stopped.includes('stop wk-8/0'), stopped.join());
});

test('preempting a gang stops all of its members, and nothing is preempted for an incomplete placement', () => {
  const a = makeMachine('a', 'small', 'east');
  const b = makeMachine('b', 'small', 'east');
  const gang = makeJob('wk-9', { team: gold, kind: 'gang', tasks: 4, estimateS: 500 });
  [a, a, b, b].forEach((machine, index) => placeRunningTask(machine, gang, index));
  assert.deepEqual(
    describeDecisions(runTestCycle([a, b], [makeJob('wk-1', { team: red })], teams)),
    ['wk-1 waits for 1'],
    'two of the four members are within the guarantee, and preemption would stop the whole gang',
  );
  const free = makeJob('wk-9', { team: unguaranteed, kind: 'gang', tasks: 4, estimateS: 500 });
  const [first, second] = [makeMachine('c', 'small', 'east'), makeMachine('d', 'small', 'east')];
  [first, first, second, second].forEach((machine, index) => placeRunningTask(machine, free, index));
  assert.deepEqual(
    describeDecisions(runTestCycle([first, second], [makeJob('wk-1', { team: red })], teams)).length,
    1,
  );
  const gangExceedingMachine = makeJob('wk-2', { team: red, kind: 'gang', tasks: 2, gpus: 1, cpus: 16 });
  assert.deepEqual(describeDecisions(runTestCycle([first], [gangExceedingMachine], teams)), [
    'wk-2 waits for 2',
  ]);
});

test('nothing is preempted for a guarantee if another machine becomes free as soon', () => {
  const { full } = makeFullMachine('a', { team: unguaranteed, saveS: 4, estimateS: 500 });
  const machineFreeSoon = makeMachine('b', 'small', 'east');
  const ending = makeJob('wk-8', {
    team: unguaranteed,
    tasks: 2,
    estimateS: 2,
    priority: 'production',
    kind: 'gang',
  });
  placeRunningTask(machineFreeSoon, ending, 0);
  placeRunningTask(machineFreeSoon, ending, 1);
  assert.deepEqual(
    describeDecisions(runTestCycle([full, machineFreeSoon], [makeJob('wk-1', { team: red })], teams)),
    ['wk-1 waits for 1'],
  );
});

test('a job without a guarantee does not preempt tasks within a guarantee, whatever its priority', () => {
  const { full } = makeFullMachine('a', { team: red, priority: 'low' });
  const borrowingJob = makeJob('wk-1', { team: unguaranteed, priority: 'high' });
  assert.deepEqual(describeDecisions(runTestCycle([full], [borrowingJob], teams)), ['wk-1 waits for 1']);
  const guaranteedJob = makeJob('wk-2', { team: gold, priority: 'high' });
  assert.deepEqual(
    describeDecisions(runTestCycle([full], [guaranteedJob], teams)),
    ['stop wk-9/0'],
    'between jobs within their guarantees, priority decides',
  );
});

/** Gangs and arrays of three teams with all priorities, which need more than the available capacity. */
const randomJobs = (random: () => number): Job[] => {
  const pick = <T>(of: readonly T[]): T => of[Math.floor(random() * of.length)];
  return Array.from({ length: 14 }, (_item, i) =>
    makeSubmittedJob(`wk-${i}`, random() * 1000, {
      team: pick([red, gold, unguaranteed]),
      kind: pick(['gang', 'array'] as const),
      priority: pick(['low', 'normal', 'high', 'production'] as const),
      tasks: pick([1, 2, 4]),
      checkpointS: 10,
      estimateS: 500,
    }),
  );
};

/** Executes the decisions of one cycle, with victims that stop at once; returns whether anything changed. */
const applyOneCycle = (machines: Machine[], jobs: Job[], limits: TeamQuota[]): boolean => {
  const inOrder = [...jobs].sort(
    (a, b) =>
      Number(b.withinGuarantee) - Number(a.withinGuarantee) ||
      priorityRank[b.spec.priority] - priorityRank[a.spec.priority],
  );
  const { placed, victims } = runTestCycle(machines, inOrder, limits);
  for (const { job, index, machine } of placed) placeRunningTask(machine, job, index);
  for (const { job, placement } of victims) {
    const stopped = job.spec.kind === 'gang' ? [...job.placements.values()] : [placement];
    for (const placement of stopped) {
      machines.find((machine) => machine.id === placement.machine)!.unassign(job.id, placement.index);
      job.removePlacement(placement.index);
    }
  }
  return placed.length + victims.length > 0;
};

test('teams with more demand than capacity converge: no endless mutual preemption', () => {
  const limits = [
    makeTeam('red', { guaranteedGpus: 4, maxGpus: 6 }),
    makeTeam('gold', { guaranteedGpus: 2, maxGpus: 8 }),
    makeTeam('none', { maxGpus: 6 }),
  ];
  const MAX_ROUNDS = 60;
  for (let seed = 1; seed <= 100; seed++) {
    const rng = xoroshiro128plus(seed);
    const random = (): number => uniformFloat64(rng);
    const machines = ['a', 'b', 'c', 'd'].map((id) => makeMachine(id, 'small', 'east'));
    const jobs = randomJobs(random);
    markWithinGuarantee(jobs, new Map(limits.map((t) => [t.name, t])));
    let rounds = 0;
    while (applyOneCycle(machines, jobs, limits)) {
      assert.ok(++rounds < MAX_ROUNDS, `seed ${seed} does not converge`);
      for (const { name, maxGpus } of limits) {
        const used = jobs
          .filter((job) => job.spec.team === name)
          .reduce((sum, job) => sum + job.placements.size, 0);
        assert.ok(used <= maxGpus, `seed ${seed}: ${name} uses ${used} of ${maxGpus}`);
      }
    }
    for (const job of jobs) {
      if (!job.withinGuarantee) continue;
      assert.equal(job.placements.size, job.spec.tasks, `seed ${seed}: ${job.id} waits within its guarantee`);
    }
  }
});

const scenarioTeams = [
  makeTeam('red', { guaranteedGpus: 8, maxGpus: 40 }),
  makeTeam('gold', { guaranteedGpus: 8, maxGpus: 40 }),
  makeTeam('none', { maxGpus: 40 }),
];
const MACHINES_PER_ZONE = 8;
const clusterSetup: Partial<ClusterSetup> = {
  teams: scenarioTeams,
  capacity: 2 * MACHINES_PER_ZONE,
  types: types.slice(0, 1),
  initialMachines: { type: 'small', perZone: MACHINES_PER_ZONE },
};
const GUARANTEED_SUBMITTED_MS = 50_000;
/** Late enough for the victims to save their state, and for the guaranteed tasks to be placed and fetch their images. */
const CHECKED_MS = GUARANTEED_SUBMITTED_MS + 15_000;

/** Tasks on borrowed capacity fill all machines; then a team submits jobs within its guarantee. */
const runGuaranteeScenario = async (): Promise<{
  violations: string[];
  unfinished: string[];
  running: number;
}> => {
  let running = 0;
  const result = await runScenario(
    1,
    { setup: clusterSetup, faultsEndMs: 60_000, endMs: 700_000 },
    (scenario: Scenario) => {
      let guaranteedJob: JobId[] = [];
      scenario.cluster.at(10_000, () => {
        scenario.submit({ team: unguaranteed, tasks: 16, priority: 'high', estimateS: 100 });
        scenario.submit({ team: gold, tasks: 2, kind: 'gang', priority: 'high', estimateS: 100 });
        for (let i = 0; i < 7; i++) scenario.submit({ team: gold, tasks: 2, kind: 'gang', estimateS: 100 });
      });
      scenario.cluster.at(GUARANTEED_SUBMITTED_MS, () => {
        guaranteedJob = [
          scenario.submit({ team: red, tasks: 4, priority: 'low' }, 60_000),
          scenario.submit({ team: red, tasks: 2, kind: 'gang', priority: 'normal' }, 60_000),
        ];
      });
      scenario.cluster.at(
        CHECKED_MS,
        () => (running = guaranteedJob.flatMap((id) => scenario.cluster.checker.machineIdsOf(id)).length),
      );
    },
  );
  return { violations: result.violations, unfinished: result.unfinished, running };
};

test('three teams, gangs and arrays: a team gets its guaranteed capacity within 15 s, and every job ends', async () => {
  assert.deepEqual(await runGuaranteeScenario(), { violations: [], unfinished: [], running: 6 });
});

test('mutation: without preemption of borrowed capacity the team waits', async (t: TestContext) => {
  t.mock.method(Preemption.prototype, 'nominateReclaim' as 'nominateVictims', () => null);
  assert.ok((await runGuaranteeScenario()).running < 6);
});
