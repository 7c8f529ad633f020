/** The precedence of requests in the cloud provider's request budget. */
import assert from 'node:assert/strict';
import { createServer, type AddressInfo } from 'node:net';
import { test } from 'node:test';
import type { PlatformSettings } from '../config/platform.js';
import { CloudProviderClient } from '../runtime/cloud/cloud-provider-client.js';
import { httpConnectionHandler } from '../runtime/http/http-server.js';
import { Logger } from '../runtime/logger.js';
import type { MachineId, MachineTypeName, Zone } from '../core/units.js';
import { encode } from '../wire/cbor.js';

test("scale-out and scale-in take precedence over lists in the cloud provider's request budget", async (t) => {
  const receivedRequests: string[] = [];
  const limits = { connections: 20, idleMs: 5000, bodyBytes: 10_000 };
  const server = createServer(
    httpConnectionHandler(limits, new Logger('test', 'error'), (request, reply) => {
      receivedRequests.push(`${request.method} ${request.target.split('?')[0]}`);
      reply({ status: 200, body: encode({ stalls: [], more: false }) });
    }),
  ).listen(0, '127.0.0.1');
  await new Promise((resolve) => server.once('listening', resolve));
  t.after(() => server.close());
  const { port } = server.address() as AddressInfo;
  const cloud = { host: '127.0.0.1', port };
  const platform = {
    cloudProvider: cloud,
    cloudProviderLimits: { requestsPerS: 2, listLagS: 8 },
  } as unknown as PlatformSettings;
  // The clock does not advance, so the token bucket (capacity: 2.55 requests) is not refilled.
  t.mock.method(performance, 'now', () => 1000);
  const client = new CloudProviderClient(platform);
  assert.deepEqual(await client.listMachines(), []);
  assert.equal(
    await client.listMachines(),
    null,
    'the remaining budget is reserved for scale-out and scale-in',
  );
  const machineRequest = { type: 'g8' as MachineTypeName, zone: 'a' as Zone, spot: false, count: 2 };
  assert.equal((await client.createMachines({ requestId: 't1-1', ...machineRequest })).kind, 'provisioned');
  assert.equal(await client.deleteMachines(['host-1' as MachineId]), false, 'the budget is used up');
  assert.deepEqual(receivedRequests, ['GET /machines', 'POST /machines']);
});
