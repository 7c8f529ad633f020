/**
 * Messages between controllers: a request and a response of each kind.
 *
 * This module maps them to their encoded names and forms. Those never change, because different versions run side by
 * side. Messages that don't match their schema are dropped. A field that an older version doesn't send gets a default
 * that asserts nothing (false or null).
 */
import * as v from 'valibot';
import { nonNegativeNumber, parseWith, safeInteger, boundedText, type ParseResult } from './parsing.js';
import type { CancellationLogPosition } from '../core/cancellation-log.js';
import type { ImageLocations } from '../core/leader/leader.js';
import type { UnchangedHeartbeat } from '../core/heartbeat.js';
import type { Uint64, MachineId, NodeName, Term } from '../core/units.js';

/** A controller's leadership, as reported to its peers. */
export interface LeaderStatus {
  node: NodeName;
  term: Term;
  leading: boolean;
  /**
   * The controller holds the leader's lease and has loaded the cluster's state. It may lack the authority to make
   * decisions: in an outage of the key-value store no controller has it.
   */
  holdsLease: boolean;
}

/** A controller's own status, sent with each heartbeat to a peer. */
export interface PeerStatus extends LeaderStatus {
  /** The leader that this controller reaches directly, to which it can forward requests of peers; null: none. */
  reachableLeader: LeaderStatus | null;
  storeAvailable: boolean;
  /** Whether workers' heartbeats reach this controller directly. */
  receivesHeartbeats: boolean;
  /** Time since a leader was last known to exist; null: never known. */
  leaderSeenAgoMs: number | null;
}

/** A request to the leader, sent directly or forwarded by a peer. */
export type LeaderRequest =
  | { kind: 'forwarded-heartbeat'; heartbeat: Uint8Array }
  | { kind: 'unchanged-heartbeats'; term: Term; heartbeats: UnchangedHeartbeat[] };

/** A request to a peer. */
export type PeerRequest =
  | LeaderRequest
  /** `logPosition` is the sender's position in the receiver's cancellation log; null: it has no entries yet. */
  | { kind: 'heartbeat'; status: PeerStatus; logPosition: CancellationLogPosition | null }
  | { kind: 'cancellations'; jobs: string[] }
  /** Queries which of these machines have recently sent a heartbeat directly to the receiver. */
  | { kind: 'recent-heartbeats'; machines: string[] }
  /** A request that the receiver forwards to a leader the sender can't reach; the response is the leader's. */
  | { kind: 'forward'; to: NodeName; request: LeaderRequest }
  | { kind: 'user-request'; method: string; target: string; body: Uint8Array }
  | { kind: 'image-locations'; locations: ImageLocations }
  | { kind: 'task-counts'; job: string };

/** The leader's response to a forwarded heartbeat. */
export interface ForwardedHeartbeatReply {
  status: number;
  body: Uint8Array;
  /** Whether the peer may answer the machine's heartbeats without the leader while their content is unchanged. */
  inSync: boolean;
}

/** Numbers of one job's tasks. */
export interface TaskCounts {
  done: number;
  running: number;
}

/** The response to each kind of request. */
export interface PeerResponses {
  /** `cancellationPage` is a page of the responder's cancellation log; the code that merges it validates it. */
  heartbeat: { status: PeerStatus; cancellationPage: unknown };
  cancellations: object;
  'recent-heartbeats': { machines: MachineId[] };
  'forwarded-heartbeat': ForwardedHeartbeatReply;
  /** Machines whose next heartbeat must be sent in full; null: the responder is not the leader. */
  'unchanged-heartbeats': { machinesNeedingFullHeartbeat: MachineId[] | null };
  /** The leader's response, still encoded. */
  forward: unknown;
  'user-request': { status: number; body: Uint8Array | null; retryAfterS: number | null };
  'image-locations': object;
  'task-counts': { counts: TaskCounts | null };
}

/** The kinds of peer requests. */
export type PeerKind = PeerRequest['kind'];

/** A request of one kind. */
export type RequestOf<K extends PeerKind> = Extract<PeerRequest, { kind: K }>;

/** The encoded form of `LeaderStatus`. */
interface EncodedLeaderStatus {
  node: string;
  term: number;
  leading: boolean;
  holding: boolean;
}

/** The encoded form of `PeerStatus`, also shown on the status page. */
interface EncodedPeerStatus extends EncodedLeaderStatus {
  reaches: EncodedLeaderStatus | null;
  stateOk: boolean;
  hearing: boolean;
  leaderSeenAgoMs: number | null;
}

/** The encoded form of `UnchangedHeartbeat`. */
interface EncodedUnchangedHeartbeat {
  machine: MachineId;
  session: Uint64;
  seq: Uint64;
  base: Uint64;
}

