import { readFileSync } from 'node:fs';
import { parse } from 'smol-toml';
import * as v from 'valibot';
import { ConfigError, validateSettings } from './validation.js';
import type { TeamQuota } from '../core/types.js';
import type { NodeName, Team, Zone } from '../core/units.js';

const positive = v.pipe(v.number(), v.minValue(0));
const address = v.pipe(v.string(), v.regex(/^\d+\.\d+\.\d+\.\d+:\d+$/, 'an address like 10.0.0.1:8080'));
const text = v.pipe(v.string(), v.minLength(1));
const objective = v.object({
  kind: v.string(),
  class: v.optional(v.string()),
  within_s: v.optional(v.number()),
  share: v.optional(v.number()),
});

const schema = v.object({
  node_name: text,
  area: text,
  public_addr: address,
  internal_addr: address,
  peers: v.optional(v.array(v.object({ node_name: text, area: text, address })), []),
  external: v.object({ cloud: address, state: address }),
  settings: v.object({
    count: v.pipe(v.number(), v.integer(), v.minValue(1)),
    zones: v.array(text),
    clock_error_ms: positive,
    teams: v.optional(
      v.array(
        v.object({
          name: text,
          cpus: v.optional(positive, 0),
          cpus_max: v.optional(positive, 0),
          gpus: v.optional(positive, 0),
          gpus_max: v.optional(positive, 0),
        }),
      ),
      [],
    ),
    objectives: v.optional(v.array(objective), []),
    workers: v.object({
      report_s: positive,
      lease_s: positive,
      gang_wait_s: positive,
      gang_peer_s: positive,
      cancel_s: positive,
    }),
    state: v.object({
      rps: positive,
      write_rps: positive,
      value_kb: positive,
      txn_ops: positive,
      next: v.optional(
        v.object({
          rps: v.optional(positive),
          write_rps: v.optional(positive),
          value_kb: v.optional(positive),
          txn_ops: v.optional(positive),
        }),
      ),
    }),
    cloud: v.object({ rps: positive, list_lag_s: positive }),
    limits: v.object({ cpu: positive, memory_mb: positive, fd_limit: positive }),
  }),
});

export interface Objective {
  kind: string;
  class?: string;
  within_s?: number;
  share?: number;
}

export interface Address {
  host: string;
  port: number;
}

export const parseAddress = (s: string): Address => {
  const at = s.lastIndexOf(':');
  return { host: s.slice(0, at), port: Number(s.slice(at + 1)) };
};

/** What the state service takes: requests and changes a second, the size of a value, changes in a transaction. */
export interface KeyValueStoreLimits {
  rps: number;
  writeRps: number;
  valueKb: number;
  txnOps: number;
}

type StateSettings = v.InferOutput<typeof schema>['settings']['state'];

/** Guards against writes that a service with lowered limits refuses, since they come without notice. */
const stateLimits = ({ next = {}, ...now }: StateSettings): KeyValueStoreLimits => ({
  rps: Math.min(now.rps, next.rps ?? Infinity),
  writeRps: Math.min(now.write_rps, next.write_rps ?? Infinity),
  valueKb: Math.min(now.value_kb, next.value_kb ?? Infinity),
  txnOps: Math.min(now.txn_ops, next.txn_ops ?? Infinity),
});

export interface PlatformSettings {
  name: NodeName;
  zone: Zone;
  publicAddress: Address;
  internalAddress: Address;
  peers: { name: NodeName; zone: Zone; address: Address }[];
  cloudProvider: Address;
  keyValueStore: Address;
  zones: Zone[];
  clockErrorMs: number;
  teams: TeamQuota[];
  objectives: Objective[];
  workers: {
    heartbeatIntervalS: number;
    leaseS: number;
    gangWaitS: number;
    gangPeerS: number;
    cancelS: number;
  };
  /** The smaller of the present limits and of those announced for later: what is kept holds under both. */
  keyValueStoreLimits: KeyValueStoreLimits;
  cloudProviderLimits: { rps: number; listLagS: number };
  limits: { cpu: number; memoryMb: number; sockets: number };
}

export const parsePlatformSettings = (source: string): PlatformSettings => {
  let raw: unknown;
  try {
    raw = parse(source);
  } catch (e) {
    throw new ConfigError(`settings: not TOML: ${String(e instanceof Error ? e.message : e).split('\n')[0]}`);
  }
  const c = validateSettings(schema, raw, 'settings');
  const s = c.settings;
  const names = s.teams.map((team) => team.name);
  const twice = names.findIndex((name, i) => names.indexOf(name) < i);
  if (twice >= 0)
    throw new ConfigError(
      `settings.teams.${twice}.name: "${names[twice]}" stands twice; expected one team of each name`,
    );
  return {
    name: c.node_name as NodeName,
    zone: c.area as Zone,
    publicAddress: parseAddress(c.public_addr),
    internalAddress: parseAddress(c.internal_addr),
    peers: c.peers.map((p) => ({
      name: p.node_name as NodeName,
      zone: p.area as Zone,
      address: parseAddress(p.address),
    })),
    cloudProvider: parseAddress(c.external.cloud),
    keyValueStore: parseAddress(c.external.state),
    zones: s.zones as Zone[],
    clockErrorMs: s.clock_error_ms,
    teams: s.teams.map((t) => ({
      name: t.name as Team,
      cpus: t.cpus,
      cpusMax: t.cpus_max,
      gpus: t.gpus,
      gpusMax: t.gpus_max,
    })),
    objectives: s.objectives,
    workers: {
      heartbeatIntervalS: s.workers.report_s,
      leaseS: s.workers.lease_s,
      gangWaitS: s.workers.gang_wait_s,
      gangPeerS: s.workers.gang_peer_s,
      cancelS: s.workers.cancel_s,
    },
    keyValueStoreLimits: stateLimits(s.state),
    cloudProviderLimits: { rps: s.cloud.rps, listLagS: s.cloud.list_lag_s },
    limits: { cpu: s.limits.cpu, memoryMb: s.limits.memory_mb, sockets: s.limits.fd_limit },
  };
};

/** What is served all the same, but not as it was probably meant. */
export const platformWarnings = ({ teams }: PlatformSettings): string[] => {
  const warnings: string[] = [];
  for (const team of teams) {
    for (const [kind, guarantee, limit] of [
      ['cpus', team.cpus, team.cpusMax],
      ['gpus', team.gpus, team.gpusMax],
    ] as const) {
      if (limit === 0 || guarantee <= limit) continue;
      warnings.push(`team ${team.name}: ${guarantee} ${kind} guaranteed, served up to the limit of ${limit}`);
    }
  }
  return warnings;
};

export const readPlatformSettings = (path: string): PlatformSettings => {
  let source: string;
  try {
    source = readFileSync(path, 'utf8');
  } catch {
    throw new ConfigError(`${path}: cannot be read; expected a readable TOML file`);
  }
  return parsePlatformSettings(source);
};
