import { readFileSync } from 'node:fs';
import { fileURLToPath } from 'node:url';
import { parseArgs } from 'node:util';
import { ConfigError } from '../config/validation.js';
import { readOperatorSettings } from '../config/operator.js';
import { platformWarnings, readPlatformSettings } from '../config/platform.js';

const USAGE = `brookspur: a cluster scheduler

  brookspur --config PATH           run a controller with the platform's settings (TOML)
  brookspur --check --config PATH   check the settings, start nothing
  brookspur --help | --version

LOG_LEVEL (error, info, debug) sets the amount of logging on standard error.
`;

const fromTarget = (name: string): string => fileURLToPath(new URL(`../${name}`, import.meta.url));

export const run = async (argv: string[]): Promise<number | null> => {
  let values;
  try {
    ({ values } = parseArgs({
      args: argv,
      options: {
        config: { type: 'string' },
        check: { type: 'boolean' },
        help: { type: 'boolean', short: 'h' },
        version: { type: 'boolean' },
      },
    }));
  } catch (e) {
    process.stderr.write(`${e instanceof Error ? e.message : String(e)}\n${USAGE}`);
    return 2;
  }
  if (values.help) {
    process.stdout.write(USAGE);
    return 0;
  }
  if (values.version) {
    const { version } = JSON.parse(readFileSync(fromTarget('../package.json'), 'utf8')) as {
      version: string;
    };
    process.stdout.write(`${version}\n`);
    return 0;
  }
  if (values.config === undefined) {
    process.stderr.write(`--config: missing; expected the path of a settings file\n${USAGE}`);
    return 2;
  }
  try {
    const platform = readPlatformSettings(values.config);
    const operator = readOperatorSettings(fromTarget('operator.json'));
    if (values.check) {
      for (const warning of platformWarnings(platform)) process.stdout.write(`warning: ${warning}\n`);
      process.stdout.write(`${values.config}: valid\n`);
      return 0;
    }
    const { Controller } = await import('../runtime/controller.js');
    new Controller(platform, operator).start();
    return null;
  } catch (e) {
    if (!(e instanceof ConfigError)) throw e;
    process.stderr.write(`${e.message}\n`);
    return 1;
  }
};
