// The version in production, built from the repository's history, so that controllers of both versions can run together.
import { execFileSync } from 'node:child_process';
import { existsSync, mkdirSync, readFileSync, renameSync, rmSync } from 'node:fs';
import { join } from 'node:path';
import { fileURLToPath, pathToFileURL } from 'node:url';
import { parse } from 'smol-toml';
import type { PlatformSettings } from '../../config/platform.js';

const ROOT = fileURLToPath(new URL('../../..', import.meta.url));
const BUILDS = join(ROOT, 'target', 'production');

/** A version of the program: what starts one of its controllers, and how it reads its settings. */
export interface Version {
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

/** The settings under the names that the version in production uses. */
const productionSettings = (settings: PlatformSettings): unknown => {
  const { cloudProvider, cloudProviderLimits, keyValueStore, keyValueStoreLimits, workers, ...same } =
    settings;
  const { heartbeatIntervalS, ...times } = workers;
  return {
    ...same,
    cloud: cloudProvider,
    cloudLimits: cloudProviderLimits,
    state: keyValueStore,
    stateLimits: keyValueStoreLimits,
    workers: { reportS: heartbeatIntervalS, ...times },
  };
};

/** Imports the version that `deploy/service.toml` names. */
export const loadProduction = async (): Promise<Version> => {
  const out = join(build(productionCommit()), 'out');
  const load = async (file: string): Promise<Record<string, unknown>> =>
    (await import(pathToFileURL(join(out, file)).href)) as Record<string, unknown>;
  const { Controller } = await load('runtime/controller.js');
  const { checkOperator } = await load('config/operator.js');
  const records = (await load('wire/state.js')) as unknown as Pick<Version, RecordParser>;
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
    parsePeerRequest: parsePeerRequest as Version['parsePeerRequest'],
  };
};
