/** Mutation tests of pipelines: without a safeguard, a scenario that needs it must violate the corresponding invariant. */
import assert from 'node:assert/strict';
import { test, type TestContext } from 'node:test';
import { FAULTS_AT_MS, LONG_OUTAGE_MS } from './sim/cancellation-scenarios.js';
import { cancelBeforeOutage, submitPipelines } from './sim/pipeline-scenarios.js';
import { WORK_STARTS_AT_MS, runScenario, type ScenarioScript } from './sim/scenario.js';
import { Job } from '../core/job.js';
import { JobDependencies } from '../core/leader/job-dependencies.js';
import { JobLookup } from '../runtime/users/job-lookup.js';
import { CancellationFeed } from '../runtime/cancellations/cancellation-feed.js';
import { UserApi } from '../runtime/users/user-api.js';
import type { JobId } from '../core/units.js';

const violationsOf = async (script: ScenarioScript, seed = 1): Promise<string> =>
  (await runScenario(seed, { faultsEndMs: 140_000, endMs: 330_000 }, script)).violations.join('; ');

test('mutation: jobs are placed before their dependencies are done', async (t: TestContext) => {
  t.mock.getter(Job.prototype, 'ready', () => true);
  assert.match(await violationsOf((scenario) => submitPipelines(scenario, 3)), /too_early/);
});

test('mutation: the leader treats unknown dependencies as done', async (t: TestContext) => {
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
  const script: ScenarioScript = (scenario) => {
    scenario.cluster.at(WORK_STARTS_AT_MS, () => {
      const first = scenario.submit({ tasks: 1 }, 60_000);
      scenario.cluster.at(WORK_STARTS_AT_MS + 3000, () => scenario.cluster.cancel(first));
      scenario.cluster.at(WORK_STARTS_AT_MS + 20_000, () =>
        scenario.cluster.restart(scenario.cluster.leader!, 1000),
      );
      scenario.cluster.at(WORK_STARTS_AT_MS + 40_000, () => scenario.submitAfter([first], { tasks: 1 }));
    });
  };
  assert.match(await violationsOf(script), /too_early/);
});

test('mutation: controllers leave cancelling dependents to the leader', async (t: TestContext) => {
  t.mock.method(JobLookup.prototype, 'dependencyCancelled', () => Promise.resolve(false));
  assert.match(await violationsOf(cancelBeforeOutage(FAULTS_AT_MS, LONG_OUTAGE_MS)), /orphaned/);
});

test('mutation: controllers report a job as cancelled before its record is updated', async (t: TestContext) => {
  t.mock.method(JobDependencies.prototype, 'cancelDependents', () => undefined);
  t.mock.method(
    UserApi.prototype as unknown as { recordCancelled: () => unknown },
    'recordCancelled',
    function (this: { reportCancelled: (id: JobId) => unknown }, ...[id]: unknown[]) {
      return Promise.resolve(this.reportCancelled(id as JobId));
    },
  );
  // Controllers receive no cancellations from their peers, so each one has only those in the stored records.
  t.mock.method(CancellationFeed.prototype, 'onPeerPage', () => undefined);
  t.mock.method(CancellationFeed.prototype, 'onPushed', () => undefined);
  assert.match(
    await violationsOf(cancelBeforeOutage(FAULTS_AT_MS, LONG_OUTAGE_MS)),
    /went_back|orphaned|not called/,
  );
});
