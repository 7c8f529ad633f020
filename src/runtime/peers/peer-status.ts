/** What controllers tell one another of themselves with each heartbeat, and what follows from it. */
import { highestKnownTerm } from '../../core/election.js';
import type { NodeName } from '../../core/units.js';
import type { PeerStatus } from '../../wire/peer-messages.js';
import type { HealthCheck } from '../health-check.js';
import type { LeaderElection } from '../leadership/leader-election.js';
import type { LeadershipManager } from '../leadership/leadership-manager.js';
import type { HeartbeatHandler } from '../workers/heartbeat-handler.js';

/** What a status is made of. */
export interface PeerStatusDependencies {
  node: NodeName;
  election: LeaderElection;
  leadership: LeadershipManager;
  heartbeatHandler: HeartbeatHandler;
  health: HealthCheck;
}

/** This controller's status, and those of its peers. */
export class PeerStatusExchange {
  constructor(private readonly dependencies: PeerStatusDependencies) {}

  /** What peers are told. */
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

  /** A peer tells its status. */
  onPeerStatus(status: PeerStatus): void {
    const { election, heartbeatHandler } = this.dependencies;
    const { node, term, leading, holdsLease, reachableLeader, leaderSeenAgoMs } = status;
    if (leaderSeenAgoMs !== null) heartbeatHandler.recordLeaderSeen(leaderSeenAgoMs);
    if (leading || holdsLease) election.updateLeader(node, term);
    if (leading) heartbeatHandler.recordLeaderSeen();
    if (reachableLeader) election.updateLeader(reachableLeader.node, reachableLeader.term);
  }
}
