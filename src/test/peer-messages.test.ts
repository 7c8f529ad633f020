/** Messages between controllers: malformed, unknown and oversized ones are rejected, and those of older versions are read. */
import assert from 'node:assert/strict';
import { connect, createServer, type AddressInfo, type Socket } from 'node:net';
import { test, type TestContext } from 'node:test';
import { servePeer } from '../runtime/peers/peer-server.js';
import type { MachineId, NodeName, Term } from '../core/units.js';
import { decode, encode } from '../wire/cbor.js';
import {
  encodePeerRequest,
  encodePeerResponse,
  encodePeerStatus,
  parsePeerRequest,
  parsePeerResponse,
  type PeerRequest,
  type PeerStatus,
} from '../wire/peer-messages.js';

const status = { node: 'stable-0', leading: true, term: 3, stateOk: true };

test('peer requests: each kind is validated, and unknown kinds and shapes are rejected', () => {
  const accepted = (raw: unknown): boolean => parsePeerRequest(raw).ok;
  const relay = { kind: 'relay', report: new Uint8Array([1]) };
  assert.ok(accepted(relay));
  assert.ok(accepted({ kind: 'forward', to: 'stable-1', request: relay }));
  assert.ok(
    accepted({
      kind: 'vouch',
      term: 3,
      machines: [{ machine: 'host-1', session: 1, seq: 2n ** 63n, base: 1 }],
    }),
  );
  assert.ok(accepted({ kind: 'hints', images: { 'host-1': [['img-1', 6.2]] } }));
  for (const malformed of [
    null,
    'relay',
    { kind: 'unheard-of' },
    { kind: 'relay', report: 'text' },
    { kind: 'vouch', term: 3, machines: [{ machine: 'host-1', session: -1, seq: 2, base: 1 }] },
    { kind: 'forward', to: 'stable-1', request: { kind: 'forward', to: 'stable-2', request: relay } },
    {
      kind: 'forward',
      to: 'stable-1',
      request: { kind: 'user', method: 'GET', target: '/', body: new Uint8Array() },
    },
    { kind: 'hints', images: { 'host-1': ['img-1'] } },
    { kind: 'heartbeat', from: { ...status, term: 'three' } },
  ])
    assert.ok(!accepted(malformed), JSON.stringify(malformed));
});

test('peer responses: fields that are missing in the status of an older version are read as false or null', () => {
  const response = parsePeerResponse('heartbeat', { status, cancelled: null });
  assert.ok(response.ok);
  const { reachableLeader, holdsLease, receivesHeartbeats, leaderSeenAgoMs } = response.value.status;
  assert.deepEqual(
    { reachableLeader, holdsLease, receivesHeartbeats, leaderSeenAgoMs },
    {
      reachableLeader: null,
      holdsLease: false,
      receivesHeartbeats: false,
      leaderSeenAgoMs: null,
    },
  );
  const newer = parsePeerResponse('heartbeat', {
    status: { ...status, mood: 'fine' },
    cancelled: null,
    more: 1,
  });
  assert.ok(newer.ok, 'fields of a newer version are ignored');
  assert.ok(
    !parsePeerResponse('forwarded-heartbeat', {}).ok,
    'the response of an older version that does not lead',
  );
  assert.ok(!parsePeerResponse('recent-heartbeats', { heard: 'all' }).ok);
});

const framed = (message: unknown): Buffer => {
  const body = encode(message);
  const head = Buffer.alloc(4);
  head.writeUInt32BE(body.length);
  return Buffer.concat([head, body]);
};

/** Starts a peer that responds to each request with the request's kind, and opens a connection to it. */
const connectToPeer = async (
  t: TestContext,
): Promise<{ socket: Socket; causes: string[]; next: () => Promise<Buffer> }> => {
  const causes: string[] = [];
  const server = createServer((socket) =>
    servePeer(
      socket,
      (request) => Promise.resolve({ kind: request.kind }),
      (cause) => causes.push(cause),
    ),
  ).listen(0, '127.0.0.1');
  await new Promise((resolve) => server.once('listening', resolve));
  const socket = connect((server.address() as AddressInfo).port, '127.0.0.1');
  t.after(() => {
    socket.destroy();
    server.close();
  });
  const next = (): Promise<Buffer> =>
    new Promise((resolve) => socket.once('data', (chunk) => resolve(chunk)));
  return { socket, causes, next };
};

const bodyOf = (chunk: Buffer): unknown => decode(chunk.subarray(4, 4 + chunk.readUInt32BE(0)));

test('a malformed request gets a null response at once, and the connection stays open', async (t) => {
  const { socket, causes, next } = await connectToPeer(t);
  socket.write(framed({ i: 1, q: { kind: 'unheard-of' } }));
  assert.deepEqual(bodyOf(await next()), { i: 1, a: null });
  assert.equal(causes.length, 1);
  socket.write(framed({ i: 2, q: { kind: 'counts', job: 'wk-1' } }));
  assert.deepEqual(bodyOf(await next()), { i: 2, a: { kind: 'task-counts' } });
});

test('an oversized or undecodable frame closes the connection', async (t) => {
  for (const bytes of [Buffer.from([0x7f, 0xff, 0xff, 0xff]), Buffer.from([0, 0, 0, 1, 0xff])]) {
    const { socket } = await connectToPeer(t);
    socket.write(bytes);
    await new Promise((resolve) => socket.once('close', resolve));
  }
});

