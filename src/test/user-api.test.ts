/** The user API of several controllers with one key-value store: acceptance, cancellation and dependencies. */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import type { HttpMessage } from '../runtime/http/http-message.js';
import type { KeyValueStoreClient } from '../runtime/key-value-store/key-value-store-client.js';
import type { KnownJobs } from '../runtime/users/job-lookup.js';
import { AdmissionControl } from '../runtime/users/admission-control.js';
import { UserApi } from '../runtime/users/user-api.js';
import type { PlatformSettings } from '../config/platform.js';
import { JobIndex } from '../core/job-index.js';
import type { Uint64, JobId } from '../core/units.js';
import { decode, encode } from '../wire/cbor.js';
import type { Transaction } from '../wire/key-value-store.js';
import { teams, types } from './sim/fixtures.js';

/** Fake client of the key-value store, with conditional transactions and lost responses. */
class FakeStore {
  readonly items = new Map<string, { data: unknown; revision: number }>();
  revision = 0;
  mode: 'up' | 'down' | 'response lost' | 'late' = 'up';

  /** Reads one item. */
  get(key: string) {
    if (this.mode === 'down') return Promise.resolve({ kind: 'refused' as const });
    const item = this.items.get(key);
    return Promise.resolve(
      item ? { kind: 'ok' as const, value: { key, ...item } } : { kind: 'gone' as const },
    );
  }

  /** Executes the changes if all conditions hold. */
  transact(t: Transaction) {
    if (this.mode === 'down') return Promise.resolve({ kind: 'refused' as const });
    if (this.mode === 'late') return Promise.resolve({ kind: 'unknown' as const });
    const revisionOf = (key: string): Uint64 => this.items.get(key)?.revision ?? 0;
    const conflictingKeys = t.conditions
      .filter((condition) => revisionOf(condition.key) !== condition.revision)
      .map((condition) => condition.key);
    if (conflictingKeys.length > 0) return Promise.resolve({ kind: 'conflict' as const, conflictingKeys });
    const revision = ++this.revision;
    for (const change of t.changes) {
      if ('put' in change) this.items.set(change.put, { data: decode(encode(change.data)), revision });
      else this.items.delete(change.delete);
    }
    if (this.mode === 'response lost') return Promise.resolve({ kind: 'unknown' as const });
    return Promise.resolve({ kind: 'ok' as const, revision });
  }

  /** Replaces a job's record by its final one. */
  finish(id: string, state: string): void {
    this.items.delete(`j/${id}`);
    this.items.set(`f/${id}`, { data: { state, tasks: 2 }, revision: ++this.revision });
  }
}

const job = {
  nameId: 'wk-1',
  herd: 'train',
  outfit: 'blue',
  gait: 'array',
  rank: 'high',
  hands: 2,
  vcpus: 8,
  accelerators: 1,
  memGb: 8,
  kit: 'img',
  sizeGb: 1,
  oneZone: false,
  spread: false,
  loaners: false,
  rideS: 10,
  waypointS: 0,
  stowS: 0,
};

/** A fake cancellation feed, up to date or lagging, whose job index and cancellations the test fills. */
const createFeed = (fresh = false) => {
  const index = new JobIndex();
  const cancelled = new Set<JobId>();
  return {
    index,
    cancelled,
    has: (id: JobId) => cancelled.has(id),
    indexedJob: (id: JobId) => index.get(id),
    isFresh: () => fresh,
  };
};

const setup = (machineTypes = types, known: KnownJobs = createFeed()) => {
  const store = new FakeStore();
  const confirmed: string[] = [];
  const platform = { teams, keyValueStoreLimits: { maxValueKb: 8 } } as unknown as PlatformSettings;
  const createApi = (): UserApi =>
    new UserApi({
      platform,
      store: store as unknown as KeyValueStoreClient,
      machineTypes: () => machineTypes,
      taskCounts: () => Promise.resolve(null),
      onCancellationReported: (id) => confirmed.push(id),
      knownJobs: known,
    });
  const call = async (api: UserApi, method: string, target: string, body?: unknown): Promise<string> => {
    const bytes = body === undefined ? Buffer.alloc(0) : encode(body);
    const reply = await api.handle({ method, target, body: bytes } as HttpMessage);
    const responseBody = reply.body ? (decode(reply.body) as { status?: string }) : {};
    return `${reply.status}${responseBody.status ? ` ${responseBody.status}` : ''}${reply.retryAfterS ? ` after ${reply.retryAfterS}` : ''}`;
  };
  return { store, createApi, call, confirmed };
};

