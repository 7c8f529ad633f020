/** The socket limits of a controller, and pages of image locations that fit into one frame. */
import assert from 'node:assert/strict';
import { createServer, type AddressInfo } from 'node:net';
import { test } from 'node:test';
import { httpConnectionHandler } from '../runtime/http/http-server.js';
import { ImageLocationStore } from '../runtime/peers/image-locations.js';
import { Logger } from '../runtime/logger.js';
import { socketBudget } from '../runtime/http/socket-budget.js';
import { WorkerClient } from '../runtime/workers/worker-client.js';
import type { Endpoint } from '../core/units.js';
import { encode } from '../wire/cbor.js';

test('the socket budget stays within the limit, and each use has some sockets', () => {
  for (const limit of [300, 900, 924, 1890, 10_000]) {
    for (const peers of [0, 2, 4, 8]) {
      const budget = socketBudget(limit, peers);
      assert.ok(budget.public > budget.directCommands && budget.directCommands >= 4 && budget.backlog >= 4);
      assert.ok(
        budget.public + budget.backlog + budget.directCommands + 16 + 4 * peers + 40 <= limit,
        `${limit} with ${peers} peers`,
      );
    }
  }
});

test('direct commands to more workers than connections: the longest unused connection is closed; if all are busy, no command is sent', async (t) => {
  // Guards against a leader that keeps a connection to each worker and has none left to renew its lease.
  const heldReplies: ((response: { status: number }) => void)[] = [];
  const log = new Logger('test', 'error');
  const limits = { connections: 100, idleMs: 5000, bodyBytes: 100 };
  const server = createServer(
    httpConnectionHandler(limits, log, (request, reply) => {
      if (request.target === '/hold') heldReplies.push(reply);
      else reply({ status: 200 });
    }),
  ).listen(0, '0.0.0.0');
  await new Promise((resolve) => server.once('listening', resolve));
  const { port } = server.address() as AddressInfo;
  const client = new WorkerClient(3);
  t.after(() => {
    client.close();
    server.close();
  });
  const to = (index: number): Endpoint => `127.0.0.${index}:${port}` as Endpoint;
  const body = encode({});
  for (let index = 1; index <= 8; index++) {
    const result = await client.request(to(index), '/commands', body, 5000);
    assert.ok(result.ok && result.status === 200);
    assert.ok(client.connectionCount <= 3);
  }
  const held = [1, 2, 3].map((index) => client.request(to(index), '/hold', body, 5000));
  while (heldReplies.length < 3) await new Promise((resolve) => setImmediate(resolve));
  const refused = await client.request(to(4), '/commands', body, 5000);
  assert.deepEqual(
    refused.ok ? null : refused.sent,
    false,
    'the command was not sent, so the next heartbeat response can contain it',
  );
  for (const reply of heldReplies) reply({ status: 200 });
  assert.ok((await Promise.all(held)).every((result) => result.ok));
});

test('image locations of 930 machines are sent in pages that fit a frame, and deleted machines are dropped', () => {
  const images = Array.from({ length: 12 }, (_item, i): [string, number] => [`img-${i}`, 6.25]);
  const all = Object.fromEntries(Array.from({ length: 930 }, (_item, i) => [`host-${100000 + i}`, images]));
  const leader = new ImageLocationStore();
  const peer = new ImageLocationStore();
  for (let i = 0; i < 10; i++) {
    const page = leader.nextPage(all);
    assert.ok(encode(page).length < 64 * 1024);
    peer.merge(page, i * 1000);
  }
  assert.deepEqual(peer.all(), all);
  const one = { 'host-100000': images };
  peer.merge(leader.nextPage(one), 100_000);
  assert.deepEqual(peer.all(), one);
});
