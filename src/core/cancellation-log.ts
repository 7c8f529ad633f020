/**
 * Which jobs' cancellations were confirmed to users, and up to which instant this controller has proof that it knows
 * them all.
 */
import { CLOCK_DRIFT_FRACTION } from './clock-drift.js';
import type { JobId, NodeName, MonotonicTime } from './units.js';

/** Entries a peer is sent at once; what is left follows with the next request. */
const MAX_PAGE_ENTRIES = 2000;

/** One run of a controller process: what it remembers ends with it. */
export type ControllerIncarnation = string & { readonly incarnation: unique symbol };

/** How much of a peer's log this controller holds. */
export interface CancellationLogPosition {
  incarnation: ControllerIncarnation;
  position: number;
}

/** A peer's answer to a request that says how much of its log the requester holds. */
export interface CancellationLogPage {
  incarnation: ControllerIncarnation;
  /** The position of the first job below. */
  from: number;
  jobs: JobId[];
  /** Where the log ends; beyond from + jobs.length there is more to ask for. */
  end: number;
  /** How long ago the instant is up to which it knows every cancellation; null: it can prove none. */
  completeAgoMs: number | null;
}

interface PeerLog extends CancellationLogPosition {
  /** All that the peer confirmed between these instants is in this controller's log. */
  from: MonotonicTime;
  until: MonotonicTime;
}

/**
 * Guards against a cancelled task that is kept alive by a controller which can't have heard of the cancellation.
 * Each controller keeps a log of the cancelled jobs it knows. It adds a job there before it confirms the cancellation to
 * a user; and it takes over what the key-value store's records and its peers' logs say. From the instants at which it
 * *asked*, it derives `completeUntil`: every cancellation that any controller confirmed until then is in this log.
 */
export class CancellationLog {
  private readonly learnedAt = new Map<JobId, MonotonicTime>();
  private entries: JobId[] = [];
  /** The position of the first entry that is still kept. */
  private firstPosition = 0;
  private completeUntil = -Infinity as MonotonicTime;
  private readonly peerLogs = new Map<NodeName, PeerLog>();
  private readonly peers: ReadonlySet<NodeName>;

  constructor(
    private readonly incarnation: ControllerIncarnation,
    peers: NodeName[],
    /** For so long an entry can matter: after it, no task of the job can be left anywhere. */
    private readonly retentionMs: number,
  ) {
    this.peers = new Set(peers);
  }

  /** Adds a cancelled job; false if it is known already. */
  add(job: JobId, now: MonotonicTime): boolean {
    if (this.learnedAt.has(job)) return false;
    this.learnedAt.set(job, now);
    this.entries.push(job);
    this.dropExpired(now);
    return true;
  }

  /** Whether the job is known to be cancelled. */
  has(job: JobId): boolean {
    return this.learnedAt.has(job);
  }

  /** When this controller learned that the job is cancelled. */
  learnedAtOf(job: JobId): MonotonicTime | undefined {
    return this.learnedAt.get(job);
  }

  /** Whether any cancellation was learned from the one instant on and before the other. */
  anyLearnedBetween(from: MonotonicTime, until: MonotonicTime): boolean {
    for (const at of this.learnedAt.values()) if (at >= from && at < until) return true;
    return false;
  }

  /** The jobs known to be cancelled. */
  get jobs(): Iterable<JobId> {
    return this.learnedAt.keys();
  }

  /** Every cancellation confirmed until this instant is known here; -Infinity in a process that has just begun. */
  provenUntil(now: MonotonicTime): MonotonicTime {
    // Without peers no other controller confirms any; those of an earlier process are in the store's first answer.
    if (this.peers.size === 0 && this.completeUntil > -Infinity) return now;
    return this.completeUntil;
  }

  /**
   * The key-value store answered a request sent at this instant, and all cancelled records in the answer were added:
   * whatever was confirmed before was recorded before.
   */
  onStoreRead(askedAt: MonotonicTime): void {
    this.advance(askedAt);
  }