test('a job is accepted once and known at every controller; a job that was never submitted is not found', async () => {
  const { store, createApi, call } = setup();
  const [a, b] = [createApi(), createApi()];
  assert.equal(await call(a, 'GET', '/v1/jobs/wk-1'), '404');
  assert.equal(await call(a, 'POST', '/v1/jobs', job), '201 pending');
  assert.equal(await call(b, 'POST', '/v1/jobs', job), '200 pending');
  assert.equal(await call(b, 'GET', '/v1/jobs/wk-1'), '200 pending');
  assert.equal(await call(b, 'GET', '/v1/jobs/wk-2'), '404');
  assert.equal(await call(b, 'POST', '/v1/jobs/wk-2/abort'), '404');
  store.finish('wk-1', 'done');
  assert.equal(await call(a, 'POST', '/v1/jobs', job), '200 done');
  assert.equal(await call(b, 'POST', '/v1/jobs/wk-1/abort'), '200 done');
  store.mode = 'down';
  assert.equal(
    await call(b, 'GET', '/v1/jobs/wk-1'),
    '200 done',
    'a final state may be reported from memory',
  );
});

test('a request that cannot be served gets a 503 with a retry time at once', async () => {
  const { store, createApi, call } = setup();
  store.mode = 'down';
  assert.equal(await call(createApi(), 'POST', '/v1/jobs', job), '503 after 1');
  assert.equal(await call(createApi(), 'GET', '/v1/jobs/wk-1'), '503 after 1');
  const withoutTypes = setup([]);
  assert.equal(
    await withoutTypes.call(withoutTypes.createApi(), 'POST', '/v1/jobs', job),
    '503 after 1',
    'machine types are not known yet',
  );
});

test('after a lost key-value store response the record is read before the response to the user', async () => {
  const { store, createApi, call } = setup();
  store.mode = 'late';
  assert.equal(
    await call(createApi(), 'POST', '/v1/jobs', job),
    '503 after 1',
    'the transaction may still be executed',
  );
  store.mode = 'response lost';
  assert.equal(await call(createApi(), 'POST', '/v1/jobs', job), '200 pending');
  assert.equal(await call(createApi(), 'POST', '/v1/jobs/wk-1/abort'), '200 withdrawn');
});

test('a cancelled job stays cancelled at every controller', async () => {
  const { createApi, call } = setup();
  const [a, b] = [createApi(), createApi()];
  await call(a, 'POST', '/v1/jobs', job);
  assert.equal(await call(a, 'POST', '/v1/jobs/wk-1/abort'), '200 withdrawn');
  assert.equal(await call(b, 'GET', '/v1/jobs/wk-1'), '200 withdrawn');
  assert.equal(await call(b, 'POST', '/v1/jobs', job), '200 withdrawn');
});

