/**
 * The key-value store's protocol, and how this program's records are laid out in the store.
 *
 * The protocol's fields are mapped here to the field's terms: `stamp` to revision, `permit` to lease, `ledger` to store
 * revision, `log` to changes.
 */
import * as v from 'valibot';
import { uint64, encodeUint64, parseWith, boundedText } from './common.js';
import type { FinalRecord, JobRecord, JobSpec, MachineInfo, MachineType } from '../core/types.js';
import { LARGEST_SEGMENT_BYTES } from '../core/progress-segments.js';
import type { Uint64, JobId, NodeName, SegmentName, Revision, Term, WallTime } from '../core/units.js';

/** The key is to be at this revision; 0: it is to be absent. */
export interface Condition {
  key: string;
  revision: Revision;
}

/** One change of a transaction. A key put with a lease ends with it. */
export type Change = { put: string; data: unknown; lease?: Uint64 } | { delete: string };

/** A compare-and-swap: all changes are made if all conditions hold, else none. */
export interface Transaction {
  conditions: Condition[];
  changes: Change[];
}

/** A key with its value, as a read gives it. */
export interface Item {
  key: string;
  data: unknown;
  revision: Revision;
  /** The lease that the key ends with. */
  lease?: Uint64 | null;
}

/** One page of a listing. */
export interface ItemPage {
  items: Item[];
  /** There are further items after the last of these. */
  more: boolean;
  storeRevision: Revision;
}

/** A change that a watch tells. */
export type ChangeEvent =
  | { kind: 'put'; key: string; data: unknown; revision: Revision }
  | { kind: 'deleted'; key: string; revision: Revision };

/** What has changed up to a revision of the store. */
export interface Changes {
  storeRevision: Revision;
  changes: ChangeEvent[];
}

const encodeChange = (change: Change) => {
  if ('delete' in change) return { delete: change.delete };
  const { put, data, lease } = change;
  return lease === undefined ? { put, data } : { put, data, permit: encodeUint64(lease) };
};

/** The body of a request for a transaction. */
export const transactionBody = ({ conditions, changes }: Transaction) => ({
  if: conditions.map(({ key, revision }) => ({ key, stamp: encodeUint64(revision) })),
  then: changes.map(encodeChange),
});

const item = v.pipe(
  v.object({ key: boundedText, data: v.unknown(), stamp: uint64, permit: v.nullish(uint64) }),
  v.transform(({ key, data, stamp, permit }): Item => ({
    key,
    data,
    revision: stamp,
    lease: permit ?? null,
  })),
);
const itemPage = v.pipe(
  v.object({ items: v.array(item), more: v.boolean(), ledger: uint64 }),
  v.transform(({ items, more, ledger }): ItemPage => ({ items, more, storeRevision: ledger })),
);
const committed = v.object({ ledger: uint64 });
const conflict = v.object({ failed: v.array(boundedText), ledger: uint64 });
const grantedLease = v.object({ permit: uint64 });
const leaseGoneError = v.object({ error: v.literal('no such lease') });
const putEvent = v.pipe(
  v.object({ put: boundedText, data: v.unknown(), stamp: uint64 }),
  v.transform(({ put, data, stamp }): ChangeEvent => ({ kind: 'put', key: put, data, revision: stamp })),
);
const deletedEvent = v.pipe(
  v.object({ delete: boundedText, stamp: uint64 }),
  v.transform((event): ChangeEvent => ({ kind: 'deleted', key: event.delete, revision: event.stamp })),
);
const changesSince = v.pipe(
  v.object({ ledger: uint64, log: v.array(v.union([putEvent, deletedEvent])) }),
  v.transform(({ ledger, log }): Changes => ({ storeRevision: ledger, changes: log })),
);

const orNull = <S extends v.GenericSchema>(schema: S, raw: unknown): v.InferOutput<S> | null => {
  const result = parseWith(schema, raw);
  return result.ok ? result.value : null;
};

/** Null, here and below, for what has another shape. */
export const parseItem = (raw: unknown): Item | null => orNull(item, raw);

/** A page of a listing. */
export const parseItems = (raw: unknown): ItemPage | null => orNull(itemPage, raw);

/** The revision of the keys that a transaction wrote. */
export const parseCommitted = (raw: unknown): Revision | null => orNull(committed, raw)?.ledger ?? null;

