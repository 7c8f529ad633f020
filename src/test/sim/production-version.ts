/** Builds the version in production from the Git history, so that a cluster can run it together with the current one. */
import { execFileSync } from 'node:child_process';
import { existsSync, mkdirSync, readFileSync, renameSync, rmSync } from 'node:fs';
import { join } from 'node:path';
import { fileURLToPath, pathToFileURL } from 'node:url';
import { parse } from 'smol-toml';
import type { Address } from '../../config/address.js';
import type { PlatformSettings } from '../../config/platform.js';

const ROOT = fileURLToPath(new URL('../../..', import.meta.url));
const PRODUCTION_BUILDS_DIRECTORY = join(ROOT, 'target', 'production');

/** A version of the program, with the functions of it that the tests call. */
export interface ProgramVersion {
  /** Starts a controller of that version, with the settings under the names that it expects. */
  startController: (platform: PlatformSettings, operatorSettings: unknown) => void;
  /** Parses a job's record in that version. */
  parseJobRecord: (raw: unknown) => unknown;
  /** The parsers of that version for the other stored records. They return null for a malformed record. */
  parseFinal: (raw: unknown) => unknown;
  parseLeader: (raw: unknown) => unknown;
  parseTerm: (raw: unknown) => unknown;
  parseRosterPage: (raw: unknown) => unknown;
  parseProgress: (raw: unknown) => unknown;
  parseStoredTypes: (raw: unknown) => unknown;
  /** Parses a request of another controller in that version. */
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
  if (typeof commit !== 'string')
    throw new Error(`deploy/service.toml: expected a commit as 'production', received ${typeof commit}`);
  return commit;
};

const run = (command: string, args: string[]): Buffer =>
  execFileSync(command, args, { cwd: ROOT, maxBuffer: 1 << 28 });

/** Builds the commit. Fails if the Git history lacks it, so that a test that needs it is never skipped. */
const buildCommit = (commit: string): string => {
  const buildDirectory = join(PRODUCTION_BUILDS_DIRECTORY, commit);
  if (existsSync(buildDirectory)) return buildDirectory;
  const temporaryDirectory = `${buildDirectory}.${process.pid}`;
  mkdirSync(temporaryDirectory, { recursive: true });
  const archive = join(temporaryDirectory, 'source.tar');
  run('git', ['archive', '--output', archive, commit, 'src', 'tsconfig.json', 'package.json']);
  run('tar', ['-x', '-f', archive, '-C', temporaryDirectory]);
  run('npx', [
    'tsc',
    '-p',
    join(temporaryDirectory, 'tsconfig.json'),
    '--outDir',
    join(temporaryDirectory, 'out'),
  ]);
  // Test files run in parallel processes. The first build to finish is renamed to its place and the others are removed.
  try {
    renameSync(temporaryDirectory, buildDirectory);
  } catch {
    rmSync(temporaryDirectory, { recursive: true });
  }
  return buildDirectory;
};

/** The settings under the names of the version in production. All are listed, so that a rename can't omit one. */
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

const toProductionVersionSettings = (settings: PlatformSettings): ProductionSettings => {
  const { leaseS, gangWaitS, gangMemberLossTimeoutS: gangPeerS, cancelS } = settings.workers;
  const { keyValueStoreLimits: storeLimits, cloudProviderLimits: cloudLimits, processLimits } = settings;
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
    limits: {
      cpu: processLimits.cpuCores,
      memoryMb: processLimits.memoryMb,
      sockets: processLimits.sockets,
    },
  };
};

/** Builds and imports the version that `deploy/service.toml` names as production. */
export const loadProductionVersion = async (): Promise<ProgramVersion> => {
  const out = join(buildCommit(productionCommit()), 'out');
  const load = async (file: string): Promise<Record<string, unknown>> =>
    (await import(pathToFileURL(join(out, file)).href)) as Record<string, unknown>;
  const { Controller } = await load('runtime/controller.js');
  const { checkOperator } = await load('config/operator.js');
  const records = (await load('wire/state.js')) as unknown as Pick<ProgramVersion, RecordParser>;
  const { parsePeerRequest } = await load('wire/peer-messages.js');
  const Constructor = Controller as new (
    settings: unknown,
    operatorSettings: unknown,
  ) => { start: () => void };
  return {
    startController: (platform, operatorSettings) =>
      new Constructor(
        toProductionVersionSettings(platform),
        (checkOperator as (raw: unknown) => unknown)(operatorSettings),
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
