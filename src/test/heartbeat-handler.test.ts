/** How a controller answers heartbeats: forwarded, redirected, renewed without a leader, or batched as unchanged. */
import assert from 'node:assert/strict';
import { mock, test } from 'node:test';
import { HeartbeatHandler } from '../runtime/workers/heartbeat-handler.js';
import type { LeaderElection } from '../runtime/leadership/leader-election.js';
import type { PeerLink } from '../runtime/peers/peer-link.js';
import type { PeerRequest } from '../wire/peer-messages.js';
import { Logger } from '../runtime/logger.js';
import type { PlatformSettings } from '../config/platform.js';
import { initialElectionState, recordLeader } from '../core/election.js';
import { renewalWindowMs } from '../core/cancellation-log.js';
import { Leader } from '../core/leader/leader.js';
import type { MachineId, NodeName, MonotonicTime, Term } from '../core/units.js';
import { decode, encode } from '../wire/cbor.js';
import { parseHeartbeat } from '../wire/workers.js';

const workers = { heartbeatIntervalS: 2, leaseS: 10, gangWaitS: 30, gangPeerS: 6, cancelS: 40 };

/** A follower in zone east whose leader, in zone west, it may or may not reach. */
const follower = () => {
  const election = initialElectionState();
  recordLeader(election, 'stable-1' as NodeName, 3 as Term);
  const world = {
    now: 1000,
    linked: true,
    relayed: 0,
    stateOk: true,
    receivesHeartbeats: true,
    refuses: false,
  };
  const cancelled = { jobs: new Set<string>(), provenUntil: Infinity };
  const link = {
    name: 'stable-1',
    zone: 'west',
    get status() {
      return {
        node: 'stable-1',
        leading: true,
        term: 3,
        storeAvailable: true,
        receivesHeartbeats: world.receivesHeartbeats,
      };
    },
    isAlive: () => world.linked,
    refusesConnections: () => world.refuses,
    ask: () => {
      world.relayed++;
      return Promise.resolve({ status: 200, body: encode({ reins: 3, calls: [] }) });
    },
  } as unknown as PeerLink;
  const leaderElection = {
    electionState: election,
    holdsLease: false,
    hasAuthority: false,
  } as unknown as LeaderElection;
  const platform = { zone: 'east', workers, limits: { cpu: 0.25 } } as unknown as PlatformSettings;
  const log = new Logger('test', 'error');
  const heartbeatHandler = new HeartbeatHandler({
    platform,
    election: leaderElection,
    links: [link],
    leaderLoop: () => null,
    cancellations: {
      has: (job) => cancelled.jobs.has(job),
      mayRenewLeases: (now) =>
        now <= cancelled.provenUntil + renewalWindowMs(workers.cancelS, workers.leaseS),
    },
    storeAvailable: () => world.stateOk,
    log,
    clock: () => world.now as MonotonicTime,
  });
  const report = async (zone: string, reins = 3, hands: unknown[] = []): Promise<string> => {
    const body = {
      stall: 'host-1',
      endpoint: '10.0.0.9:9000',
      breed: 'g8',
      pasture: zone,
      loaners: false,
      shift: 1,
      tally: 1,
      reins,
      hands,
    };
    const reply = await heartbeatHandler.handle(encode(body));
    return `${reply.status} ${JSON.stringify(reply.body ? decode(reply.body) : null)}`;
  };
  return { world, cancelled, heartbeatHandler, report };
};

test('heartbeats are forwarded to the leader; a worker of another zone is redirected to its own once', async () => {
  const { world, report } = follower();
  assert.equal(await report('east'), '200 {"reins":3,"calls":[]}');
  assert.equal(world.relayed, 1);
  assert.equal(await report('west', 2), '421 {"foreman":"stable-1"}');
  assert.equal(await report('west', 2), '200 {"reins":3,"calls":[]}', 'back: it is not sent a second time');
  assert.equal(world.relayed, 2);
});

test('no worker is redirected to a controller that receives no heartbeats', async () => {
  // Found in an incident: the leader was cut off from the workers alone; each one sent to it lost 5 s of its lease.
  const { world, report } = follower();
  world.receivesHeartbeats = false;
  assert.equal(await report('west', 2), '200 {"reins":3,"calls":[]}');
});

test('without key-value store and peers, a worker is redirected, and its lease renewed only if no one else accepts it', async () => {
  const { world, heartbeatHandler, report } = follower();
  heartbeatHandler.recordLeaderSeen();
  world.linked = false;
  world.stateOk = false;
  assert.equal(await report('east'), '421 {}');
  world.now += 5000;
  assert.equal(await report('east'), '200 {"reins":3,"calls":[]}');
});