/** The keys whose conditions did not hold. */
export const parseConflict = (raw: unknown): string[] | null => orNull(conflict, raw)?.failed ?? null;

/** The lease that was granted. */
export const parseLease = (raw: unknown): Uint64 | null => orNull(grantedLease, raw)?.permit ?? null;

/** Whether a refused transaction named a lease that has ended. */
export const isLeaseGoneError = (raw: unknown): boolean => parseWith(leaseGoneError, raw).ok;

/** What a watch, or a question for changes, is answered. */
export const parseChanges = (raw: unknown): Changes | null => orNull(changesSince, raw);

/** Path of transactions. */
export const TRANSACTION_TARGET = '/multi';

/** Path where leases are asked for. */
export const LEASES_TARGET = '/leases';

/** Path of a lease. */
export const leaseTarget = (lease: Uint64): string => `${LEASES_TARGET}/${lease}`;

/** Path of a lease's renewal. */
export const leaseRenewalTarget = (lease: Uint64): string => `${leaseTarget(lease)}/extend`;

/** Path of a key. */
export const itemTarget = (key: string): string => `/store/${key}`;

/** Path of a page of the items under a prefix; `after` is the last key of the page before. */
export const listTarget = (prefix: string, after: string | null, limit: number): string =>
  `/store?under=${prefix}${after === null ? '' : `&since=${after}`}&most=${limit}`;

/** Path of the changes under a prefix since a revision, held open for this time while there are none. */
export const watchTarget = (prefix: string, since: Revision, waitMs: number): string =>
  `/changes?under=${prefix}&since=${since}&blockMs=${waitMs}`;

/** The body of a request for a lease. */
export const leaseBody = (ttlMs: number) => ({ ttlMs });

/** The keys of this program's records. */
export const keys = {
  leader: 'l/leader',
  term: 'l/term',
  types: 'c/types',
  /** Where the list of types is longer than one value may be. */
  typesPage: (page: number) => `c/types/${page}`,
  activePrefix: 'j/',
  progressPrefix: 'p/',
  registryPrefix: 'm/',
  leaderPrefix: 'l/',
  active: (id: JobId) => `j/${id}`,
  final: (id: JobId) => `f/${id}`,
  progress: (id: JobId, segment: SegmentName) => `p/${id}/${segment}`,
  registryPage: (page: string) => `m/${page}`,
};

// Only this program writes these records, but a damaged one must not crash a controller: shapes are checked.
const spec = v.object({
  id: boundedText,
  class: boundedText,
  team: boundedText,
  kind: v.picklist(['array', 'gang', 'service']),
  priority: v.picklist(['production', 'high', 'normal', 'low']),
  tasks: v.number(),
  cpus: v.number(),
  gpus: v.number(),
  memoryGb: v.number(),
  image: boundedText,
  imageGb: v.number(),
  types: v.nullable(v.array(boundedText)),
  zone: v.nullable(boundedText),
  oneZone: v.boolean(),
  spread: v.boolean(),
  spot: v.boolean(),
  estimateS: v.number(),
  checkpointS: v.number(),
  saveS: v.number(),
  deadlineS: v.nullable(v.number()),
  // Records of jobs that wait for none don't have it, as all of those that earlier versions wrote.
  dependsOn: v.optional(v.array(boundedText), []),
});
const jobRecord = v.object({ spec, submittedAt: v.number(), cancelledAt: v.nullable(v.number()) });
/** The word that stands in stored records for a cancelled job. */
const STORED_CANCELLED = 'withdrawn';
const finalRecord = v.object({ state: v.picklist(['done', STORED_CANCELLED]), tasks: v.number() });
const leaderRecord = v.object({ node: boundedText, term: v.number() });
const termRecord = v.object({ term: v.number() });
const registryPageRecord = v.object({
  machines: v.array(v.object({ id: boundedText, type: boundedText, zone: boundedText, spot: v.boolean() })),
});
const progressRecord = v.object({ bits: v.string() });

/** A job's record, while it is not over. */
export const parseJobRecord = (raw: unknown): JobRecord | null => {
  const record = orNull(jobRecord, raw);
  if (record === null) return null;
  return {
    spec: record.spec as unknown as JobSpec,
    submittedAt: record.submittedAt as WallTime,
    cancelledAt: record.cancelledAt as WallTime | null,
  };
};

