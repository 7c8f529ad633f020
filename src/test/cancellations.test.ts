/** Cancellation logs and proofs of coverage between controllers. */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import { CancellationLog, renewalWindowMs, type ControllerIncarnation } from '../core/cancellation-log.js';
import type { JobId, NodeName, MonotonicTime } from '../core/units.js';
import { parseCancellationLogPage } from '../wire/cancellation-pages.js';

const at = (ms: number): MonotonicTime => ms as MonotonicTime;
const job = (index: number): JobId => `wk-${index}` as JobId;
const KEPT = 160_000;

/** Controllers a, b and c; the test has each of them ask the others. */
const cluster = () => {
  const names = ['a', 'b', 'c'] as NodeName[];
  const make = (name: string, run = 1): CancellationLog =>
    new CancellationLog(
      `${name}${run}` as ControllerIncarnation,
      names.filter((other) => other !== name),
      KEPT,
    );
  const logs = { a: make('a'), b: make('b'), c: make('c') };
  const ask = (who: 'a' | 'b' | 'c', whom: 'a' | 'b' | 'c', ms: number): void => {
    const page = logs[whom].pageAfter(logs[who].positionOf(whom as NodeName), at(ms + 1));
    logs[who].mergePage(whom as NodeName, page, at(ms), at(ms + 2));
  };
  return { logs, ask, make };
};

test('a key-value store read proves coverage of what was confirmed before the request', () => {
  const { logs } = cluster();
  assert.equal(logs.a.provenUntil(at(50)), -Infinity, 'a process that has just begun knows nothing');
  logs.a.onStoreRead(at(100));
  logs.a.onStoreRead(at(70));
  assert.equal(logs.a.provenUntil(at(200)), 100, 'a late answer does not move it back');
});

test('in an outage all peers together prove coverage, and their logs list what they confirmed', () => {
  const { logs, ask } = cluster();
  ask('a', 'b', 0);
  ask('a', 'c', 0);
  assert.equal(logs.a.provenUntil(at(10)), -Infinity, 'what their earlier processes confirmed is not known');
  logs.a.onStoreRead(at(100));
  logs.b.add(job(1), at(150));
  ask('a', 'b', 200);
  assert.ok(logs.a.has(job(1)));
  assert.equal(logs.a.provenUntil(at(210)), 100, 'c has not spoken yet');
  ask('a', 'c', 300);
  assert.equal(logs.a.provenUntil(at(310)), 200);
  ask('a', 'b', 400);
  assert.equal(logs.a.provenUntil(at(410)), 300);
});

test('a peer restarted during an outage proves nothing about its previous process', () => {
  const { logs, ask, make } = cluster();
  for (const peer of ['b', 'c'] as const) ask('a', peer, 0);
  logs.a.onStoreRead(at(100));
  for (const peer of ['b', 'c'] as const) ask('a', peer, 200);
  assert.equal(logs.a.provenUntil(at(210)), 200);
  logs.b.add(job(1), at(250)); // confirmed, and then the controller crashes before any peer has read it
  logs.b = make('b', 2);
  for (const peer of ['b', 'c'] as const) ask('a', peer, 300);
  for (const peer of ['b', 'c'] as const) ask('a', peer, 400);
  assert.equal(logs.a.provenUntil(at(410)), 200);
  logs.a.onStoreRead(at(500));
  for (const peer of ['b', 'c'] as const) ask('a', peer, 600);
  assert.equal(logs.a.provenUntil(at(610)), 600, 'a read covers the gap');
});

test('a controller that has just started adopts what a peer knows and can prove', () => {
  const { logs, ask } = cluster();
  logs.b.add(job(1), at(50));
  logs.b.add(job(2), at(60));
  logs.b.onStoreRead(at(1000));
  ask('a', 'b', 3000);
  assert.ok(logs.a.has(job(1)) && logs.a.has(job(2)));
  const proven = logs.a.provenUntil(at(3010));
  assert.ok(proven <= 1000 && proven > 990, `${proven}: as old as the peer's own, and less for drift`);
});

test('part of a long log does not advance the coverage, the remainder does', () => {
  const { logs, ask } = cluster();
  for (let index = 0; index < 2500; index++) logs.b.add(job(index), at(1));
  logs.b.onStoreRead(at(100));
  ask('a', 'b', 200);
  assert.ok(logs.a.has(job(0)) && !logs.a.has(job(2400)));
  assert.equal(logs.a.provenUntil(at(210)), -Infinity);
  ask('a', 'b', 300);
  assert.ok(logs.a.has(job(2400)) && logs.a.provenUntil(at(310)) > 0);
});

test('entries expire once none of their tasks can remain, and positions continue', () => {
  const { logs, ask } = cluster();
  logs.b.add(job(1), at(0));
  ask('a', 'b', 10);
  logs.b.add(job(2), at(KEPT + 100));
  assert.ok(!logs.b.has(job(1)));
  ask('a', 'b', KEPT + 200);
  assert.ok(logs.a.has(job(2)));
  ask('c', 'b', KEPT + 200);
  assert.ok(logs.c.has(job(2)) && !logs.c.has(job(1)));
});

test('malformed peer messages are refused', () => {
  const good = { incarnation: 'b1', from: 0, jobs: ['wk-1'], end: 1, completeAgoMs: 5 };
  assert.ok(parseCancellationLogPage(good).ok);
  assert.ok(parseCancellationLogPage({ ...good, completeAgoMs: null }).ok);
  for (const bad of [
    null,
    {},
    { ...good, jobs: ['x'] },
    { ...good, jobs: 7 },
    { ...good, from: -1 },
    { ...good, end: 0 },
    { ...good, completeAgoMs: -1 },
    { ...good, completeAgoMs: NaN },
    { ...good, incarnation: '' },
  ])
    assert.ok(!parseCancellationLogPage(bad).ok, JSON.stringify(bad));
});

test('the coverage window leaves a lease, the clock error and a margin before cancel_s', () => {
  const windowMs = renewalWindowMs(40, 10);
  assert.ok(windowMs > 28_000 && windowMs + 10_000 * 1.0005 < 40_000 * 0.9995 - 1000, String(windowMs));
});
