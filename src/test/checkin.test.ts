import assert from 'node:assert/strict';
import { test } from 'node:test';
import { Checkin } from '../runtime/checkin.js';
import type { Membership } from '../runtime/membership.js';
import type { PeerLink } from '../runtime/peer-link.js';
import { Logger } from '../runtime/logger.js';
import type { Platform } from '../config/platform.js';
import { emptyElection, learnLeader } from '../core/election.js';
import type { NodeName, Steady, Term } from '../core/units.js';
import { decode, encode } from '../wire/cbor.js';

const workers = { reportS: 2, leaseS: 10, gangWaitS: 30, gangPeerS: 6, cancelS: 40 };

/** A follower in zone east whose leader, in zone west, it may or may not reach. */
const follower = () => {
  const election = emptyElection();
  learnLeader(election, 'stable-1' as NodeName, 3 as Term);
  const world = { now: 1000, linked: true, relayed: 0, stateOk: true, hearing: true, refuses: false };
  const link = {
    name: 'stable-1',
    zone: 'west',
    get status() {
      return { node: 'stable-1', leading: true, term: 3, stateOk: true, hearing: world.hearing };
    },
    alive: () => world.linked,
    refuses: () => world.refuses,
    ask: () => {
      world.relayed++;
      return Promise.resolve({ status: 200, body: encode({ reins: 3, calls: [] }) });
    },
  } as unknown as PeerLink;
  const membership = { election, holdsLease: false, authority: false } as unknown as Membership;
  const platform = { zone: 'east', workers } as unknown as Platform;
  const log = new Logger('test', 'error');
  const checkin = new Checkin(
    platform,
    membership,
    [link],
    () => null,
    log,
    () => world.stateOk,
    () => world.now as Steady,
  );
  const report = async (zone: string, reins = 3): Promise<string> => {
    const body = {
      stall: 'host-1',
      endpoint: '10.0.0.9:9000',
      breed: 'g8',
      pasture: zone,
      loaners: false,
      shift: 1,
      tally: 1,
      reins,
      hands: [],
    };
    const r = await checkin.handle(encode(body));
    return `${r.status} ${JSON.stringify(r.body ? decode(r.body) : null)}`;
  };
  return { world, checkin, report };
};

test('reports are relayed to the leader; a worker of another zone is sent home once', async () => {
  const { world, report } = follower();
  assert.equal(await report('east'), '200 {"reins":3,"calls":[]}');
  assert.equal(world.relayed, 1);
  assert.equal(await report('west', 2), '421 {"foreman":"stable-1"}');
  assert.equal(await report('west', 2), '200 {"reins":3,"calls":[]}', 'back: it is not sent a second time');
  assert.equal(world.relayed, 2);
});

test('no worker is sent to a controller that hears none', async () => {
  // Found in an incident: the leader was cut off from the workers alone; each one sent to it lost 5 s of its lease.
  const { world, report } = follower();
  world.hearing = false;
  assert.equal(await report('west', 2), '200 {"reins":3,"calls":[]}');
});

test('without state service and peers, a worker is sent away, and kept alive only if nobody else takes it', async () => {
  const { world, checkin, report } = follower();
  checkin.sawLeader();
  world.linked = false;
  world.stateOk = false;
  assert.equal(await report('east'), '421 {}');
  world.now += 5000;
  assert.equal(await report('east'), '200 {"reins":3,"calls":[]}');
});

test('connections between controllers refused: workers go to the leader themselves', async () => {
  // Found on the bench: followers kept them alive until the window ended, and the leader fenced half the fleet.
  const { world, checkin, report } = follower();
  checkin.sawLeader();
  world.linked = false;
  assert.equal(await report('east'), '200 {"reins":3,"calls":[]}', 'behind a cut they stay');
  world.refuses = true;
  assert.equal(await report('east'), '421 {"foreman":"stable-1"}');
  assert.equal(await report('east'), '200 {"reins":3,"calls":[]}', 'back: the leader is not to be reached');
});

test('a controller that was just restarted keeps workers alive by what its peers know of the leader', async () => {
  const { world, checkin, report } = follower();
  world.linked = false;
  assert.equal(await report('east'), '503 {}', 'nobody knows when there was a leader');
  checkin.sawLeader(3000);
  assert.equal(checkin.leaderSeenAgoMs, 3000);
  assert.equal(await report('east'), '200 {"reins":3,"calls":[]}');
});

test('cut off from the leader, workers are kept alive from the last heartbeat on, for a bounded time', async () => {
  // Found on the bench: the time was counted from the last report seen here, and there had been none.
  const { world, checkin, report } = follower();
  checkin.sawLeader();
  world.linked = false;
  const windowMs = (workers.cancelS - workers.leaseS - 2 * workers.reportS - 4) * 1000;
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
