/** The records in the key-value store: their keys and stored forms. */
import * as v from 'valibot';
import { parseOrNull, boundedText } from './parsing.js';
import type { FinalRecord, JobRecord, JobSpec } from '../core/job-spec.js';
import type { MachineInfo, MachineType } from '../core/machine-info.js';
import { LARGEST_SEGMENT_BYTES } from '../core/progress-segments.js';
import type { JobId, NodeName, SegmentName, Term, WallTime } from '../core/units.js';

/** The keys of the records. */
export const keys = {
  leader: 'l/leader',
  term: 'l/term',
  machineTypes: 'c/types',
  /** A page of the machine types, used when the list exceeds the store's limit on a value. */
  machineTypesPage: (page: number) => `c/types/${page}`,
  jobRecordPrefix: 'j/',
  progressPrefix: 'p/',
  registryPrefix: 'm/',
  leaderPrefix: 'l/',
  jobRecord: (id: JobId) => `j/${id}`,
  finalRecord: (id: JobId) => `f/${id}`,
  progressSegment: (id: JobId, segment: SegmentName) => `p/${id}/${segment}`,
  registryPage: (page: string) => `m/${page}`,
};

// Only this program writes these records. They are still validated, because a damaged one must not crash a controller.
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
  // Absent in records of jobs without dependencies, and in all records written by versions without dependencies.
  dependsOn: v.optional(v.array(boundedText), []),
});
const jobRecord = v.object({ spec, submittedAt: v.number(), cancelledAt: v.nullable(v.number()) });
/** The state of a cancelled job in stored records. */
const STORED_CANCELLED_STATE = 'withdrawn';
const finalRecord = v.object({ state: v.picklist(['done', STORED_CANCELLED_STATE]), tasks: v.number() });
const leaderRecord = v.object({ node: boundedText, term: v.number() });
const termRecord = v.object({ term: v.number() });
const registryPageRecord = v.object({
  machines: v.array(v.object({ id: boundedText, type: boundedText, zone: boundedText, spot: v.boolean() })),
});
const progressRecord = v.object({ bits: v.string() });

/** Parses the record of an unfinished job. */
export const parseJobRecord = (raw: unknown): JobRecord | null => {
  const record = parseOrNull(jobRecord, raw);
  if (record === null) return null;
  return {
    spec: record.spec as unknown as JobSpec,
    submittedAt: record.submittedAt as WallTime,
    cancelledAt: record.cancelledAt as WallTime | null,
  };
};

/** The stored form of a job's record. */
export const jobRecordData = (record: JobRecord): unknown => {
  const { dependsOn, ...specWithoutDependencies } = record.spec;
  return dependsOn.length > 0 ? record : { ...record, spec: specWithoutDependencies };
};

const dependenciesSchema = v.object({ spec: v.object({ dependsOn: v.array(boundedText) }) });
/** Parses only the dependencies of a job's record, which is cheaper than parsing the whole record. */
export const parseDependencies = (raw: unknown): JobId[] =>
  (parseOrNull(dependenciesSchema, raw)?.spec.dependsOn ?? []) as JobId[];

/** Whether a job's record is marked as cancelled; cheaper than parsing the whole record. */
export const isCancelledRecord = (raw: unknown): boolean =>
  typeof raw === 'object' && raw !== null && 'cancelledAt' in raw && typeof raw.cancelledAt === 'number';

/** Parses a job's final record. */
export const parseFinalRecord = (raw: unknown): FinalRecord | null => {
  const record = parseOrNull(finalRecord, raw);
  return record && { state: record.state === 'done' ? 'done' : 'cancelled', tasks: record.tasks };
};

/** The stored form of a final record. */
export const finalRecordData = ({ state, tasks }: FinalRecord) => ({
  state: state === 'done' ? 'done' : STORED_CANCELLED_STATE,
  tasks,
});

/** Parses the record at the leader key: the leader and its term. */
export const parseLeaderRecord = (raw: unknown) =>
  parseOrNull(leaderRecord, raw) as { node: NodeName; term: Term } | null;

/** Parses the record of the latest term. */
export const parseTermRecord = (raw: unknown) => (parseOrNull(termRecord, raw)?.term ?? null) as Term | null;

/** Parses a page of the machine registry. */
export const parseRegistryPage = (raw: unknown): MachineInfo[] | null => {
  const page = parseOrNull(registryPageRecord, raw);
  // The endpoint is not stored: the machine's first heartbeat contains it.
  return page && (page.machines.map((machine) => ({ ...machine, endpoint: '' })) as unknown as MachineInfo[]);
};

/** The stored form of a page of the machine registry. */
export const registryPageData = (machines: MachineInfo[]) => ({
  machines: machines.map(({ id, type, zone, spot }) => ({ id, type, zone, spot })),
});

/** The maximum number of machines on a page, even if the store would accept a larger value. */
const MAX_MACHINES_PER_PAGE = 100;

/** Whether these machines fit on one page of the registry. */
export const fitsRegistryPage = (machines: MachineInfo[], maxValueKb: number): boolean =>
  machines.length <= MAX_MACHINES_PER_PAGE && fitsValueLimit(registryPageData(machines), maxValueKb);

const BYTES_PER_KB = 1024;

/** The size of a value as the store counts it: the length of its JSON text. */
export const storedSizeBytes = (data: unknown): number => Buffer.byteLength(JSON.stringify(data));

/** Whether the value is within the store's limit on the size of a value. */
export const fitsValueLimit = (data: unknown, maxValueKb: number): boolean =>
  storedSizeBytes(data) <= maxValueKb * BYTES_PER_KB;

/** The stored form of a segment of a job's progress. */
export const progressRecordData = (bytes: Uint8Array) => ({ bits: Buffer.from(bytes).toString('base64') });

/** Base64 encodes each group of three bytes as four characters. */
const BASE64_GROUP_BYTES = 3;
const BASE64_GROUP_CHARACTERS = 4;

/** The number of bytes of a job's progress that fit in one value. */
export const maxSegmentBytes = (maxValueKb: number): number => {
  const characters = maxValueKb * BYTES_PER_KB - storedSizeBytes(progressRecordData(new Uint8Array(0)));
  const bytes = Math.floor(characters / BASE64_GROUP_CHARACTERS) * BASE64_GROUP_BYTES;
  return Math.max(BASE64_GROUP_BYTES, Math.min(LARGEST_SEGMENT_BYTES, bytes));
};

/** Parses a segment of progress; returns its bits in base64. */
export const parseProgressRecord = (raw: unknown) => parseOrNull(progressRecord, raw)?.bits ?? null;

const machineTypesPage = v.object({ pages: v.number(), types: v.array(v.record(v.string(), v.unknown())) });

/** Parses a page of the list of machine types. */
export const parseMachineTypesPage = (raw: unknown) =>
  parseOrNull(machineTypesPage, raw) as unknown as { pages: number; types: MachineType[] } | null;

/** Parses the list of machine types as stored when it fits in one value. */
export const parseStoredMachineTypes = (raw: unknown): MachineType[] | null =>
  (parseOrNull(v.array(v.record(v.string(), v.unknown())), raw) as unknown as MachineType[] | null) ?? null;
