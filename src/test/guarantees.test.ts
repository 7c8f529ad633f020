/** Teams' guarantees: what counts as within one, which borrowed work may be preempted for it, and that it converges. */
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

const team = (name: string, over: Partial<TeamQuota> = {}): TeamQuota => ({
  name: name as Team,
  guaranteedCpus: 0,
  maxCpus: 0,
  guaranteedGpus: 0,
  maxGpus: 0,
  ...over,
});
const red = 'red' as Team;
const gold = 'gold' as Team;
const none = 'none' as Team;
const teams = [team('red', { guaranteedGpus: 2 }), team('gold', { guaranteedGpus: 2 }), team('none')];

const within = (jobs: Job[], limits: TeamQuota[]): string[] => {
  markWithinGuarantee(jobs, new Map(limits.map((t) => [t.name, t])));
  return jobs.filter((j) => j.withinGuarantee).map((j) => j.id);
};

const submitted = (id: string, atMs: number, over: Partial<JobSpec>): Job => {
  const j = makeJob(id, over);
  j.record = { ...j.record, submittedAt: atMs as WallTime };
  return j;
};

/** A machine full of long-running work of one team. */
const filled = (id: string, over: Partial<JobSpec>) => {
  const full = makeMachine(id, 'small', 'east');
  const holder = makeJob('wk-9', { tasks: 2, checkpointS: 10, estimateS: 500, ...over });
  placeRunningTask(full, holder, 0);
  placeRunningTask(full, holder, 1);
  return { full, holder };
};

test('within its guarantee: a job fits there with the earlier unfinished jobs of its team', () => {
  const jobs = [
    submitted('wk-2', 20, { team: red, tasks: 1 }),
    submitted('wk-1', 10, { team: red, tasks: 1 }),
    submitted('wk-3', 30, { team: red, tasks: 1 }),
    submitted('wk-4', 10, { team: gold, tasks: 3 }),
    submitted('wk-5', 20, { team: gold, tasks: 1 }),
    submitted('wk-6', 10, { team: none, tasks: 1 }),
  ];
  assert.deepEqual(
    within(jobs, teams),
    ['wk-2', 'wk-1'],
    'gold: the first is too large, and counts for the next',
  );
  jobs[1].markCompleted(0);
  assert.deepEqual(within(jobs, teams), ['wk-2', 'wk-1', 'wk-3'], 'what is done needs nothing more');
});

test('within its guarantee: CPUs and accelerators are checked separately, and the limit bounds it', () => {
  const one = [submitted('wk-1', 0, { team: red, tasks: 1, cpus: 4, gpus: 1 })];
  assert.deepEqual(within(one, [team('red', { guaranteedGpus: 2, guaranteedCpus: 3 })]), []);
  assert.deepEqual(within(one, [team('red', { guaranteedGpus: 2, guaranteedCpus: 4 })]), ['wk-1']);
  assert.deepEqual(
    within(one, [team('red', { guaranteedCpus: 4 })]),
    ['wk-1'],
    'no guarantee of accelerators, none asked',
  );
  const two = [submitted('wk-1', 0, { team: red, tasks: 2 })];
  assert.deepEqual(within(two, [team('red', { guaranteedGpus: 9, maxGpus: 1 })]), []);
});

test("borrowed capacity of any priority is preempted for a job within its team's guarantee", () => {
  const { full } = filled('a', { team: none, priority: 'production', kind: 'array' });
  const owed = (over: Partial<JobSpec> = {}): Job => makeJob('wk-1', { team: red, priority: 'low', ...over });
  const result = runTestCycle([full], [owed()], teams);
  assert.deepEqual(describeDecisions(result), ['stop wk-9/0']);
  assert.equal(result.victims[0].reclaimedForTeam, 'red');
  assert.deepEqual(
    describeDecisions(runTestCycle([full], [owed({ tasks: 3 })], teams)),
    ['wk-1 waits for 3'],
    'beyond its guarantee',
  );
  assert.deepEqual(
    describeDecisions(runTestCycle([full], [owed({ team: none })], teams)),
    ['wk-1 waits for 1'],
    'no guarantee',
  );
});