test('invalid requests get 400, 422, 404 or 405; an accepted job is not rejected when it is submitted again', async () => {
  const { createApi, call } = setup();
  const api = createApi();
  const submit = (overrides: object): Promise<string> =>
    call(api, 'POST', '/v1/jobs', { ...job, ...overrides });
  assert.equal(await call(api, 'POST', '/v1/jobs', [1]), '400');
  assert.equal(await submit({ hands: 0 }), '400');
  assert.equal(await submit({ outfit: 'nobody' }), '422');
  assert.equal(await submit({ vcpus: 1000 }), '422');
  assert.equal(await submit({ accelerators: 21 }), '422', "over the team's limit");
  assert.equal(await submit({ gait: 'group', hands: 21 }), '422', 'all tasks of a gang count');
  assert.equal(await submit({ pasture: 'nowhere' }), '422');
  const spread = { gait: 'service', spread: true, hands: 2 };
  assert.equal(await submit({ ...spread, pasture: 'east' }), '422', 'both tasks would be in one zone');
  assert.equal(await submit({ ...spread, oneZone: true }), '422');
  assert.equal(await call(api, 'GET', '/v1/jobs'), '405');
  assert.equal(await call(api, 'GET', '/v2'), '404');
  assert.equal(await submit({}), '201 pending');
  assert.equal(await submit({ outfit: 'nobody' }), '200 pending');
  assert.equal(await submit({ hands: 0 }), '200 pending');
});

test('a damaged record is not treated as missing: its job stays known', async () => {
  const { store, createApi, call } = setup();
  const api = createApi();
  assert.equal(await call(api, 'POST', '/v1/jobs', job), '201 pending');
  store.items.set('j/wk-1', { data: { spec: 'damaged' }, revision: 99 });
  assert.equal(await call(api, 'GET', '/v1/jobs/wk-1'), '200 pending');
  assert.equal(await call(api, 'POST', '/v1/jobs', job), '200 pending');
});

test('admission control does not reject a client repeatedly while it admits others', () => {
  const admission = new AdmissionControl(2, 1);
  assert.ok(admission.tryAdmit('a') && admission.tryAdmit('b'));
  assert.equal(admission.tryAdmit('c'), false, 'full: rejected at once');
  assert.equal(admission.tryAdmit('d'), false);
  assert.equal(admission.tryAdmit('c'), true, 'the second attempt may use the reserve');
  assert.equal(admission.tryAdmit('e'), false);
  assert.equal(admission.tryAdmit('d'), false, 'the reserve is bounded');
  admission.release('c', true);
  assert.equal(admission.tryAdmit('c'), false, 'after it was served, the client may not use the reserve');
  assert.equal(admission.tryAdmit('d'), true);
});

test('a controller that reports a job as cancelled has logged it before: on a cancellation, a query or a repeated submission', async () => {
  const { store, createApi, call, confirmed } = setup();
  const [a, b, third] = [createApi(), createApi(), createApi()];
  await call(a, 'POST', '/v1/jobs', job);
  store.mode = 'response lost';
  assert.equal(await call(a, 'POST', '/v1/jobs/wk-1/abort'), '200 withdrawn', 'the stored record decides');
  assert.deepEqual(confirmed, ['wk-1']);
  store.mode = 'up';
  assert.equal(await call(b, 'GET', '/v1/jobs/wk-1'), '200 withdrawn');
  assert.equal(await call(third, 'POST', '/v1/jobs', job), '200 withdrawn');
  assert.deepEqual(confirmed, ['wk-1', 'wk-1', 'wk-1']);
});

const dependentJob = (...dependencyIds: string[]) => ({ ...job, nameId: 'wk-2', awaits: dependencyIds });

test('dependencies accepted at any controller are valid, others are rejected; a known job is not checked again', async () => {
  const { store, createApi, call } = setup();
  const [a, b] = [createApi(), createApi()];
  assert.equal(
    await call(a, 'POST', '/v1/jobs', dependentJob('wk-1')),
    '422',
    'the dependency was never accepted',
  );
  assert.equal(await call(a, 'POST', '/v1/jobs', dependentJob('wk-2')), '422', 'the job depends on itself');
  assert.equal(await call(a, 'POST', '/v1/jobs', dependentJob('one')), '400');
  assert.equal(await call(a, 'POST', '/v1/jobs', { ...job, nameId: 'wk-2', awaits: 'wk-1' }), '400');
  await call(a, 'POST', '/v1/jobs', job);
  assert.equal(await call(b, 'POST', '/v1/jobs', dependentJob('wk-1', 'wk-1')), '201 pending');
  const record = store.items.get('j/wk-2')!.data as { spec: { dependsOn: string[] } };
  assert.deepEqual(record.spec.dependsOn, ['wk-1'], 'duplicates are removed');
  assert.equal(
    await call(b, 'POST', '/v1/jobs', dependentJob('wk-9')),
    '200 pending',
    'the job is known already',
  );
  assert.equal(await call(b, 'POST', '/v1/jobs', { ...job, nameId: 'wk-3', awaits: null }), '201 pending');
  store.finish('wk-1', 'done');
  assert.equal(await call(a, 'POST', '/v1/jobs', { ...dependentJob('wk-1'), nameId: 'wk-4' }), '201 pending');
  store.mode = 'down';
  assert.equal(
    await call(createApi(), 'POST', '/v1/jobs', { ...dependentJob('wk-1'), nameId: 'wk-5' }),
    '503 after 1',
  );
});

