/**
 * The production version and the current version side by side: a rolling upgrade on virtual time, and each version reads
 * the records and messages of the other.
 */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import { teams as fixtureTeams, jobSpec, types } from './sim/fixtures.js';
import { submitPipelines } from './sim/pipeline-scenarios.js';
import { runScenario, startMixedWork, type Scenario } from './sim/scenario.js';
import { loadProductionVersion, type ProgramVersion } from './sim/production-version.js';
import type { ClusterSetup } from './sim/cluster-setup.js';
import type { KeyValueStoreLimits } from '../config/platform.js';
import type { JobRecord } from '../core/job-spec.js';
import type {
  Endpoint,
  JobId,
  MachineId,
  NodeName,
  SegmentName,
  Term,
  MachineTypeName,
  WallTime,
  Zone,
} from '../core/units.js';
import { encode, decode } from '../wire/cbor.js';
import { encodePeerRequest, parsePeerRequest, type PeerRequest } from '../wire/peer-messages.js';
import {
  parseDependencies,
  finalRecordData,
  jobRecordData,
  keys,
  parseFinalRecord,
  parseJobRecord,
  parseLeaderRecord,
  parseProgressRecord,
  parseRegistryPage,
  parseStoredMachineTypes,
  parseTermRecord,
  parseMachineTypesPage,
  progressRecordData,
  registryPageData,
} from '../wire/stored-records.js';

const production = await loadProductionVersion();

/** Start of the rolling upgrade. */
const ROLL_MS = 40_000;
const INTERVAL_MS = 10_000;
const LOWERED_MS = 90_000;
const announcedLimits = { maxValueKb: 2, maxTransactionChanges: 5, writesPerS: 25 };
const initial: Partial<ClusterSetup> = {
  version: production,
  keyValueStoreLimits: { maxValueKb: 16, maxTransactionChanges: 16, writesPerS: 40 },
  announcedKeyValueStoreLimits: announcedLimits,
};

/** Counts the jobs that the production version has accepted. */
const countAcceptedBeforeUpgrade = (scenario: Scenario): { accepted: number } => {
  const count = { accepted: 0 };
  scenario.cluster.at(ROLL_MS - 1, () => {
    count.accepted = [...scenario.cluster.users.values()].filter((user) => user.accepted).length;
  });
  return count;
};

/** Restarts the controllers one after the other with the current version, then lowers the limits and submits pipelines. */
const upgradeThenLowerLimits = (scenario: Scenario): void => {
  for (const [i, controller] of scenario.cluster.controllers.entries())
    scenario.cluster.at(ROLL_MS + i * INTERVAL_MS, () => scenario.cluster.upgrade(controller, 4000));
  scenario.cluster.at(LOWERED_MS, () => scenario.cluster.applyAnnouncedLimits());
  scenario.cluster.at(LOWERED_MS + 5000, () => submitPipelines(scenario, 3));
};

const runUpgrade = async (seed: number, script: (scenario: Scenario) => void, setup = initial) => {
  const { cluster, violations, unfinished } = await runScenario(
    seed,
    { setup, faultsEndMs: 160_000, endMs: 380_000 },
    script,
  );
  assert.deepEqual({ seed, violations, unfinished }, { seed, violations: [], unfinished: [] });
  return cluster;
};

/** Submits short jobs throughout, so that each version finishes jobs that the other accepted. */
const submitContinuousWork = (scenario: Scenario): void => {
  startMixedWork(scenario);
  for (let i = 0; i < 40; i++)
    scenario.cluster.at(12_000 + i * 3000, () => {
      const id = scenario.submit({ tasks: 1 + (i % 3) }, 6000);
      if (i % 5 === 0) scenario.cluster.at(scenario.cluster.now + 2500, () => scenario.cluster.cancel(id));
    });
};

test('an upgrade under load, after which the limits are lowered and pipelines are submitted', async () => {
  for (const seed of [1, 2]) {
    let before = { accepted: 0 };
    const cluster = await runUpgrade(seed, (scenario) => {
      before = countAcceptedBeforeUpgrade(scenario);
      submitContinuousWork(scenario);
      upgradeThenLowerLimits(scenario);
    });
    assert.ok(before.accepted > 0, 'the production version accepts jobs');
    assert.equal(cluster.keyValueStore.rejectedForSize, 0, 'no write was rejected for its size');
  }
});