const bytes = v.instance(Uint8Array);
const textList = v.array(boundedText);
const leaderStatus = v.pipe(
  v.object({ node: boundedText, term: safeInteger, leading: v.boolean(), holding: v.boolean() }),
  v.transform(({ node, term, leading, holding }) => ({ node, term, leading, holdsLease: holding })),
);
const peerStatus = v.pipe(
  v.object({
    node: boundedText,
    term: safeInteger,
    leading: v.boolean(),
    holding: v.optional(v.boolean(), false),
    reaches: v.optional(v.nullable(leaderStatus), null),
    stateOk: v.boolean(),
    hearing: v.optional(v.boolean(), false),
    leaderSeenAgoMs: v.optional(v.nullable(nonNegativeNumber), null),
  }),
  v.transform(({ node, term, leading, holding, reaches, stateOk, hearing, leaderSeenAgoMs }) => ({
    node,
    term,
    leading,
    holdsLease: holding,
    reachableLeader: reaches,
    storeAvailable: stateOk,
    receivesHeartbeats: hearing,
    leaderSeenAgoMs,
  })),
);
const isObject = (raw: unknown): raw is Record<string, unknown> => typeof raw === 'object' && raw !== null;
const isUint64 = (raw: unknown): raw is Uint64 =>
  typeof raw === 'bigint' ? raw >= 0n : Number.isSafeInteger(raw) && (raw as number) >= 0;
const isUnchangedHeartbeat = (raw: unknown): raw is EncodedUnchangedHeartbeat =>
  isObject(raw) &&
  typeof raw['machine'] === 'string' &&
  isUint64(raw['session']) &&
  isUint64(raw['seq']) &&
  isUint64(raw['base']);
const isCachedImage = (raw: unknown): raw is [string, number] =>
  Array.isArray(raw) && typeof raw[0] === 'string' && typeof raw[1] === 'number';
const isCachedImageList = (raw: unknown): raw is [string, number][] =>
  Array.isArray(raw) && raw.every(isCachedImage);

// These lists have an entry for each machine and arrive several times a second. Plain functions check them because
// schemas cost far more CPU time.
const unchangedHeartbeatList = v.pipe(
  v.custom<EncodedUnchangedHeartbeat[]>((raw) => Array.isArray(raw) && raw.every(isUnchangedHeartbeat)),
  v.transform((encoded): UnchangedHeartbeat[] =>
    encoded.map(({ machine, session, seq, base }) => ({
      machine,
      incarnation: session,
      sequence: seq,
      baseSequence: base,
    })),
  ),
);
const imageLocations = v.custom<ImageLocations>(
  (raw) => isObject(raw) && Object.values(raw).every(isCachedImageList),
);
const forwardedHeartbeat = v.pipe(
  v.object({ kind: v.literal('relay'), report: bytes }),
  v.transform(({ report }) => ({ kind: 'forwarded-heartbeat' as const, heartbeat: report })),
);
const unchangedHeartbeats = v.pipe(
  v.object({ kind: v.literal('vouch'), term: safeInteger, machines: unchangedHeartbeatList }),
  v.transform(({ term, machines }) => ({
    kind: 'unchanged-heartbeats' as const,
    term,
    heartbeats: machines,
  })),
);

const requestSchema = v.variant('kind', [
  forwardedHeartbeat,
  unchangedHeartbeats,
  v.pipe(
    // `parseCancellationLogPosition` validates the position. A malformed one is treated as null: the sender has no
    // entries of the receiver's log yet.
    v.object({ kind: v.literal('heartbeat'), from: peerStatus, have: v.unknown() }),
    v.transform(({ kind, from, have }) => ({ kind, status: from, logPosition: have })),
  ),
  v.pipe(
    v.object({ kind: v.literal('cancelled'), jobs: textList }),
    v.transform(({ jobs }) => ({ kind: 'cancellations' as const, jobs })),
  ),
  v.pipe(
    v.object({ kind: v.literal('heard'), machines: textList }),
    v.transform(({ machines }) => ({ kind: 'recent-heartbeats' as const, machines })),
  ),
  v.object({
    kind: v.literal('forward'),
    to: boundedText,
    request: v.variant('kind', [forwardedHeartbeat, unchangedHeartbeats]),
  }),
  v.pipe(
    v.object({ kind: v.literal('user'), method: boundedText, target: v.string(), body: bytes }),
    v.transform(({ method, target, body }) => ({ kind: 'user-request' as const, method, target, body })),
  ),
  v.pipe(
    v.object({ kind: v.literal('hints'), images: imageLocations }),
    v.transform(({ images }) => ({ kind: 'image-locations' as const, locations: images })),
  ),
  v.pipe(
    v.object({ kind: v.literal('counts'), job: boundedText }),
    v.transform(({ job }) => ({ kind: 'task-counts' as const, job })),
  ),
]);

