/** Message bodies, paths and keys that the program produces from typed values, for `external-names.test.ts`. */
import { jobSpec, types } from './fixtures.js';
import { CancellationLog } from '../../core/cancellation-log.js';
import type { JobRecord } from '../../core/job-spec.js';
import { Job, type WaitReason } from '../../core/job.js';
import type { Leader } from '../../core/leader/leader.js';
import { LeaderState } from '../../core/leader/leader-state.js';
import { LeaderSummary } from '../../core/leader/leader-summary.js';
import type { MachineInfo } from '../../core/machine-info.js';
import type { HttpMessage } from '../../runtime/http/http-message.js';
import type { KeyValueStoreClient } from '../../runtime/key-value-store/key-value-store-client.js';
import { acquireLeaderLease } from '../../runtime/leadership/lease-acquisition.js';
import { encodeRequestFrame, encodeResponseFrame } from '../../runtime/peers/frame-codec.js';
import { RequestLatency } from '../../runtime/request-latency.js';
import { StatusPage, type StatusPageDependencies } from '../../runtime/status-page.js';
import { errorReply } from '../../runtime/users/user-replies.js';
import { malformed } from '../../runtime/workers/heartbeat-outcome.js';
import { decode } from '../../wire/cbor.js';
import * as cloud from '../../wire/cloud-provider.js';
import * as store from '../../wire/key-value-store.js';
import { encodePeerRequest, encodePeerResponse, type PeerStatus } from '../../wire/peer-messages.js';
import * as records from '../../wire/stored-records.js';
import { statusBody } from '../../wire/users.js';
import * as workers from '../../wire/workers.js';

/** A value of any branded type. */
const branded = (value: string | number) => value as never;
/** A partial object in place of a complete one. */
const partial = <T>(part: Partial<T>): T => part as T;

const jobId = jobSpec('wk-7').id;
const [node, term, now, attempt] = [branded('stable-1'), branded(3), branded(100), branded(2 ** 33)];
const task = { job: jobId, index: 0, attempt };
const machine: MachineInfo = {
  id: branded('host-1'),
  endpoint: branded('10.0.0.9:9000'),
  type: types[0].name,
  zone: types[0].zones[0],
  spot: true,
};
/** The record of a job with a value in each optional field, without dependencies and not cancelled. */
export const plainRecord: JobRecord = {
  spec: jobSpec(jobId, { types: [machine.type], zone: machine.zone, deadlineS: 60 }),
  submittedAt: branded(1000),
  cancelledAt: null,
};
/** The record of a cancelled job that depends on another one. */
export const dependentRecord: JobRecord = {
  spec: { ...plainRecord.spec, dependsOn: [branded('wk-6')] },
  submittedAt: branded(1000),
  cancelledAt: branded(2000),
};
const peerStatus: PeerStatus = {
  node,
  term,
  leading: true,
  holdsLease: true,
  reachableLeader: { node, term, leading: true, holdsLease: true },
  storeAvailable: true,
  receivesHeartbeats: true,
  leaderSeenAgoMs: 40,
};
const waitReasons: WaitReason[] = [
  { why: 'queued' },
  { why: 'waiting for other jobs', jobs: 2 },
  { why: 'task may still run on a silent machine' },
  { why: 'back-off', until: now },
  { why: 'team limit' },
  { why: 'old attempt not gone' },
  { why: 'waiting for victims', victims: 3 },
  { why: 'waiting for a machine with its image', expectedS: 4 },
  { why: 'no machine with room' },
  { why: 'machines booting' },
];
const cancellations = new CancellationLog(branded('run-1'), [], 1000);
cancellations.add(jobId, now);
cancellations.onStoreRead(now);

const statusPage = (waitReason: WaitReason): unknown => {
  const job = Object.assign(new Job(jobId, plainRecord, 1, false, now), { waitReason, predictedLateS: 5 });
  job.unfinishedDependencies.add(branded('wk-6'));
  const state = new LeaderState({ term, keyRevision: 1 }, partial({}), now);
  state.jobs.set(jobId, job);
  const page = new StatusPage({
    peerStatus: partial<StatusPageDependencies['peerStatus']>({ ownStatus: () => peerStatus }),
    election: partial<StatusPageDependencies['election']>({ authorityLeftMs: 900 }),
    leadership: partial<StatusPageDependencies['leadership']>({
      leader: partial<Leader>({ status: () => new LeaderSummary(state).status() }),
    }),
    admission: partial<StatusPageDependencies['admission']>({ openRequests: 1, rejectedCount: 2 }),
    cancellations: partial<StatusPageDependencies['cancellations']>({ coverageAgeMs: () => 7 }),
    userLatency: new RequestLatency(),
    heartbeatLatency: new RequestLatency(),
  });
  return decode(page.handle(partial<HttpMessage>({ method: 'GET', target: '/queue' })).body!);
};

