// Users' side: job submissions, status answers.
import * as v from 'valibot';
import { amount, parseWith, safeCount, text } from './common.js';
import type { JobSpec, JobKind } from '../core/types.js';
import type { JobId, Team, TypeName, Zone } from '../core/units.js';

const MAX_TASKS = 100_000;
const JOB_ID = /^wk-\d{1,32}$/;
const kinds: Record<string, JobKind> = { array: 'array', group: 'gang', service: 'service' };

const schema = v.object({
  nameId: v.pipe(v.string(), v.regex(JOB_ID)),
  herd: text,
  outfit: text,
  gait: v.picklist(['array', 'group', 'service']),
  rank: v.picklist(['production', 'high', 'normal', 'low']),
  hands: v.pipe(safeCount, v.minValue(1), v.maxValue(MAX_TASKS)),
  vcpus: amount,
  accelerators: amount,
  memGb: amount,
  breeds: v.nullish(v.pipe(v.array(text), v.maxLength(100))),
  pasture: v.nullish(text),
  oneZone: v.boolean(),
  spread: v.boolean(),
  loaners: v.boolean(),
  kit: text,
  sizeGb: amount,
  rideS: amount,
  waypointS: amount,
  stowS: amount,
  dueS: v.nullish(amount),
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
      types: (j.breeds ?? null) as TypeName[] | null,
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
