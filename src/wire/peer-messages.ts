// What controllers ask one another: one request and one response of each kind. What doesn't fit its schema is dropped,
// and fields that an older version doesn't send have a value that claims nothing.
import * as v from 'valibot';
import { amount, parseWith, safeCount, text } from './common.js';
import type { CancellationLogPosition } from '../core/cancellation-log.js';
import type { ImageLocations } from '../core/leader/leader.js';
import type { UnchangedHeartbeat } from '../core/types.js';
import type { Uint64, MachineId, NodeName, Term } from '../core/units.js';

export interface LeaderStatus {
  node: NodeName;
  term: Term;
  leading: boolean;
  /** It holds the leader's lease and knows the cluster, with or without authority: in an outage nobody has any. */
  holding: boolean;
}

export interface PeerStatus extends LeaderStatus {
  /** The leader that it reaches itself, so that others may reach it over this peer. */
  reaches: LeaderStatus | null;
  stateOk: boolean;
  /** Workers reach it themselves. */
  hearing: boolean;
  /** How long ago it last knew of a leader; null: never. */
  leaderSeenAgoMs: number | null;
}

/** What goes to a leader, directly or over a peer. */
export type LeaderRequest =
  { kind: 'relay'; report: Uint8Array } | { kind: 'vouch'; term: Term; machines: UnchangedHeartbeat[] };

export type PeerRequest =
  | LeaderRequest
  /** `have`: how much of the answerer's log of cancellations the asker holds. */
  | { kind: 'heartbeat'; from: PeerStatus; have: CancellationLogPosition | null }
  | { kind: 'cancelled'; jobs: string[] }
  /** Which of these machines reported to the answerer itself lately? */
  | { kind: 'heard'; machines: string[] }
  /** To be passed on to a leader that the asker cannot reach; the answer is the leader's. */
  | { kind: 'forward'; to: NodeName; request: LeaderRequest }
  | { kind: 'user'; method: string; target: string; body: Uint8Array }
  | { kind: 'hints'; images: ImageLocations }
  | { kind: 'counts'; job: string };

export interface RelayedReply {
  status: number;
  body: Uint8Array;
  /** The machine's reports may be answered without the leader until something changes. */
  quiet: boolean;
}

export interface TaskCounts {
  done: number;
  running: number;
}

export interface PeerResponses {
  /** `cancelled`: a page of the answerer's log of cancellations, checked where it is taken in. */
  heartbeat: { status: PeerStatus; cancelled: unknown };
  cancelled: object;
  heard: { heard: MachineId[] };
  relay: RelayedReply;
  /** Machines of which the next report is needed in full; null: the answerer doesn't lead. */
  vouch: { full: MachineId[] | null };
  forward: unknown;
  user: { status: number; body: Uint8Array | null; retryAfterS: number | null };
  hints: object;
  counts: { counts: TaskCounts | null };
}
export type PeerKind = PeerRequest['kind'];
export type RequestOf<K extends PeerKind> = Extract<PeerRequest, { kind: K }>;

const bytes = v.instance(Uint8Array);
const names = v.array(text);
const leaderStatus = v.object({ node: text, term: safeCount, leading: v.boolean(), holding: v.boolean() });
const peerStatus = v.object({
  node: text,
  term: safeCount,
  leading: v.boolean(),
  holding: v.optional(v.boolean(), false),
  reaches: v.optional(v.nullable(leaderStatus), null),
  stateOk: v.boolean(),
  hearing: v.optional(v.boolean(), false),
  leaderSeenAgoMs: v.optional(v.nullable(amount), null),
});
const isObject = (raw: unknown): raw is Record<string, unknown> => typeof raw === 'object' && raw !== null;
const isCounter = (raw: unknown): raw is Uint64 =>
  typeof raw === 'bigint' ? raw >= 0n : Number.isSafeInteger(raw) && (raw as number) >= 0;
/** An unchanged heartbeat as it is encoded. */
interface EncodedUnchangedHeartbeat {
  machine: MachineId;
  session: Uint64;
  seq: Uint64;
  base: Uint64;
}
const isUnchangedHeartbeat = (raw: unknown): raw is EncodedUnchangedHeartbeat =>
  isObject(raw) &&
  typeof raw['machine'] === 'string' &&
  isCounter(raw['session']) &&
  isCounter(raw['seq']) &&
  isCounter(raw['base']);
const isLocation = (raw: unknown): raw is [string, number] =>
  Array.isArray(raw) && typeof raw[0] === 'string' && typeof raw[1] === 'number';
const isLocations = (raw: unknown): raw is [string, number][] => Array.isArray(raw) && raw.every(isLocation);

// Lists as long as the cluster is large, several times a second: checked by plain functions, at a fortieth of the cost.
const unchangedHeartbeats = v.pipe(
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
  (raw) => isObject(raw) && Object.values(raw).every(isLocations),
);
const relay = v.object({ kind: v.literal('relay'), report: bytes });
const vouch = v.object({ kind: v.literal('vouch'), term: safeCount, machines: unchangedHeartbeats });

const request = v.variant('kind', [
  relay,
  vouch,
  // The position is checked where it is used: one that can't be read means that the asker holds nothing.
  v.object({ kind: v.literal('heartbeat'), from: peerStatus, have: v.unknown() }),
  v.object({ kind: v.literal('cancelled'), jobs: names }),
  v.object({ kind: v.literal('heard'), machines: names }),
  v.object({ kind: v.literal('forward'), to: text, request: v.variant('kind', [relay, vouch]) }),
  v.object({ kind: v.literal('user'), method: text, target: v.string(), body: bytes }),
  v.object({ kind: v.literal('hints'), images: imageLocations }),
  v.object({ kind: v.literal('counts'), job: text }),
]);

const empty = v.object({});
const responses: Record<PeerKind, v.GenericSchema> = {
  heartbeat: v.object({ status: peerStatus, cancelled: v.unknown() }),
  cancelled: empty,
  heard: v.object({ heard: names }),
  relay: v.object({ status: v.number(), body: bytes, quiet: v.optional(v.boolean(), false) }),
  vouch: v.object({ full: v.nullable(names) }),
  forward: v.unknown(),
  user: v.object({
    status: v.number(),
    body: v.nullable(bytes),
    retryAfterS: v.optional(v.nullable(amount), null),
  }),
  hints: empty,
  counts: v.object({ counts: v.nullable(v.object({ done: v.number(), running: v.number() })) }),
};

const encodeLeaderRequest = (message: LeaderRequest): unknown =>
  message.kind === 'vouch'
    ? { ...message, machines: message.machines.map(encodeUnchangedHeartbeat) }
    : message;

const encodeUnchangedHeartbeat = (heartbeat: UnchangedHeartbeat): EncodedUnchangedHeartbeat => ({
  machine: heartbeat.machine,
  session: heartbeat.incarnation,
  seq: heartbeat.sequence,
  base: heartbeat.baseSequence,
});

/** A request in its encoded form. */
export const encodePeerRequest = (message: PeerRequest): unknown => {
  if (message.kind === 'forward') return { ...message, request: encodeLeaderRequest(message.request) };
  return message.kind === 'vouch' ? encodeLeaderRequest(message) : message;
};

export type Parsed<T> = { ok: true; value: T } | { ok: false; cause: string };

export const parsePeerRequest = (raw: unknown): Parsed<PeerRequest> =>
  parseWith(request, raw) as Parsed<PeerRequest>;

export const parsePeerResponse = <K extends PeerKind>(kind: K, raw: unknown): Parsed<PeerResponses[K]> =>
  parseWith(responses[kind], raw) as Parsed<PeerResponses[K]>;