test('during an upgrade a controller crashes and restarts with the old version, and the key-value store has an outage', async () => {
  await runUpgrade(1, (scenario) => {
    submitContinuousWork(scenario);
    upgradeThenLowerLimits(scenario);
    scenario.cluster.at(ROLL_MS + 5000, () => scenario.cluster.restart(scenario.cluster.controllers[2], 300));
    scenario.cluster.at(ROLL_MS + 13_000, () => scenario.cluster.keyValueStore.startOutage(6000));
    scenario.cluster.at(ROLL_MS + 12_000, () =>
      scenario.cluster.keyValueStore.delayTransactions(0.2, 40_000),
    );
  });
});

test('leadership passes between the versions in both directions', async () => {
  const leaders: boolean[] = [];
  await runUpgrade(2, (scenario) => {
    submitContinuousWork(scenario);
    for (let i = 0; i < 8; i++)
      scenario.cluster.at(ROLL_MS + i * 6000, () => {
        const { leader } = scenario.cluster;
        if (!leader) return;
        leaders.push(leader.version === null);
        scenario.cluster.restart(leader, 1000);
        if (i === 0) scenario.cluster.upgrade(scenario.cluster.controllers[0], 1000);
      });
    scenario.cluster.at(ROLL_MS + 50_000, () =>
      scenario.cluster.controllers.forEach((controller) => scenario.cluster.upgrade(controller, 1500)),
    );
  });
  assert.ok(leaders.includes(true) && leaders.includes(false), 'both versions have led');
});

/** Runs a job, lowers the limits of the key-value store below the size of the job's record, and cancels the job. */
const cancelLargeRecord = async (nextLimits: Partial<KeyValueStoreLimits>) => {
  let id = 'wk-0' as JobId;
  const others = Array.from({ length: 99 }, (_item, i) => `another-type-${i}` as MachineTypeName);
  const { cluster, violations } = await runScenario(
    1,
    { setup: { ...initial, announcedKeyValueStoreLimits: nextLimits }, faultsEndMs: 120_000, endMs: 200_000 },
    (scenario) => {
      scenario.cluster.at(
        8000,
        () => (id = scenario.submit({ tasks: 2, types: [...others, types[0].name] })),
      );
      scenario.cluster.at(30_000, () =>
        scenario.cluster.controllers.forEach((controller) => scenario.cluster.upgrade(controller, 2000)),
      );
      scenario.cluster.at(
        60_000,
        () => (scenario.cluster.keyValueStore.limits = { requestsPerS: 200, ...announcedLimits }),
      );
      scenario.cluster.at(70_000, () => scenario.cluster.cancel(id));
    },
  );
  return {
    status: cluster.users.get(id)!.status,
    violations,
    tooLarge: cluster.keyValueStore.rejectedForSize,
  };
};

test('a job whose record is larger than lowered limits can be cancelled only if these were announced', async () => {
  const announced = await cancelLargeRecord(announcedLimits);
  assert.deepEqual(announced, { status: 'cancelled', violations: [], tooLarge: 0 });
  const unannounced = await cancelLargeRecord({});
  assert.notEqual(unannounced.status, 'cancelled');
  assert.ok(unannounced.tooLarge > 0);
});

const record = (overrides: Partial<JobRecord['spec']>): JobRecord => ({
  spec: jobSpec('wk-7', { team: fixtureTeams[0].name, ...overrides }),
  submittedAt: 1_700_000_000_000 as WallTime,
  cancelledAt: null,
});
const stored = (data: unknown): unknown => decode(encode(data));

test('job records: each version reads the records of the other', () => {
  const plain = record({});
  const { dependsOn, ...oldSpec } = plain.spec;
  assert.deepEqual(dependsOn, []);
  const oldRecord = { ...plain, spec: oldSpec };
  assert.deepEqual(stored(jobRecordData(plain)), oldRecord, 'the same without dependencies');
  assert.deepEqual(parseJobRecord(stored(oldRecord)), plain);
  const dependent = record({ dependsOn: ['wk-5' as JobId, 'wk-6' as JobId] });
  const read = production.parseJobRecord(stored(jobRecordData(dependent)));
  assert.deepEqual(read, { ...dependent, spec: oldSpec }, 'dependencies are ignored, not invalid');
  assert.deepEqual(parseDependencies(stored(jobRecordData(dependent))), ['wk-5', 'wk-6']);
  assert.deepEqual(parseDependencies(stored(oldRecord)), []);
});

interface RecordKind {
  written: unknown;
  form: unknown;
  read: unknown;
  readers: ((raw: unknown) => unknown)[];
}