test('connections between controllers refused: workers are redirected to the leader', async () => {
  // Found on the bench: followers kept them alive until the window ended, and the leader fenced half the fleet.
  const { world, heartbeatHandler, report } = follower();
  heartbeatHandler.recordLeaderSeen();
  world.linked = false;
  assert.equal(await report('east'), '200 {"reins":3,"calls":[]}', 'behind a cut they stay');
  world.refuses = true;
  assert.equal(await report('east'), '421 {"foreman":"stable-1"}');
  assert.equal(await report('east'), '200 {"reins":3,"calls":[]}', 'back: the leader is not to be reached');
});

test('a restarted controller renews leases by what its peers know of the leader', async () => {
  const { world, heartbeatHandler, report } = follower();
  world.linked = false;
  assert.equal(await report('east'), '503 {}', 'nobody knows when there was a leader');
  heartbeatHandler.recordLeaderSeen(3000);
  assert.equal(heartbeatHandler.leaderSeenAgoMs, 3000);
  assert.equal(await report('east'), '200 {"reins":3,"calls":[]}');
});

test('partitioned from the leader, leases are renewed from its last heartbeat on, for a bounded time', async () => {
  // Found on the bench: the time was counted from the last report seen here, and there had been none.
  const { world, heartbeatHandler, report } = follower();
  heartbeatHandler.recordLeaderSeen();
  world.linked = false;
  const windowMs = (workers.cancelS - workers.leaseS - 2 * workers.heartbeatIntervalS - 4) * 1000;
  world.now += windowMs - 1;
  assert.equal(await report('east'), '200 {"reins":3,"calls":[]}');
  assert.equal(
    await report('east', 4),
    '421 {}',
    'a higher token would drop our answer and hold the worker here',
  );
  world.now += 2;
  assert.equal(await report('east'), '503 {}');
});

test('in an outage, leases are renewed while every cancellation is known, and cancelled tasks are stopped', async () => {
  const { world, cancelled, report } = follower();
  Object.assign(world, { linked: false, stateOk: false });
  assert.equal(await report('east'), '421 {}', 'without peers too, another controller may do better');
  const tasks = [
    { hand: 'wk-1/0', try: 5, status: 'running' },
    { hand: 'wk-2/3', try: 6, status: 'running' },
    { hand: 'wk-1/1', try: 7, status: 'exited', cause: 'done' },
  ];
  cancelled.jobs.add('wk-1');
  const stop = '{"call":"kill","hand":"wk-1/0","try":5,"slackS":0}';
  assert.equal(await report('east', 3, tasks), `200 {"reins":3,"calls":[${stop}]}`);
  // A task cancelled right after the proof must be gone in time: the answer keeps it for a lease.
  cancelled.provenUntil = world.now;
  world.now += (workers.cancelS - workers.leaseS) * 1000 - 2000;
  assert.equal(await report('east'), '421 {}', 'tried again now and then');
  assert.equal(await report('east', 3, tasks), `200 {"reins":3,"calls":[${stop}]}`);
  world.now += 2000;
  assert.equal(await report('east', 3, tasks), '503 {}');
});

test('a controller restarted during an outage responds with the fencing token that the worker has', async () => {
  const { world, report } = follower();
  Object.assign(world, { linked: false, stateOk: false });
  assert.equal(await report('east', 9), '421 {}');
  assert.equal(await report('east', 9), '200 {"reins":9,"calls":[]}', 'nobody else took it');
});

