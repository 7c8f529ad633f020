/** Compares traces of simulated runs with the stored ones in `src/test/traces`. */
import assert from 'node:assert/strict';
import { existsSync, readFileSync, writeFileSync } from 'node:fs';
import { fileURLToPath } from 'node:url';

/** Asserts that the lines match the stored trace. UPDATE_TRACES=1 rewrites it: review the change before a commit. */
export const assertTraceMatches = (name: string, lines: string[]): void => {
  const path = fileURLToPath(new URL(`../../../src/test/traces/${name}.trace`, import.meta.url));
  const text = lines.join('\n') + '\n';
  if (process.env['UPDATE_TRACES'] === '1') writeFileSync(path, text);
  assert.ok(existsSync(path), `no stored trace ${path}`);
  assert.equal(text, readFileSync(path, 'utf8'), `trace ${name} differs from the stored one`);
};
