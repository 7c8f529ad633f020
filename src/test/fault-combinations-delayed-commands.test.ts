/** Direct commands that are executed late, and users who query all controllers at once, in a simulated cluster. */
import assert from 'node:assert/strict';
import { test, type TestContext } from 'node:test';
import { delayDirectCommands, usersQueryAllControllers } from './sim/fault-scenarios.js';
import { assertScenarioPasses, runScenario } from './sim/scenario.js';
import { HeartbeatReconciler } from '../core/leader/heartbeat-reconciler.js';
import { JobLookup } from '../runtime/users/job-lookup.js';

const times = { faultsEndMs: 140_000, endMs: 330_000 };

test('direct commands are delayed for seconds and executed late, also after a failover', () =>
  assertScenarioPasses({ ...times, seeds: [1, 2, 3, 4] }, delayDirectCommands));

test('users query all controllers within milliseconds after a job was accepted, ended or cancelled', () =>
  assertScenarioPasses(times, usersQueryAllControllers));

test('mutation: the leader gives up on a start whose command got no response', async (t: TestContext) => {
  const onDirectCommandResult = Reflect.get<HeartbeatReconciler, 'onDirectCommandResult'>(
    HeartbeatReconciler.prototype,
    'onDirectCommandResult',
  );
  t.mock.method(
    HeartbeatReconciler.prototype,
    'onDirectCommandResult',
    function (
      this: HeartbeatReconciler,
      ...[id, commands, result, now]: Parameters<HeartbeatReconciler['onDirectCommandResult']>
    ) {
      onDirectCommandResult.call(this, id, commands, result, now);
      if (result.kind !== 'unknown') return;
      for (const { op, job: jobId, index } of commands) {
        const job = this['state'].jobs.get(jobId);
        const placement = job?.placements.get(index);
        if (job && placement && op === 'start')
          this['state'].placements.release(job, placement, 'exited', now);
      }
    },
  );
  const violations: string[] = [];
  for (const seed of [1, 2])
    violations.push(...(await runScenario(seed, times, delayDirectCommands)).violations);
  assert.match(violations.join('; '), /ran_twice/);
});

test('mutation: controllers report the status of unfinished jobs from memory', async (t: TestContext) => {
  const find = Reflect.get<JobLookup, 'find'>(JobLookup.prototype, 'find');
  const caches = new Map<JobLookup, Map<string, ReturnType<JobLookup['find']>>>();
  t.mock.method(
    JobLookup.prototype,
    'find',
    function (this: JobLookup, id: Parameters<JobLookup['find']>[0]) {
      const cache = caches.get(this) ?? new Map<string, ReturnType<JobLookup['find']>>();
      caches.set(this, cache);
      const result = cache.get(id) ?? find.call(this, id);
      cache.set(id, result);
      setTimeout(() => cache.delete(id), 2000);
      return result;
    },
  );
  const { violations } = await runScenario(1, times, usersQueryAllControllers);
  assert.match(violations.join('; '), /went_back|forgotten/);
});