const ownStatus: PeerStatus = {
  node: 'stable-0' as NodeName,
  leading: false,
  holdsLease: true,
  term: 3 as Term,
  reachableLeader: { node: 'stable-1' as NodeName, term: 3 as Term, leading: true, holdsLease: false },
  storeAvailable: true,
  receivesHeartbeats: false,
  leaderSeenAgoMs: 40,
};
const encodedStatus = {
  node: 'stable-0',
  leading: false,
  holding: true,
  term: 3,
  reaches: { node: 'stable-1', term: 3, leading: true, holding: false },
  stateOk: true,
  hearing: false,
  leaderSeenAgoMs: 40,
};
/** Compares the encoded bytes, and thereby the order of the keys. */
const assertEncoded = (encoded: unknown, form: unknown): void =>
  assert.deepEqual(encode(encoded).toString('hex'), encode(form).toString('hex'));

const machine = 'host-1' as MachineId;
/** Each kind of request, and its encoded form. */
const requestForms: [PeerRequest, unknown][] = [
  [
    { kind: 'heartbeat', status: ownStatus, logPosition: null },
    { kind: 'heartbeat', from: encodedStatus, have: null },
  ],
  [
    { kind: 'cancellations', jobs: ['wk-1'] },
    { kind: 'cancelled', jobs: ['wk-1'] },
  ],
  [
    { kind: 'recent-heartbeats', machines: ['host-1'] },
    { kind: 'heard', machines: ['host-1'] },
  ],
  [
    { kind: 'forwarded-heartbeat', heartbeat: Buffer.of(1) },
    { kind: 'relay', report: Buffer.of(1) },
  ],
  [
    {
      kind: 'unchanged-heartbeats',
      term: 3 as Term,
      heartbeats: [{ machine, incarnation: 1, sequence: 9, baseSequence: 8 }],
    },
    { kind: 'vouch', term: 3, machines: [{ machine: 'host-1', session: 1, seq: 9, base: 8 }] },
  ],
  [
    {
      kind: 'forward',
      to: 'stable-1' as NodeName,
      request: { kind: 'forwarded-heartbeat', heartbeat: Buffer.of(1) },
    },
    { kind: 'forward', to: 'stable-1', request: { kind: 'relay', report: Buffer.of(1) } },
  ],
  [
    { kind: 'user-request', method: 'GET', target: '/v1/jobs/wk-1', body: Buffer.of(1) },
    { kind: 'user', method: 'GET', target: '/v1/jobs/wk-1', body: Buffer.of(1) },
  ],
  [
    { kind: 'image-locations', locations: { 'host-1': [['img-1', 6.2]] } },
    { kind: 'hints', images: { 'host-1': [['img-1', 6.2]] } },
  ],
  [
    { kind: 'task-counts', job: 'wk-1' },
    { kind: 'counts', job: 'wk-1' },
  ],
];

test('requests: each kind has the encoded form that other versions expect, and is decoded from it', () => {
  for (const [request, form] of requestForms) {
    assertEncoded(encodePeerRequest(request), form);
    const read = parsePeerRequest(decode(encode(form)));
    assert.deepEqual(read, { ok: true, value: request }, request.kind);
  }
});

test('responses: each kind has the encoded form that other versions expect, and is decoded from it', () => {
  const machines = ['host-1' as MachineId];
  assertEncoded(encodePeerStatus(ownStatus), encodedStatus);
  const heartbeat = { status: ownStatus, cancellationPage: null };
  assertEncoded(encodePeerResponse('heartbeat', heartbeat), { status: encodedStatus, cancelled: null });
  assertEncoded(encodePeerResponse('recent-heartbeats', { machines }), { heard: machines });
  const forwarded = { status: 200, body: Buffer.of(1), inSync: true };
  const relayed = { status: 200, body: Buffer.of(1), quiet: true };
  assertEncoded(encodePeerResponse('forwarded-heartbeat', forwarded), relayed);
  const unchangedHeartbeatsResponse = { machinesNeedingFullHeartbeat: machines };
  assertEncoded(encodePeerResponse('unchanged-heartbeats', unchangedHeartbeatsResponse), { full: machines });
  const user = { status: 503, body: null, retryAfterS: 1 };
  assertEncoded(encodePeerResponse('user-request', user), user);
  const counts = { counts: { done: 1, running: 2 } };
  assertEncoded(encodePeerResponse('task-counts', counts), counts);
  assertEncoded(encodePeerResponse('cancellations', {}), {});
  assertEncoded(encodePeerResponse('image-locations', {}), {});
  assertEncoded(encodePeerResponse('forward', relayed), relayed);
  assertEncoded(encodePeerResponse('forwarded-heartbeat', null), null);
  const read = [
    parsePeerResponse('heartbeat', { status: encodedStatus, cancelled: null }),
    parsePeerResponse('recent-heartbeats', { heard: machines }),
    parsePeerResponse('forwarded-heartbeat', relayed),
    parsePeerResponse('unchanged-heartbeats', { full: machines }),
  ];
  const expected = [heartbeat, { machines }, forwarded, unchangedHeartbeatsResponse].map((value) => ({
    ok: true,
    value,
  }));
  assert.deepEqual(read, expected);
});
