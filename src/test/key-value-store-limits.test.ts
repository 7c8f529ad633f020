/** Data written to the key-value store stays within its limits, also after they were lowered. */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import { parsePlatformSettings } from '../config/platform.js';
import { JobDependencies } from '../core/leader/job-dependencies.js';
import { JobFinalizer } from '../core/leader/job-finalizer.js';
import { ProgressWriter } from '../core/leader/progress-writer.js';
import type { Effect, LeaderSettings } from '../core/leader/effects.js';
import { LeaderState } from '../core/leader/leader-state.js';
import { Job } from '../core/job.js';
import { segmentName, segmentStart } from '../core/progress-segments.js';
import { MachineRegistry } from '../core/leader/machine-registry.js';
import type { MachineInfo, MachineType } from '../core/machine-info.js';
import type {
  MachineId,
  SegmentName,
  MonotonicTime,
  Term,
  MachineTypeName,
  WallTime,
} from '../core/units.js';
import { splitIntoPages } from '../runtime/cloud/machine-type-catalog.js';
import {
  fitsRegistryPage,
  fitsValueLimit,
  parseProgressRecord,
  progressRecordData,
  registryPageData,
  maxSegmentBytes,
} from '../wire/stored-records.js';
import { jobSpec, types } from './sim/fixtures.js';
import { platformToml } from './sim/platform-toml.js';

type ProgressEffect = Extract<Effect, { kind: 'write-progress' }>;

const now = 0 as MonotonicTime;

test('the smaller of the current and the announced limit applies; without an announcement, the current limit', () => {
  const lowered = parsePlatformSettings(
    platformToml('[settings.state.next]\nvalue_kb = 2.0\nwrite_rps = 90.0\n'),
  );
  assert.deepEqual(lowered.keyValueStoreLimits, {
    requestsPerS: 120,
    writesPerS: 20,
    maxValueKb: 2,
    maxTransactionChanges: 16,
  });
  assert.equal(parsePlatformSettings(platformToml('')).keyValueStoreLimits.maxValueKb, 16);
});

/** The leader's components that track one job, and a function that returns the progress writes they request. */
const createProgressTracking = (tasks: number, bytes: number, progressRps = 1000) => {
  const settings = { segmentBytes: bytes, progressWritesPerS: progressRps } as unknown as LeaderSettings;
  const state = new LeaderState({ term: 1 as Term, keyRevision: 1 }, settings, now);
  const spec = jobSpec('wk-1', { tasks });
  const job = new Job(spec.id, { spec, submittedAt: 0 as WallTime, cancelledAt: null }, 1, false, now);
  state.jobs.set(job.id, job);
  const finalizer = new JobFinalizer(state, new JobDependencies(state, () => undefined));
  const progress = new ProgressWriter(state);
  let time = 0;
  const flush = (): ProgressEffect[] => {
    finalizer.finishJobs();
    progress.writeIfDue((time += 2000) as MonotonicTime);
    return state.takeEffects().filter((effect): effect is ProgressEffect => effect.kind === 'write-progress');
  };
  return { job, progress, flush };
};

test('progress of 100,000 tasks in values of 2 KiB: each record fits, and a new leader reads all of the progress', () => {
  const bytes = maxSegmentBytes(2);
  const { job, flush } = createProgressTracking(100_000, bytes);
  for (let i = 0; i < 100_000; i += 3) job.markCompleted(i);
  const writes = flush();
  assert.equal(writes.length, Math.ceil(100_000 / 8 / bytes));
  const next = createProgressTracking(100_000, maxSegmentBytes(16));
  for (const { segment, bytes: bits } of writes) {
    const data = progressRecordData(bits);
    assert.ok(fitsValueLimit(data, 2), `${segment} is too large`);
    next.progress.loadProgress(job.id, segment, Buffer.from(parseProgressRecord(data)!, 'base64'));
  }
  assert.equal(next.job.completedCount, job.completedCount);
  assert.ok(next.job.isDurable(99_999) && !next.job.isCompleted(99_998));
});

