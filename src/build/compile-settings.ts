/**
 * Build step: deploy/operator.hcl -> target/operator.json. The HCL parser is large, so it never runs in a controller.
 */
import { readFileSync, writeFileSync } from 'node:fs';
import { fileURLToPath } from 'node:url';
import hclParser from 'hcl2-json-parser';
import { parseOperatorSettings } from '../config/operator.js';
import { ConfigError } from '../config/validation.js';

/** The package comes without types. */
const hcl = hclParser as { parseToObject: (source: string) => Promise<unknown> };
const source = fileURLToPath(new URL('../../deploy/operator.hcl', import.meta.url));
const output = fileURLToPath(new URL('../operator.json', import.meta.url));

/** The file is not HCL; the message is the first line of what the parser says. */
class HclError extends Error {}

const parseHcl = async (text: string): Promise<unknown> => {
  try {
    return await hcl.parseToObject(text);
  } catch (error) {
    throw new HclError(String(error).split('\n')[0]);
  }
};

try {
  const parsed = await parseHcl(readFileSync(source, 'utf8'));
  parseOperatorSettings(parsed);
  writeFileSync(output, JSON.stringify(parsed) + '\n');
  process.exit(0); // the parser's runtime would keep the process alive
} catch (error) {
  const isInvalidFile = error instanceof ConfigError || error instanceof HclError;
  const message = isInvalidFile ? error.message : String(error).split('\n')[0];
  process.stderr.write(`deploy/operator.hcl: ${message}\n`);
  process.exit(1);
}
