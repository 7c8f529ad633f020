/**
 * The names that leave the process: bodies, paths, stored records, the status page and settings, compared with the texts
 * in `external-names.txt`. Workers, operators' tools and other versions read these names. Guards against renaming a field
 * that is written out under its own name: the compiler accepts the rename, and typed values in other tests are renamed too.
 */
import assert from 'node:assert/strict';
import { readFileSync } from 'node:fs';
import { test } from 'node:test';
import { fileURLToPath } from 'node:url';
import { stringify } from 'smol-toml';
import { types } from './sim/fixtures.js';
import { dependentRecord, plainRecord, producedValues } from './sim/written-bodies.js';
import { parseOperatorSettings } from '../config/operator.js';
import { parsePlatformSettings } from '../config/platform.js';
import { parseCancellationLogPage, parseCancellationLogPosition } from '../wire/cancellation-pages.js';
import { encode } from '../wire/cbor.js';
import * as cloud from '../wire/cloud-provider.js';
import * as store from '../wire/key-value-store.js';
import * as records from '../wire/stored-records.js';
import { parseJob } from '../wire/users.js';
import { parseHeartbeat } from '../wire/workers.js';

/**
 * The lines of the fixture. `written NAME: JSON` and `received NAME: JSON` contain a message with its external names.
 * `values NAME: JSON` contains the values of a received message after parsing, with the internal names of states and kinds.
 */
const fixture = new Map(
  readFileSync(fileURLToPath(new URL('../../src/test/external-names.txt', import.meta.url)), 'utf8')
    .trimEnd()
    .split('\n')
    .map((line) => [line.slice(0, line.indexOf(': ')), line.slice(line.indexOf(': ') + 2)] as const),
);
const textOf = (name: string): string => fixture.get(name) ?? assert.fail(`no line "${name}" in the fixture`);

/** JSON in which an integer that is encoded as a bigint ends in `n`, and bytes are in the form of a Buffer. */
const toText = (value: unknown): string =>
  JSON.stringify(value, (_key, field: unknown) => (typeof field === 'bigint' ? `${field}n` : field));
const fromText = (text: string): unknown =>
  JSON.parse(text, (_key, field: unknown) => {
    if (typeof field === 'string' && /^\d+n$/.test(field)) return BigInt(field.slice(0, -1));
    const isBytes = typeof field === 'object' && field !== null && 'type' in field && field.type === 'Buffer';
    return isBytes && 'data' in field ? Buffer.from(field.data as number[]) : field;
  });

/** The plain values in a parsed message, in the order of the fields. */
const valuesIn = (value: unknown): unknown[] =>
  typeof value === 'object' && value !== null ? Object.values(value).flatMap(valuesIn) : [value];

const readers: Record<string, (raw: never) => unknown> = {
  'job submission': parseJob,
  heartbeat: parseHeartbeat,
  'machine types': cloud.parseMachineTypes,
  machines: cloud.parseMachineListPage,
  'created machines': cloud.parseCreatedMachines,
  item: store.parseItem,
  items: store.parseItemPage,
  committed: store.parseCommittedRevision,
  conflict: store.parseConflictKeys,
  lease: store.parseGrantedLease,
  'lease gone': store.isLeaseGoneError,
  changes: store.parseWatchResponse,
  'log position': parseCancellationLogPosition,
  'log page': parseCancellationLogPage,
  'operator settings': parseOperatorSettings,
  'platform settings': (raw: object) => parsePlatformSettings(stringify(raw)),
};

test('written data has the names, the order and the encoding of the fixture', () => {
  for (const [name, body] of Object.entries(producedValues)) {
    const text = textOf(`written ${name}`);
    assert.equal(toText(body), text, name);
    assert.equal(encode(body).toString('hex'), encode(fromText(text)).toString('hex'), name);
  }
});

test('CBOR: each type of value is encoded to the expected bytes', () => {
  const hex = '88a1616161620120fb40040000000000001b0000000200000000f5f6420102';
  assert.equal(encode(producedValues['every type of CBOR']).toString('hex'), hex);
});

test('received data is read by the names of the fixture', () => {
  for (const [name, read] of Object.entries(readers)) {
    const value = read(fromText(textOf(`received ${name}`)) as never);
    assert.equal(toText(valuesIn(value)), textOf(`values ${name}`), name);
  }
});

test('stored records are read back from the texts of the fixture', () => {
  const stored = (name: string): unknown => fromText(textOf(`written ${name}`));
  assert.deepEqual(records.parseJobRecord(stored('job record')), plainRecord);
  assert.deepEqual(records.parseJobRecord(stored('record of a dependent job')), dependentRecord);
  assert.deepEqual(records.parseStoredMachineTypes(stored('machine types')), types);
});

test('every line of the fixture belongs to a check', () => {
  const checked = [
    ...Object.keys(producedValues).map((name) => `written ${name}`),
    ...Object.keys(readers).flatMap((name) => [`received ${name}`, `values ${name}`]),
  ];
  assert.deepEqual([...fixture.keys()].sort(), checked.sort());
});
