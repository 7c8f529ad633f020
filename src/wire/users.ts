/** The users' protocol: job submissions and status responses. */
import * as v from 'valibot';
import type { JobSpec, JobKind } from '../core/job-spec.js';
import type { JobId, Team, MachineTypeName, Zone } from '../core/units.js';
import { boundedText, nonNegativeNumber, parseWith, safeInteger, type ParseResult } from './parsing.js';

const MAX_TASKS = 100_000;
const MAX_MACHINE_TYPES = 100;
const JOB_ID = /^wk-\d{1,32}$/;
const JOB_KINDS: Record<string, JobKind> = { array: 'array', group: 'gang', service: 'service' };

const jobSubmission = v.object({
  nameId: v.pipe(v.string(), v.regex(JOB_ID)),
  herd: boundedText,
  outfit: boundedText,
  gait: v.picklist(['array', 'group', 'service']),
  rank: v.picklist(['production', 'high', 'normal', 'low']),
  hands: v.pipe(safeInteger, v.minValue(1), v.maxValue(MAX_TASKS)),
  vcpus: nonNegativeNumber,
  accelerators: nonNegativeNumber,
  memGb: nonNegativeNumber,
  breeds: v.nullish(v.pipe(v.array(boundedText), v.maxLength(MAX_MACHINE_TYPES))),
  pasture: v.nullish(boundedText),
  oneZone: v.boolean(),
  spread: v.boolean(),
  loaners: v.boolean(),
  kit: boundedText,
  sizeGb: nonNegativeNumber,
  rideS: nonNegativeNumber,
  waypointS: nonNegativeNumber,
  stowS: nonNegativeNumber,
  dueS: v.nullish(nonNegativeNumber),
  awaits: v.nullish(v.array(v.pipe(v.string(), v.regex(JOB_ID)))),
});

/** Whether a text is a valid job id. */
export const isJobId = (text: string): text is JobId => JOB_ID.test(text);

/** Parses a job submission. */
export const parseJob = (raw: unknown): ParseResult<JobSpec> => {
  const parsed = parseWith(jobSubmission, raw);
  if (!parsed.ok) return parsed;
  const job = parsed.value;
  return {
    ok: true,
    value: {
      id: job.nameId as JobId,
      class: job.herd,
      team: job.outfit as Team,
      kind: JOB_KINDS[job.gait],
      priority: job.rank,
      tasks: job.hands,
      cpus: job.vcpus,
      gpus: job.accelerators,
      memoryGb: job.memGb,
      image: job.kit,
      imageGb: job.sizeGb,
      types: (job.breeds ?? null) as MachineTypeName[] | null,
      zone: (job.pasture ?? null) as Zone | null,
      oneZone: job.oneZone,
      spread: job.spread,
      spot: job.loaners,
      estimateS: job.rideS,
      checkpointS: job.waypointS,
      saveS: job.stowS,
      deadlineS: job.dueS ?? null,
      dependsOn: [...new Set(job.awaits ?? [])] as JobId[],
    },
  };
};

/**
 * The job id of an invalid submission, null if it has none. A job with this id may exist from an earlier submission.
 */
export const submittedJobId = (raw: object): JobId | null => {
  const { nameId } = raw as { nameId?: unknown };
  return typeof nameId === 'string' && isJobId(nameId) ? nameId : null;
};

/** The status of a job as reported to users. */
export type UserStatus = 'pending' | 'running' | 'done' | 'cancelled';

/** The protocol's name of each status. */
const STATUS_NAMES: Record<UserStatus, string> = {
  pending: 'pending',
  running: 'running',
  done: 'done',
  cancelled: 'withdrawn',
};

/** How many of a job's tasks are done and how many are running, as reported to users. */
export interface StatusCounts {
  done: number;
  running: number;
}

/** The body of a response with a job's status. */
export const statusBody = (id: JobId, status: UserStatus, counts?: StatusCounts) =>
  counts
    ? { nameId: id, status: STATUS_NAMES[status], done: counts.done, running: counts.running }
    : { nameId: id, status: STATUS_NAMES[status] };