test('preemption spares what a team is guaranteed, and its own guaranteed work', () => {
  const { full, holder } = filled('a', { team: gold, priority: 'normal' });
  const owed = makeJob('wk-1', { team: red });
  assert.deepEqual(
    describeDecisions(runTestCycle([full], [owed], teams)),
    ['wk-1 waits for 1'],
    'gold uses no more than its own',
  );
  const more = makeMachine('b', 'small', 'east');
  placeRunningTask(more, holder, 2);
  const larger = makeJob('wk-9', { team: gold, tasks: 3, estimateS: 500 });
  for (const [machine, indices] of [
    [full, [0, 1]],
    [more, [2]],
  ] as const) {
    machine.unassign(holder.id, indices[0]);
    if (indices[1] !== undefined) machine.unassign(holder.id, indices[1]);
    for (const index of indices) placeRunningTask(machine, larger, index);
  }
  const filler = makeJob('wk-8', { team: none, priority: 'production', estimateS: 500, kind: 'gang' });
  placeRunningTask(more, filler, 0);
  const both = makeJob('wk-2', { team: red, kind: 'gang', tasks: 2 });
  const stopped = describeDecisions(runTestCycle([full, more], [both], teams)).sort();
  assert.equal(stopped.length, 2, "one of gold's three, and the work of the team without a guarantee");
  assert.ok(stopped.includes('stop wk-8/0'), stopped.join());
});

test('a gang counts with all of its members, and nothing is preempted for an incomplete placement', () => {
  const a = makeMachine('a', 'small', 'east');
  const b = makeMachine('b', 'small', 'east');
  const gang = makeJob('wk-9', { team: gold, kind: 'gang', tasks: 4, estimateS: 500 });
  [a, a, b, b].forEach((machine, index) => placeRunningTask(machine, gang, index));
  assert.deepEqual(
    describeDecisions(runTestCycle([a, b], [makeJob('wk-1', { team: red })], teams)),
    ['wk-1 waits for 1'],
    'two of the four are guaranteed, and the gang ends whole',
  );
  const free = makeJob('wk-9', { team: none, kind: 'gang', tasks: 4, estimateS: 500 });
  const [first, second] = [makeMachine('c', 'small', 'east'), makeMachine('d', 'small', 'east')];
  [first, first, second, second].forEach((machine, index) => placeRunningTask(machine, free, index));
  assert.deepEqual(
    describeDecisions(runTestCycle([first, second], [makeJob('wk-1', { team: red })], teams)).length,
    1,
  );
  const tooLarge = makeJob('wk-2', { team: red, kind: 'gang', tasks: 2, gpus: 1, cpus: 16 });
  assert.deepEqual(describeDecisions(runTestCycle([first], [tooLarge], teams)), ['wk-2 waits for 2']);
});

test('nothing is preempted for a guarantee where a machine is free as soon', () => {
  const { full } = filled('a', { team: none, saveS: 4, estimateS: 500 });
  const soon = makeMachine('b', 'small', 'east');
  const ending = makeJob('wk-8', {
    team: none,
    tasks: 2,
    estimateS: 2,
    priority: 'production',
    kind: 'gang',
  });
  placeRunningTask(soon, ending, 0);
  placeRunningTask(soon, ending, 1);
  assert.deepEqual(describeDecisions(runTestCycle([full, soon], [makeJob('wk-1', { team: red })], teams)), [
    'wk-1 waits for 1',
  ]);
});

test('borrowing work does not reclaim by priority the capacity given to a guarantee', () => {
  const { full } = filled('a', { team: red, priority: 'low' });
  const borrows = makeJob('wk-1', { team: none, priority: 'high' });
  assert.deepEqual(describeDecisions(runTestCycle([full], [borrows], teams)), ['wk-1 waits for 1']);
  const owed = makeJob('wk-2', { team: gold, priority: 'high' });
  assert.deepEqual(
    describeDecisions(runTestCycle([full], [owed], teams)),
    ['stop wk-9/0'],
    'within a guarantee priorities hold',
  );
});

/** Jobs of three teams, of all kinds and priorities, more than there is capacity for. */
const randomJobs = (random: () => number): Job[] => {
  const pick = <T>(of: readonly T[]): T => of[Math.floor(random() * of.length)];
  return Array.from({ length: 14 }, (_item, i) =>
    submitted(`wk-${i}`, random() * 1000, {
      team: pick([red, gold, none]),
      kind: pick(['gang', 'array'] as const),
      priority: pick(['low', 'normal', 'high', 'production'] as const),
      tasks: pick([1, 2, 4]),
      checkpointS: 10,
      estimateS: 500,
    }),
  );
};

