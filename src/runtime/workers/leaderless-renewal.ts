/**
 * Renews workers' leases while no leader can be reached, for as long as every cancellation that could matter is known
 * here. Tasks of cancelled jobs are stopped: that is final, so it needs no authority.
 */
import type { PlatformSettings } from '../../config/platform.js';
import { highestKnownTerm } from '../../core/election.js';
import type { Heartbeat } from '../../core/heartbeat.js';
import type { Command } from '../../core/worker-command.js';
import type { MonotonicTime } from '../../core/units.js';
import { heartbeatReply } from '../../wire/workers.js';
import type { CancellationFeed } from '../cancellations/cancellation-feed.js';
import type { LeaderElection } from '../leadership/leader-election.js';
import type { Logger } from '../logger.js';
import type { PeerLink } from '../peers/peer-link.js';
import { redirected, answered, unavailable, type HeartbeatResult } from './heartbeat-outcome.js';
import type { WorkerRedirection } from './worker-redirection.js';

/** Taken off the time in which workers go on without a leader. */
const WINDOW_MARGIN_S = 4;

/** What the renewal of leases without a leader depends on. */
export interface LeaderlessRenewalDependencies {
  platform: PlatformSettings;
  election: LeaderElection;
  links: PeerLink[];
  cancellations: Pick<CancellationFeed, 'has' | 'mayRenewLeases'>;
  storeAvailable: () => boolean;
  redirection: WorkerRedirection;
  log: Logger;
}

/** Decides for each worker whether its lease is renewed without a leader. */
export class LeaderlessRenewal {
  private leaderSeenAt = -Infinity;

  constructor(private readonly dependencies: LeaderlessRenewalDependencies) {}

  /** There was a leader at this time: the renewal of leases without one is bounded from here. */
  recordLeaderSeen(at: number): void {
    this.leaderSeenAt = Math.max(this.leaderSeenAt, at);
  }

  /** How long ago a leader was last known to exist; null if none ever was. */
  leaderSeenAgoMs(now: MonotonicTime): number | null {
    return this.leaderSeenAt === -Infinity ? null : now - this.leaderSeenAt;
  }

  /** The answer to a worker whose heartbeat reaches no leader. */
  answer(heartbeat: Heartbeat, now: MonotonicTime): HeartbeatResult {
    const result = this.decide(heartbeat, now);
    const { id: machine, incarnation, sequence, fencingToken } = heartbeat;
    const { outcome } = result;
    const cancellationsKnown = this.dependencies.cancellations.mayRenewLeases(now);
    const leaderSeenAgoMs = this.leaderSeenAgoMs(now);
    this.dependencies.log.debug(
      { machine, incarnation, sequence, fencingToken, outcome, cancellationsKnown, leaderSeenAgoMs },
      'heartbeat answered without a leader',
    );
    return result;
  }

  private decide(heartbeat: Heartbeat, now: MonotonicTime): HeartbeatResult {
    const { cancellations, storeAvailable, redirection, election } = this.dependencies;
    if (!cancellations.mayRenewLeases(now)) return unavailable();
    // The key-value store answers, and yet no leader for long: the worker may well reach one where we can't.
    if (storeAvailable() && now - this.leaderSeenAt > this.windowMs) return unavailable();
    // Partitioned from everybody but the workers: another controller may lead, and they can reach it. If none
    // answers them they come back, and their leases are renewed.
    if (this.isIsolated(now) && redirection.tryClaimRedirect(heartbeat.id, now)) return redirected(null);
    const term = highestKnownTerm(election.electionState);
    // A token above ours: another controller has a newer leader. A worker that comes back has found none, and is
    // answered under the token that it has, since a lower one would hold it here in vain.
    const newerLeader = heartbeat.fencingToken > term;
    if (newerLeader && (storeAvailable() || redirection.tryClaimRedirect(heartbeat.id, now)))
      return redirected(null);
    const fencingToken = newerLeader ? heartbeat.fencingToken : term;
    return answered(
      'lease renewed without a leader',
      heartbeatReply(fencingToken, this.stopCancelled(heartbeat)),
    );
  }

  private stopCancelled({ tasks }: Heartbeat): Command[] {
    const stops: Command[] = [];
    for (const { state, job, index, attempt } of tasks) {
      if (state === 'exited' || !this.dependencies.cancellations.has(job)) continue;
      stops.push({ op: 'stop', job, index, attempt, gracePeriodS: 0 });
    }
    return stops;
  }

  private get windowMs(): number {
    const { cancelS, leaseS, heartbeatIntervalS } = this.dependencies.platform.workers;
    return (cancelS - leaseS - 2 * heartbeatIntervalS - WINDOW_MARGIN_S) * 1000;
  }

  private isIsolated(now: MonotonicTime): boolean {
    const { links, storeAvailable } = this.dependencies;
    return !storeAvailable() && links.length > 0 && !links.some((link) => link.isAlive(now));
  }
}