/** A leader with one machine in sync, and a follower whose link leads to it. */
const syncedMachine = () => {
  const term = 3 as Term;
  const settings = {
    workers,
    teams: [],
    objectives: [],
    idleHoldS: 30,
    capacityRetryS: 10,
    headroom: 0,
    listLagS: 4,
    agingS: 90,
    fitsRegistryPage: () => true,
    segmentBytes: 2048,
    progressWritesPerS: 20,
    cycleWorkLimit: 100_000,
    random: () => 0.5,
  };
  const world = {
    leader: new Leader({ term, keyRevision: 1 }, settings, 0 as MonotonicTime),
    linked: true,
    now: 0,
  };
  const asked: string[] = [];
  const link = {
    name: 'stable-1',
    zone: 'east',
    status: { node: 'stable-1', leading: true, term, storeAvailable: true, receivesHeartbeats: true },
    isAlive: () => true,
    refusesConnections: () => false,
    ask: (request: PeerRequest) => {
      asked.push(request.kind);
      if (!world.linked) return Promise.resolve(null);
      if (request.kind === 'unchanged-heartbeats') {
        const full = request.heartbeats.filter(
          (v) => !world.leader.onUnchangedHeartbeat(v, world.now as MonotonicTime),
        );
        return Promise.resolve({ fullHeartbeatNeeded: full.map((v) => v.machine) });
      }
      assert.ok(request.kind === 'forwarded-heartbeat');
      const parsed = parseHeartbeat(decode(Buffer.from(request.heartbeat)));
      assert.ok(parsed.ok);
      const calls = world.leader.onHeartbeat(parsed.value, world.now as MonotonicTime);
      const body = encode({ reins: term, calls });
      return Promise.resolve({ status: 200, body, inSync: world.leader.isInSync(parsed.value.id) });
    },
  } as unknown as PeerLink;
  const election = initialElectionState();
  recordLeader(election, 'stable-1' as NodeName, term);
  const leaderElection = { electionState: election, holdsLease: false, hasAuthority: false };
  const heartbeatHandler = new HeartbeatHandler({
    platform: { zone: 'east', workers, limits: { cpu: 0.25 } } as unknown as PlatformSettings,
    election: leaderElection as unknown as LeaderElection,
    links: [link],
    leaderLoop: () => null,
    cancellations: { has: () => false, mayRenewLeases: () => true },
    storeAvailable: () => true,
    log: new Logger('test', 'error'),
    clock: () => world.now as MonotonicTime,
  });
  const report = async (tally: number, over: Record<string, unknown> = {}): Promise<string> => {
    world.now += 2000;
    asked.length = 0;
    const body = {
      stall: 'host-1',
      endpoint: '10.0.0.9:9000',
      breed: 'g8',
      pasture: 'east',
      loaners: false,
      shift: 1,
      tally,
      reins: 3,
      hands: [],
      ...over,
    };
    assert.equal((await heartbeatHandler.handle(encode(body))).status, 200);
    await new Promise((resolve) => setImmediate(resolve));
    mock.timers.tick(250);
    await new Promise((resolve) => setImmediate(resolve));
    return asked.join(' ');
  };
  const seen = (): unknown => world.leader.machines.get('host-1' as MachineId)?.lastHeartbeat.sequence;
  return { world, report, seen };
};

test('unchanged heartbeats are batched; a change, a duplicate, a new incarnation and another leader are not', async (t) => {
  mock.timers.enable({ apis: ['setTimeout'] });
  t.after(() => mock.timers.reset());
  const { report, seen } = syncedMachine();
  assert.equal(await report(1), 'forwarded-heartbeat');
  assert.equal(await report(2), 'unchanged-heartbeats');
  assert.equal(seen(), 2, 'the leader knows that the machine lives');
  assert.equal(await report(2), 'forwarded-heartbeat', 'a copy unchanged for nothing');
  const task = { hand: 'wk-9/0', try: 1, status: 'running' };
  assert.equal(await report(3, { hands: [task] }), 'forwarded-heartbeat', 'a change is reported in full');
  assert.equal(await report(4), 'forwarded-heartbeat');
  assert.equal(await report(5), 'unchanged-heartbeats');
  assert.equal(await report(6, { recallS: 9 }), 'forwarded-heartbeat', 'so is a notice');
  assert.equal(await report(7), 'forwarded-heartbeat', 'and what comes after it');
  assert.equal(await report(1, { shift: 2 }), 'forwarded-heartbeat', 'and a new session');
});

test('a batch of unchanged heartbeats that is lost or does not match makes the next heartbeat a full one', async (t) => {
  mock.timers.enable({ apis: ['setTimeout'] });
  t.after(() => mock.timers.reset());
  const { world, report, seen } = syncedMachine();
  assert.equal(await report(1), 'forwarded-heartbeat');
  world.linked = false;
  assert.equal(await report(2), 'unchanged-heartbeats');
  world.linked = true;
  assert.equal(await report(3), 'forwarded-heartbeat', 'the batch got no answer');
  assert.equal(await report(4), 'unchanged-heartbeats');
  // Something is expected of the machine: an unchanged heartbeat must not count as its answer.
  world.leader.machines.get('host-1' as MachineId)!.invalidate();
  assert.equal(await report(5), 'unchanged-heartbeats');
  assert.equal(seen(), 4, 'not taken in');
  assert.equal(await report(6), 'forwarded-heartbeat');
  // The leader has read a newer report, as from an order's answer: the base is not the same any more.
  world.leader.machines.get('host-1' as MachineId)!.lastHeartbeat.processedSequence = 7;
  assert.equal(await report(8), 'unchanged-heartbeats');
  assert.equal(seen(), 6);
  assert.equal(await report(9), 'forwarded-heartbeat');
});
