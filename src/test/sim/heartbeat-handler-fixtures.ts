/** A follower's heartbeat handler with a simulated link to the leader, cancellation log and clock. */
import assert from 'node:assert/strict';
import { mock } from 'node:test';
import type { PlatformSettings } from '../../config/platform.js';
import { renewalWindowMs } from '../../core/cancellation-log.js';
import { initialElectionState, recordLeader } from '../../core/election.js';
import { Leader } from '../../core/leader/leader.js';
import type { MachineId, MonotonicTime, NodeName, Term } from '../../core/units.js';
import type { LeaderElection } from '../../runtime/leadership/leader-election.js';
import { Logger } from '../../runtime/logger.js';
import type { PeerLink } from '../../runtime/peers/peer-link.js';
import { HeartbeatHandler } from '../../runtime/workers/heartbeat-handler.js';
import { decode, encode } from '../../wire/cbor.js';
import type { PeerRequest } from '../../wire/peer-messages.js';
import { parseHeartbeat } from '../../wire/workers.js';

const TERM = 3 as Term;
const LEADER = 'stable-1' as NodeName;
const BATCH_INTERVAL_MS = 250;
/** The timings of the workers. */
export const workers = {
  heartbeatIntervalS: 2,
  leaseS: 10,
  gangWaitS: 30,
  gangMemberLossTimeoutS: 6,
  cancelS: 40,
};
const platform = { zone: 'east', workers, processLimits: { cpuCores: 0.25 } } as unknown as PlatformSettings;

const heartbeatBody = {
  stall: 'host-1',
  endpoint: '10.0.0.9:9000',
  breed: 'g8',
  pasture: 'east',
  loaners: false,
  shift: 1,
  tally: 1,
  reins: 3,
  hands: [] as unknown[],
};

const followerElection = (): LeaderElection => {
  const electionState = initialElectionState();
  recordLeader(electionState, LEADER, TERM);
  return { electionState, holdsLease: false, hasAuthority: false } as unknown as LeaderElection;
};

const leaderStatus = { node: LEADER, leading: true, term: TERM, storeAvailable: true };

/** A follower in zone east with a leader in zone west. Tests set in `environment` whether the leader is reachable. */
export const createFollower = () => {
  const environment = {
    now: 1000,
    linkAlive: true,
    forwardedCount: 0,
    storeAvailable: true,
    leaderReceivesHeartbeats: true,
    linkRefuses: false,
  };
  const cancelled = { jobs: new Set<string>(), provenUntil: Infinity };
  const link = {
    name: LEADER,
    zone: 'west',
    get status() {
      return { ...leaderStatus, receivesHeartbeats: environment.leaderReceivesHeartbeats };
    },
    isAlive: () => environment.linkAlive,
    refusesConnections: () => environment.linkRefuses,
    sendRequest: () => {
      environment.forwardedCount++;
      return Promise.resolve({ status: 200, body: encode({ reins: TERM, calls: [] }) });
    },
  } as unknown as PeerLink;
  const heartbeatHandler = new HeartbeatHandler({
    platform,
    election: followerElection(),
    links: [link],
    leaderLoop: () => null,
    cancellations: {
      has: (job) => cancelled.jobs.has(job),
      mayRenewLeases: (now) =>
        now <= cancelled.provenUntil + renewalWindowMs(workers.cancelS, workers.leaseS),
    },
    storeAvailable: () => environment.storeAvailable,
    log: new Logger('test', 'error'),
    clock: () => environment.now as MonotonicTime,
  });
  const sendHeartbeat = async (
    zone: string,
    fencingToken = 3,
    encodedTasks: unknown[] = [],
  ): Promise<string> => {
    const body = { ...heartbeatBody, pasture: zone, reins: fencingToken, hands: encodedTasks };
    const reply = await heartbeatHandler.handle(encode(body));
    return `${reply.status} ${JSON.stringify(reply.body ? decode(reply.body) : null)}`;
  };
  return { environment, cancelled, heartbeatHandler, sendHeartbeat };
};

const createLeader = (): Leader => {
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
    maxMachineEvaluationsPerCycle: 100_000,
    random: () => 0.5,
  };
  return new Leader({ term: TERM, keyRevision: 1 }, settings, 0 as MonotonicTime);
};

/** The leader's response to a follower's request. */
const respondToFollower = (leader: Leader, request: PeerRequest, now: MonotonicTime): unknown => {
  if (request.kind === 'unchanged-heartbeats') {
    const full = request.heartbeats.filter((heartbeat) => !leader.onUnchangedHeartbeat(heartbeat, now));
    return { machinesNeedingFullHeartbeat: full.map(({ machine }) => machine) };
  }
  assert.ok(request.kind === 'forwarded-heartbeat');
  const parsed = parseHeartbeat(decode(Buffer.from(request.heartbeat)));
  assert.ok(parsed.ok);
  const calls = leader.onHeartbeat(parsed.value, now);
  const body = encode({ reins: TERM, calls });
  return { status: 200, body, inSync: leader.isInSync(parsed.value.id) };
};

/** A leader and a follower that batches unchanged heartbeats to it. Requires mocked timers. */
export const createBatchingFollower = () => {
  const environment = { leader: createLeader(), linkAlive: true, now: 0 };
  const requests: string[] = [];
  const link = {
    name: LEADER,
    zone: 'east',
    status: { ...leaderStatus, receivesHeartbeats: true },
    isAlive: () => true,
    refusesConnections: () => false,
    sendRequest: (request: PeerRequest) => {
      requests.push(request.kind);
      if (!environment.linkAlive) return Promise.resolve(null);
      return Promise.resolve(
        respondToFollower(environment.leader, request, environment.now as MonotonicTime),
      );
    },
  } as unknown as PeerLink;
  const heartbeatHandler = new HeartbeatHandler({
    platform,
    election: followerElection(),
    links: [link],
    leaderLoop: () => null,
    cancellations: { has: () => false, mayRenewLeases: () => true },
    storeAvailable: () => true,
    log: new Logger('test', 'error'),
    clock: () => environment.now as MonotonicTime,
  });
  /** Sends a heartbeat. Returns the kinds of the requests that the follower sent to the leader for it. */
  const sendHeartbeat = async (
    sequence: number,
    overrides: Record<string, unknown> = {},
  ): Promise<string> => {
    environment.now += 2000;
    requests.length = 0;
    const body = { ...heartbeatBody, tally: sequence, ...overrides };
    assert.equal((await heartbeatHandler.handle(encode(body))).status, 200);
    await new Promise((resolve) => setImmediate(resolve));
    mock.timers.tick(BATCH_INTERVAL_MS);
    await new Promise((resolve) => setImmediate(resolve));
    return requests.join(' ');
  };
  const lastSequence = (): unknown =>
    environment.leader.machines.get('host-1' as MachineId)?.lastHeartbeat.sequence;
  return { environment, sendHeartbeat, lastSequence };
};
