// Meetings of late commands and of users who look closely. Whole controllers on virtual time.
import assert from 'node:assert/strict';
import { test, type TestContext } from 'node:test';
import { playDay, playMeeting } from './sim/meeting.js';
import { commandsAreHeldUp, usersLookClosely } from './sim/scripts.js';
import { HeartbeatReconciler } from '../core/leader/heartbeat-reconciler.js';
import { JobLookup } from '../runtime/users/job-lookup.js';

const times = { quietMs: 140_000, endMs: 330_000 };

test('direct commands are held up for seconds and carried out late, also after their leader', () =>
  playMeeting({ ...times, seeds: [1, 2, 3, 4] }, commandsAreHeldUp));

test('users ask everywhere within milliseconds after a job was accepted, ended or cancelled', () =>
  playMeeting(times, usersLookClosely));

test('with a leader that gives up on a start whose command got no answer', async (t: TestContext) => {
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
        if (job && placement && op === 'start') this['state'].releasePlacement(job, placement, 'exited', now);
      }
    },
  );
  const broken: string[] = [];
  for (const seed of [1, 2]) broken.push(...(await playDay(seed, times, commandsAreHeldUp)).broken);
  assert.match(broken.join('; '), /ran_twice/);
});

test('with controllers that answer for unfinished jobs from memory', async (t: TestContext) => {
  const find = Reflect.get<JobLookup, 'find'>(JobLookup.prototype, 'find');
  const kept = new Map<JobLookup, Map<string, ReturnType<JobLookup['find']>>>();
  t.mock.method(
    JobLookup.prototype,
    'find',
    function (this: JobLookup, id: Parameters<JobLookup['find']>[0]) {
      const answers = kept.get(this) ?? new Map<string, ReturnType<JobLookup['find']>>();
      kept.set(this, answers);
      const answer = answers.get(id) ?? find.call(this, id);
      answers.set(id, answer);
      setTimeout(() => answers.delete(id), 2000);
      return answer;
    },
  );
  const { broken } = await playDay(1, times, usersLookClosely);
  assert.match(broken.join('; '), /went_back|forgotten/);
});
