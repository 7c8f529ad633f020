/** Writes of progress records that arrive late or whose response is lost. */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import { ProgressStore } from '../runtime/leadership/progress-store.js';
import type { JobId, SegmentName } from '../core/units.js';
import type { Change, Condition } from '../wire/key-value-store.js';

const jobId = 'wk-1' as JobId;
const first = '0' as SegmentName;
const bits = (byte: number): Uint8Array => Uint8Array.of(byte);

/** A key-value store with one key, whose next response may be lost while the request is delayed in the network. */
const createStore = () => {
  let heldRequests: (() => void)[] = [];
  let revision = 0;
  const server = { value: null as { data: unknown; revision: number } | null, loseNextResponse: false };
  const apply = (then: Change[], conditions: Condition[]): boolean => {
    if (conditions.some((condition) => condition.revision !== (server.value?.revision ?? 0))) return false;
    for (const change of then)
      if ('put' in change) server.value = { data: change.data, revision: ++revision };
    return true;
  };
  const store = new ProgressStore(
    (then, conditions) => {
      if (server.loseNextResponse) {
        server.loseNextResponse = false;
        heldRequests.push(() => void apply(then, conditions));
        return Promise.resolve({ kind: 'unknown' });
      }
      return Promise.resolve(
        apply(then, conditions)
          ? { kind: 'ok', revision: server.value!.revision }
          : { kind: 'conflict', conflictingKeys: ['p/wk-1/0'] },
      );
    },
    (key) =>
      Promise.resolve(server.value ? { kind: 'ok', value: { key, ...server.value } } : { kind: 'gone' }),
  );
  const deliverHeldRequests = (): void => {
    heldRequests.forEach((execute) => execute());
    heldRequests = [];
  };
  const storedByte = (): number => Buffer.from((server.value!.data as { bits: string }).bits, 'base64')[0];
  return { server, store, deliverHeldRequests, storedByte };
};

test('a progress write that arrives late does not overwrite a newer one', async () => {
  const { server, store, deliverHeldRequests, storedByte } = createStore();
  assert.equal((await store.save(jobId, first, bits(1))).kind, 'ok');
  server.loseNextResponse = true;
  assert.equal((await store.save(jobId, first, bits(3))).kind, 'retry');
  assert.equal((await store.save(jobId, first, bits(7))).kind, 'ok');
  deliverHeldRequests();
  assert.equal(storedByte(), 7);
});

test('a write that was executed without a response is detected, and the next write succeeds', async () => {
  const { server, store, deliverHeldRequests, storedByte } = createStore();
  server.loseNextResponse = true;
  assert.equal((await store.save(jobId, first, bits(1))).kind, 'retry');
  deliverHeldRequests();
  const outcome = await store.save(jobId, first, bits(2));
  assert.deepEqual(outcome.kind === 'changed' ? [...outcome.bytes] : outcome, [1]);
  assert.equal((await store.save(jobId, first, bits(3))).kind, 'ok');
  assert.equal(storedByte(), 3);
});
