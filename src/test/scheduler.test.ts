/** Scheduling cycles: gangs, preemption, image caches, spread, team quotas, scale-out, leader authority and large arrays. */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import {
  runTestCycle,
  makeJob,
  makeMachine,
  now,
  placeRunningTask,
  describeDecisions,
} from './sim/scheduling-cycle-fixtures.js';
import { jobSpec, types } from './sim/fixtures.js';
import { authorityEndsAt, initialElectionState, hasAuthority, recordLeader } from '../core/election.js';
import type { Machine } from '../core/machine.js';
import type { Job } from '../core/job.js';
import { planScaleOut } from '../core/scaling/scale-out-plan.js';
import type { JobSpec } from '../core/job-spec.js';
import type {
  Attempt,
  JobId,
  NodeName,
  SegmentName,
  Revision,
  MonotonicTime,
  Team,
  Term,
  MachineTypeName,
  Zone,
} from '../core/units.js';

test('a gang is placed completely or not at all, and in a single zone if it requires one', () => {
  const gang = makeJob('wk-1', { kind: 'gang', tasks: 3, oneZone: true });
  const split = [makeMachine('a', 'small', 'east'), makeMachine('b', 'small', 'west')];
  assert.deepEqual(
    describeDecisions(runTestCycle(split, [gang])),
    ['wk-1 waits for 3'],
    'two free slots in each zone do not fit a gang of three that requires one zone',
  );
  const result = runTestCycle([...split, makeMachine('c', 'small', 'west')], [gang]);
  assert.deepEqual(new Set(result.placed.map((placed) => placed.machine.info.zone)), new Set(['west']));
  assert.equal(result.placed.length, 3);
});

test('the capacity of a gang that does not fit stays free for the next job', () => {
  const result = runTestCycle(
    [makeMachine('a', 'small', 'east')],
    [makeJob('wk-1', { kind: 'gang', tasks: 3 }), makeJob('wk-2', { tasks: 2 })],
  );
  assert.deepEqual(describeDecisions(result), ['wk-2/0 -> a', 'wk-2/1 -> a', 'wk-1 waits for 3']);
});

test('victims are nominated only for a complete placement', () => {
  const a = makeMachine('a', 'small', 'east');
  const low = makeJob('wk-9', { tasks: 2, priority: 'low' });
  placeRunningTask(a, low, 0);
  placeRunningTask(a, low, 1);
  const fittingGang = makeJob('wk-1', { kind: 'gang', tasks: 2, priority: 'high' });
  assert.deepEqual(describeDecisions(runTestCycle([a], [fittingGang])), ['stop wk-9/0', 'stop wk-9/1']);
  const gangExceedingMachine = makeJob('wk-2', { kind: 'gang', tasks: 3, priority: 'high' });
  assert.deepEqual(
    describeDecisions(runTestCycle([a], [gangExceedingMachine])),
    ['wk-2 waits for 3'],
    'no task is stopped if the gang still does not fit',
  );
  const equalPriorityGang = makeJob('wk-3', { kind: 'gang', tasks: 2, priority: 'low' });
  assert.deepEqual(
    describeDecisions(runTestCycle([a], [equalPriorityGang])),
    ['wk-3 waits for 2'],
    'equal priority does not preempt',
  );
});

