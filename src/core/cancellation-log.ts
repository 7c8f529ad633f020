/** The jobs whose cancellation was confirmed to users, and the time up to which this log of them is complete. */
import { CLOCK_DRIFT_FRACTION } from './clock-drift.js';
import type { JobId, NodeName, MonotonicTime } from './units.js';

/** Maximum number of entries in a page. The peer gets the remaining entries with its next request. */
const MAX_PAGE_ENTRIES = 2000;

/** Identifies one run of a controller process, whose log is lost when the process ends. */
export type ControllerIncarnation = string & { readonly incarnation: unique symbol };

/** How much of a peer's log this controller holds. */
export interface CancellationLogPosition {
  incarnation: ControllerIncarnation;
  position: number;
}

/** A page of a peer's log, in response to a request that contains the requester's position in that log. */
export interface CancellationLogPage {
  incarnation: ControllerIncarnation;
  /** The position of the first entry in `jobs`. */
  from: number;
  jobs: JobId[];
  /** The end position of the log. If it is greater than `from + jobs.length`, there are further pages. */
  end: number;
  /** Age of the instant up to which the sender's log is proven complete; null if the sender has no proof. */
  completeAgoMs: number | null;
}

interface PeerLog extends CancellationLogPosition {
  /** Every cancellation that the peer confirmed between these instants is in this controller's log. */
  completeFrom: MonotonicTime;
  completeUntil: MonotonicTime;
}

/**
 * Guards against a controller that keeps a cancelled task alive because the cancellation could not reach it. Each
 * controller logs the cancelled jobs that it knows. It adds a job before it confirms the cancellation to a user, and
 * merges the cancellations in the key-value store's records and in its peers' logs. From the times at which it *sent*
 * the requests for these it derives `completeUntil`: this log has every cancellation that any controller confirmed
 * until then.
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
    /** How long entries are kept. After this time no task of the job can remain on any machine. */
    private readonly retentionMs: number,
  ) {
    this.peers = new Set(peers);
  }

  /** Adds a cancelled job; returns false if it was known already. */
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
  cancellationLearnedAt(job: JobId): MonotonicTime | undefined {
    return this.learnedAt.get(job);
  }

  /** Whether any cancellation became known at or after `from` and before `until`. */
  anyLearnedBetween(from: MonotonicTime, until: MonotonicTime): boolean {
    for (const at of this.learnedAt.values()) if (at >= from && at < until) return true;
    return false;
  }

  /** The jobs known to be cancelled. */
  get jobs(): Iterable<JobId> {
    return this.learnedAt.keys();
  }

  /** Every cancellation confirmed up to this instant is in this log; -Infinity in a process that has just started. */
  provenUntil(now: MonotonicTime): MonotonicTime {
    // Without peers, no other controller confirms cancellations. Those that an earlier process of this controller
    // confirmed are in the first response of the key-value store.
    if (this.peers.size === 0 && this.completeUntil > -Infinity) return now;
    return this.completeUntil;
  }

  /**
   * Records that the key-value store answered a request sent at this instant and that all cancelled records in the
   * response were added. Every cancellation confirmed before the request was stored before it.
   */
  onStoreRead(requestSentAt: MonotonicTime): void {
    this.advance(requestSentAt);
  }

  /** How much of the peer's log this controller holds, for the next request to the peer; null if it holds nothing. */
  positionOf(peer: NodeName): CancellationLogPosition | null {
    const log = this.peerLogs.get(peer);
    return log ? { incarnation: log.incarnation, position: log.position } : null;
  }

  /** The page of this log that follows the requester's position. */
  pageAfter(requesterPosition: CancellationLogPosition | null, now: MonotonicTime): CancellationLogPage {
    const known = requesterPosition?.incarnation === this.incarnation ? requesterPosition.position : 0;
    const from = Math.max(this.firstPosition, Math.min(known, this.end));
    const firstIndex = from - this.firstPosition;
    const jobs = this.entries.slice(firstIndex, firstIndex + MAX_PAGE_ENTRIES);
    const completeAgoMs = this.completeUntil === -Infinity ? null : now - this.completeUntil;
    return { incarnation: this.incarnation, from, jobs, end: this.end, completeAgoMs };
  }

  /** Merges a peer's response to a request sent at `requestSentAt`; returns the jobs that were not known before. */
  mergePage(
    peer: NodeName,
    page: CancellationLogPage,
    requestSentAt: MonotonicTime,
    now: MonotonicTime,
  ): JobId[] {
    if (!this.peers.has(peer)) return [];
    const added = page.jobs.filter((job) => this.add(job, now));
    let log = this.peerLogs.get(peer);
    if (log?.incarnation !== page.incarnation) {
      // Cancellations that the peer's previous process confirmed last may be missing here, so the proof covers only
      // those confirmed from now on.
      log = {
        incarnation: page.incarnation,
        position: page.from,
        completeFrom: now,
        completeUntil: requestSentAt,
      };
      this.peerLogs.set(peer, log);
    }
    // The peer has dropped entries before `page.from` because of their age; they no longer matter.
    log.position = Math.max(log.position, page.from + page.jobs.length);
    if (log.position < page.end) return added;
    log.completeUntil = Math.max(log.completeUntil, requestSentAt) as MonotonicTime;
    // All of the peer's log is held here, so the peer's proof holds for this log, too.
    if (page.completeAgoMs !== null) {
      const completeAgoMs = Math.max(0, page.completeAgoMs) * (1 + CLOCK_DRIFT_FRACTION);
      this.advance((requestSentAt - completeAgoMs) as MonotonicTime);
    }
    this.advanceByPeerLogs();
    return added;
  }

  /** Advances if the logs of all peers are held here without a gap since the instant that is already proven. */
  private advanceByPeerLogs(): void {
    let until = Infinity;
    for (const peer of this.peers) {
      const log = this.peerLogs.get(peer);
      if (!log || log.completeFrom > this.completeUntil) return;
      until = Math.min(until, log.completeUntil);
    }
    if (until < Infinity) this.advance(until as MonotonicTime);
  }

  private advance(to: MonotonicTime): void {
    if (to > this.completeUntil) this.completeUntil = to;
  }

  private get end(): number {
    return this.firstPosition + this.entries.length;
  }

  /** Bounds the log by age, and thereby by the rate at which the key-value store accepts cancellations. */
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

/** Entries are kept for this multiple of `cancel_s`. */
const RETENTION_CANCEL_PERIODS = 4;

/** How long entries are kept. */
export const cancellationRetentionMs = (cancelS: number): number => cancelS * 1000 * RETENTION_CANCEL_PERIODS;

/** Margin between the end of a lease on the worker's clock and the end of its tasks as seen by others. */
const TASK_END_MARGIN_MS = 1500;

/**
 * How long after `provenUntil` a heartbeat may still be answered with 200. A cancellation unknown at that time was
 * confirmed after `provenUntil`. The response keeps the worker's tasks running for at most one lease from the sending
 * of the heartbeat, which ends within `cancel_s` of the confirmation.
 */
export const renewalWindowMs = (cancelS: number, leaseS: number): number => {
  const afterLeaseS = cancelS - leaseS * (1 + CLOCK_DRIFT_FRACTION);
  return afterLeaseS * 1000 * (1 - CLOCK_DRIFT_FRACTION) - TASK_END_MARGIN_MS;
};