/** Executes what a cycle decides as if victims stopped at once; returns whether anything changed. */
const applyOneCycle = (machines: Machine[], jobs: Job[], limits: TeamQuota[]): boolean => {
  const inOrder = [...jobs].sort(
    (a, b) =>
      Number(b.withinGuarantee) - Number(a.withinGuarantee) ||
      priorityRank[b.spec.priority] - priorityRank[a.spec.priority],
  );
  const { placed, victims } = runTestCycle(machines, inOrder, limits);
  for (const { job: j, index, machine } of placed) placeRunningTask(machine, j, index);
  for (const { job: j, placement } of victims) {
    const stopped = j.spec.kind === 'gang' ? [...j.placements.values()] : [placement];
    for (const placement of stopped) {
      machines.find((machine) => machine.id === placement.machine)!.unassign(j.id, placement.index);
      j.removePlacement(placement.index);
    }
  }
  return placed.length + victims.length > 0;
};

test('teams with more demand than capacity converge: no endless mutual preemption', () => {
  const limits = [
    team('red', { guaranteedGpus: 4, maxGpus: 6 }),
    team('gold', { guaranteedGpus: 2, maxGpus: 8 }),
    team('none', { maxGpus: 6 }),
  ];
  const MOST_ROUNDS = 60;
  for (let seed = 1; seed <= 100; seed++) {
    const rng = xoroshiro128plus(seed);
    const random = (): number => uniformFloat64(rng);
    const machines = ['a', 'b', 'c', 'd'].map((id) => makeMachine(id, 'small', 'east'));
    const jobs = randomJobs(random);
    markWithinGuarantee(jobs, new Map(limits.map((t) => [t.name, t])));
    let rounds = 0;
    while (applyOneCycle(machines, jobs, limits)) {
      assert.ok(++rounds < MOST_ROUNDS, `seed ${seed} does not settle`);
      for (const { name, maxGpus } of limits) {
        const used = jobs.filter((j) => j.spec.team === name).reduce((sum, j) => sum + j.placements.size, 0);
        assert.ok(used <= maxGpus, `seed ${seed}: ${name} uses ${used} of ${maxGpus}`);
      }
    }
    for (const j of jobs) {
      if (!j.withinGuarantee) continue;
      assert.equal(j.placements.size, j.spec.tasks, `seed ${seed}: ${j.id} waits within its guarantee`);
    }
  }
});

const scenarioTeams = [
  team('red', { guaranteedGpus: 8, maxGpus: 40 }),
  team('gold', { guaranteedGpus: 8, maxGpus: 40 }),
  team('none', { maxGpus: 40 }),
];
const MACHINES_PER_ZONE = 8;
const over: Partial<ClusterSetup> = {
  teams: scenarioTeams,
  capacity: 2 * MACHINES_PER_ZONE,
  types: types.slice(0, 1),
  initialMachines: { type: 'small', perZone: MACHINES_PER_ZONE },
};
const OWED_MS = 50_000;
/** Time to save, report, schedule and fetch. */
const STARTED_MS = OWED_MS + 15_000;

/** Everything is full of borrowed work; then a team asks for what it is guaranteed. */
const runOwedScenario = async (): Promise<{
  violations: string[];
  unfinished: string[];
  running: number;
}> => {
  let running = 0;
  const result = await runScenario(
    1,
    { setup: over, faultsEndMs: 60_000, endMs: 700_000 },
    (scenario: Scenario) => {
      let owed: JobId[] = [];
      scenario.cluster.at(10_000, () => {
        scenario.submit({ team: none, tasks: 16, priority: 'high', estimateS: 100 });
        scenario.submit({ team: gold, tasks: 2, kind: 'gang', priority: 'high', estimateS: 100 });
        for (let i = 0; i < 7; i++) scenario.submit({ team: gold, tasks: 2, kind: 'gang', estimateS: 100 });
      });
      scenario.cluster.at(OWED_MS, () => {
        owed = [
          scenario.submit({ team: red, tasks: 4, priority: 'low' }, 60_000),
          scenario.submit({ team: red, tasks: 2, kind: 'gang', priority: 'normal' }, 60_000),
        ];
      });
      scenario.cluster.at(
        STARTED_MS,
        () => (running = owed.flatMap((id) => scenario.cluster.checker.machineIdsOf(id)).length),
      );
    },
  );
  return { violations: result.violations, unfinished: result.unfinished, running };
};

test('three teams, gangs and arrays: a team gets its guarantee at once, and every job ends', async () => {
  assert.deepEqual(await runOwedScenario(), { violations: [], unfinished: [], running: 6 });
});

test('mutation: without preemption of borrowed capacity the team waits', async (t: TestContext) => {
  t.mock.method(Preemption.prototype, 'nominateReclaim' as 'nominateVictims', () => null);
  assert.ok((await runOwedScenario()).running < 6);
});
