/** The documents name only files and symbols that exist, and link only to files that exist. */
import assert from 'node:assert/strict';
import { existsSync, readFileSync, readdirSync } from 'node:fs';
import { dirname, join } from 'node:path';
import { test } from 'node:test';
import { fileURLToPath } from 'node:url';

const ROOT = fileURLToPath(new URL('../..', import.meta.url));
const DOCUMENTS = [
  'README.md',
  'CONTRIBUTING.md',
  'docs/architecture.md',
  'docs/capacity.md',
  'docs/design.md',
  'docs/operations.md',
];
/** Folders that a path in a document may be relative to. */
const BASES = ['', 'src', 'src/test', 'src/test/sim'];

const read = (path: string): string => readFileSync(join(ROOT, path), 'utf8');

const sourceText = readdirSync(join(ROOT, 'src'), { recursive: true, encoding: 'utf8' })
  .filter((path) => path.endsWith('.ts'))
  .map((path) => read(join('src', path)))
  .join('\n');

const isDeclared = (name: string): boolean => new RegExp(`\\b${name}\\b`).test(sourceText);

const isPath = (code: string): boolean => /^([\w./-]+\.(ts|js)|(src|docs|deploy|lint)\/[\w./-]*)$/.test(code);
const isGenerated = (path: string): boolean => path.startsWith('target/');
const isSymbol = (code: string): boolean => /^[A-Z][A-Za-z]+(\.[a-z][A-Za-z]+)?$/.test(code);

const existsInRepository = (path: string): boolean =>
  BASES.some((base) => existsSync(join(ROOT, base, path)));

const codeSpans = (text: string): string[] => [...text.matchAll(/`([^`\n]+)`/g)].map((match) => match[1]);
const links = (text: string): string[] =>
  [...text.matchAll(/\]\(([^)#\s]+)(?:#[^)]*)?\)/g)].map((match) => match[1]);

for (const document of DOCUMENTS)
  test(`${document} names files and symbols that exist`, () => {
    const text = read(document);
    const spans = codeSpans(text);
    const missing = [
      ...spans.filter((code) => isPath(code) && !isGenerated(code) && !existsInRepository(code)),
      ...spans.filter((code) => isSymbol(code) && !code.split('.').every(isDeclared)),
      ...links(text).filter((link) => !existsSync(join(ROOT, dirname(document), link))),
    ];
    assert.deepEqual(missing, []);
  });
