// Users' side: job submissions, status answers.
import * as v from 'valibot';
import { nonNegativeNumber, parseWith, safeInteger, boundedText } from './common.js';
import type { JobSpec, JobKind } from '../core/types.js';
import type { JobId, Team, MachineTypeName, Zone } from '../core/units.js';

const MAX_TASKS = 100_000;
const JOB_ID = /^wk-\d{1,32}$/;
const kinds: Record<string, JobKind> = { array: 'array', group: 'gang', service: 'service' };

const schema = v.object({
  nameId: v.pipe(v.string(), v.regex(JOB_ID)),
  herd: boundedText,
  outfit: boundedText,
  gait: v.picklist(['array', 'group', 'service']),
  rank: v.picklist(['production', 'high', 'normal', 'low']),
  hands: v.pipe(safeInteger, v.minValue(1), v.maxValue(MAX_TASKS)),
  vcpus: nonNegativeNumber,
  accelerators: nonNegativeNumber,
  memGb: nonNegativeNumber,
  breeds: v.nullish(v.pipe(v.array(boundedText), v.maxLength(100))),
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

export const isJobId = (s: string): s is JobId => JOB_ID.test(s);

export const parseJob = (raw: unknown): { ok: true; value: JobSpec } | { ok: false; cause: string } => {
  const r = parseWith(schema, raw);
  if (!r.ok) return r;
  const j = r.value;
  return {
    ok: true,
    value: {
      id: j.nameId as JobId,
      class: j.herd,
      team: j.outfit as Team,
      kind: kinds[j.gait],
      priority: j.rank,
      tasks: j.hands,
      cpus: j.vcpus,
      gpus: j.accelerators,
      memoryGb: j.memGb,
      image: j.kit,
      imageGb: j.sizeGb,
      types: (j.breeds ?? null) as MachineTypeName[] | null,
      zone: (j.pasture ?? null) as Zone | null,
      oneZone: j.oneZone,
      spread: j.spread,
      spot: j.loaners,
      estimateS: j.rideS,
      checkpointS: j.waypointS,
      saveS: j.stowS,
      deadlineS: j.dueS ?? null,
      dependsOn: [...new Set(j.awaits ?? [])] as JobId[],
    },
  };
};

export type UserStatus = 'pending' | 'running' | 'done' | 'cancelled';

/** The protocol's word for each status. */
const statusWords: Record<UserStatus, string> = {
  pending: 'pending',
  running: 'running',
  done: 'done',
  cancelled: 'withdrawn',
};

export const statusBody = (id: JobId, status: UserStatus, counts?: { done: number; running: number }) =>
  counts
    ? { nameId: id, status: statusWords[status], done: counts.done, running: counts.running }
    : { nameId: id, status: statusWords[status] };
