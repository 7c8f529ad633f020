// The state service's side: reads, transactions, leases, watches; and how our records are laid out in it.
import * as v from 'valibot';
import { uint64, encodeUint64, parseWith, boundedText } from './common.js';
import type { FinalRecord, JobRecord, JobSpec, MachineInfo, MachineType } from '../core/types.js';
import { LARGEST_SEGMENT_BYTES } from '../core/progress-segments.js';
import type { Uint64, JobId, NodeName, SegmentName, Revision, Term, WallTime } from '../core/units.js';

export interface Condition {
  key: string;
  revision: Revision;
}
export type Change = { put: string; data: unknown; lease?: Uint64 } | { delete: string };
export interface Transaction {
  conditions: Condition[];
  changes: Change[];
}

export const transactionBody = (t: Transaction) => ({
  if: t.conditions.map((c) => ({ key: c.key, stamp: encodeUint64(c.revision) })),
  then: t.changes.map((c) =>
    'put' in c
      ? c.lease === undefined
        ? { put: c.put, data: c.data }
        : { put: c.put, data: c.data, permit: encodeUint64(c.lease) }
      : { delete: c.delete },
  ),
});

/** A key with its value, as a read gives it. */
export interface Item {
  key: string;
  data: unknown;
  revision: Revision;
  /** The lease that the key ends with. */
  lease?: Uint64 | null;
}
const item = v.pipe(
  v.object({ key: boundedText, data: v.unknown(), stamp: uint64, permit: v.nullish(uint64) }),
  v.transform(({ key, data, stamp, permit }): Item => ({
    key,
    data,
    revision: stamp,
    lease: permit ?? null,
  })),
);
const items = v.object({ items: v.array(item), more: v.boolean(), ledger: uint64 });
const committed = v.object({ ledger: uint64 });
const conflict = v.object({ failed: v.array(boundedText), ledger: uint64 });
const leased = v.object({ permit: uint64 });
const leaseGone = v.object({ error: v.literal('no such lease') });
const events = v.object({
  ledger: uint64,
  log: v.array(
    v.union([
      v.object({ put: boundedText, data: v.unknown(), stamp: uint64 }),
      v.object({ delete: boundedText, stamp: uint64 }),
    ]),
  ),
});

export type ChangeEvent = v.InferOutput<typeof events>['log'][number];

const orNull = <S extends v.GenericSchema>(schema: S, raw: unknown): v.InferOutput<S> | null => {
  const r = parseWith(schema, raw);
  return r.ok ? r.value : null;
};
export const parseItem = (raw: unknown) => orNull(item, raw);
export const parseItems = (raw: unknown) => orNull(items, raw);
export const parseCommitted = (raw: unknown) => orNull(committed, raw);
export const parseConflict = (raw: unknown) => orNull(conflict, raw);
export const parseLease = (raw: unknown) => orNull(leased, raw)?.permit ?? null;
/** Whether a refused transaction named a lease that has ended. */
export const isLeaseGoneError = (raw: unknown): boolean => parseWith(leaseGone, raw).ok;
export const parseChanges = (raw: unknown) => orNull(events, raw);

export const listTarget = (prefix: string, since: string | null, most: number) =>
  `/store?under=${prefix}${since === null ? '' : `&since=${since}`}&most=${most}`;
export const watchTarget = (prefix: string, since: Uint64, waitMs: number) =>
  `/changes?under=${prefix}&since=${since}&blockMs=${waitMs}`;
export const leaseBody = (ttlMs: number) => ({ ttlMs });

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

// Our own records are written by us alone, but a damaged one must not crash a controller: shapes are checked.
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
const rosterPageRecord = v.object({
  machines: v.array(v.object({ id: boundedText, type: boundedText, zone: boundedText, spot: v.boolean() })),
});
const progressRecord = v.object({ bits: v.string() });

export const parseJobRecord = (raw: unknown): JobRecord | null => {
  const r = orNull(jobRecord, raw);
  return r === null
    ? null
    : {
        spec: r.spec as unknown as JobSpec,
        submittedAt: r.submittedAt as WallTime,
        cancelledAt: r.cancelledAt as WallTime | null,
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
export const parseFinalRecord = (raw: unknown): FinalRecord | null => {
  const record = orNull(finalRecord, raw);
  return record && { state: record.state === 'done' ? 'done' : 'cancelled', tasks: record.tasks };
};
export const finalRecordData = ({ state, tasks }: FinalRecord) => ({
  state: state === 'done' ? 'done' : STORED_CANCELLED,
  tasks,
});
export const parseLeaderRecord = (raw: unknown) =>
  orNull(leaderRecord, raw) as { node: NodeName; term: Term } | null;
export const parseTermRecord = (raw: unknown) => (orNull(termRecord, raw)?.term ?? null) as Term | null;
export const parseRegistryPage = (raw: unknown): MachineInfo[] | null => {
  const r = orNull(rosterPageRecord, raw);
  // The endpoint is not kept: the machine's first report tells it.
  return r === null ? null : (r.machines.map((m) => ({ ...m, endpoint: '' })) as unknown as MachineInfo[]);
};
export const registryPageData = (machines: MachineInfo[]) => ({
  machines: machines.map(({ id, type, zone, spot }) => ({ id, type, zone, spot })),
});
/** Machines on one page at the most, however much a value may hold. */
const MOST_ON_PAGE = 100;
/** Whether one page can name all of these machines. */
export const fitsRegistryPage = (machines: MachineInfo[], valueKb: number): boolean =>
  machines.length <= MOST_ON_PAGE && fitsValue(registryPageData(machines), valueKb);
/** The size of a value as the state service counts it: in the form of JSON. */
export const storedBytes = (data: unknown): number => Buffer.byteLength(JSON.stringify(data));
/** Whether the service takes the value. */
export const fitsValue = (data: unknown, valueKb: number): boolean => storedBytes(data) <= valueKb * 1024;
export const progressRecordData = (bytes: Uint8Array) => ({ bits: Buffer.from(bytes).toString('base64') });
/** How many bytes of completions fit one value: base64 makes four characters of three bytes. */
export const segmentBytes = (valueKb: number): number => {
  const characters = valueKb * 1024 - storedBytes(progressRecordData(new Uint8Array(0)));
  return Math.max(3, Math.min(LARGEST_SEGMENT_BYTES, Math.floor(characters / 4) * 3));
};
export const parseProgressRecord = (raw: unknown) => orNull(progressRecord, raw)?.bits ?? null;
const typesPage = v.object({ pages: v.number(), types: v.array(v.record(v.string(), v.unknown())) });
export const parseTypesPage = (raw: unknown) =>
  orNull(typesPage, raw) as unknown as { pages: number; types: MachineType[] } | null;
export const parseStoredTypes = (raw: unknown): MachineType[] | null =>
  (orNull(v.array(v.record(v.string(), v.unknown())), raw) as unknown as MachineType[] | null) ?? null;