test('only segments with new completions are written; a failed write is repeated with later completions', () => {
  const { job, progress, flush } = createProgressTracking(30_000, maxSegmentBytes(2));
  job.markCompleted(0);
  const [first] = flush();
  job.markCompleted(1);
  assert.deepEqual(flush(), [], 'a write is in flight');
  progress.onProgressWritten(job.id, first.segment, first.bytes, false);
  const again = flush();
  assert.deepEqual(
    again.map((effect) => [effect.segment, effect.bytes[0]]),
    [[first.segment, 3]],
  );
  progress.onProgressWritten(job.id, first.segment, again[0].bytes, true);
  assert.deepEqual(flush(), []);
  job.markCompleted(29_999);
  assert.deepEqual(
    flush().map((effect) => effect.segment),
    ['2x1527'],
  );
});

test('progress writes are rate-limited: segments that waited longest are written first, and all are written', () => {
  const { job, flush } = createProgressTracking(100_000, maxSegmentBytes(2), 3);
  for (let i = 0; i < 100_000; i += 1000) job.markCompleted(i);
  const written: string[] = [];
  for (let seconds = 0; seconds < 3; seconds++) {
    const writes = flush();
    assert.equal(writes.length, 3);
    written.push(...writes.map((effect) => effect.segment));
  }
  assert.deepEqual(new Set(written).size, 9);
});

test('segment names contain the segment size unless earlier versions write the same segment', () => {
  assert.equal(segmentName(3, 2048, 12_500), '3');
  assert.equal(segmentName(0, 1524, 30), '0');
  assert.equal(segmentName(3, 1524, 12_500), '3x1524');
  assert.deepEqual(['3', '3x1524', 'x', ''].map(segmentStart), [6144, 4572, null, null]);
});

test('large segments of an earlier leader stay valid alongside small ones, and all are deleted with the job', () => {
  const { job, progress, flush } = createProgressTracking(100_000, maxSegmentBytes(2));
  const earlier = new Uint8Array(2048).fill(255);
  progress.loadProgress(job.id, '1' as SegmentName, earlier);
  assert.equal(job.completedCount, 16_384);
  assert.ok(job.isDurable(16_384) && !job.isDurable(16_383));
  job.markCompleted(16_383);
  for (const effect of flush()) progress.onProgressWritten(job.id, effect.segment, effect.bytes, true);
  assert.deepEqual([...job.progress.persistedSegments], ['1', '1x1527']);
});

const machine = (index: number): MachineInfo => ({
  ...({ endpoint: '', type: 'coach', zone: 'regina', spot: false } as unknown as MachineInfo),
  id: `host-${String(index).padStart(6, '0')}` as MachineId,
});

test('an oversized registry page is split into new pages, and contains each machine until a new page does', () => {
  const fits = (machines: MachineInfo[]): boolean => fitsRegistryPage(machines, 2);
  const registry = new MachineRegistry();
  const all = Array.from({ length: 81 }, (_item, index) => machine(index));
  for (const info of all) registry.addMachine('old', info);
  assert.ok(!fits(all));
  registry.remove('old', all[80].id);
  assert.equal(registry.nextPageToWrite('stale', fits), null, 'an oversized page is not written');
  const persistedPages = new Map([['old', new Set(all.map((machine) => machine.id))]]);
  const listedMachineCount = (): number =>
    new Set([...persistedPages.values()].flatMap((page) => [...page])).size;
  for (let pageNumber = 1; registry.selectMachinesToSplitOff(fits).length > 0; pageNumber++) {
    const part = registry.selectMachinesToSplitOff(fits);
    assert.ok(fits(part) && part.length > 10);
    registry.openPage(`new-${pageNumber}`, part);
    assert.ok(listedMachineCount() >= 80, 'while the write is in flight');
    persistedPages.set(`new-${pageNumber}`, new Set(part.map((machine) => machine.id)));
    for (const id of registry.onPageWritten(`new-${pageNumber}`, true)) registry.remove('old', id);
  }
  const rest = registry.nextPageToWrite('stale', fits)!;
  assert.ok(fitsValueLimit(registryPageData(rest.machines), 2));
  persistedPages.set('old', new Set(rest.machines.map((machine) => machine.id)));
  assert.equal(listedMachineCount(), 80);
});

test('a long list of machine types is divided into values that fit', () => {
  const many: MachineType[] = Array.from({ length: 60 }, (_item, index) => ({
    ...types[0],
    name: `type-${index}` as MachineTypeName,
  }));
  const pages = splitIntoPages(many, 2);
  assert.deepEqual(pages.flat(), many);
  for (const page of pages) assert.ok(fitsValueLimit({ pages: pages.length, types: page }, 2));
});