test('a dependent of a cancelled job is recorded as cancelled before this is reported to a user', async () => {
  const { store, createApi, call, confirmed } = setup();
  const [a, b] = [createApi(), createApi()];
  await call(a, 'POST', '/v1/jobs', job);
  await call(a, 'POST', '/v1/jobs', dependentJob('wk-1'));
  await call(a, 'POST', '/v1/jobs', { ...dependentJob('wk-2'), nameId: 'wk-3' });
  assert.equal(await call(b, 'GET', '/v1/jobs/wk-3'), '200 pending');
  await call(a, 'POST', '/v1/jobs/wk-1/abort');
  assert.equal(
    await call(b, 'GET', '/v1/jobs/wk-3'),
    '200 withdrawn',
    'at another controller, also without an up-to-date feed',
  );
  assert.ok((store.items.get('j/wk-3')!.data as { cancelledAt: number | null }).cancelledAt !== null);
  assert.ok(confirmed.includes('wk-3'));
  assert.equal(
    await call(b, 'POST', '/v1/jobs', { ...dependentJob('wk-1'), nameId: 'wk-4' }),
    '201 pending',
    'accepted first',
  );
  assert.equal(await call(b, 'GET', '/v1/jobs/wk-4'), '200 withdrawn', 'then cancelled');
});

test('the cancellation of a job that is already done does not cancel its dependents', async () => {
  const { store, createApi, call } = setup();
  const api = createApi();
  await call(api, 'POST', '/v1/jobs', job);
  await call(api, 'POST', '/v1/jobs', dependentJob('wk-1'));
  store.finish('wk-1', 'done');
  assert.equal(await call(api, 'POST', '/v1/jobs/wk-1/abort'), '200 done');
  assert.equal(await call(api, 'GET', '/v1/jobs/wk-2'), '200 pending');
});

test('dependencies are looked up in an up-to-date feed without a store request; a lagging feed is not used', async () => {
  const fresh = createFeed(true);
  const { store, createApi, call } = setup(types, fresh);
  const api = createApi();
  await call(api, 'POST', '/v1/jobs', job);
  await call(api, 'POST', '/v1/jobs', dependentJob('wk-1'));
  fresh.index.put('wk-1' as JobId, [], false);
  store.items.delete('j/wk-1');
  assert.equal(
    await call(api, 'GET', '/v1/jobs/wk-2'),
    '200 pending',
    'the dependency is found in the index',
  );
  fresh.cancelled.add('wk-1' as JobId);
  assert.equal(
    await call(api, 'GET', '/v1/jobs/wk-2'),
    '200 withdrawn',
    'the dependency is found in the cancellation log',
  );
  const lagging = createFeed(false);
  const other = setup(types, lagging);
  const late = other.createApi();
  await other.call(late, 'POST', '/v1/jobs', job);
  await other.call(late, 'POST', '/v1/jobs', dependentJob('wk-1'));
  lagging.index.put('wk-1' as JobId, [], false);
  other.store.finish('wk-1', 'withdrawn');
  assert.equal(
    await other.call(late, 'GET', '/v1/jobs/wk-2'),
    '200 withdrawn',
    'the dependency is read from the store',
  );
});
