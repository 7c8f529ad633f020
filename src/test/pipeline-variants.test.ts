// What the pipelines' tests would see: each safeguard is taken out once, and the day that needs it must break its rule.
import assert from 'node:assert/strict';
import { test, type TestContext } from 'node:test';
import { LONG_OUTAGE, MEETING, playDay, type Meeting } from './sim/meeting.js';
import { START, cancelledBeforeAnOutage, submitPipelines } from './sim/pipelines.js';
import { Job } from '../core/job.js';
import { JobDependencies } from '../core/leader/job-dependencies.js';
import { JobLookup } from '../runtime/users/job-lookup.js';
import { CancellationFeed } from '../runtime/cancellations/cancellation-feed.js';
import { UserApi } from '../runtime/users/user-api.js';
import type { JobId } from '../core/units.js';

const broken = async (script: (m: Meeting) => void, seed = 1): Promise<string> =>
  (await playDay(seed, { quietMs: 140_000, endMs: 330_000 }, script)).broken.join('; ');

test('with jobs that are placed whether or not what they depend on is done', async (t: TestContext) => {
  t.mock.getter(Job.prototype, 'ready', () => true);
  assert.match(await broken((m) => submitPipelines(m, 3)), /too_early/);
});

test('with a leader that takes what it does not know as unfinished for done', async (t: TestContext) => {
  const onFinalRecordRead = Reflect.get<JobDependencies, 'onFinalRecordRead'>(
    JobDependencies.prototype,
    'onFinalRecordRead',
  );
  t.mock.method(
    JobDependencies.prototype,
    'onFinalRecordRead',
    function (this: JobDependencies, ...[id, , now]: Parameters<JobDependencies['onFinalRecordRead']>) {
      onFinalRecordRead.call(this, id, 'done', now);
    },
  );
  const script = (m: Meeting): void => {
    m.sim.at(START, () => {
      const first = m.submit({ tasks: 1 }, 60_000);
      m.sim.at(START + 3000, () => m.sim.cancel(first));
      m.sim.at(START + 20_000, () => m.sim.restart(m.sim.leader!, 1000));
      m.sim.at(START + 40_000, () => m.submitAfter([first], { tasks: 1 }));
    });
  };
  assert.match(await broken(script), /too_early/);
});

test('with controllers that leave it to the leader to cancel jobs with what they depend on', async (t: TestContext) => {
  t.mock.method(JobLookup.prototype, 'dependencyCancelled', () => Promise.resolve(false));
  assert.match(await broken(cancelledBeforeAnOutage(MEETING, LONG_OUTAGE)), /orphaned/);
});

test('with controllers that call a job cancelled before its own record says so', async (t: TestContext) => {
  t.mock.method(JobDependencies.prototype, 'cancelDependents', () => undefined);
  t.mock.method(
    UserApi.prototype as unknown as { recordCancelled: () => unknown },
    'recordCancelled',
    function (this: { describeCancelled: (id: JobId) => unknown }, ...[id]: unknown[]) {
      return Promise.resolve(this.describeCancelled(id as JobId));
    },
  );
  // As for a controller that has not heard of a cancellation yet: the others know no more than the records say.
  t.mock.method(CancellationFeed.prototype, 'onPeerPage', () => undefined);
  t.mock.method(CancellationFeed.prototype, 'onPushed', () => undefined);
  assert.match(await broken(cancelledBeforeAnOutage(MEETING, LONG_OUTAGE)), /went_back|orphaned|not called/);
});
