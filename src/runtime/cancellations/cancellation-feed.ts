/**
 * Keeps the log of cancelled jobs up to date: from the store, from peers, and from what this controller confirms itself.
 * With it goes an index of the unfinished jobs, from the same reads of the store.
 */
import { randomBytes } from 'node:crypto';
import type { PlatformSettings } from '../../config/platform.js';
import {
  CancellationLog,
  cancellationRetentionMs,
  renewalWindowMs,
  type Incarnation,
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

const POLL_MS = 1000;
const PUSH_TIMEOUT_MS = 1000;
const INCARNATION_BYTES = 9;
const MS_PER_S = 1000;
/** What is known of jobs counts as current for this part of `cancel_s`: users see a cancellation in time. */
const FRESH_CANCEL_FRACTION = 0.25;

type ReadOutcome =
  | { kind: 'ok'; storeRevision: Revision; cancelled: JobId[] }
  | { kind: 'no-answer' }
  /** What has changed since is not kept any more. */
  | { kind: 'compacted' };

/** What the feed works with. */
export interface CancellationFeedDependencies {
  platform: PlatformSettings;
  store: KeyValueStoreClient;
  links: readonly PeerLink[];
  log: Logger;
  /** These jobs were not known to be cancelled before. */
  onCancelled: (jobs: JobId[]) => void;
}

/** One for each controller process. */
export class CancellationFeed {
  private readonly cancellationLog: CancellationLog;
  private readonly renewalWindowMs: number;
  private readonly freshMs: number;
  private readonly index = new JobIndex();
  private indexReadAt = -Infinity;

  constructor(private readonly dependencies: CancellationFeedDependencies) {
    const { workers, peers } = dependencies.platform;
    this.cancellationLog = new CancellationLog(
      randomBytes(INCARNATION_BYTES).toString('base64url') as Incarnation,
      peers.map((peer) => peer.name),
      cancellationRetentionMs(workers.cancelS),
    );
    this.freshMs = workers.cancelS * MS_PER_S * FRESH_CANCEL_FRACTION;
    this.renewalWindowMs = renewalWindowMs(workers.cancelS, workers.leaseS);
  }

  /** Begins to read the store. */
  start(): void {
    void this.followStore();
  }

  /** Whether the job is known to be cancelled. */
  has(job: JobId): boolean {
    return this.cancellationLog.has(job);
  }

  /** What is known of an unfinished job; undefined also for one accepted a moment ago. */
  indexedJob(job: JobId): IndexedJob | undefined {
    return this.index.get(job);
  }

  /** Every cancellation is known that was confirmed longer than a part of `cancel_s` ago. */
  isFresh(): boolean {
    const now = monotonicNow();
    return now - Math.min(this.indexReadAt, this.cancellationLog.provenUntil(now)) <= this.freshMs;
  }

  /** When this controller learned of the job's cancellation. */
  learnedAtOf(job: JobId): MonotonicTime | undefined {
    return this.cancellationLog.learnedAtOf(job);
  }

  /** Whether it learned of any cancellation from one instant until before the other. */
  anyLearnedBetween(from: MonotonicTime, until: MonotonicTime): boolean {
    return this.cancellationLog.anyLearnedBetween(from, until);
  }

  /** Whether a heartbeat may be answered 200: no cancelled task that is unknown here would be kept beyond its time. */
  mayRenewLeases(now: MonotonicTime): boolean {
    return now <= this.cancellationLog.provenUntil(now) + this.renewalWindowMs;
  }

  /** How old the instant is up to which all cancellations are proven to be known; null: there is no proof. */
  coverageAgeMs(now: MonotonicTime): number | null {
    const until = this.cancellationLog.provenUntil(now);
    return until === -Infinity ? null : Math.round(now - until);
  }

  /** Called before a user is told, so that every page of the log sent from then on has it. */
  recordConfirmed(job: JobId): void {
    if (!this.cancellationLog.add(job, monotonicNow())) return;
    const { links, onCancelled } = this.dependencies;
    onCancelled([job]);
    // The heartbeats carry it for certain; this is only sooner, so that nothing of the job is started meanwhile.
    for (const link of links) void link.ask({ kind: 'cancellations', jobs: [job] }, PUSH_TIMEOUT_MS);
  }

  /** A peer tells jobs that it has confirmed just now. */
  onPushed(raw: unknown): void {
    const jobs = parseJobIds(raw);
    if (jobs) this.addAll(jobs);
    else this.onMalformedPage(null, 'not a list of job ids');
  }

  /** How much of the peer's log is held here. */
  positionOf(peer: NodeName): CancellationLogPosition | null {
    return this.cancellationLog.positionOf(peer);
  }

  /** What a peer is told that holds this much of this controller's log. */
  pageAfter(position: CancellationLogPosition | null): CancellationLogPage {
    return this.cancellationLog.pageAfter(position, monotonicNow());
  }

  /** A peer's page, in answer to a heartbeat sent at this instant. */
  onPeerPage(peer: NodeName, page: CancellationLogPage, askedAt: MonotonicTime): void {
    const added = this.cancellationLog.mergePage(peer, page, askedAt, monotonicNow());
    if (added.length > 0) this.dependencies.onCancelled(added);
  }

  /** It is dropped: it proves nothing. */
  onMalformedPage(peer: NodeName | null, cause: string): void {
    const { log } = this.dependencies;
    log.rateLimited('peer-frame', 'info', { peer, cause }, 'malformed cancellations of a peer dropped');
  }

  private addAll(jobs: JobId[]): void {
    const added = jobs.filter((job) => this.cancellationLog.add(job, monotonicNow()));
    if (added.length > 0) this.dependencies.onCancelled(added);
  }

  /** Short reads rather than one long watch: an answer proves something only as of when it was asked for. */
  private async followStore(): Promise<never> {
    let since: Revision | null = null;
    for (;;) {
      const askedAt = monotonicNow();
      const outcome: ReadOutcome = since === null ? await this.readAll() : await this.readSince(since);
      if (outcome.kind === 'ok') {
        since = outcome.storeRevision;
        this.addAll(outcome.cancelled);
        this.cancellationLog.onStoreRead(askedAt);
        this.indexReadAt = askedAt;
      } else if (outcome.kind === 'compacted') since = null;
      await sleep(Math.max(0, askedAt + POLL_MS - monotonicNow()));
    }
  }

  private async readAll(): Promise<ReadOutcome> {
    const listing = await this.dependencies.store.list(keys.jobRecordPrefix);
    if (listing.kind !== 'ok') return { kind: 'no-answer' };
    const { items, storeRevision } = listing.value;
    this.index.clear();
    const cancelled = items.filter((item) => this.indexRecord(item.key, item.data));
    return { kind: 'ok', storeRevision, cancelled: cancelled.map((item) => jobOf(item.key)) };
  }

  private async readSince(since: Revision): Promise<ReadOutcome> {
    const outcome = await this.dependencies.store.changesSince(keys.jobRecordPrefix, since);
    if (outcome.kind !== 'ok') return { kind: outcome.kind === 'gone' ? 'compacted' : 'no-answer' };
    const { changes, storeRevision } = outcome.value;
    const cancelled: JobId[] = [];
    for (const change of changes) {
      if (change.kind === 'deleted') this.index.remove(jobOf(change.key));
      else if (this.indexRecord(change.key, change.data)) cancelled.push(jobOf(change.key));
    }
    return { kind: 'ok', storeRevision, cancelled };
  }

  /** Whether the record says that its job is cancelled. */
  private indexRecord(key: string, data: unknown): boolean {
    const cancelled = isCancelledRecord(data);
    this.index.put(jobOf(key), parseDependencies(data), cancelled);
    return cancelled;
  }
}

const jobOf = (key: string): JobId => key.slice(keys.jobRecordPrefix.length) as JobId;
