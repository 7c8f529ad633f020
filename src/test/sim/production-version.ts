/** The version in production, built from the repository's history, so that controllers of both versions can run together. */
import { execFileSync } from 'node:child_process';
import { existsSync, mkdirSync, readFileSync, renameSync, rmSync } from 'node:fs';
import { join } from 'node:path';
import { fileURLToPath, pathToFileURL } from 'node:url';
import { parse } from 'smol-toml';
import type { Address } from '../../config/address.js';
import type { PlatformSettings } from '../../config/platform.js';

const ROOT = fileURLToPath(new URL('../../..', import.meta.url));
const BUILDS = join(ROOT, 'target', 'production');

/** A version of the program: what starts one of its controllers, and how it reads its settings. */
export interface ProgramVersion {
  startController: (platform: PlatformSettings, operator: unknown) => void;
  /** A job's record as that version reads it and would write it again. */
  parseJobRecord: (raw: unknown) => unknown;
  /** The other stored records as that version reads them; null for a damaged one. */
  parseFinal: (raw: unknown) => unknown;
  parseLeader: (raw: unknown) => unknown;
  parseTerm: (raw: unknown) => unknown;
  parseRosterPage: (raw: unknown) => unknown;
  parseProgress: (raw: unknown) => unknown;
  parseStoredTypes: (raw: unknown) => unknown;
  /** A request of another controller as that version reads it. */
  parsePeerRequest: (raw: unknown) => { ok: boolean };
}

type RecordParser =
  | 'parseJobRecord'
  | 'parseFinal'
  | 'parseLeader'
  | 'parseTerm'
  | 'parseRosterPage'
  | 'parseProgress'
  | 'parseStoredTypes';

const productionCommit = (): string => {
  const service = parse(readFileSync(join(ROOT, 'deploy', 'service.toml'), 'utf8'));
  const commit = service['production'];
  if (typeof commit !== 'string') throw new Error('deploy/service.toml names no version in production');
  return commit;
};

const run = (command: string, args: string[]): Buffer =>
  execFileSync(command, args, { cwd: ROOT, maxBuffer: 1 << 28 });

/** Fails where the history lacks the commit: a test that needs it is never passed over. */
const build = (commit: string): string => {
  const built = join(BUILDS, commit);
  if (existsSync(built)) return built;
  const work = `${built}.${process.pid}`;
  mkdirSync(work, { recursive: true });
  const archive = join(work, 'source.tar');
  run('git', ['archive', '--output', archive, commit, 'src', 'tsconfig.json', 'package.json']);
  run('tar', ['-x', '-f', archive, '-C', work]);
  run('npx', ['tsc', '-p', join(work, 'tsconfig.json'), '--outDir', join(work, 'out')]);
  // Test files run at the same time: whoever is first puts it in place.
  try {
    renameSync(work, built);
  } catch {
    rmSync(work, { recursive: true });
  }
  return built;
};

/** The settings as the version in production names them; in full, so that a rename can't leave one out. */
interface ProductionSettings {
  name: string;
  zone: string;
  publicAddr: Address;
  internalAddr: Address;
  peers: { name: string; zone: string; address: Address }[];
  cloud: Address;
  state: Address;
  zones: string[];
  clockErrorMs: number;
  teams: { name: string; cpus: number; cpusMax: number; gpus: number; gpusMax: number }[];
  objectives: { kind: string; class?: string; within_s?: number; share?: number; times?: number }[];
  workers: { reportS: number; leaseS: number; gangWaitS: number; gangPeerS: number; cancelS: number };
  stateLimits: { rps: number; writeRps: number; valueKb: number; txnOps: number };
  cloudLimits: { rps: number; listLagS: number };
  limits: { cpu: number; memoryMb: number; sockets: number };
}

const productionSettings = (settings: PlatformSettings): ProductionSettings => {
  const { leaseS, gangWaitS, gangPeerS, cancelS } = settings.workers;
  const { keyValueStoreLimits: storeLimits, cloudProviderLimits: cloudLimits } = settings;
  return {
    name: settings.name,
    zone: settings.zone,
    publicAddr: settings.publicAddress,
    internalAddr: settings.internalAddress,
    peers: settings.peers,
    cloud: settings.cloudProvider,
    state: settings.keyValueStore,
    zones: settings.zones,
    clockErrorMs: settings.clockErrorMs,
    teams: settings.teams.map((team) => ({
      name: team.name,
      cpus: team.guaranteedCpus,
      cpusMax: team.maxCpus,
      gpus: team.guaranteedGpus,
      gpusMax: team.maxGpus,
    })),
    objectives: settings.objectives.map(({ withinS, ...objective }) => ({ ...objective, within_s: withinS })),
    workers: { reportS: settings.workers.heartbeatIntervalS, leaseS, gangWaitS, gangPeerS, cancelS },
    stateLimits: {
      rps: storeLimits.requestsPerS,
      writeRps: storeLimits.writesPerS,
      valueKb: storeLimits.maxValueKb,
      txnOps: storeLimits.maxTransactionChanges,
    },
    cloudLimits: { rps: cloudLimits.requestsPerS, listLagS: cloudLimits.listLagS },
    limits: settings.processLimits,
  };
};

/** Imports the version that `deploy/service.toml` names. */
export const loadProductionVersion = async (): Promise<ProgramVersion> => {
  const out = join(build(productionCommit()), 'out');
  const load = async (file: string): Promise<Record<string, unknown>> =>
    (await import(pathToFileURL(join(out, file)).href)) as Record<string, unknown>;
  const { Controller } = await load('runtime/controller.js');
  const { checkOperator } = await load('config/operator.js');
  const records = (await load('wire/state.js')) as unknown as Pick<ProgramVersion, RecordParser>;
  const { parsePeerRequest } = await load('wire/peer-messages.js');
  const Constructor = Controller as new (settings: unknown, operator: unknown) => { start: () => void };
  return {
    startController: (platform, operator) =>
      new Constructor(
        productionSettings(platform),
        (checkOperator as (raw: unknown) => unknown)(operator),
      ).start(),
    parseJobRecord: records.parseJobRecord,
    parseFinal: records.parseFinal,
    parseLeader: records.parseLeader,
    parseTerm: records.parseTerm,
    parseRosterPage: records.parseRosterPage,
    parseProgress: records.parseProgress,
    parseStoredTypes: records.parseStoredTypes,
    parsePeerRequest: parsePeerRequest as ProgramVersion['parsePeerRequest'],
  };
};
