/** Translation and validation of the external protocols and of the settings. */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import { parseOperatorSettings } from '../config/operator.js';
import { parsePlatformSettings, platformWarnings } from '../config/platform.js';
import { decode, encode, tryDecode } from '../wire/cbor.js';
import { parseMachineTypes } from '../wire/cloud-provider.js';
import { parseItem, transactionBody } from '../wire/key-value-store.js';
import { parseJob } from '../wire/users.js';
import { directCommandsBody, parseHeartbeat } from '../wire/workers.js';
import type { Attempt, JobId } from '../core/units.js';
import { platformToml } from './sim/platform-toml.js';

const job = {
  nameId: 'wk-000412',
  herd: 'train',
  outfit: 'vision',
  gait: 'group',
  rank: 'high',
  hands: 16,
  vcpus: 8.0,
  accelerators: 1.0,
  memGb: 64.0,
  kit: 'img-07',
  sizeGb: 6.2,
  breeds: ['g8'],
  pasture: null,
  oneZone: true,
  spread: false,
  loaners: true,
  rideS: 240.0,
  waypointS: 30.0,
  stowS: 4.0,
  dueS: 900.0,
};

const without = (...fields: string[]): Record<string, unknown> =>
  Object.fromEntries(Object.entries(job).filter(([name]) => !fields.includes(name)));

test('a job submission is translated; null fields may be omitted, unknown ones are ignored', () => {
  const whole = parseJob(decode(encode({ ...job, color: 'red' })));
  assert.ok(whole.ok && whole.value.kind === 'gang' && whole.value.tasks === 16 && whole.value.spot);
  const parsed = parseJob(without('breeds', 'pasture', 'dueS'));
  assert.ok(
    parsed.ok && parsed.value.types === null && parsed.value.zone === null && parsed.value.deadlineS === null,
  );
});

test('a submission with a missing or wrong field is rejected', () => {
  for (const field of Object.keys(job)) {
    const wrong = field === 'breeds' ? 'g8' : Number.NaN;
    assert.equal(parseJob({ ...job, [field]: wrong }).ok, false, `${field} wrong`);
    if (['breeds', 'pasture', 'dueS'].includes(field)) continue;
    assert.equal(parseJob(without(field)).ok, false, `${field} missing`);
  }
  for (const hands of [0, -1, 1.5, 100_001, 2n ** 60n]) assert.equal(parseJob({ ...job, hands }).ok, false);
  for (const nameId of ['', 'wk-', 'wk-1/2', 'job-1', 'wk-1 '])
    assert.equal(parseJob({ ...job, nameId }).ok, false);
});

test('CBOR: the input must contain exactly one value', () => {
  assert.equal(tryDecode(Buffer.concat([encode({ a: 1 }), Buffer.from([0])])), undefined, 'trailing byte');
  assert.equal(tryDecode(encode(job).subarray(0, 20)), undefined, 'cut off');
  assert.equal(tryDecode(Buffer.alloc(0)), undefined, 'empty');
});

test('integers up to 2^64 are preserved; attempt numbers must stay below 2^53', () => {
  const huge = 2n ** 63n + 1n;
  const item = parseItem(decode(encode({ key: 'a', data: null, stamp: huge })));
  assert.equal(item?.revision, huge);
  const body = transactionBody({ conditions: [{ key: 'a', revision: huge }], changes: [] });
  assert.deepEqual(decode(encode(body)), { if: [{ key: 'a', stamp: huge }], then: [] });
  const attempt = (3 * 2 ** 40) as Attempt;
  const directCommands = directCommandsBody(7, huge, [
    { op: 'start', job: 'wk-1' as JobId, index: 0, attempt },
  ]);
  // The attempt number is encoded as a CBOR integer (major type 0), not as a float.
  assert.ok(encode(directCommands).includes(Buffer.from('1b0000030000000000', 'hex')));
  const heartbeat = {
    stall: 'host-1',
    endpoint: '10.0.0.1:9000',
    breed: 'g8',
    pasture: 'a',
    loaners: false,
    shift: 1,
    tally: huge,
    reins: 1,
    hands: [{ hand: 'wk-1/0', try: 1, status: 'running' }],
  };
  const parsed = parseHeartbeat(decode(encode(heartbeat)));
  assert.ok(parsed.ok && parsed.value.sequence === huge && parsed.value.tasks[0].job === 'wk-1');
  assert.equal(
    parseHeartbeat({ ...heartbeat, hands: [{ hand: 'wk-1/0', try: huge, status: 'running' }] }).ok,
    false,
  );
});

