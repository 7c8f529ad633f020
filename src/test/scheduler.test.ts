/** Scheduling cycles: gangs, preemption, image caches, spread, quota, scale-out and the cost of a cycle. */
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

test('a gang is placed whole or not at all, and in one zone', () => {
  const gang = makeJob('wk-1', { kind: 'gang', tasks: 3, oneZone: true });
  const split = [makeMachine('a', 'small', 'east'), makeMachine('b', 'small', 'west')];
  assert.deepEqual(
    describeDecisions(runTestCycle(split, [gang])),
    ['wk-1 waits for 3'],
    'two places in each zone are not three in one',
  );
  const result = runTestCycle([...split, makeMachine('c', 'small', 'west')], [gang]);
  assert.deepEqual(new Set(result.placed.map((placed) => placed.machine.info.zone)), new Set(['west']));
  assert.equal(result.placed.length, 3);
});

test('the capacity of a gang that does not fit stays free for the next group', () => {
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
  const whole = makeJob('wk-1', { kind: 'gang', tasks: 2, priority: 'high' });
  assert.deepEqual(describeDecisions(runTestCycle([a], [whole])), ['stop wk-9/0', 'stop wk-9/1']);
  const tooLarge = makeJob('wk-2', { kind: 'gang', tasks: 3, priority: 'high' });
  assert.deepEqual(
    describeDecisions(runTestCycle([a], [tooLarge])),
    ['wk-2 waits for 3'],
    'nobody is stopped in vain',
  );
  const equal = makeJob('wk-3', { kind: 'gang', tasks: 2, priority: 'low' });
  assert.deepEqual(
    describeDecisions(runTestCycle([a], [equal])),
    ['wk-3 waits for 2'],
    'equal priority does not preempt',
  );
});

test('an urgent gang preempts array work on a machine with its image rather than fetch for long', () => {
  const cold = makeMachine('a', 'large', 'east');
  const warm = makeMachine('b', 'small', 'west');
  warm.recordImageUse('img-1', 30);
  const array = makeJob('wk-9', { tasks: 2, priority: 'low', saveS: 2, checkpointS: 10 });
  placeRunningTask(warm, array, 0);
  placeRunningTask(warm, array, 1);
  const gang = (over: Partial<JobSpec> = {}): Job =>
    makeJob('wk-1', { kind: 'gang', tasks: 2, priority: 'high', imageGb: 30, ...over });
  const stops = ['stop wk-9/0', 'stop wk-9/1'];
  assert.deepEqual(describeDecisions(runTestCycle([cold, warm], [gang()])), stops);
  const onCold = ['wk-1/0 -> a', 'wk-1/1 -> a'];
  assert.deepEqual(
    describeDecisions(runTestCycle([cold, warm], [gang({ priority: 'normal' })])),
    onCold,
    'not urgent',
  );
  assert.deepEqual(
    describeDecisions(runTestCycle([cold, warm], [gang({ imageGb: 5 })])),
    onCold,
    'a short fetch',
  );
  const tooLarge = gang({ tasks: 3 });
  assert.deepEqual(
    describeDecisions(runTestCycle([cold, warm], [tooLarge])),
    ['wk-1/0 -> a', 'wk-1/1 -> a', 'wk-1/2 -> a'],
    'one member would be cold all the same',
  );
  const slowToSave = makeJob('wk-8', { tasks: 2, priority: 'low', saveS: 16, checkpointS: 10 });
  const held = makeMachine('c', 'small', 'west');
  held.recordImageUse('img-1', 30);
  placeRunningTask(held, slowToSave, 0);
  placeRunningTask(held, slowToSave, 1);
  assert.deepEqual(
    describeDecisions(runTestCycle([cold, held], [gang()])),
    onCold,
    'saving takes as long as half of the fetch',
  );
});