/** A job's record as it is stored. */
export const jobRecordData = (record: JobRecord): unknown => {
  const { dependsOn, ...plain } = record.spec;
  return dependsOn.length > 0 ? record : { ...record, spec: plain };
};

const dependenciesOnly = v.object({ spec: v.object({ dependsOn: v.array(boundedText) }) });
/** The jobs that a record names to be done before; cheaper than reading all of it. */
export const dependenciesIn = (raw: unknown): JobId[] =>
  (orNull(dependenciesOnly, raw)?.spec.dependsOn ?? []) as JobId[];

/** Whether a job's record says that it is cancelled; cheaper than reading all of it. */
export const isCancelledRecord = (raw: unknown): boolean =>
  typeof raw === 'object' && raw !== null && 'cancelledAt' in raw && typeof raw.cancelledAt === 'number';

/** A job's final record. */
export const parseFinalRecord = (raw: unknown): FinalRecord | null => {
  const record = orNull(finalRecord, raw);
  return record && { state: record.state === 'done' ? 'done' : 'cancelled', tasks: record.tasks };
};

/** A final record as it is stored. */
export const finalRecordData = ({ state, tasks }: FinalRecord) => ({
  state: state === 'done' ? 'done' : STORED_CANCELLED,
  tasks,
});

/** Who holds the leader key. */
export const parseLeaderRecord = (raw: unknown) =>
  orNull(leaderRecord, raw) as { node: NodeName; term: Term } | null;

/** The term of the latest leader. */
export const parseTermRecord = (raw: unknown) => (orNull(termRecord, raw)?.term ?? null) as Term | null;

/** The machines on a page of the registry. */
export const parseRegistryPage = (raw: unknown): MachineInfo[] | null => {
  const page = orNull(registryPageRecord, raw);
  // The endpoint is not stored: the machine's first heartbeat tells it.
  return page && (page.machines.map((machine) => ({ ...machine, endpoint: '' })) as unknown as MachineInfo[]);
};

/** A page of the registry as it is stored. */
export const registryPageData = (machines: MachineInfo[]) => ({
  machines: machines.map(({ id, type, zone, spot }) => ({ id, type, zone, spot })),
});

/** However much a value may hold. */
const MAX_PAGE_MACHINES = 100;

/** Whether one page can name all of these machines. */
export const fitsRegistryPage = (machines: MachineInfo[], valueKb: number): boolean =>
  machines.length <= MAX_PAGE_MACHINES && fitsValue(registryPageData(machines), valueKb);

const BYTES_PER_KB = 1024;

/** The size of a value as the store counts it: in the form of JSON. */
export const storedBytes = (data: unknown): number => Buffer.byteLength(JSON.stringify(data));

/** Whether the store takes the value. */
export const fitsValue = (data: unknown, valueKb: number): boolean =>
  storedBytes(data) <= valueKb * BYTES_PER_KB;

/** A segment of progress as it is stored. */
export const progressRecordData = (bytes: Uint8Array) => ({ bits: Buffer.from(bytes).toString('base64') });

/** Base64 makes four characters of three bytes. */
const BASE64_GROUP_BYTES = 3;
const BASE64_GROUP_CHARACTERS = 4;

/** How many bytes of a job's progress fit one value. */
export const segmentBytes = (valueKb: number): number => {
  const characters = valueKb * BYTES_PER_KB - storedBytes(progressRecordData(new Uint8Array(0)));
  const bytes = Math.floor(characters / BASE64_GROUP_CHARACTERS) * BASE64_GROUP_BYTES;
  return Math.max(BASE64_GROUP_BYTES, Math.min(LARGEST_SEGMENT_BYTES, bytes));
};

/** The bits of a segment of progress, in base64. */
export const parseProgressRecord = (raw: unknown) => orNull(progressRecord, raw)?.bits ?? null;

const typesPage = v.object({ pages: v.number(), types: v.array(v.record(v.string(), v.unknown())) });

/** A page of the list of machine types. */
export const parseTypesPage = (raw: unknown) =>
  orNull(typesPage, raw) as unknown as { pages: number; types: MachineType[] } | null;

/** The list of machine types where it fits one value. */
export const parseStoredTypes = (raw: unknown): MachineType[] | null =>
  (orNull(v.array(v.record(v.string(), v.unknown())), raw) as unknown as MachineType[] | null) ?? null;
