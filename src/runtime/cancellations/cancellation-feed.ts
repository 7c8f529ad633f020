/**
 * Keeps the log of cancelled jobs up to date from the key-value store, from peers, and from the cancellations that this
 * controller confirms itself. The same reads of the store update an index of the unfinished jobs.
 */
import { randomBytes } from 'node:crypto';
import type { PlatformSettings } from '../../config/platform.js';
import {
  CancellationLog,
  cancellationRetentionMs,
  renewalWindowMs,
  type ControllerIncarnation,
  type CancellationLogPosition,
  type CancellationLogPage,
} from '../../core/cancellation-log.js';
import { JobIndex, type IndexedJob } from '../../core/job-index.js';
import type { JobId, MonotonicTime, NodeName, Revision } from '../../core/units.js';
import { parseJobIds } from '../../wire/cancellation-pages.js';
import { parseDependencies, isCancelledRecord, keys } from '../../wire/stored-records.js';
import { monotonicNow, sleep } from '../clock.js';
import type { KeyValueStoreClient } from '../key-value-store/key-value-store-client.js';
import type { Logger } from '../logger.js';
import type { PeerLink } from '../peers/peer-link.js';

const STORE_POLL_INTERVAL_MS = 1000;
const PUSH_TIMEOUT_MS = 1000;
const INCARNATION_BYTES = 9;
const MS_PER_S = 1000;
/** The job data counts as fresh for this fraction of `cancel_s`, so that users see a cancellation in time. */
const FRESH_AGE_CANCEL_FRACTION = 0.25;

type ReadOutcome =
  | { kind: 'ok'; storeRevision: Revision; cancelled: JobId[] }
  | { kind: 'no-response' }
  /** The store no longer keeps the requested changes. */
  | { kind: 'compacted' };

/** Dependencies of the cancellation feed. */
export interface CancellationFeedDependencies {
  platform: PlatformSettings;
  store: KeyValueStoreClient;
  links: readonly PeerLink[];
  log: Logger;
  /** These jobs are cancelled, which was not known before. */
  onCancelled: (jobs: JobId[]) => void;
}

/** Provides a controller process with the cancelled jobs and the unfinished jobs. */
export class CancellationFeed {
  private readonly cancellationLog: CancellationLog;
  private readonly renewalWindowMs: number;
  private readonly maxFreshAgeMs: number;
  private readonly index = new JobIndex();
  private indexReadAt = -Infinity;

  constructor(private readonly dependencies: CancellationFeedDependencies) {
    const { workers, peers } = dependencies.platform;
    this.cancellationLog = new CancellationLog(
      randomBytes(INCARNATION_BYTES).toString('base64url') as ControllerIncarnation,
      peers.map((peer) => peer.name),
      cancellationRetentionMs(workers.cancelS),
    );
    this.maxFreshAgeMs = workers.cancelS * MS_PER_S * FRESH_AGE_CANCEL_FRACTION;
    this.renewalWindowMs = renewalWindowMs(workers.cancelS, workers.leaseS);
  }

  /** Starts to read the store periodically. */
  start(): void {
    void this.followStore();
  }

  /** Whether the job is known to be cancelled. */
  has(job: JobId): boolean {
    return this.cancellationLog.has(job);
  }

  /** The index entry of an unfinished job; may be undefined for a job that was accepted a moment ago. */
  indexedJob(job: JobId): IndexedJob | undefined {
    return this.index.get(job);
  }

  /** Whether all cancellations confirmed more than `FRESH_AGE_CANCEL_FRACTION` of `cancel_s` ago are known. */
  isFresh(): boolean {
    const now = monotonicNow();
    return now - Math.min(this.indexReadAt, this.cancellationLog.provenUntil(now)) <= this.maxFreshAgeMs;
  }

  /** When this controller learned of the job's cancellation. */
  cancellationLearnedAt(job: JobId): MonotonicTime | undefined {
    return this.cancellationLog.cancellationLearnedAt(job);
  }

  /** Whether this controller learned of any cancellation at or after `from` and before `until`. */
  anyLearnedBetween(from: MonotonicTime, until: MonotonicTime): boolean {
    return this.cancellationLog.anyLearnedBetween(from, until);
  }

  /**
   * Whether a heartbeat may get a reply with status 200: a task whose cancellation is unknown to this controller would
   * still end within `cancel_s`.
   */
  mayRenewLeases(now: MonotonicTime): boolean {
    return now <= this.cancellationLog.provenUntil(now) + this.renewalWindowMs;
  }

