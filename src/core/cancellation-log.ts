// Which jobs users were told are cancelled, and up to which instant this controller knows that it knows them all.
import type { JobId, NodeName, MonotonicTime } from './units.js';

/** Two steady clocks may drift apart by 0.05%; twice that, as for leases. */
const CLOCK_DRIFT = 0.001;
/** Entries a peer is sent at once; what is left follows with the next question. */
const PAGE = 2000;

/** One run of a controller process: what it remembers ends with it. */
export type Incarnation = string & { readonly incarnation: unique symbol };

/** How much of a peer's log we hold. */
export interface CancellationLogPosition {
  incarnation: Incarnation;
  position: number;
}

/** A peer's word, in answer to a question that says how much of its log the asker holds. */
export interface CancellationLogPage {
  incarnation: Incarnation;
  /** The position of the first job below. */
  from: number;
  jobs: JobId[];
  /** Where the log ends; beyond from + jobs.length there is more to ask for. */
  end: number;
  /** How long ago the instant is up to which it knows every cancellation; null: it can prove none. */
  completeAgoMs: number | null;
}

interface PeerLog extends CancellationLogPosition {
  /** All that the peer confirmed between these instants is in our log. */
  from: MonotonicTime;
  until: MonotonicTime;
}

/**
 * Guards against a cancelled task that is kept alive by a controller which can't have heard of the cancellation.
 * Each controller keeps a log of the cancelled jobs it knows. It writes there before it tells a user; and it takes
 * over what the state service's records and its peers' logs say. From the instants at which it *asked*, it derives
 * `completeUntil`: every cancellation that any controller confirmed until then is in this log.
 */
export class CancellationLog {
  private readonly learnedAt = new Map<JobId, MonotonicTime>();
  private log: JobId[] = [];
  /** The position of the first entry that is still kept. */
  private first = 0;
  private completeUntil = -Infinity as MonotonicTime;
  private readonly peerLogs = new Map<NodeName, PeerLog>();
  private readonly peers: ReadonlySet<NodeName>;

  constructor(
    private readonly incarnation: Incarnation,
    peers: NodeName[],
    /** For so long an entry can matter: after it, no task of the job can be left anywhere. */
    private readonly retentionMs: number,
  ) {
    this.peers = new Set(peers);
  }

  /** True if this is news. */
  add(job: JobId, now: MonotonicTime): boolean {
    if (this.learnedAt.has(job)) return false;
    this.learnedAt.set(job, now);
    this.log.push(job);
    this.forgetOld(now);
    return true;
  }

  has(job: JobId): boolean {
    return this.learnedAt.has(job);
  }

  learnedAtOf(job: JobId): MonotonicTime | undefined {
    return this.learnedAt.get(job);
  }

  anyLearnedBetween(from: MonotonicTime, until: MonotonicTime): boolean {
    for (const at of this.learnedAt.values()) if (at >= from && at < until) return true;
    return false;
  }

  get jobs(): Iterable<JobId> {
    return this.learnedAt.keys();
  }

  /** Every cancellation confirmed until this instant is known here; -Infinity in a process that has just begun. */
  provenUntil(now: MonotonicTime): MonotonicTime {
    // Alone, it is the only one that confirms any; what its process before this one did, the first read has told.
    if (this.peers.size === 0 && this.completeUntil > -Infinity) return now;
    return this.completeUntil;
  }

  /**
   * The state service answered a question asked at this instant, and all cancelled records in it were added: whatever
   * was confirmed before was recorded before.
   */
  onStoreRead(askedAt: MonotonicTime): void {
    this.advance(askedAt);
  }

  /** What a peer is asked with. */
  positionOf(peer: NodeName): CancellationLogPosition | null {
    const log = this.peerLogs.get(peer);
    return log ? { incarnation: log.incarnation, position: log.position } : null;
  }

  pageAfter(have: CancellationLogPosition | null, now: MonotonicTime): CancellationLogPage {
    const known = have?.incarnation === this.incarnation ? have.position : 0;
    const from = Math.max(this.first, Math.min(known, this.end));
    const jobs = this.log.slice(from - this.first, from - this.first + PAGE);
    const completeAgoMs = this.completeUntil === -Infinity ? null : now - this.completeUntil;
    return { incarnation: this.incarnation, from, jobs, end: this.end, completeAgoMs };
  }

  /** Returns the jobs that are news. */
  mergePage(peer: NodeName, s: CancellationLogPage, askedAt: MonotonicTime, now: MonotonicTime): JobId[] {
    if (!this.peers.has(peer)) return [];
    const news = s.jobs.filter((job) => this.add(job, now));
    let log = this.peerLogs.get(peer);
    if (log?.incarnation !== s.incarnation) {
      // What its process before this one confirmed last may be unknown to us: only what it says from now on counts.
      log = { incarnation: s.incarnation, position: s.from, from: now, until: askedAt };
      this.peerLogs.set(peer, log);
    }
    // Entries before `from` that we lack were dropped there for their age: they matter no more.
    log.position = Math.max(log.position, s.from + s.jobs.length);
    if (log.position < s.end) return news;
    log.until = Math.max(log.until, askedAt) as MonotonicTime;
    // What the peer knows, we know now too.
    if (s.completeAgoMs !== null)
      this.advance((askedAt - Math.max(0, s.completeAgoMs) * (1 + CLOCK_DRIFT)) as MonotonicTime);
    this.combine();
    return news;
  }

  /** Every peer has said what it confirmed, without a gap since the instant that is proven already. */
  private combine(): void {
    let until = Infinity;
    for (const peer of this.peers) {
      const log = this.peerLogs.get(peer);
      if (!log || log.from > this.completeUntil) return;
      until = Math.min(until, log.until);
    }
    if (until < Infinity) this.advance(until as MonotonicTime);
  }

  private advance(to: MonotonicTime): void {
    if (to > this.completeUntil) this.completeUntil = to;
  }

  private get end(): number {
    return this.first + this.log.length;
  }

  /** Bounded by age, and so by the rate at which the state service takes cancellations. */
  private forgetOld(now: MonotonicTime): void {
    let drop = 0;
    while (drop < this.log.length && now - this.learnedAt.get(this.log[drop])! > this.retentionMs) drop++;
    if (drop === 0) return;
    for (const job of this.log.splice(0, drop)) this.learnedAt.delete(job);
    this.first += drop;
  }
}

/** Log entries are kept for this many times `cancel_s`. */
const KEPT_CANCELS = 4;
export const cancellationRetentionMs = (cancelS: number): number => cancelS * 1000 * KEPT_CANCELS;

/** Between the lease's end on the worker's clock and the tasks' end as others see it. */
const MARGIN_MS = 1500;

/**
 * How long after `provenUntil` a report may still be answered 200. What is not known then was confirmed later than
 * that instant; the answer keeps the tasks for at most a lease from the report's sending, and so until before
 * `cancel_s` after the confirmation.
 */
export const renewalWindowMs = (cancelS: number, leaseS: number): number =>
  (cancelS - leaseS * (1 + CLOCK_DRIFT)) * 1000 * (1 - CLOCK_DRIFT) - MARGIN_MS;
