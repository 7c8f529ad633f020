/** The schema of the platform's settings file (TOML). `platform.ts` maps its field names to those of the code. */
import * as v from 'valibot';

const nonNegative = v.pipe(v.number(), v.minValue(0));
const address = v.pipe(v.string(), v.regex(/^\d+\.\d+\.\d+\.\d+:\d+$/, 'an address like 10.0.0.1:8080'));
const text = v.pipe(v.string(), v.minLength(1));

const peer = v.object({ node_name: text, area: text, address });

const team = v.object({
  name: text,
  cpus: v.optional(nonNegative, 0),
  cpus_max: v.optional(nonNegative, 0),
  gpus: v.optional(nonNegative, 0),
  gpus_max: v.optional(nonNegative, 0),
});

const objective = v.object({
  kind: v.string(),
  class: v.optional(v.string()),
  within_s: v.optional(v.number()),
  share: v.optional(v.number()),
});

const workers = v.object({
  report_s: nonNegative,
  lease_s: nonNegative,
  gang_wait_s: nonNegative,
  gang_peer_s: nonNegative,
  cancel_s: nonNegative,
});

const announcedStateLimits = v.object({
  rps: v.optional(nonNegative),
  write_rps: v.optional(nonNegative),
  value_kb: v.optional(nonNegative),
  txn_ops: v.optional(nonNegative),
});

const stateLimits = v.object({
  rps: nonNegative,
  write_rps: nonNegative,
  value_kb: nonNegative,
  txn_ops: nonNegative,
  next: v.optional(announcedStateLimits),
});

/** The whole file. Unknown fields are ignored. */
export const platformFile = v.object({
  node_name: text,
  area: text,
  public_addr: address,
  internal_addr: address,
  peers: v.optional(v.array(peer), []),
  external: v.object({ cloud: address, state: address }),
  settings: v.object({
    count: v.pipe(v.number(), v.integer(), v.minValue(1)),
    zones: v.array(text),
    clock_error_ms: nonNegative,
    teams: v.optional(v.array(team), []),
    objectives: v.optional(v.array(objective), []),
    workers,
    state: stateLimits,
    cloud: v.object({ rps: nonNegative, list_lag_s: nonNegative }),
    limits: v.object({ cpu: nonNegative, memory_mb: nonNegative, fd_limit: nonNegative }),
  }),
});

/** The parsed settings file, with the field names of the file. */
export type PlatformFile = v.InferOutput<typeof platformFile>;
