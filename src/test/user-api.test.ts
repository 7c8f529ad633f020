/** The user interface of several controllers over one key-value store: acceptance, cancellation, dependencies. */
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

/** Stand-in for the client of the key-value store: transactions with conditions, and responses that get lost. */
class Store {
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
    const failed = t.conditions
      .filter((condition) => revisionOf(condition.key) !== condition.revision)
      .map((condition) => condition.key);
    if (failed.length > 0) return Promise.resolve({ kind: 'conflict' as const, failed });
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

/** A feed that has read nothing yet, or one that knows all that it is told. */
const feed = (fresh = false) => {
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

const setup = (machineTypes = types, known: KnownJobs = feed()) => {
  const store = new Store();
  const confirmed: string[] = [];
  const platform = { teams, keyValueStoreLimits: { maxValueKb: 8 } } as unknown as PlatformSettings;
  const make = (): UserApi =>
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
    const answer = reply.body ? (decode(reply.body) as { status?: string }) : {};
    return `${reply.status}${answer.status ? ` ${answer.status}` : ''}${reply.retryAfterS ? ` after ${reply.retryAfterS}` : ''}`;
  };
  return { store, make, call, confirmed };
};

test('accepted once, known at every controller, never invented', async () => {
  const { store, make, call } = setup();
  const [a, b] = [make(), make()];
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
  assert.equal(await call(b, 'GET', '/v1/jobs/wk-1'), '200 done', 'a final state is safe from memory');
});

test('what cannot be accepted is answered at once, with a retry time', async () => {
  const { store, make, call } = setup();
  store.mode = 'down';
  assert.equal(await call(make(), 'POST', '/v1/jobs', job), '503 after 1');
  assert.equal(await call(make(), 'GET', '/v1/jobs/wk-1'), '503 after 1');
  const withoutTypes = setup([]);
  assert.equal(
    await withoutTypes.call(withoutTypes.make(), 'POST', '/v1/jobs', job),
    '503 after 1',
    'types not known yet',
  );
});

test('a lost store response is read back before the user is answered', async () => {
  const { store, make, call } = setup();
  store.mode = 'late';
  assert.equal(await call(make(), 'POST', '/v1/jobs', job), '503 after 1', 'it may still be carried out');
  store.mode = 'response lost';
  assert.equal(await call(make(), 'POST', '/v1/jobs', job), '200 pending');
  assert.equal(await call(make(), 'POST', '/v1/jobs/wk-1/abort'), '200 withdrawn');
});

test('cancelled stays cancelled, at every controller', async () => {
  const { make, call } = setup();
  const [a, b] = [make(), make()];
  await call(a, 'POST', '/v1/jobs', job);
  assert.equal(await call(a, 'POST', '/v1/jobs/wk-1/abort'), '200 withdrawn');
  assert.equal(await call(b, 'GET', '/v1/jobs/wk-1'), '200 withdrawn');
  assert.equal(await call(b, 'POST', '/v1/jobs', job), '200 withdrawn');
});

test('400, 422, 404 and 405; an accepted job is never refused when it comes again', async () => {
  const { make, call } = setup();
  const api = make();
  const submit = (over: object): Promise<string> => call(api, 'POST', '/v1/jobs', { ...job, ...over });
  assert.equal(await call(api, 'POST', '/v1/jobs', [1]), '400');
  assert.equal(await submit({ hands: 0 }), '400');
  assert.equal(await submit({ outfit: 'nobody' }), '422');
  assert.equal(await submit({ vcpus: 1000 }), '422');
  assert.equal(await submit({ accelerators: 21 }), '422', "over the team's limit");
  assert.equal(await submit({ gait: 'group', hands: 21 }), '422', 'all tasks of a gang count');
  assert.equal(await submit({ pasture: 'nowhere' }), '422');
  const spread = { gait: 'service', spread: true, hands: 2 };
  assert.equal(await submit({ ...spread, pasture: 'east' }), '422', 'both would be in one zone');
  assert.equal(await submit({ ...spread, oneZone: true }), '422');
  assert.equal(await call(api, 'GET', '/v1/jobs'), '405');
  assert.equal(await call(api, 'GET', '/v2'), '404');
  assert.equal(await submit({}), '201 pending');
  assert.equal(await submit({ outfit: 'nobody' }), '200 pending');
  assert.equal(await submit({ hands: 0 }), '200 pending');
});

test('a damaged record does not count as missing: its job stays known', async () => {
  const { store, make, call } = setup();
  const api = make();
  assert.equal(await call(api, 'POST', '/v1/jobs', job), '201 pending');
  store.items.set('j/wk-1', { data: { spec: 'damaged' }, revision: 99 });
  assert.equal(await call(api, 'GET', '/v1/jobs/wk-1'), '200 pending');
  assert.equal(await call(api, 'POST', '/v1/jobs', job), '200 pending');
});

test('no client is refused repeatedly while others are served', () => {
  const admission = new AdmissionControl(2, 1);
  assert.ok(admission.tryAdmit('a') && admission.tryAdmit('b'));
  assert.equal(admission.tryAdmit('c'), false, 'full: answered at once');
  assert.equal(admission.tryAdmit('d'), false);
  assert.equal(admission.tryAdmit('c'), true, 'the second time it has room that others do not get');
  assert.equal(admission.tryAdmit('e'), false);
  assert.equal(admission.tryAdmit('d'), false, 'the reserve is bounded, too');
  admission.release('c', true);
  assert.equal(admission.tryAdmit('c'), false, 'served: it is one of many again');
  assert.equal(admission.tryAdmit('d'), true);
});

test('a controller that reports a job as cancelled knows it before: on its own cancellation, on a query, on a repeat', async () => {
  const { store, make, call, confirmed } = setup();
  const [a, b, third] = [make(), make(), make()];
  await call(a, 'POST', '/v1/jobs', job);
  store.mode = 'response lost';
  assert.equal(await call(a, 'POST', '/v1/jobs/wk-1/abort'), '200 withdrawn', 'what is recorded decides');
  assert.deepEqual(confirmed, ['wk-1']);
  store.mode = 'up';
  assert.equal(await call(b, 'GET', '/v1/jobs/wk-1'), '200 withdrawn');
  assert.equal(await call(third, 'POST', '/v1/jobs', job), '200 withdrawn');
  assert.deepEqual(confirmed, ['wk-1', 'wk-1', 'wk-1']);
});

const after = (...awaits: string[]) => ({ ...job, nameId: 'wk-2', awaits });

test('dependencies: accepted anywhere, or refused; a known job is answered as before', async () => {
  const { store, make, call } = setup();
  const [a, b] = [make(), make()];
  assert.equal(await call(a, 'POST', '/v1/jobs', after('wk-1')), '422', 'never accepted');
  assert.equal(await call(a, 'POST', '/v1/jobs', after('wk-2')), '422', 'itself');
  assert.equal(await call(a, 'POST', '/v1/jobs', after('one')), '400');
  assert.equal(await call(a, 'POST', '/v1/jobs', { ...job, nameId: 'wk-2', awaits: 'wk-1' }), '400');
  await call(a, 'POST', '/v1/jobs', job);
  assert.equal(await call(b, 'POST', '/v1/jobs', after('wk-1', 'wk-1')), '201 pending');
  const record = store.items.get('j/wk-2')!.data as { spec: { dependsOn: string[] } };
  assert.deepEqual(record.spec.dependsOn, ['wk-1'], 'named twice, counted once');
  assert.equal(await call(b, 'POST', '/v1/jobs', after('wk-9')), '200 pending', 'known already');
  assert.equal(await call(b, 'POST', '/v1/jobs', { ...job, nameId: 'wk-3', awaits: null }), '201 pending');
  store.finish('wk-1', 'done');
  assert.equal(await call(a, 'POST', '/v1/jobs', { ...after('wk-1'), nameId: 'wk-4' }), '201 pending');
  store.mode = 'down';
  assert.equal(await call(make(), 'POST', '/v1/jobs', { ...after('wk-1'), nameId: 'wk-5' }), '503 after 1');
});

test('a dependent of a cancelled job is recorded as cancelled before any user is told so', async () => {
  const { store, make, call, confirmed } = setup();
  const [a, b] = [make(), make()];
  await call(a, 'POST', '/v1/jobs', job);
  await call(a, 'POST', '/v1/jobs', after('wk-1'));
  await call(a, 'POST', '/v1/jobs', { ...after('wk-2'), nameId: 'wk-3' });
  assert.equal(await call(b, 'GET', '/v1/jobs/wk-3'), '200 pending');
  await call(a, 'POST', '/v1/jobs/wk-1/abort');
  assert.equal(
    await call(b, 'GET', '/v1/jobs/wk-3'),
    '200 withdrawn',
    'through another, also without a feed',
  );
  assert.ok((store.items.get('j/wk-3')!.data as { cancelledAt: number | null }).cancelledAt !== null);
  assert.ok(confirmed.includes('wk-3'));
  assert.equal(
    await call(b, 'POST', '/v1/jobs', { ...after('wk-1'), nameId: 'wk-4' }),
    '201 pending',
    'accepted',
  );
  assert.equal(await call(b, 'GET', '/v1/jobs/wk-4'), '200 withdrawn', 'and then cancelled');
});

test('a cancellation answered with done leaves the dependents alone', async () => {
  const { store, make, call } = setup();
  const api = make();
  await call(api, 'POST', '/v1/jobs', job);
  await call(api, 'POST', '/v1/jobs', after('wk-1'));
  store.finish('wk-1', 'done');
  assert.equal(await call(api, 'POST', '/v1/jobs/wk-1/abort'), '200 done');
  assert.equal(await call(api, 'GET', '/v1/jobs/wk-2'), '200 pending');
});

test('an up-to-date feed answers for other jobs without a request; one that lags is not used', async () => {
  const fresh = feed(true);
  const { store, make, call } = setup(types, fresh);
  const api = make();
  await call(api, 'POST', '/v1/jobs', job);
  await call(api, 'POST', '/v1/jobs', after('wk-1'));
  fresh.index.put('wk-1' as JobId, [], false);
  store.items.delete('j/wk-1');
  assert.equal(await call(api, 'GET', '/v1/jobs/wk-2'), '200 pending', 'from the index');
  fresh.cancelled.add('wk-1' as JobId);
  assert.equal(await call(api, 'GET', '/v1/jobs/wk-2'), '200 withdrawn', 'from the log of cancellations');
  const lagging = feed(false);
  const other = setup(types, lagging);
  const late = other.make();
  await other.call(late, 'POST', '/v1/jobs', job);
  await other.call(late, 'POST', '/v1/jobs', after('wk-1'));
  lagging.index.put('wk-1' as JobId, [], false);
  other.store.finish('wk-1', 'withdrawn');
  assert.equal(await other.call(late, 'GET', '/v1/jobs/wk-2'), '200 withdrawn', 'read again');
});