  /** What the next request to the peer says this controller holds; null: nothing. */
  positionOf(peer: NodeName): CancellationLogPosition | null {
    const log = this.peerLogs.get(peer);
    return log ? { incarnation: log.incarnation, position: log.position } : null;
  }

  /** The answer to a peer that holds so much of this log. */
  pageAfter(have: CancellationLogPosition | null, now: MonotonicTime): CancellationLogPage {
    const known = have?.incarnation === this.incarnation ? have.position : 0;
    const from = Math.max(this.firstPosition, Math.min(known, this.end));
    const firstIndex = from - this.firstPosition;
    const jobs = this.entries.slice(firstIndex, firstIndex + MAX_PAGE_ENTRIES);
    const completeAgoMs = this.completeUntil === -Infinity ? null : now - this.completeUntil;
    return { incarnation: this.incarnation, from, jobs, end: this.end, completeAgoMs };
  }

  /** Takes over a peer's answer to a request sent at `askedAt`; returns the jobs that were not known. */
  mergePage(peer: NodeName, page: CancellationLogPage, askedAt: MonotonicTime, now: MonotonicTime): JobId[] {
    if (!this.peers.has(peer)) return [];
    const added = page.jobs.filter((job) => this.add(job, now));
    let log = this.peerLogs.get(peer);
    if (log?.incarnation !== page.incarnation) {
      // What the peer's earlier process confirmed last may be unknown here: only what it says from now on counts.
      log = { incarnation: page.incarnation, position: page.from, from: now, until: askedAt };
      this.peerLogs.set(peer, log);
    }
    // Entries before `from` that are missing here were dropped there for their age: they matter no more.
    log.position = Math.max(log.position, page.from + page.jobs.length);
    if (log.position < page.end) return added;
    log.until = Math.max(log.until, askedAt) as MonotonicTime;
    // What the peer has proof of holds here too, since all of its log is here.
    if (page.completeAgoMs !== null) {
      const completeAgoMs = Math.max(0, page.completeAgoMs) * (1 + CLOCK_DRIFT_FRACTION);
      this.advance((askedAt - completeAgoMs) as MonotonicTime);
    }
    this.advanceByPeerLogs();
    return added;
  }

  /** Advances if every peer's log is here without a gap since the instant that is proven already. */
  private advanceByPeerLogs(): void {
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
    return this.firstPosition + this.entries.length;
  }

  /** Bounds the log by age, and so by the rate at which the key-value store takes cancellations. */
  private dropExpired(now: MonotonicTime): void {
    let expired = 0;
    while (expired < this.entries.length && this.isExpired(this.entries[expired], now)) expired++;
    if (expired === 0) return;
    for (const job of this.entries.splice(0, expired)) this.learnedAt.delete(job);
    this.firstPosition += expired;
  }

  private isExpired(job: JobId, now: MonotonicTime): boolean {
    return now - this.learnedAt.get(job)! > this.retentionMs;
  }
}

/** Log entries are kept for this many times `cancel_s`. */
const RETENTION_CANCELS = 4;

/** For how long entries are kept. */
export const cancellationRetentionMs = (cancelS: number): number => cancelS * 1000 * RETENTION_CANCELS;

/** Between the lease's end on the worker's clock and the tasks' end as others see it. */
const TASK_END_MARGIN_MS = 1500;

/**
 * How long after `provenUntil` a heartbeat may still be answered 200. What is not known then was confirmed later than
 * that instant; the answer keeps the tasks for at most a lease from the heartbeat's sending, and so until before
 * `cancel_s` after the confirmation.
 */
export const renewalWindowMs = (cancelS: number, leaseS: number): number => {
  const afterLeaseS = cancelS - leaseS * (1 + CLOCK_DRIFT_FRACTION);
  return afterLeaseS * 1000 * (1 - CLOCK_DRIFT_FRACTION) - TASK_END_MARGIN_MS;
};