test('a high-priority gang preempts array tasks on a machine with its image if fetching the image takes long', () => {
  const cold = makeMachine('a', 'large', 'east');
  const warm = makeMachine('b', 'small', 'west');
  warm.recordImageUse('img-1', 30);
  const array = makeJob('wk-9', { tasks: 2, priority: 'low', saveS: 2, checkpointS: 10 });
  placeRunningTask(warm, array, 0);
  placeRunningTask(warm, array, 1);
  const gang = (overrides: Partial<JobSpec> = {}): Job =>
    makeJob('wk-1', { kind: 'gang', tasks: 2, priority: 'high', imageGb: 30, ...overrides });
  const stops = ['stop wk-9/0', 'stop wk-9/1'];
  assert.deepEqual(describeDecisions(runTestCycle([cold, warm], [gang()])), stops);
  const placedOnCold = ['wk-1/0 -> a', 'wk-1/1 -> a'];
  assert.deepEqual(
    describeDecisions(runTestCycle([cold, warm], [gang({ priority: 'normal' })])),
    placedOnCold,
    'normal priority',
  );
  assert.deepEqual(
    describeDecisions(runTestCycle([cold, warm], [gang({ imageGb: 5 })])),
    placedOnCold,
    'the fetch is short',
  );
  const gangExceedingCachedMachine = gang({ tasks: 3 });
  assert.deepEqual(
    describeDecisions(runTestCycle([cold, warm], [gangExceedingCachedMachine])),
    ['wk-1/0 -> a', 'wk-1/1 -> a', 'wk-1/2 -> a'],
    'one member would have to fetch the image anyway',
  );
  const slowToSave = makeJob('wk-8', { tasks: 2, priority: 'low', saveS: 16, checkpointS: 10 });
  const slowSavingMachine = makeMachine('c', 'small', 'west');
  slowSavingMachine.recordImageUse('img-1', 30);
  placeRunningTask(slowSavingMachine, slowToSave, 0);
  placeRunningTask(slowSavingMachine, slowToSave, 1);
  assert.deepEqual(
    describeDecisions(runTestCycle([cold, slowSavingMachine], [gang()])),
    placedOnCold,
    'saving the victims takes half as long as the fetch',
  );
});

test('while its victims stop, a gang with a cached image neither uses a machine without the image nor preempts more tasks', () => {
  const cold = makeMachine('a', 'large', 'east');
  const warm = makeMachine('b', 'small', 'west');
  warm.recordImageUse('img-1', 30);
  const array = makeJob('wk-9', { tasks: 2, priority: 'low', saveS: 2, checkpointS: 10 });
  placeRunningTask(warm, array, 0).stop = { gracePeriodS: 2, since: now, reason: 'preempted' };
  placeRunningTask(warm, array, 1).stop = { gracePeriodS: 2, since: now, reason: 'preempted' };
  const gang = makeJob('wk-1', { kind: 'gang', tasks: 2, priority: 'high', imageGb: 30 });
  assert.deepEqual(describeDecisions(runTestCycle([cold, warm], [gang])), []);
  assert.equal(gang.waitReason.why, 'waiting for victims');
});

test('of equal victims, tasks of jobs that are already late are preempted first, then those of jobs with slack', () => {
  // Guards against preempting the same array jobs repeatedly shortly before they end, so that they miss their deadlines.
  const makeFullMachine = (id: string, deadlineS: number): Machine => {
    const machine = makeMachine(`m-${id}`, 'small', 'east');
    const array = makeJob(id, { tasks: 2, priority: 'low', saveS: 2, estimateS: 50, deadlineS });
    placeRunningTask(machine, array, 0);
    placeRunningTask(machine, array, 1);
    return machine;
  };
  const urgent = makeFullMachine('wk-5', 55);
  const relaxed = makeFullMachine('wk-6', 500);
  const late = makeFullMachine('wk-7', 20);
  const gang = (): Job => makeJob('wk-1', { kind: 'gang', tasks: 2, priority: 'high' });
  assert.deepEqual(describeDecisions(runTestCycle([urgent, relaxed], [gang()])), [
    'stop wk-6/0',
    'stop wk-6/1',
  ]);
  assert.deepEqual(describeDecisions(runTestCycle([urgent, relaxed, late], [gang()])), [
    'stop wk-7/0',
    'stop wk-7/1',
  ]);
});

test('while its victims stop, a job waits and jobs behind it do not get the capacity', () => {
  const a = makeMachine('a', 'small', 'east');
  const low = makeJob('wk-9', { tasks: 2, priority: 'low' });
  placeRunningTask(a, low, 0).stop = { gracePeriodS: 2, since: now, reason: 'preempted' };
  const high = makeJob('wk-1', { priority: 'high', gpus: 2 });
  placeRunningTask(a, low, 1).stop = { gracePeriodS: 2, since: now, reason: 'preempted' };
  const behind = makeJob('wk-2', { priority: 'normal', gpus: 0, cpus: 1 });
  assert.deepEqual(
    describeDecisions(runTestCycle([a], [high, behind])),
    ['wk-2/0 -> a'],
    'no second nomination; other free capacity may be used',
  );
  assert.equal(high.waitReason.why, 'waiting for victims');
});

