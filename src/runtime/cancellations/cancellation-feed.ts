// Keeps the log of cancelled jobs up to date, from the state service, from peers, and from what we confirm ourselves; and
// with it an index of the unfinished jobs, from the same reads of the state service.
import { randomBytes } from 'node:crypto';
import type { Logger } from '../logger.js';
import type { PeerLink } from '../peers/peer-link.js';
import type { KeyValueStoreClient } from '../key-value-store/key-value-store-client.js';
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
import type { Uint64, JobId, NodeName, MonotonicTime } from '../../core/units.js';
import { parseCancelledJobs } from '../../wire/cancellation-pages.js';
import { dependenciesIn, keys, isCancelledRecord } from '../../wire/key-value-store.js';

const steady = (): MonotonicTime => performance.now() as MonotonicTime;
const sleep = (ms: number): Promise<void> => new Promise((r) => setTimeout(r, ms));
const POLL_MS = 1000;
const PUSH_TIMEOUT_MS = 1000;
/** What is known of jobs is taken for present for this part of `cancel_s`: users see a cancellation in time. */
const FRESH_CANCELS = 0.25;

/** 'none': no answer; 'too old': what has changed since is not kept any more. */
type Read = { ledger: Uint64; cancelled: JobId[] } | 'none' | 'too old';

export class CancellationFeed {
  private readonly log: CancellationLog;
  private readonly windowMs: number;
  private readonly freshMs: number;
  private readonly index = new JobIndex();
  private indexReadAt = -Infinity;

  constructor(
    platform: PlatformSettings,
    private readonly store: KeyValueStoreClient,
    private readonly links: PeerLink[],
    private readonly logger: Logger,
    private readonly onNews: (jobs: JobId[]) => void,
  ) {
    const { cancelS, leaseS } = platform.workers;
    this.log = new CancellationLog(
      randomBytes(9).toString('base64url') as Incarnation,
      platform.peers.map((p) => p.name),
      cancellationRetentionMs(cancelS),
    );
    this.freshMs = cancelS * 1000 * FRESH_CANCELS;
    this.windowMs = renewalWindowMs(cancelS, leaseS);
  }

  start(): void {
    void this.follow();
  }

  has(job: JobId): boolean {
    return this.log.has(job);
  }

  /** What is known of an unfinished job; undefined also for one accepted a moment ago. */
  indexed(job: JobId): IndexedJob | undefined {
    return this.index.get(job);
  }

  /** Every cancellation is known that was confirmed longer than a part of `cancel_s` ago. */
  isFresh(): boolean {
    const now = steady();
    return now - Math.min(this.indexReadAt, this.log.provenUntil(now)) <= this.freshMs;
  }

  learnedAtOf(job: JobId): MonotonicTime | undefined {
    return this.log.learnedAtOf(job);
  }

  anyLearnedBetween(from: MonotonicTime, until: MonotonicTime): boolean {
    return this.log.anyLearnedBetween(from, until);
  }

  get jobs(): Iterable<JobId> {
    return this.log.jobs;
  }

  /** Whether a report may be answered 200: no cancelled task that is unknown here would be kept beyond its time. */
  mayRenewLeases(now: MonotonicTime): boolean {
    return now <= this.log.provenUntil(now) + this.windowMs;
  }

  /** How far behind the proof is; null: there is none. For the log and the status page. */
  coverageAgeMs(now: MonotonicTime): number | null {
    const until = this.log.provenUntil(now);
    return until === -Infinity ? null : Math.round(now - until);
  }

  /** Called before a user is told, so that every statement made from then on has it. */
  recordConfirmed(job: JobId): void {
    if (!this.log.add(job, steady())) return;
    this.onNews([job]);
    // The heartbeats carry it for certain; this is only sooner, so that nothing of the job is started meanwhile.
    for (const link of this.links) void link.ask({ kind: 'cancellations', jobs: [job] }, PUSH_TIMEOUT_MS);
  }

  onPushed(raw: unknown): void {
    const jobs = parseCancelledJobs(raw);
    if (jobs) this.addAll(jobs);
    else this.onMalformedPage(null, 'not a list of job ids');
  }

  positionOf(peer: NodeName): CancellationLogPosition | null {
    return this.log.positionOf(peer);
  }

  pageAfter(have: CancellationLogPosition | null): CancellationLogPage {
    return this.log.pageAfter(have, steady());
  }

  onPeerPage(peer: NodeName, s: CancellationLogPage, askedAt: MonotonicTime): void {
    const news = this.log.mergePage(peer, s, askedAt, steady());
    if (news.length > 0) this.onNews(news);
  }

  onMalformedPage(peer: NodeName | null, cause: string): void {
    this.logger.rateLimited('peer-frame', 'info', { peer, cause }, 'malformed word of cancellations dropped');
  }

  private addAll(jobs: JobId[]): void {
    const news = jobs.filter((j) => this.log.add(j, steady()));
    if (news.length > 0) this.onNews(news);
  }

  /** Short questions rather than one long watch: an answer proves something only as of when it was asked for. */
  private async follow(): Promise<void> {
    let since: Uint64 | null = null;
    for (;;) {
      const askedAt = steady();
      const r: Read = since === null ? await this.readAll() : await this.readSince(since);
      if (typeof r === 'string') {
        if (r === 'too old') since = null;
      } else {
        since = r.ledger;
        this.addAll(r.cancelled);
        this.log.onStoreRead(askedAt);
        this.indexReadAt = askedAt;
      }
      await sleep(Math.max(0, askedAt + POLL_MS - steady()));
    }
  }

  private async readAll(): Promise<Read> {
    const r = await this.store.list(keys.activePrefix);
    if (r.kind !== 'ok') return 'none';
    this.index.clear();
    const cancelled = r.value.items.filter((item) => this.record(item.key, item.data));
    return { ledger: r.value.ledger, cancelled: cancelled.map((item) => jobOf(item.key)) };
  }

  private async readSince(since: Uint64): Promise<Read> {
    const r = await this.store.changesSince(keys.activePrefix, since);
    if (r.kind !== 'ok') return r.kind === 'gone' ? 'too old' : 'none';
    const cancelled: JobId[] = [];
    for (const change of r.value.log) {
      if ('delete' in change) this.index.remove(jobOf(change.delete));
      else if (this.record(change.put, change.data)) cancelled.push(jobOf(change.put));
    }
    return { ledger: r.value.ledger, cancelled };
  }

  /** Whether the record says that its job is cancelled. */
  private record(key: string, data: unknown): boolean {
    const cancelled = isCancelledRecord(data);
    this.index.put(jobOf(key), dependenciesIn(data), cancelled);
    return cancelled;
  }
}

const jobOf = (key: string): JobId => key.slice(keys.activePrefix.length) as JobId;
