// Messages between controllers: what is malformed, unknown or oversized is dropped, and older versions are understood.
import assert from 'node:assert/strict';
import { connect, createServer, type AddressInfo, type Socket } from 'node:net';
import { test, type TestContext } from 'node:test';
import { servePeer } from '../runtime/peers/peer-link.js';
import { decode, encode } from '../wire/cbor.js';
import { parsePeerRequest, parsePeerResponse } from '../wire/peer-messages.js';

const status = { node: 'stable-0', leading: true, term: 3, stateOk: true };

test('peer requests: each kind is checked, unknown kinds and shapes are refused', () => {
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
  for (const bad of [
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
    assert.ok(!accepted(bad), JSON.stringify(bad));
});

test('peer responses: a status of an older version claims nothing that it does not say', () => {
  const answer = parsePeerResponse('heartbeat', { status, cancelled: null });
  assert.ok(answer.ok);
  const { reachableLeader, holdsLease, receivesHeartbeats, leaderSeenAgoMs } = answer.value.status;
  assert.deepEqual(
    { reachableLeader, holdsLease, receivesHeartbeats, leaderSeenAgoMs },
    {
      reachableLeader: null,
      holdsLease: false,
      receivesHeartbeats: false,
      leaderSeenAgoMs: null,
    },
  );
  const later = parsePeerResponse('heartbeat', {
    status: { ...status, mood: 'fine' },
    cancelled: null,
    more: 1,
  });
  assert.ok(later.ok, 'fields of a newer version are ignored');
  assert.ok(
    !parsePeerResponse('forwarded-heartbeat', {}).ok,
    'an older version answers so when it does not lead',
  );
  assert.ok(!parsePeerResponse('recent-heartbeats', { heard: 'all' }).ok);
});

const framed = (message: unknown): Buffer => {
  const body = encode(message);
  const head = Buffer.alloc(4);
  head.writeUInt32BE(body.length);
  return Buffer.concat([head, body]);
};

/** A peer that answers every request with its kind, and a connection to it. */
const dial = async (
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

test('a malformed request is answered at once that nothing can be said, and the connection goes on', async (t) => {
  const { socket, causes, next } = await dial(t);
  socket.write(framed({ i: 1, q: { kind: 'unheard-of' } }));
  assert.deepEqual(bodyOf(await next()), { i: 1, a: null });
  assert.equal(causes.length, 1);
  socket.write(framed({ i: 2, q: { kind: 'counts', job: 'wk-1' } }));
  assert.deepEqual(bodyOf(await next()), { i: 2, a: { kind: 'task-counts' } });
});

test('an oversized or undecodable frame ends the connection', async (t) => {
  for (const bytes of [Buffer.from([0x7f, 0xff, 0xff, 0xff]), Buffer.from([0, 0, 0, 1, 0xff])]) {
    const { socket } = await dial(t);
    socket.write(bytes);
    await new Promise((resolve) => socket.once('close', resolve));
  }
});