const emptyResponse = v.object({});
const responseSchemas: Record<PeerKind, v.GenericSchema> = {
  heartbeat: v.pipe(
    v.object({ status: peerStatus, cancelled: v.unknown() }),
    v.transform(({ status, cancelled }) => ({ status, cancellationPage: cancelled })),
  ),
  cancellations: emptyResponse,
  'recent-heartbeats': v.pipe(
    v.object({ heard: textList }),
    v.transform(({ heard }) => ({ machines: heard })),
  ),
  'forwarded-heartbeat': v.pipe(
    v.object({ status: v.number(), body: bytes, quiet: v.optional(v.boolean(), false) }),
    v.transform(({ status, body, quiet }) => ({ status, body, inSync: quiet })),
  ),
  'unchanged-heartbeats': v.pipe(
    v.object({ full: v.nullable(textList) }),
    v.transform(({ full }) => ({ machinesNeedingFullHeartbeat: full })),
  ),
  forward: v.unknown(),
  'user-request': v.object({
    status: v.number(),
    body: v.nullable(bytes),
    retryAfterS: v.optional(v.nullable(nonNegativeNumber), null),
  }),
  'image-locations': emptyResponse,
  'task-counts': v.object({ counts: v.nullable(v.object({ done: v.number(), running: v.number() })) }),
};

const encodeLeaderStatus = ({ node, term, leading, holdsLease }: LeaderStatus): EncodedLeaderStatus => ({
  node,
  term,
  leading,
  holding: holdsLease,
});

/** Encodes a controller's status, for its peers and the status page. */
export const encodePeerStatus = (status: PeerStatus): EncodedPeerStatus => ({
  node: status.node,
  leading: status.leading,
  holding: status.holdsLease,
  term: status.term,
  reaches: status.reachableLeader === null ? null : encodeLeaderStatus(status.reachableLeader),
  stateOk: status.storeAvailable,
  hearing: status.receivesHeartbeats,
  leaderSeenAgoMs: status.leaderSeenAgoMs,
});

const encodeUnchangedHeartbeat = (heartbeat: UnchangedHeartbeat): EncodedUnchangedHeartbeat => ({
  machine: heartbeat.machine,
  session: heartbeat.incarnation,
  seq: heartbeat.sequence,
  base: heartbeat.baseSequence,
});

const encodeLeaderRequest = (request: LeaderRequest): unknown =>
  request.kind === 'forwarded-heartbeat'
    ? { kind: 'relay', report: request.heartbeat }
    : { kind: 'vouch', term: request.term, machines: request.heartbeats.map(encodeUnchangedHeartbeat) };

/** Encodes a request. */
export const encodePeerRequest = (request: PeerRequest): unknown => {
  switch (request.kind) {
    case 'forwarded-heartbeat':
    case 'unchanged-heartbeats':
      return encodeLeaderRequest(request);
    case 'heartbeat':
      return { kind: 'heartbeat', from: encodePeerStatus(request.status), have: request.logPosition };
    case 'cancellations':
      return { kind: 'cancelled', jobs: request.jobs };
    case 'recent-heartbeats':
      return { kind: 'heard', machines: request.machines };
    case 'forward':
      return { kind: 'forward', to: request.to, request: encodeLeaderRequest(request.request) };
    case 'user-request':
      return { kind: 'user', method: request.method, target: request.target, body: request.body };
    case 'image-locations':
      return { kind: 'hints', images: request.locations };
    case 'task-counts':
      return { kind: 'counts', job: request.job };
  }
};

const responseEncoders: { [K in PeerKind]: (response: PeerResponses[K]) => unknown } = {
  heartbeat: ({ status, cancellationPage }) => ({
    status: encodePeerStatus(status),
    cancelled: cancellationPage,
  }),
  cancellations: (response) => response,
  'recent-heartbeats': ({ machines }) => ({ heard: machines }),
  'forwarded-heartbeat': ({ status, body, inSync }) => ({ status, body, quiet: inSync }),
  'unchanged-heartbeats': ({ machinesNeedingFullHeartbeat }) => ({ full: machinesNeedingFullHeartbeat }),
  forward: (response) => response,
  'user-request': (response) => response,
  'image-locations': (response) => response,
  'task-counts': (response) => response,
};

/** Encodes the response to a request of this kind; null if the responder can't answer the request. */
export const encodePeerResponse = <K extends PeerKind>(
  kind: K,
  response: PeerResponses[K] | null,
): unknown => (response === null ? null : responseEncoders[kind](response));

/** Parses a received request. */
export const parsePeerRequest = (raw: unknown): ParseResult<PeerRequest> =>
  parseWith(requestSchema, raw) as ParseResult<PeerRequest>;

/** Parses the received response to a request of this kind. */
export const parsePeerResponse = <K extends PeerKind>(kind: K, raw: unknown): ParseResult<PeerResponses[K]> =>
  parseWith(responseSchemas[kind], raw) as ParseResult<PeerResponses[K]>;
