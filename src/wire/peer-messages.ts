/**
 * Messages between controllers: one request and one response of each kind, in the field's terms.
 *
 * Their encoded names and forms are mapped here, and stay as they are: versions run side by side. What doesn't fit its
 * schema is dropped, and fields that an older version doesn't send have a value that claims nothing.
 */
import * as v from 'valibot';
import { nonNegativeNumber, parseWith, safeInteger, boundedText, type ParseResult } from './common.js';
import type { CancellationLogPosition } from '../core/cancellation-log.js';
import type { ImageLocations } from '../core/leader/leader.js';
import type { UnchangedHeartbeat } from '../core/heartbeat.js';
import type { Uint64, MachineId, NodeName, Term } from '../core/units.js';

/** Who leads, as its peers are told. */
export interface LeaderStatus {
  node: NodeName;
  term: Term;
  leading: boolean;
  /** It holds the leader's lease and knows the cluster, with or without authority: in an outage nobody has any. */
  holdsLease: boolean;
}

/** What a controller says of itself with each heartbeat. */
export interface PeerStatus extends LeaderStatus {
  /** The leader that it reaches directly, so that others may reach that leader over it. */
  reachableLeader: LeaderStatus | null;
  storeAvailable: boolean;
  /** Workers reach it directly. */
  receivesHeartbeats: boolean;
  /** How long ago it last knew of a leader; null: never. */
  leaderSeenAgoMs: number | null;
}

/** What goes to a leader, directly or over a peer. */
export type LeaderRequest =
  | { kind: 'forwarded-heartbeat'; heartbeat: Uint8Array }
  | { kind: 'unchanged-heartbeats'; term: Term; heartbeats: UnchangedHeartbeat[] };

/** What a controller asks a peer. */
export type PeerRequest =
  | LeaderRequest
  /** `logPosition`: how much of the answerer's log of cancellations the sender holds. */
  | { kind: 'heartbeat'; status: PeerStatus; logPosition: CancellationLogPosition | null }
  | { kind: 'cancellations'; jobs: string[] }
  /** Which of these machines sent a heartbeat to the answerer itself lately? */
  | { kind: 'recent-heartbeats'; machines: string[] }
  /** To be forwarded to a leader that the sender can't reach; the response is the leader's. */
  | { kind: 'forward'; to: NodeName; request: LeaderRequest }
  | { kind: 'user-request'; method: string; target: string; body: Uint8Array }
  | { kind: 'image-locations'; locations: ImageLocations }
  | { kind: 'task-counts'; job: string };

/** The leader's answer to a forwarded heartbeat. */
export interface ForwardedHeartbeatReply {
  status: number;
  body: Uint8Array;
  /** The machine's heartbeats may be answered without the leader until something changes. */
  inSync: boolean;
}

/** Of one job. */
export interface TaskCounts {
  done: number;
  running: number;
}

/** The response to each kind of request. */
export interface PeerResponses {
  /** `cancellationPage`: a page of the answerer's log of cancellations, checked where it is merged. */
  heartbeat: { status: PeerStatus; cancellationPage: unknown };
  cancellations: object;
  'recent-heartbeats': { machines: MachineId[] };
  'forwarded-heartbeat': ForwardedHeartbeatReply;
  /** Machines whose next heartbeat is needed in full; null: the answerer doesn't lead. */
  'unchanged-heartbeats': { machinesNeedingFullHeartbeat: MachineId[] | null };
  /** The leader's response in its encoded form. */
  forward: unknown;
  'user-request': { status: number; body: Uint8Array | null; retryAfterS: number | null };
  'image-locations': object;
  'task-counts': { counts: TaskCounts | null };
}

/** The kinds of requests. */
export type PeerKind = PeerRequest['kind'];

/** A request of one kind. */
export type RequestOf<K extends PeerKind> = Extract<PeerRequest, { kind: K }>;

/** A leader's status as it is encoded. */
interface EncodedLeaderStatus {
  node: string;
  term: number;
  leading: boolean;
  holding: boolean;
}

/** A peer's status as it is encoded; the status page shows it in the same form. */
interface EncodedPeerStatus extends EncodedLeaderStatus {
  reaches: EncodedLeaderStatus | null;
  stateOk: boolean;
  hearing: boolean;
  leaderSeenAgoMs: number | null;
}

/** An unchanged heartbeat as it is encoded. */
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

// Lists as long as the cluster is large, several times a second: checked by plain functions, far cheaper than schemas.
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
    // The position is checked where it is used: one that can't be read means that the sender holds nothing.
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

/** A controller's status in the form that its peers and the status page get. */
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

/** A request in its encoded form. */
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

/** The response to a request of this kind in its encoded form; null: the answerer can't say. */
export const encodePeerResponse = <K extends PeerKind>(
  kind: K,
  response: PeerResponses[K] | null,
): unknown => (response === null ? null : responseEncoders[kind](response));

/** A request as it was received. */
export const parsePeerRequest = (raw: unknown): ParseResult<PeerRequest> =>
  parseWith(requestSchema, raw) as ParseResult<PeerRequest>;

/** The response to a request of this kind, as it was received. */
export const parsePeerResponse = <K extends PeerKind>(kind: K, raw: unknown): ParseResult<PeerResponses[K]> =>
  parseWith(responseSchemas[kind], raw) as ParseResult<PeerResponses[K]>;
