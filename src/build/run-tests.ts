/**
 * Runs the test files given as arguments (default: all in `target/test`) and checks the results against KNOWN-RED.txt.
 * Exits with 0 only if all listed tests fail and all other tests pass.
 */
import { existsSync, readFileSync, readdirSync } from 'node:fs';
import { run } from 'node:test';
import { spec } from 'node:test/reporters';
import { finished } from 'node:stream/promises';
import { fileURLToPath } from 'node:url';
import {
  compareWithKnownRedList,
  parseKnownRedList,
  type KnownRedEntry,
  type TestResult,
  type RunOutcome,
} from './known-red.js';

const TEST_TIMEOUT_MS = 120_000;
const TEST_SUFFIX = '.test.js';
const testDirectory = fileURLToPath(new URL('../test/', import.meta.url));
const knownRedFile = fileURLToPath(new URL('../../KNOWN-RED.txt', import.meta.url));

const allTestFiles = (): string[] =>
  readdirSync(testDirectory)
    .filter((name) => name.endsWith(TEST_SUFFIX))
    .map((name) => testDirectory + name);

const readKnownRedList = (): KnownRedEntry[] =>
  existsSync(knownRedFile) ? parseKnownRedList(readFileSync(knownRedFile, 'utf8')) : [];

/** Runs the tests. A test that is skipped or marked as todo counts as failed, so that no test is left out unlisted. */
const runTests = async (files: string[]): Promise<TestResult[]> => {
  const results: TestResult[] = [];
  const events = run({ files, concurrency: true, timeout: TEST_TIMEOUT_MS });
  events.on('test:pass', ({ name, skip, todo }) => {
    results.push({ name, passed: skip === undefined && todo === undefined });
  });
  events.on('test:fail', ({ name }) => {
    results.push({ name, passed: false });
  });
  const reporter = new spec();
  events.pipe(reporter).pipe(process.stdout, { end: false });
  await finished(reporter, { writable: false });
  return results;
};

const printOutcome = ({ problems, expectedFailures }: RunOutcome): void => {
  for (const { test, command, observed, issue } of expectedFailures)
    console.log(`failed as expected (issue ${issue}): ${test}: ${observed}; reproduce with: ${command}`);
  for (const problem of problems) console.log(`test run failed: ${problem}`);
};

try {
  const requestedFiles = process.argv.slice(2);
  const entries = readKnownRedList();
  const outcome = compareWithKnownRedList(
    entries,
    await runTests(requestedFiles.length > 0 ? requestedFiles : allTestFiles()),
  );
  printOutcome(outcome);
  process.exitCode = outcome.problems.length === 0 ? 0 : 1;
} catch (error) {
  console.log(`test run failed: ${error instanceof Error ? error.message : String(error)}`);
  process.exitCode = 1;
}
