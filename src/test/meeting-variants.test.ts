// Meetings that passed on every variant tried before: each is played with the safeguard that it is about taken out, and
// must then break its rule.
import assert from 'node:assert/strict';
import { test, type TestContext } from 'node:test';
import { playDay, type Meeting } from './sim/meeting.js';
import {
  leaderRefusedAtTheLimit,
  leadersChangeTenTimes,
  zoneBoundJobsLoseMachines,
  zoneIsCutOff,
} from './sim/scripts.js';
import { Leader } from '../core/leader/leader.js';
import { MachinePool } from '../core/leader/machine-pool.js';
import { LeaderState } from '../core/leader/leader-state.js';
import { Snapshot } from '../core/scheduler/snapshot.js';

/** What breaks on days with several seeds: the one that needs the safeguard may be any of them. */
const found = async (script: (m: Meeting) => void, seeds = [1]): Promise<string> => {
  const broken: string[] = [];
  for (const seed of seeds)
    broken.push(...(await playDay(seed, { quietMs: 180_000, endMs: 400_000 }, script)).broken);
  return broken.join('; ');
};

test('without regard to where the other tasks of a job of one zone are', async (t: TestContext) => {
  t.mock.method(Snapshot.prototype, 'zonesOf', () => new Map());
  assert.match(await found(zoneBoundJobsLoseMachines), /wrong_place/);
});

test('with leaders that do not wait for what earlier ones started', async (t: TestContext) => {
  t.mock.method(LeaderState.prototype, 'mayRunOnUnreconciledMachine', () => false);
  t.mock.method(Leader.prototype, 'readyToPlace' as 'takeEffects', () => true as never);
  assert.match(await found(leadersChangeTenTimes(0)), /ran_twice|wrong_place/);
});

test('without the filter by the limit of the team', async (t: TestContext) => {
  t.mock.method(Snapshot.prototype, 'teamAllows', () => true);
  assert.match(await found(leaderRefusedAtTheLimit), /quota/);
});

test('with silent machines of a cut zone given up at once, before the cloud has answered', async (t: TestContext) => {
  const fence = Reflect.get<MachinePool, 'fence'>(MachinePool.prototype, 'fence');
  t.mock.method(
    MachinePool.prototype,
    'fence',
    function (this: MachinePool, ...args: Parameters<MachinePool['fence']>) {
      const [machine, , now] = args;
      fence.apply(this, args);
      this.onDeletionResult([machine.id], true, now);
    },
  );
  assert.match(await found(zoneIsCutOff, [1, 2, 3, 4]), /ran_twice|ran_cancelled/);
});