  /** Age of the instant up to which all cancellations are proven to be known; null if there is no such proof. */
  coverageAgeMs(now: MonotonicTime): number | null {
    const until = this.cancellationLog.provenUntil(now);
    return until === -Infinity ? null : Math.round(now - until);
  }

  /**
   * Adds a cancellation before it is confirmed to the user, so that every page of the log that is sent after the
   * confirmation contains the job.
   */
  recordConfirmed(job: JobId): void {
    if (!this.cancellationLog.add(job, monotonicNow())) return;
    const { links, onCancelled } = this.dependencies;
    onCancelled([job]);
    // The heartbeats between controllers deliver it reliably. This push only arrives sooner, so that no task of the job
    // is started in the meantime.
    for (const link of links) void link.sendRequest({ kind: 'cancellations', jobs: [job] }, PUSH_TIMEOUT_MS);
  }

  /** Adds the jobs in a push from a peer that has just confirmed their cancellation. */
  onPushed(raw: unknown): void {
    const jobs = parseJobIds(raw);
    if (jobs) this.addAll(jobs);
    else this.onMalformedPage(null, 'not a list of job ids');
  }

  /** The position up to which this controller holds the peer's log; null if it holds none of it. */
  positionOf(peer: NodeName): CancellationLogPosition | null {
    return this.cancellationLog.positionOf(peer);
  }

  /** The page of this controller's log for a peer that holds the log up to this position. */
  pageAfter(position: CancellationLogPosition | null): CancellationLogPage {
    return this.cancellationLog.pageAfter(position, monotonicNow());
  }

  /** Merges a peer's page, received in response to a heartbeat that was sent at `requestedAt`. */
  onPeerPage(peer: NodeName, page: CancellationLogPage, requestedAt: MonotonicTime): void {
    const added = this.cancellationLog.mergePage(peer, page, requestedAt, monotonicNow());
    if (added.length > 0) this.dependencies.onCancelled(added);
  }

  /** Logs a malformed page. The page is dropped and proves nothing. */
  onMalformedPage(peer: NodeName | null, cause: string): void {
    const { log } = this.dependencies;
    log.rateLimited('peer-frame', 'info', { peer, cause }, 'malformed cancellations of a peer dropped');
  }

  private addAll(jobs: JobId[]): void {
    const added = jobs.filter((job) => this.cancellationLog.add(job, monotonicNow()));
    if (added.length > 0) this.dependencies.onCancelled(added);
  }

  /** Polls instead of using a long watch: a response only proves what was recorded before its request was sent. */
  private async followStore(): Promise<never> {
    let since: Revision | null = null;
    for (;;) {
      const requestedAt = monotonicNow();
      const outcome: ReadOutcome = since === null ? await this.readAll() : await this.readSince(since);
      if (outcome.kind === 'ok') {
        since = outcome.storeRevision;
        this.addAll(outcome.cancelled);
        this.cancellationLog.onStoreRead(requestedAt);
        this.indexReadAt = requestedAt;
      } else if (outcome.kind === 'compacted') since = null;
      await sleep(Math.max(0, requestedAt + STORE_POLL_INTERVAL_MS - monotonicNow()));
    }
  }

  private async readAll(): Promise<ReadOutcome> {
    const listing = await this.dependencies.store.list(keys.jobRecordPrefix);
    if (listing.kind !== 'ok') return { kind: 'no-response' };
    const { items, storeRevision } = listing.value;
    this.index.clear();
    const cancelled = items.filter((item) => this.indexRecord(item.key, item.data));
    return { kind: 'ok', storeRevision, cancelled: cancelled.map((item) => jobIdOf(item.key)) };
  }

  private async readSince(since: Revision): Promise<ReadOutcome> {
    const outcome = await this.dependencies.store.watchResponse(keys.jobRecordPrefix, since);
    if (outcome.kind !== 'ok') return { kind: outcome.kind === 'gone' ? 'compacted' : 'no-response' };
    const { changes, storeRevision } = outcome.value;
    const cancelled: JobId[] = [];
    for (const change of changes) {
      if (change.kind === 'deleted') this.index.remove(jobIdOf(change.key));
      else if (this.indexRecord(change.key, change.data)) cancelled.push(jobIdOf(change.key));
    }
    return { kind: 'ok', storeRevision, cancelled };
  }

  /** Adds a job record to the index; returns whether its job is cancelled. */
  private indexRecord(key: string, data: unknown): boolean {
    const cancelled = isCancelledRecord(data);
    this.index.put(jobIdOf(key), parseDependencies(data), cancelled);
    return cancelled;
  }
}

const jobIdOf = (key: string): JobId => key.slice(keys.jobRecordPrefix.length) as JobId;
