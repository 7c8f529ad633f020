/** The command line: validates the settings or runs a controller with them. */
import { readFileSync } from 'node:fs';
import { fileURLToPath } from 'node:url';
import { parseArgs } from 'node:util';
import { readOperatorSettings } from '../config/operator.js';
import { platformWarnings, readPlatformSettings } from '../config/platform.js';
import { ConfigError } from '../config/validation.js';

const USAGE = `brookspur: a cluster scheduler

  brookspur --config PATH           run a controller with the platform's settings (TOML)
  brookspur --check --config PATH   check the settings, start nothing
  brookspur --help | --version

LOG_LEVEL (error, info, debug) sets the amount of logging on standard error.
`;

const EXIT_OK = 0;
const EXIT_BAD_SETTINGS = 1;
const EXIT_BAD_USAGE = 2;

interface Options {
  config?: string;
  check?: boolean;
  help?: boolean;
  version?: boolean;
}

/** The command line is invalid; the message names the problem. */
class UsageError extends Error {}

/** Runs the command. Returns the exit code, or null if a controller was started, which keeps the process running. */
export const run = async (argv: string[]): Promise<number | null> => {
  try {
    const options = parseOptions(argv);
    if (options.help) return print(USAGE);
    if (options.version) return print(`${packageVersion()}\n`);
    if (options.config === undefined)
      throw new UsageError('--config: missing; expected the path of a settings file');
    return await runWithSettings(options.config, options.check ?? false);
  } catch (error) {
    if (error instanceof UsageError) {
      process.stderr.write(`${error.message}\n${USAGE}`);
      return EXIT_BAD_USAGE;
    }
    if (!(error instanceof ConfigError)) throw error;
    process.stderr.write(`${error.message}\n`);
    return EXIT_BAD_SETTINGS;
  }
};

const parseOptions = (argv: string[]): Options => {
  try {
    const { values } = parseArgs({
      args: argv,
      options: {
        config: { type: 'string' },
        check: { type: 'boolean' },
        help: { type: 'boolean', short: 'h' },
        version: { type: 'boolean' },
      },
    });
    return values;
  } catch (error) {
    throw new UsageError(error instanceof Error ? error.message : String(error));
  }
};

const runWithSettings = async (path: string, checkOnly: boolean): Promise<number | null> => {
  const platform = readPlatformSettings(path);
  const operator = readOperatorSettings(pathInTarget('operator.json'));
  if (checkOnly) {
    for (const warning of platformWarnings(platform)) process.stdout.write(`warning: ${warning}\n`);
    return print(`${path}: valid\n`);
  }
  // Imported here because the other commands don't need it.
  const { Controller } = await import('../runtime/controller.js');
  new Controller(platform, operator).start();
  return null;
};

const print = (text: string): number => {
  process.stdout.write(text);
  return EXIT_OK;
};

const packageVersion = (): string => {
  const text = readFileSync(pathInTarget('../package.json'), 'utf8');
  return (JSON.parse(text) as { version: string }).version;
};

const pathInTarget = (name: string): string => fileURLToPath(new URL(`../${name}`, import.meta.url));
