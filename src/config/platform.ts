/** The platform's settings, parsed from the file that the platform writes for each controller. */
import { readFileSync } from 'node:fs';
import { parse } from 'smol-toml';
import type { TeamQuota } from '../core/team-quota.js';
import type { NodeName, Team, Zone } from '../core/units.js';
import { parseAddress, type Address } from './address.js';
import { platformFile, type PlatformFile } from './platform-schema.js';
import { ConfigError, validateSettings } from './validation.js';

/** A service-level objective: the share of a class's jobs that should be done within a time. */
export interface Objective {
  kind: string;
  class?: string;
  withinS?: number;
  share?: number;
}

/** Limits of the key-value store: requests and changes per second, the size of a value, and changes per transaction. */
export interface KeyValueStoreLimits {
  requestsPerS: number;
  writesPerS: number;
  maxValueKb: number;
  maxTransactionChanges: number;
}

/** The intervals and time limits of the workers' protocol; `WorkerTimings` in the core describes each field. */
export interface WorkerProtocolTimings {
  heartbeatIntervalS: number;
  leaseS: number;
  gangWaitS: number;
  gangPeerS: number;
  cancelS: number;
}

/** The settings that the platform gives a controller. */
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
  workers: WorkerProtocolTimings;
  /** The minimum of the current limits and those announced for later, so that every write is valid under both. */
  keyValueStoreLimits: KeyValueStoreLimits;
  cloudProviderLimits: { requestsPerS: number; listLagS: number };
  processLimits: { cpu: number; memoryMb: number; sockets: number };
}

type FileSettings = PlatformFile['settings'];

/** Parses the text of the settings file; throws ConfigError. */
export const parsePlatformSettings = (source: string): PlatformSettings => {
  const file = validateSettings(platformFile, parseToml(source), 'settings');
  const { settings } = file;
  refuseDuplicateTeams(settings.teams);
  return {
    name: file.node_name as NodeName,
    zone: file.area as Zone,
    publicAddress: parseAddress(file.public_addr),
    internalAddress: parseAddress(file.internal_addr),
    peers: file.peers.map(toPeer),
    cloudProvider: parseAddress(file.external.cloud),
    keyValueStore: parseAddress(file.external.state),
    zones: settings.zones as Zone[],
    clockErrorMs: settings.clock_error_ms,
    teams: settings.teams.map(toTeamQuota),
    objectives: settings.objectives.map(toObjective),
    workers: toWorkerTimings(settings.workers),
    keyValueStoreLimits: toKeyValueStoreLimits(settings.state),
    cloudProviderLimits: { requestsPerS: settings.cloud.rps, listLagS: settings.cloud.list_lag_s },
    processLimits: {
      cpu: settings.limits.cpu,
      memoryMb: settings.limits.memory_mb,
      sockets: settings.limits.fd_limit,
    },
  };
};

/** Reads the settings file; throws ConfigError. */
export const readPlatformSettings = (path: string): PlatformSettings => {
  let source: string;
  try {
    source = readFileSync(path, 'utf8');
  } catch {
    throw new ConfigError(`${path}: cannot be read; expected a readable TOML file`);
  }
  return parsePlatformSettings(source);
};

/** Settings that are accepted but probably not intended: guarantees above the team's limit. */
export const platformWarnings = ({ teams }: PlatformSettings): string[] => {
  const warnings: string[] = [];
  for (const team of teams) {
    for (const [kind, guarantee, limit] of [
      ['cpus', team.guaranteedCpus, team.maxCpus],
      ['gpus', team.guaranteedGpus, team.maxGpus],
    ] as const) {
      if (limit === 0 || guarantee <= limit) continue;
      warnings.push(`team ${team.name}: ${guarantee} ${kind} guaranteed, served up to the limit of ${limit}`);
    }
  }
  return warnings;
};

const parseToml = (source: string): unknown => {
  try {
    return parse(source);
  } catch (error) {
    const message = String(error instanceof Error ? error.message : error);
    throw new ConfigError(`settings: not TOML: ${message.split('\n')[0]}`);
  }
};

const refuseDuplicateTeams = (teams: FileSettings['teams']): void => {
  const names = teams.map((team) => team.name);
  const duplicate = names.findIndex((name, i) => names.indexOf(name) < i);
  if (duplicate < 0) return;
  throw new ConfigError(
    `settings.teams.${duplicate}.name: "${names[duplicate]}" occurs twice; expected one team of each name`,
  );
};

const toPeer = (peer: PlatformFile['peers'][number]): PlatformSettings['peers'][number] => ({
  name: peer.node_name as NodeName,
  zone: peer.area as Zone,
  address: parseAddress(peer.address),
});

const toTeamQuota = (team: FileSettings['teams'][number]): TeamQuota => ({
  name: team.name as Team,
  guaranteedCpus: team.cpus,
  maxCpus: team.cpus_max,
  guaranteedGpus: team.gpus,
  maxGpus: team.gpus_max,
});

const toObjective = (objective: FileSettings['objectives'][number]): Objective => ({
  kind: objective.kind,
  class: objective.class,
  withinS: objective.within_s,
  share: objective.share,
});

const toWorkerTimings = (workers: FileSettings['workers']): WorkerProtocolTimings => ({
  heartbeatIntervalS: workers.report_s,
  leaseS: workers.lease_s,
  gangWaitS: workers.gang_wait_s,
  gangPeerS: workers.gang_peer_s,
  cancelS: workers.cancel_s,
});

/**
 * Takes the minimum of each limit: the announced limits take effect without notice, and a larger write would then be
 * refused.
 */
const toKeyValueStoreLimits = ({ next = {}, ...current }: FileSettings['state']): KeyValueStoreLimits => ({
  requestsPerS: Math.min(current.rps, next.rps ?? Infinity),
  writesPerS: Math.min(current.write_rps, next.write_rps ?? Infinity),
  maxValueKb: Math.min(current.value_kb, next.value_kb ?? Infinity),
  maxTransactionChanges: Math.min(current.txn_ops, next.txn_ops ?? Infinity),
});