test('a machine does not fetch a second image concurrently if another machine has almost finished booting', () => {
  const a = makeMachine('a', 'large', 'east');
  placeRunningTask(a, makeJob('wk-8', { image: 'img-8', imageGb: 30 }), 0).running = false;
  const b = makeMachine('b', 'large', 'east');
  b.contact = 'booting';
  b.provisionedAt = (now - 18_000) as MonotonicTime;
  const waitingJob = makeJob('wk-1', { image: 'img-1', imageGb: 30 });
  assert.deepEqual(describeDecisions(runTestCycle([a, b], [waitingJob])), []);
  assert.equal(waitingJob.waitReason.why, 'machines booting');
  assert.deepEqual(describeDecisions(runTestCycle([a], [waitingJob])), ['wk-1/0 -> a']);
});

test('spread: at most half of the tasks, rounded up, are placed in one zone', () => {
  const service = makeJob('wk-1', { kind: 'service', tasks: 3, spread: true });
  const result = runTestCycle([makeMachine('a', 'large', 'east')], [service]);
  assert.deepEqual(describeDecisions(result), ['wk-1/0 -> a', 'wk-1/1 -> a', 'wk-1 waits for 1']);
});

test('a spread gang has at most half of its members, rounded up, in one zone', () => {
  const east = [makeMachine('a', 'large', 'east'), makeMachine('b', 'large', 'east')];
  const gang = (): Job => makeJob('wk-1', { kind: 'gang', tasks: 4, spread: true, priority: 'high' });
  assert.deepEqual(
    describeDecisions(runTestCycle(east, [gang()])),
    ['wk-1 waits for 4'],
    'one zone has capacity for all members, but may run only half of them',
  );
  const { placed } = runTestCycle([...east, makeMachine('c', 'large', 'west')], [gang()]);
  assert.deepEqual(placed.map((placed) => placed.machine.info.zone).sort(), ['east', 'east', 'west', 'west']);
  const full = makeMachine('d', 'small', 'west');
  const low = makeJob('wk-9', { tasks: 2, priority: 'low' });
  placeRunningTask(full, low, 0);
  placeRunningTask(full, low, 1);
  assert.deepEqual(
    describeDecisions(runTestCycle([...east, full], [gang()])),
    ['stop wk-9/0', 'stop wk-9/1'],
    'victims are nominated for the remaining members in the other zone',
  );
});

test('the team quota includes running tasks and tasks that are still stopping', () => {
  const a = makeMachine('a', 'large', 'east');
  const b = makeMachine('b', 'large', 'east');
  const machine = makeMachine('c', 'large', 'west');
  const team = 'blue' as Team;
  const first = makeJob('wk-1', { tasks: 2, gpus: 8, cpus: 8, team });
  placeRunningTask(a, first, 0).stop = { gracePeriodS: 5, since: now, reason: 'preempted' };
  placeRunningTask(b, first, 1);
  const next = makeJob('wk-2', { tasks: 3, gpus: 2, team });
  assert.deepEqual(describeDecisions(runTestCycle([a, b, machine], [next])), ['wk-2/0 -> c', 'wk-2/1 -> c']);
  assert.equal(next.waitReason.why, 'team limit');
});

test('jobs run only on machine types, zones and spot machines that they allow', () => {
  const machines = [
    makeMachine('a', 'small', 'east', true),
    makeMachine('b', 'large', 'east'),
    makeMachine('c', 'small', 'west'),
  ];
  const decisionsFor = (overrides: Partial<JobSpec>): string[] =>
    describeDecisions(runTestCycle(machines, [makeJob('wk-1', overrides)]));
  assert.deepEqual(decisionsFor({ types: ['large' as MachineTypeName] }), ['wk-1/0 -> b']);
  assert.deepEqual(decisionsFor({ zone: 'west' as Zone }), ['wk-1/0 -> c']);
  assert.deepEqual(decisionsFor({ types: ['small' as MachineTypeName], spot: true, zone: 'east' as Zone }), [
    'wk-1/0 -> a',
  ]);
  assert.deepEqual(decisionsFor({ types: ['small' as MachineTypeName], zone: 'east' as Zone }), [
    'wk-1 waits for 1',
  ]);
});

