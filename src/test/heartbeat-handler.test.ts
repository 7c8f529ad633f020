/** How a controller handles heartbeats: forwarding, redirects, lease renewal without a leader, and batches of unchanged ones. */
import assert from 'node:assert/strict';
import { mock, test } from 'node:test';
import { createBatchingFollower, createFollower, workers } from './sim/heartbeat-handler-fixtures.js';
import type { MachineId } from '../core/units.js';

test('heartbeats are forwarded to the leader; a worker of another zone is redirected once to its own', async () => {
  const { environment, sendHeartbeat } = createFollower();
  assert.equal(await sendHeartbeat('east'), '200 {"reins":3,"calls":[]}');
  assert.equal(environment.forwardedCount, 1);
  assert.equal(await sendHeartbeat('west', 2), '421 {"foreman":"stable-1"}');
  assert.equal(
    await sendHeartbeat('west', 2),
    '200 {"reins":3,"calls":[]}',
    'the worker returned: it is not redirected a second time',
  );
  assert.equal(environment.forwardedCount, 2);
});

test('no worker is redirected to a controller that receives no heartbeats', async () => {
  // Guards against redirecting workers to a leader that is partitioned only from the workers: they lose 5 s of their lease.
  const { environment, sendHeartbeat } = createFollower();
  environment.leaderReceivesHeartbeats = false;
  assert.equal(await sendHeartbeat('west', 2), '200 {"reins":3,"calls":[]}');
});

test('without key-value store and peers, a worker is redirected, and its lease renewed only if no other controller accepts it', async () => {
  const { environment, heartbeatHandler, sendHeartbeat } = createFollower();
  heartbeatHandler.recordLeaderSeen();
  environment.linkAlive = false;
  environment.storeAvailable = false;
  assert.equal(await sendHeartbeat('east'), '421 {}');
  environment.now += 5000;
  assert.equal(await sendHeartbeat('east'), '200 {"reins":3,"calls":[]}');
});

test('when connections between controllers are refused, workers are redirected to the leader', async () => {
  // Guards against followers that renew leases until the time limit for renewals without a leader, while the leader fences
  // half of the machines.
  const { environment, heartbeatHandler, sendHeartbeat } = createFollower();
  heartbeatHandler.recordLeaderSeen();
  environment.linkAlive = false;
  assert.equal(
    await sendHeartbeat('east'),
    '200 {"reins":3,"calls":[]}',
    'in a partition the worker is not redirected',
  );
  environment.linkRefuses = true;
  assert.equal(await sendHeartbeat('east'), '421 {"foreman":"stable-1"}');
  assert.equal(
    await sendHeartbeat('east'),
    '200 {"reins":3,"calls":[]}',
    'the worker returned: it cannot reach the leader',
  );
});

test('a restarted controller renews leases based on when its peers last saw the leader', async () => {
  const { environment, heartbeatHandler, sendHeartbeat } = createFollower();
  environment.linkAlive = false;
  assert.equal(await sendHeartbeat('east'), '503 {}', 'no peer has reported when it last saw a leader');
  heartbeatHandler.recordLeaderSeen(3000);
  assert.equal(heartbeatHandler.leaderSeenAgoMs, 3000);
  assert.equal(await sendHeartbeat('east'), '200 {"reins":3,"calls":[]}');
});

test("a controller partitioned from the leader renews leases for a bounded time after the leader's last heartbeat", async () => {
  // Guards against measuring this time limit from the last heartbeat that this controller received: it may have received none.
  const { environment, heartbeatHandler, sendHeartbeat } = createFollower();
  heartbeatHandler.recordLeaderSeen();
  environment.linkAlive = false;
  const maxLeaderlessMs = (workers.cancelS - workers.leaseS - 2 * workers.heartbeatIntervalS - 4) * 1000;
  environment.now += maxLeaderlessMs - 1;
  assert.equal(await sendHeartbeat('east'), '200 {"reins":3,"calls":[]}');
  assert.equal(
    await sendHeartbeat('east', 4),
    '421 {}',
    'a worker with a higher fencing token would drop the response and stay connected to this controller',
  );
  environment.now += 2;
  assert.equal(await sendHeartbeat('east'), '503 {}');
});

