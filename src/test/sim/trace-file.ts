/** Kept traces of simulated runs, in `src/test/traces`. */
import assert from 'node:assert/strict';
import { existsSync, readFileSync, writeFileSync } from 'node:fs';
import { fileURLToPath } from 'node:url';

/** Compares with the kept trace. UPDATE_TRACES=1 writes it anew: to be read before it is committed. */
export const assertTraceMatches = (name: string, lines: string[]): void => {
  const path = fileURLToPath(new URL(`../../../src/test/traces/${name}.trace`, import.meta.url));
  const text = lines.join('\n') + '\n';
  if (process.env['UPDATE_TRACES'] === '1') writeFileSync(path, text);
  assert.ok(existsSync(path), `no kept trace ${name}`);
  assert.equal(text, readFileSync(path, 'utf8'), `trace ${name} differs`);
};