/** The transaction that makes a controller the leader. */
const leaderTransaction = async (): Promise<unknown> => {
  let body: unknown;
  const client = partial<KeyValueStoreClient>({
    grantLease: () => Promise.resolve({ kind: 'ok', value: 2 ** 33 }),
    get: () => Promise.resolve({ kind: 'gone' }),
    transact: (transaction) => {
      body = store.transactionBody(transaction);
      return Promise.resolve({ kind: 'ok', revision: 1 });
    },
  });
  await acquireLeaderLease(client, node, 3000);
  return body;
};

const { keys } = records;
/** The produced values by their names in `external-names.txt`. */
export const producedValues: Record<string, unknown> = {
  'every type of CBOR': [{ a: 'b' }, 1, -1, 2.5, 2n ** 33n, true, null, Buffer.of(1, 2)],
  'user status': (['pending', 'running', 'done', 'cancelled'] as const).map((status) =>
    statusBody(jobId, status),
  ),
  'user status with counts': statusBody(jobId, 'running', { done: 1, running: 2 }),
  'user error': decode(errorReply(400, 'cause').body!),
  'heartbeat reply': workers.heartbeatReply(3, [
    { op: 'start', ...task },
    { op: 'stop', ...task, gracePeriodS: 2.5 },
    { op: 'forget', ...task },
  ]),
  'heartbeat error': decode(malformed('cause').reply.body!),
  'direct commands': workers.directCommandsBody(3, 2 ** 33, [{ op: 'start', ...task }]),
  redirect: [workers.redirectBody(null), workers.redirectBody(node)],
  'scale-out': cloud.createMachinesBody({ requestId: 'r-1', ...machine, count: 2 }),
  'scale-in': cloud.deleteMachinesBody([machine.id]),
  'store transaction': store.transactionBody({
    conditions: [{ key: 'a', revision: 2 ** 33 }],
    changes: [{ put: 'a', data: 1, lease: 2 ** 33 }, { put: 'b', data: 2 }, { delete: 'c' }],
  }),
  'store lease': store.grantLeaseBody(3000),
  'leader and term': await leaderTransaction(),
  'job record': records.jobRecordData(plainRecord),
  'record of a dependent job': records.jobRecordData(dependentRecord),
  'final records': (['done', 'cancelled'] as const).map((state) =>
    records.finalRecordData({ state, tasks: 3 }),
  ),
  'registry page': records.registryPageData([machine]),
  progress: records.progressRecordData(Uint8Array.of(5, 255)),
  'machine types': types,
  'peer heartbeat': encodePeerRequest({
    kind: 'heartbeat',
    status: peerStatus,
    logPosition: { incarnation: branded('run-1'), position: 4 },
  }),
  'peer heartbeat response': encodePeerResponse('heartbeat', {
    status: peerStatus,
    cancellationPage: cancellations.pageAfter(null, now),
  }),
  'peer unchanged response': encodePeerResponse('unchanged-heartbeats', {
    machinesNeedingFullHeartbeat: null,
  }),
  'peer user response': encodePeerResponse('user-request', { status: 503, body: null, retryAfterS: 1 }),
  'peer counts response': encodePeerResponse('task-counts', { counts: { done: 1, running: 2 } }),
  frames: [encodeRequestFrame(1, 'q'), encodeResponseFrame(2, 'a')].map((frame) => decode(frame.subarray(4))),
  'status page': statusPage(waitReasons[0]),
  'wait reasons': waitReasons.map(
    (reason) => (statusPage(reason) as { queue: { jobs: { waits: unknown }[] } }).queue.jobs[0].waits,
  ),
  paths: [
    workers.DIRECT_COMMANDS_TARGET,
    cloud.listMachinesTarget(null, 500),
    cloud.listMachinesTarget(machine.id, 500),
    store.TRANSACTION_TARGET,
    store.LEASES_TARGET,
    store.leaseTarget(5),
    store.leaseRenewalTarget(5),
    store.itemTarget('j/wk-7'),
    store.listTarget('j/', null, 10),
    store.listTarget('j/', 'j/wk-7', 10),
    store.watchTarget('j/', 5, 100),
  ],
  keys: [
    ...Object.values(keys).filter((key) => typeof key === 'string'),
    keys.machineTypesPage(1),
    keys.jobRecord(jobId),
    keys.finalRecord(jobId),
    keys.progressSegment(jobId, branded('0')),
    keys.registryPage('3-1'),
  ],
};
