/**
 * Renews workers' leases while no leader can be reached, as long as this controller knows every cancellation that could
 * affect them. Tasks of cancelled jobs are stopped; this needs no authority, because a cancellation is final.
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
import { redirected, leaseRenewed, unavailable, type HeartbeatResult } from './heartbeat-outcome.js';
import type { WorkerRedirection } from './worker-redirection.js';

const MS_PER_S = 1000;
/** Safety margin, subtracted from the time in which leases are renewed without a leader. */
const LEADERLESS_MARGIN_S = 4;

/** Dependencies of the lease renewal without a leader. */
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

  /** Records that there was a leader at this time, from which the renewal of leases without a leader is bounded. */
  recordLeaderSeen(at: number): void {
    this.leaderSeenAt = Math.max(this.leaderSeenAt, at);
  }

  /** How long ago a leader was last known to exist; null if none ever was. */
  leaderSeenAgoMs(now: MonotonicTime): number | null {
    return this.leaderSeenAt === -Infinity ? null : now - this.leaderSeenAt;
  }

  /** Returns the reply to a heartbeat that can't be forwarded to a leader. */
  respond(heartbeat: Heartbeat, now: MonotonicTime): HeartbeatResult {
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
    // The key-value store is available, but no leader was seen for a long time: the worker may be able to reach a
    // leader that this controller can't reach.
    if (storeAvailable() && now - this.leaderSeenAt > this.maxLeaderlessMs) return unavailable();
    // Neither the store nor a peer can be reached. Another controller may lead, and the worker may be able to reach it.
    // If no other controller accepts the worker, it returns to this one and its lease is renewed.
    if (this.isIsolated(now) && redirection.tryClaimRedirect(heartbeat.id, now)) return redirected(null);
    const term = highestKnownTerm(election.electionState);
    // A fencing token above the known term means that another controller has a newer leader. A worker that returns
    // after a redirect has not found that leader. It gets its own token in the reply, because it would ignore a lower
    // one and still stay at this controller.
    const newerLeader = heartbeat.fencingToken > term;
    if (newerLeader && (storeAvailable() || redirection.tryClaimRedirect(heartbeat.id, now)))
      return redirected(null);
    const fencingToken = newerLeader ? heartbeat.fencingToken : term;
    return leaseRenewed(
      'lease renewed without a leader',
      heartbeatReply(fencingToken, this.stopCommandsForCancelled(heartbeat)),
    );
  }

  private stopCommandsForCancelled({ tasks }: Heartbeat): Command[] {
    const commands: Command[] = [];
    for (const { state, job, index, attempt } of tasks) {
      if (state === 'exited' || !this.dependencies.cancellations.has(job)) continue;
      commands.push({ op: 'stop', job, index, attempt, gracePeriodS: 0 });
    }
    return commands;
  }

  private get maxLeaderlessMs(): number {
    const { cancelS, leaseS, heartbeatIntervalS } = this.dependencies.platform.workers;
    return (cancelS - leaseS - 2 * heartbeatIntervalS - LEADERLESS_MARGIN_S) * MS_PER_S;
  }

  private isIsolated(now: MonotonicTime): boolean {
    const { links, storeAvailable } = this.dependencies;
    return !storeAvailable() && links.length > 0 && !links.some((link) => link.isAlive(now));
  }
}
