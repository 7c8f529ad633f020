// The list of known red tests, on made-up results.
import assert from 'node:assert/strict';
import { test } from 'node:test';
import { judge, parseKnownRed, type KnownRedEntry, type TestResult } from '../build/known-red.js';

const entry = (name: string): KnownRedEntry => ({ test: name, cause: 'a fault', issue: '26' });
const passed = (name: string): TestResult => ({ name, passed: true });
const failed = (name: string): TestResult => ({ name, passed: false });

test('a run without a list passes if every test passes', () => {
  assert.deepEqual(judge([], [passed('a'), passed('b')]), { problems: [], expectedFailures: [] });
});

test('a failure that is not listed is a problem', () => {
  assert.deepEqual(judge([entry('a')], [failed('a'), failed('b')]).problems, ['failed: b']);
});

test('a listed test that fails is passed over and named', () => {
  assert.deepEqual(judge([entry('a')], [failed('a'), passed('b')]), {
    problems: [],
    expectedFailures: [entry('a')],
  });
});

test('a listed test that passes is a problem', () => {
  const { problems, expectedFailures } = judge([entry('a')], [passed('a')]);
  assert.match(problems.join(), /it passes: a/);
  assert.deepEqual(expectedFailures, []);
});

test('a listed name that no test has is a problem', () => {
  assert.match(judge([entry('gone')], [passed('a')]).problems.join(), /no such test: gone/);
});

test('a listed name that several tests have is a problem', () => {
  assert.match(judge([entry('a')], [failed('a'), failed('a')]).problems.join(), /several tests/);
});

test('a run of no test at all is a problem', () => {
  assert.match(judge([], []).problems.join(), /no test was run/);
});

test('three lines are read, empty lines are not counted', () => {
  const entries = parseKnownRed('a | x | 1\n\nb | y | 2\nc | z | 3\n');
  assert.deepEqual(entries[1], { test: 'b', cause: 'y', issue: '2' });
  assert.equal(entries.length, 3);
});

test('a fourth line is refused', () => {
  assert.throws(() => parseKnownRed('a | x | 1\nb | x | 1\nc | x | 1\nd | x | 1\n'), /3 at most/);
});

test('a line without cause or issue, and a name listed twice, are refused', () => {
  assert.throws(() => parseKnownRed('a | x\n'), /not of the form/);
  assert.throws(() => parseKnownRed('a |  | 1\n'), /not of the form/);
  assert.throws(() => parseKnownRed('a | x | 1\na | y | 2\n'), /twice/);
});