test('no task is placed on a machine that reports a task of an unknown job', () => {
  const a = makeMachine('a', 'small', 'east');
  const unknownTask = { job: 'wk-7' as JobId, index: 0, attempt: 1 as Attempt, cause: null, saved: false };
  a.reportedTasks.set('wk-7/0#1' as never, { ...unknownTask, state: 'running' });
  assert.deepEqual(describeDecisions(runTestCycle([a], [makeJob('wk-1')])), ['wk-1 waits for 1']);
});

test('scale-out: cheapest sufficient type, spot only if allowed, no requests to unavailable pools', () => {
  const makeDemand = (overrides: Partial<JobSpec>, tasks: number, isForecast = false) => ({
    spec: jobSpec('wk-1', overrides),
    tasks,
    tasksPerZone: new Map<Zone, number>(),
    isForecast,
  });
  const planRequests = (demands: ReturnType<typeof makeDemand>[], unavailablePools: string[] = []) =>
    planScaleOut({
      capacities: [],
      demands,
      types,
      unavailableUntil: new Map(unavailablePools.map((poolKey) => [poolKey, (now + 1) as MonotonicTime])),
      now,
      maxNewMachines: 10,
    }).requests.map(
      (request) => `${request.count} ${request.type} ${request.zone}${request.spot ? ' spot' : ''}`,
    );
  assert.deepEqual(planRequests([makeDemand({}, 1)]), ['1 small east']);
  assert.deepEqual(planRequests([makeDemand({ spot: true }, 1)]), ['1 small east spot']);
  assert.deepEqual(planRequests([makeDemand({ spot: true }, 1)], ['small|east|true']), ['1 small west spot']);
  assert.deepEqual(planRequests([makeDemand({ gpus: 8, cpus: 40 }, 2)]), ['2 large east']);
  assert.deepEqual(planRequests([makeDemand({ kind: 'service', tasks: 2, spread: true }, 2)]), [
    '1 small east',
    '1 small west',
  ]);
});

test('leader authority ends before the lease can expire, and at once when a higher term is recorded', () => {
  const election = initialElectionState();
  const heldLease = {
    leaseId: 1,
    term: 3 as Term,
    keyRevision: 9 as Revision,
    renewedAt: 1000 as MonotonicTime,
  };
  election.heldLease = heldLease;
  assert.ok(authorityEndsAt(heldLease, 3000) < 4000 * (1 - 0.0005));
  assert.ok(hasAuthority(election, 3000, 3900 as MonotonicTime));
  assert.ok(!hasAuthority(election, 3000, 3960 as MonotonicTime));
  recordLeader(election, 'other' as NodeName, 4 as Term);
  assert.ok(!hasAuthority(election, 3000, 1001 as MonotonicTime));
});

test('an array of 100,000 tasks: completions in segments, requeued tasks first', () => {
  const largeArray = makeJob('wk-1', { tasks: 100_000 });
  assert.deepEqual(largeArray.firstPending(2), [0, 1]);
  const bits = new Uint8Array(2048).fill(255);
  for (let i = 0; i < 6; i++)
    largeArray.recordPersistedCompletions(String(i) as SegmentName, i * bits.length, bits);
  assert.equal(largeArray.completedCount, 98_304);
  assert.deepEqual(largeArray.firstPending(1), [98_304]);
  const machine = makeMachine('a', 'small', 'east');
  placeRunningTask(machine, largeArray, 98_304);
  assert.deepEqual(largeArray.firstPending(1), [98_305]);
  largeArray.removePlacement(98_304);
  assert.deepEqual(largeArray.firstPending(2), [98_304, 98_305]);
  largeArray.markCompleted(99_999);
  assert.deepEqual([...largeArray.progress.completionsToPersist], [99_999]);
  assert.ok(!largeArray.isDurable(99_999));
});
