/** Cancellation logs of controllers, and the proof that a log covers every confirmed cancellation. */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import { CancellationLog, renewalWindowMs, type ControllerIncarnation } from '../core/cancellation-log.js';
import type { JobId, NodeName, MonotonicTime } from '../core/units.js';
import { parseCancellationLogPage } from '../wire/cancellation-pages.js';

const at = (ms: number): MonotonicTime => ms as MonotonicTime;
const job = (index: number): JobId => `wk-${index}` as JobId;
const RETENTION_MS = 160_000;

/** The logs of controllers a, b and c, and a function by which one of them requests a page of another one's log. */
const cluster = () => {
  const names = ['a', 'b', 'c'] as NodeName[];
  const createLog = (name: string, incarnation = 1): CancellationLog =>
    new CancellationLog(
      `${name}${incarnation}` as ControllerIncarnation,
      names.filter((other) => other !== name),
      RETENTION_MS,
    );
  const logs = { a: createLog('a'), b: createLog('b'), c: createLog('c') };
  const requestPage = (requester: 'a' | 'b' | 'c', peer: 'a' | 'b' | 'c', ms: number): void => {
    const page = logs[peer].pageAfter(logs[requester].positionOf(peer as NodeName), at(ms + 1));
    logs[requester].mergePage(peer as NodeName, page, at(ms), at(ms + 2));
  };
  return { logs, requestPage, createLog };
};

test('a read of the key-value store proves coverage of cancellations confirmed before the request', () => {
  const { logs } = cluster();
  assert.equal(logs.a.provenUntil(at(50)), -Infinity, 'a process that has just started has no proof');
  logs.a.onStoreRead(at(100));
  logs.a.onStoreRead(at(70));
  assert.equal(logs.a.provenUntil(at(200)), 100, 'a late response does not reduce the coverage');
});

test('in an outage the logs of all peers together prove coverage, and contain the cancellations they confirmed', () => {
  const { logs, requestPage } = cluster();
  requestPage('a', 'b', 0);
  requestPage('a', 'c', 0);
  assert.equal(
    logs.a.provenUntil(at(10)),
    -Infinity,
    'cancellations confirmed by earlier processes of the peers are unknown',
  );
  logs.a.onStoreRead(at(100));
  logs.b.add(job(1), at(150));
  requestPage('a', 'b', 200);
  assert.ok(logs.a.has(job(1)));
  assert.equal(logs.a.provenUntil(at(210)), 100, 'no page of c has been received since');
  requestPage('a', 'c', 300);
  assert.equal(logs.a.provenUntil(at(310)), 200);
  requestPage('a', 'b', 400);
  assert.equal(logs.a.provenUntil(at(410)), 300);
});

test('a peer restarted during an outage proves nothing about its previous process', () => {
  const { logs, requestPage, createLog } = cluster();
  for (const peer of ['b', 'c'] as const) requestPage('a', peer, 0);
  logs.a.onStoreRead(at(100));
  for (const peer of ['b', 'c'] as const) requestPage('a', peer, 200);
  assert.equal(logs.a.provenUntil(at(210)), 200);
  logs.b.add(job(1), at(250)); // confirmed, but the controller crashes before any peer has read its log
  logs.b = createLog('b', 2);
  for (const peer of ['b', 'c'] as const) requestPage('a', peer, 300);
  for (const peer of ['b', 'c'] as const) requestPage('a', peer, 400);
  assert.equal(logs.a.provenUntil(at(410)), 200);
  logs.a.onStoreRead(at(500));
  for (const peer of ['b', 'c'] as const) requestPage('a', peer, 600);
  assert.equal(logs.a.provenUntil(at(610)), 600, 'a read covers the gap');
});

test("a controller that has just started adopts a peer's log and its coverage", () => {
  const { logs, requestPage } = cluster();
  logs.b.add(job(1), at(50));
  logs.b.add(job(2), at(60));
  logs.b.onStoreRead(at(1000));
  requestPage('a', 'b', 3000);
  assert.ok(logs.a.has(job(1)) && logs.a.has(job(2)));
  const proven = logs.a.provenUntil(at(3010));
  assert.ok(proven <= 1000 && proven > 990, `${proven}: the peer's own coverage, reduced by the clock drift`);
});

test('the coverage advances only when all pages of a long log have been received', () => {
  const { logs, requestPage } = cluster();
  for (let index = 0; index < 2500; index++) logs.b.add(job(index), at(1));
  logs.b.onStoreRead(at(100));
  requestPage('a', 'b', 200);
  assert.ok(logs.a.has(job(0)) && !logs.a.has(job(2400)));
  assert.equal(logs.a.provenUntil(at(210)), -Infinity);
  requestPage('a', 'b', 300);
  assert.ok(logs.a.has(job(2400)) && logs.a.provenUntil(at(310)) > 0);
});

test('entries expire when no task of the job can remain, and positions in the log continue', () => {
  const { logs, requestPage } = cluster();
  logs.b.add(job(1), at(0));
  requestPage('a', 'b', 10);
  logs.b.add(job(2), at(RETENTION_MS + 100));
  assert.ok(!logs.b.has(job(1)));
  requestPage('a', 'b', RETENTION_MS + 200);
  assert.ok(logs.a.has(job(2)));
  requestPage('c', 'b', RETENTION_MS + 200);
  assert.ok(logs.c.has(job(2)) && !logs.c.has(job(1)));
});

test('malformed log pages are rejected', () => {
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

test('the lease renewal window ends a lease, the clock error and a margin before cancel_s', () => {
  const windowMs = renewalWindowMs(40, 10);
  assert.ok(windowMs > 28_000 && windowMs + 10_000 * 1.0005 < 40_000 * 0.9995 - 1000, String(windowMs));
});