test('in an outage, leases are renewed while every cancellation is known, and cancelled tasks are stopped', async () => {
  const { environment, cancelled, sendHeartbeat } = createFollower();
  Object.assign(environment, { linkAlive: false, storeAvailable: false });
  assert.equal(
    await sendHeartbeat('east'),
    '421 {}',
    'without peers, the worker is redirected first: another controller may accept it',
  );
  const tasks = [
    { hand: 'wk-1/0', try: 5, status: 'running' },
    { hand: 'wk-2/3', try: 6, status: 'running' },
    { hand: 'wk-1/1', try: 7, status: 'exited', cause: 'done' },
  ];
  cancelled.jobs.add('wk-1');
  const stop = '{"call":"kill","hand":"wk-1/0","try":5,"slackS":0}';
  assert.equal(await sendHeartbeat('east', 3, tasks), `200 {"reins":3,"calls":[${stop}]}`);
  // All cancellations until `provenUntil` are known. The response renews the worker's lease, and a task cancelled right
  // after that time must still stop in time.
  cancelled.provenUntil = environment.now;
  environment.now += (workers.cancelS - workers.leaseS) * 1000 - 2000;
  assert.equal(await sendHeartbeat('east'), '421 {}', 'the worker is redirected again from time to time');
  assert.equal(await sendHeartbeat('east', 3, tasks), `200 {"reins":3,"calls":[${stop}]}`);
  environment.now += 2000;
  assert.equal(await sendHeartbeat('east', 3, tasks), '503 {}');
});

test('a controller restarted during an outage responds with the fencing token that the worker has', async () => {
  const { environment, sendHeartbeat } = createFollower();
  Object.assign(environment, { linkAlive: false, storeAvailable: false });
  assert.equal(await sendHeartbeat('east', 9), '421 {}');
  assert.equal(
    await sendHeartbeat('east', 9),
    '200 {"reins":9,"calls":[]}',
    'no other controller accepted the worker',
  );
});

test('unchanged heartbeats are batched; a change, a duplicate, a new incarnation and another leader are not', async (t) => {
  mock.timers.enable({ apis: ['setTimeout'] });
  t.after(() => mock.timers.reset());
  const { sendHeartbeat, lastSequence } = createBatchingFollower();
  assert.equal(await sendHeartbeat(1), 'forwarded-heartbeat');
  assert.equal(await sendHeartbeat(2), 'unchanged-heartbeats');
  assert.equal(lastSequence(), 2, 'the leader has processed the unchanged heartbeat');
  assert.equal(await sendHeartbeat(2), 'forwarded-heartbeat', 'a duplicate is not batched');
  const task = { hand: 'wk-9/0', try: 1, status: 'running' };
  assert.equal(
    await sendHeartbeat(3, { hands: [task] }),
    'forwarded-heartbeat',
    'a change is reported in full',
  );
  assert.equal(await sendHeartbeat(4), 'forwarded-heartbeat');
  assert.equal(await sendHeartbeat(5), 'unchanged-heartbeats');
  assert.equal(
    await sendHeartbeat(6, { recallS: 9 }),
    'forwarded-heartbeat',
    'an interruption notice is reported in full',
  );
  assert.equal(
    await sendHeartbeat(7),
    'forwarded-heartbeat',
    'the heartbeat after a notice is reported in full',
  );
  assert.equal(
    await sendHeartbeat(1, { shift: 2 }),
    'forwarded-heartbeat',
    'a new incarnation is reported in full',
  );
});

test('a batch of unchanged heartbeats that is lost or does not match makes the next heartbeat a full one', async (t) => {
  mock.timers.enable({ apis: ['setTimeout'] });
  t.after(() => mock.timers.reset());
  const { environment, sendHeartbeat, lastSequence } = createBatchingFollower();
  assert.equal(await sendHeartbeat(1), 'forwarded-heartbeat');
  environment.linkAlive = false;
  assert.equal(await sendHeartbeat(2), 'unchanged-heartbeats');
  environment.linkAlive = true;
  assert.equal(await sendHeartbeat(3), 'forwarded-heartbeat', 'the batch got no response');
  assert.equal(await sendHeartbeat(4), 'unchanged-heartbeats');
  // The machine is no longer in sync with the leader, and an unchanged heartbeat must not mark it as in sync.
  environment.leader.machines.get('host-1' as MachineId)!.invalidate();
  assert.equal(await sendHeartbeat(5), 'unchanged-heartbeats');
  assert.equal(lastSequence(), 4, 'the unchanged heartbeat is not accepted');
  assert.equal(await sendHeartbeat(6), 'forwarded-heartbeat');
  // The leader has processed a newer heartbeat, such as one in the response to a direct command. The unchanged heartbeat
  // refers to an older one.
  environment.leader.machines.get('host-1' as MachineId)!.lastHeartbeat.processedSequence = 7;
  assert.equal(await sendHeartbeat(8), 'unchanged-heartbeats');
  assert.equal(lastSequence(), 6);
  assert.equal(await sendHeartbeat(9), 'forwarded-heartbeat');
});