const storedMachine = {
  id: 'host-1' as MachineId,
  endpoint: '10.0.0.1:9000' as Endpoint,
  type: 'small' as MachineTypeName,
  zone: 'east' as Zone,
  spot: true,
};
const page = { machines: [{ id: 'host-1', type: 'small', zone: 'east', spot: true }] };
const progress = { bits: 'Bf8=' };
const unenrolled = [{ ...storedMachine, endpoint: '' }];
const typesPage = { pages: 1, types };
const done = { state: 'done', tasks: 3 } as const;
const cancelled = { state: 'cancelled', tasks: 3 } as const;
const leader = { node: 'stable-0', term: 3 };
const recordKinds: RecordKind[] = [
  {
    written: finalRecordData(done),
    form: done,
    read: done,
    readers: [parseFinalRecord, production.parseFinal],
  },
  {
    written: finalRecordData(cancelled),
    form: { state: 'withdrawn', tasks: 3 },
    read: cancelled,
    readers: [parseFinalRecord, production.parseFinal],
  },
  {
    written: registryPageData([storedMachine]),
    form: page,
    read: unenrolled,
    readers: [parseRegistryPage, production.parseRosterPage],
  },
  {
    written: progressRecordData(Uint8Array.of(5, 255)),
    form: progress,
    read: 'Bf8=',
    readers: [parseProgressRecord, production.parseProgress],
  },
  { written: leader, form: leader, read: leader, readers: [parseLeaderRecord, production.parseLeader] },
  { written: { term: 3 }, form: { term: 3 }, read: 3, readers: [parseTermRecord, production.parseTerm] },
  {
    written: types,
    form: types,
    read: types,
    readers: [parseStoredMachineTypes, production.parseStoredTypes],
  },
  { written: typesPage, form: typesPage, read: typesPage, readers: [parseMachineTypesPage] },
];

test('stored records: each kind has the encoded form of the production version', () => {
  for (const { written, form, read, readers } of recordKinds) {
    assert.deepEqual(stored(written), form);
    for (const reader of readers) assert.deepEqual(reader(stored(form)), read);
  }
});

test('stored records: the encoded form of a job record, and the keys', () => {
  const form = {
    spec: {
      id: 'wk-7',
      class: 'batch',
      team: fixtureTeams[0].name,
      kind: 'array',
      priority: 'normal',
      tasks: 1,
      cpus: 4,
      gpus: 1,
      memoryGb: 16,
      image: 'img-1',
      imageGb: 4,
      types: null,
      zone: null,
      oneZone: false,
      spread: false,
      spot: false,
      estimateS: 30,
      checkpointS: 10,
      saveS: 2,
      deadlineS: null,
    },
    submittedAt: 1_700_000_000_000,
    cancelledAt: null,
  };
  assert.deepEqual(stored(jobRecordData(record({}))), form);
  const id = 'wk-7' as JobId;
  assert.deepEqual([keys.leader, keys.term, keys.machineTypes], ['l/leader', 'l/term', 'c/types']);
  assert.equal(keys.machineTypesPage(1), 'c/types/1');
  assert.deepEqual([keys.jobRecord(id), keys.finalRecord(id)], ['j/wk-7', 'f/wk-7']);
  assert.equal(keys.progressSegment(id, '0' as SegmentName), 'p/wk-7/0');
  assert.equal(keys.registryPage('3-1'), 'm/3-1');
});

test('messages between controllers: each version accepts the requests of the other', () => {
  const status = {
    node: 'stable-0' as NodeName,
    term: 3 as Term,
    leading: true,
    holdsLease: true,
    reachableLeader: null,
    storeAvailable: true,
    receivesHeartbeats: true,
    leaderSeenAgoMs: 40,
  };
  const requests: PeerRequest[] = [
    { kind: 'heartbeat', status, logPosition: null },
    { kind: 'cancellations', jobs: ['wk-1'] },
    { kind: 'recent-heartbeats', machines: ['host-1'] },
    { kind: 'forwarded-heartbeat', heartbeat: Buffer.from([1]) },
    {
      kind: 'unchanged-heartbeats',
      term: 3 as Term,
      heartbeats: [{ machine: 'host-1' as MachineId, incarnation: 1, sequence: 9, baseSequence: 8 }],
    },
    { kind: 'user-request', method: 'GET', target: '/v1/jobs/wk-1', body: Buffer.alloc(0) },
    { kind: 'image-locations', locations: {} },
    { kind: 'task-counts', job: 'wk-1' },
  ];
  const versions: Pick<ProgramVersion, 'parsePeerRequest'>[] = [production, { parsePeerRequest }];
  for (const request of requests)
    for (const version of versions)
      assert.ok(version.parsePeerRequest(stored(encodePeerRequest(request))).ok, `${request.kind} rejected`);
});
