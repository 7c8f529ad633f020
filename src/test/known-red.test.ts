/** The list of known red tests, applied to synthetic results. */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import {
  compareWithKnownRedList,
  KnownRedError,
  parseKnownRedList,
  type KnownRedEntry,
  type TestResult,
} from '../build/known-red.js';

const entry = (name: string): KnownRedEntry => ({
  test: name,
  command: 'npm test, seed 7',
  observed: 'a fault',
  issue: '26',
});
const passed = (name: string): TestResult => ({ name, passed: true });
const failed = (name: string): TestResult => ({ name, passed: false });

test('a run without a list passes if every test passes', () => {
  assert.deepEqual(compareWithKnownRedList([], [passed('a'), passed('b')]), {
    problems: [],
    expectedFailures: [],
  });
});

test('a failing test that is not listed is reported as a problem', () => {
  assert.deepEqual(compareWithKnownRedList([entry('a')], [failed('a'), failed('b')]).problems, [
    'unexpected failure: b',
  ]);
});

test('a listed test that fails is reported as an expected failure', () => {
  assert.deepEqual(compareWithKnownRedList([entry('a')], [failed('a'), passed('b')]), {
    problems: [],
    expectedFailures: [entry('a')],
  });
});

test('a listed test that passes is reported as a problem', () => {
  const { problems, expectedFailures } = compareWithKnownRedList([entry('a')], [passed('a')]);
  assert.match(problems.join(), /it passes: a/);
  assert.deepEqual(expectedFailures, []);
});

test('a listed name that matches no test is reported as a problem', () => {
  assert.match(compareWithKnownRedList([entry('gone')], [passed('a')]).problems.join(), /no such test: gone/);
});

test('a listed name that matches several tests is reported as a problem', () => {
  assert.match(
    compareWithKnownRedList([entry('a')], [failed('a'), failed('a')]).problems.join(),
    /several tests/,
  );
});

test('a run without tests is reported as a problem', () => {
  assert.match(compareWithKnownRedList([], []).problems.join(), /no test was run/);
});

test('every line is read, and empty lines are ignored', () => {
  const entries = parseKnownRedList(
    'a | run, seed 1 | x | 1\n\nb | run, seed 2 | y | 2\nc | run | z | 3\nd | run | z | 3\n',
  );
  assert.deepEqual(entries[1], { test: 'b', command: 'run, seed 2', observed: 'y', issue: '2' });
  assert.deepEqual(
    entries.map((listed) => listed.test),
    ['a', 'b', 'c', 'd'],
  );
});

/** Asserts that the list is rejected with a KnownRedError whose message contains the reason. */
const assertRejected = (text: string, reason: RegExp): void =>
  assert.throws(
    () => parseKnownRedList(text),
    (error) => error instanceof KnownRedError && reason.test(error.message),
    text,
  );

test('a line without one of the four fields, and a name listed twice, are rejected', () => {
  assertRejected('a | x\n', /not of the form/);
  assertRejected('a | run | x\n', /not of the form/);
  assertRejected('a | run | x | 1 | more\n', /not of the form/);
  for (const line of [' | run | x | 1', 'a |  | x | 1', 'a | run |  | 1', 'a | run | x | '])
    assertRejected(`${line}\n`, /not of the form/);
  assertRejected('a | run | x | 1\na | run | y | 2\n', /twice/);
  assertRejected('b | run | x | 1\na | x | 1\n', /not of the form.*: a \| x \| 1/);
});
