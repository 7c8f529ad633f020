/**
 * Build step that validates deploy/operator.hcl and converts it to target/operator.json. Controllers read the JSON
 * file, so that they don't load the large HCL parser.
 */
import { readFileSync, writeFileSync } from 'node:fs';
import { fileURLToPath } from 'node:url';
import hclParser from 'hcl2-json-parser';
import { parseOperatorSettings } from '../config/operator.js';
import { ConfigError } from '../config/validation.js';

/** The package has no type declarations. */
const hcl = hclParser as { parseToObject: (source: string) => Promise<unknown> };
const source = fileURLToPath(new URL('../../deploy/operator.hcl', import.meta.url));
const output = fileURLToPath(new URL('../operator.json', import.meta.url));

/** The file is not valid HCL; the message is the first line of the parser's error. */
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
  process.exit(0); // the parser's runtime keeps the process alive otherwise
} catch (error) {
  const isInvalidFile = error instanceof ConfigError || error instanceof HclError;
  const message = isInvalidFile ? error.message : String(error).split('\n')[0];
  process.stderr.write(`deploy/operator.hcl: ${message}\n`);
  process.exit(1);
}
