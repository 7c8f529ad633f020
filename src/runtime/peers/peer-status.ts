/** The status that controllers exchange with each heartbeat. */
import { highestKnownTerm } from '../../core/election.js';
import type { NodeName } from '../../core/units.js';
import type { PeerStatus } from '../../wire/peer-messages.js';
import type { HealthCheck } from '../health-check.js';
import type { LeaderElection } from '../leadership/leader-election.js';
import type { LeadershipManager } from '../leadership/leadership-manager.js';
import type { HeartbeatHandler } from '../workers/heartbeat-handler.js';

/** Sources and receivers of status information. */
export interface PeerStatusDependencies {
  node: NodeName;
  election: LeaderElection;
  leadership: LeadershipManager;
  heartbeatHandler: HeartbeatHandler;
  health: HealthCheck;
}

/** Builds this controller's status, and applies the status of its peers. */
export class PeerStatusExchange {
  constructor(private readonly dependencies: PeerStatusDependencies) {}

  /** The status that this controller reports to its peers. */
  ownStatus(): PeerStatus {
    const { node, election, leadership, heartbeatHandler, health } = this.dependencies;
    return {
      node,
      leading: election.hasAuthority && leadership.leaderLoop !== null,
      holdsLease: election.holdsLease && leadership.leader !== null,
      term: highestKnownTerm(election.electionState),
      reachableLeader: heartbeatHandler.reachableLeader,
      storeAvailable: health.isStoreAvailable(),
      receivesHeartbeats: heartbeatHandler.receivesHeartbeats,
      leaderSeenAgoMs: heartbeatHandler.leaderSeenAgoMs,
    };
  }

  /** Applies the status that a peer reports: records the leader that it names. */
  onPeerStatus(status: PeerStatus): void {
    const { election, heartbeatHandler } = this.dependencies;
    const { node, term, leading, holdsLease, reachableLeader, leaderSeenAgoMs } = status;
    if (leaderSeenAgoMs !== null) heartbeatHandler.recordLeaderSeen(leaderSeenAgoMs);
    if (leading || holdsLease) election.updateLeader(node, term);
    if (leading) heartbeatHandler.recordLeaderSeen();
    if (reachableLeader) election.updateLeader(reachableLeader.node, reachableLeader.term);
  }
}