test('while the victims of a gang with a cached image stop, it neither takes a machine without the image nor preempts others', () => {
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

test('of equal victims, the one whose job has slack is preempted; a job that is late anyway goes first', () => {
  // Guards against preempting the same jobs again and again near the ends of arrays, until they miss their deadlines.
  const on = (id: string, deadlineS: number): Machine => {
    const machine = makeMachine(`m-${id}`, 'small', 'east');
    const array = makeJob(id, { tasks: 2, priority: 'low', saveS: 2, estimateS: 50, deadlineS });
    placeRunningTask(machine, array, 0);
    placeRunningTask(machine, array, 1);
    return machine;
  };
  const urgent = on('wk-5', 55);
  const relaxed = on('wk-6', 500);
  const late = on('wk-7', 20);
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

test('while victims stop, the group waits and nothing behind it takes the capacity', () => {
  const a = makeMachine('a', 'small', 'east');
  const low = makeJob('wk-9', { tasks: 2, priority: 'low' });
  placeRunningTask(a, low, 0).stop = { gracePeriodS: 2, since: now, reason: 'preempted' };
  const high = makeJob('wk-1', { priority: 'high', gpus: 2 });
  placeRunningTask(a, low, 1).stop = { gracePeriodS: 2, since: now, reason: 'preempted' };
  const behind = makeJob('wk-2', { priority: 'normal', gpus: 0, cpus: 1 });
  assert.deepEqual(
    describeDecisions(runTestCycle([a], [high, behind])),
    ['wk-2/0 -> a'],
    'no second nomination; other room may be used',
  );
  assert.equal(high.waitReason.why, 'waiting for victims');
});

test('a second image is not fetched beside a running fetch when another machine is about to be up', () => {
  const a = makeMachine('a', 'large', 'east');
  placeRunningTask(a, makeJob('wk-8', { image: 'img-8', imageGb: 30 }), 0).running = false;
  const b = makeMachine('b', 'large', 'east');
  b.contact = 'booting';
  b.provisionedAt = (now - 18_000) as MonotonicTime;
  const waits = makeJob('wk-1', { image: 'img-1', imageGb: 30 });
  assert.deepEqual(describeDecisions(runTestCycle([a, b], [waits])), []);
  assert.equal(waits.waitReason.why, 'machines booting');
  assert.deepEqual(describeDecisions(runTestCycle([a], [waits])), ['wk-1/0 -> a']);
});

test('spread: at most half of the tasks, rounded up, in a zone', () => {
  const service = makeJob('wk-1', { kind: 'service', tasks: 3, spread: true });
  const result = runTestCycle([makeMachine('a', 'large', 'east')], [service]);
  assert.deepEqual(describeDecisions(result), ['wk-1/0 -> a', 'wk-1/1 -> a', 'wk-1 waits for 1']);
});

test('a gang that must be spread has at most half of its members, rounded up, in a zone', () => {
  const east = [makeMachine('a', 'large', 'east'), makeMachine('b', 'large', 'east')];
  const gang = (): Job => makeJob('wk-1', { kind: 'gang', tasks: 4, spread: true, priority: 'high' });
  assert.deepEqual(
    describeDecisions(runTestCycle(east, [gang()])),
    ['wk-1 waits for 4'],
    'one zone has room for all, but may not take them',
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
    'victims too',
  );
});

test('the team quota counts every machine where a task still is', () => {
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

test('jobs run only on types, zones and kinds that they allow', () => {
  const machines = [
    makeMachine('a', 'small', 'east', true),
    makeMachine('b', 'large', 'east'),
    makeMachine('c', 'small', 'west'),
  ];
  const only = (over: Partial<JobSpec>): string[] =>
    describeDecisions(runTestCycle(machines, [makeJob('wk-1', over)]));
  assert.deepEqual(only({ types: ['large' as MachineTypeName] }), ['wk-1/0 -> b']);
  assert.deepEqual(only({ zone: 'west' as Zone }), ['wk-1/0 -> c']);
  assert.deepEqual(only({ types: ['small' as MachineTypeName], spot: true, zone: 'east' as Zone }), [
    'wk-1/0 -> a',
  ]);
  assert.deepEqual(only({ types: ['small' as MachineTypeName], zone: 'east' as Zone }), ['wk-1 waits for 1']);
});

test('a machine that holds a task of an unknown job takes nothing else', () => {
  const a = makeMachine('a', 'small', 'east');
  const lost = { job: 'wk-7' as JobId, index: 0, attempt: 1 as Attempt, cause: null, saved: false };
  a.reportedTasks.set('wk-7/0#1' as never, { ...lost, state: 'running' });
  assert.deepEqual(describeDecisions(runTestCycle([a], [makeJob('wk-1')])), ['wk-1 waits for 1']);
});

test('scale-out: cheapest sufficient type, spot only where allowed, refused capacity left alone', () => {
  const want = (over: Partial<JobSpec>, tasks: number, isForecast = false) => ({
    spec: jobSpec('wk-1', over),
    tasks,
    zones: new Map<Zone, number>(),
    isForecast,
  });
  const plan = (wants: ReturnType<typeof want>[], refused: string[] = []) =>
    planScaleOut({
      capacities: [],
      demands: wants,
      types,
      unavailableUntil: new Map(refused.map((poolKey) => [poolKey, (now + 1) as MonotonicTime])),
      now,
      maxNewMachines: 10,
    }).requests.map(
      (request) => `${request.count} ${request.type} ${request.zone}${request.spot ? ' spot' : ''}`,
    );
  assert.deepEqual(plan([want({}, 1)]), ['1 small east']);
  assert.deepEqual(plan([want({ spot: true }, 1)]), ['1 small east spot']);
  assert.deepEqual(plan([want({ spot: true }, 1)], ['small|east|true']), ['1 small west spot']);
  assert.deepEqual(plan([want({ gpus: 8, cpus: 40 }, 2)]), ['2 large east']);
  assert.deepEqual(plan([want({ kind: 'service', tasks: 2, spread: true }, 2)]), [
    '1 small east',
    '1 small west',
  ]);
});

test('authority ends before the lease can, and a higher term ends it at once', () => {
  const election = initialElectionState();
  const held = { leaseId: 1, term: 3 as Term, keyRevision: 9 as Revision, renewedAt: 1000 as MonotonicTime };
  election.heldLease = held;
  assert.ok(authorityEndsAt(held, 3000) < 4000 * (1 - 0.0005));
  assert.ok(hasAuthority(election, 3000, 3900 as MonotonicTime));
  assert.ok(!hasAuthority(election, 3000, 3960 as MonotonicTime));
  recordLeader(election, 'other' as NodeName, 4 as Term);
  assert.ok(!hasAuthority(election, 3000, 1001 as MonotonicTime));
});

test('an array of 100,000 tasks: completions in segments, requeued tasks first', () => {
  const big = makeJob('wk-1', { tasks: 100_000 });
  assert.deepEqual(big.firstPending(2), [0, 1]);
  const bits = new Uint8Array(2048).fill(255);
  for (let i = 0; i < 6; i++) big.confirmCompletions(String(i) as SegmentName, i * bits.length, bits);
  assert.equal(big.completedCount, 98_304);
  assert.deepEqual(big.firstPending(1), [98_304]);
  const machine = makeMachine('a', 'small', 'east');
  placeRunningTask(machine, big, 98_304);
  assert.deepEqual(big.firstPending(1), [98_305]);
  big.removePlacement(98_304);
  assert.deepEqual(big.firstPending(2), [98_304, 98_305]);
  big.markCompleted(99_999);
  assert.deepEqual([...big.progress.unpersisted], [99_999]);
  assert.ok(!big.isDurable(99_999));
});