test('an invalid list of machine types from the cloud provider is rejected as a whole', () => {
  assert.equal(parseMachineTypes({ breeds: [{ label: 'g8' }] }), null);
  assert.equal(parseMachineTypes('soon'), null);
});

const platform = platformToml();

test('settings: unknown fields are ignored; the error for an invalid field contains its value and what is expected', () => {
  assert.equal(parsePlatformSettings(platform).publicAddress.port, 8080);
  assert.throws(() => parsePlatformSettings(platform.replace('lease_s = 10.0', 'lease_s = "long"')), {
    message: 'settings.workers.lease_s: "long" is not valid; expected number',
  });
  assert.throws(() => parsePlatformSettings(platform.replace('area = "east"', '')), {
    message: 'area: missing is not valid; expected "area"',
  });
});

test('settings: objectives are translated to the field names of the code', () => {
  const source = `${platform}\n[[settings.objectives]]\nkind = "finished"\nclass = "batch"\nwithin_s = 90.0\nshare = 0.9\n`;
  assert.deepEqual(parsePlatformSettings(source).objectives.at(-1), {
    kind: 'finished',
    class: 'batch',
    withinS: 90,
    share: 0.9,
  });
});

test('operator settings: omitted blocks and fields get their defaults, and given fields are kept', () => {
  const defaults = {
    leaderLeaseMs: 3000,
    idleHoldS: 15,
    capacityRetryS: 15,
    headroom: 0.6,
    schedulingCycleMs: 200,
    agingS: 90,
  };
  assert.deepEqual(parseOperatorSettings({}), defaults);
  assert.deepEqual(parseOperatorSettings({ scaling: [{ headroom: 2 }] }), { ...defaults, headroom: 2 });
});

test('settings: a zone without a controller, a team without guarantee or limit, a guarantee above the limit', () => {
  const source = `${platform}\n[[settings.teams]]\nname = "red"\ngpus = 9.0\ngpus_max = 4.0\nweight = 2\n`;
  const threeZones = parsePlatformSettings(
    source.replace(/zones = \[[^\]]*\]/, 'zones = ["east", "west", "south"]'),
  );
  assert.equal(threeZones.zones.length, 3);
  const red = threeZones.teams.find((t) => (t.name as string) === 'red')!;
  assert.deepEqual(
    [red.guaranteedCpus, red.maxCpus, red.guaranteedGpus, red.maxGpus],
    [0, 0, 9, 4],
    'the limit is kept even if the guarantee is larger',
  );
  assert.deepEqual(platformWarnings(threeZones), [
    'team red: 9 gpus guaranteed, served up to the limit of 4',
  ]);
  assert.throws(
    () => parsePlatformSettings(`${source}\n[[settings.teams]]\nname = "red"\n`),
    /settings\.teams\.\d\.name: "red" occurs twice; expected one team of each name/,
  );
  assert.throws(
    () => parsePlatformSettings(source.replace('gpus = 9.0', 'gpus = -1')),
    /settings\.teams.*gpus: -1 .*>=0/,
  );
});

test('operator settings: defaults, bounds and unknown names', () => {
  assert.equal(parseOperatorSettings({}).leaderLeaseMs, 3000);
  assert.equal(parseOperatorSettings({ leadership: [{ lease_ms: 5000 }] }).leaderLeaseMs, 5000);
  assert.throws(
    () => parseOperatorSettings({ leadership: [{ lease_ms: 1 }] }),
    /leadership\.0\.lease_ms: 1 .*>=500/,
  );
  assert.throws(() => parseOperatorSettings({ leadreship: [{}] }), /leadreship/);
});
