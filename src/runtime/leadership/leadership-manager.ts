/** Starts and stops this controller's leaderships according to the leader election. */
import type { Leader } from '../../core/leader/leader.js';
import { monotonicNow } from '../clock.js';
import type { ImageLocationStore } from '../peers/image-locations.js';
import type { PeerLink } from '../peers/peer-link.js';
import { LeaderLoop, type LeaderLoopDependencies } from './leader-loop.js';

/** Fraction of the store's rate limits that the leader may use. */
const LEADER_BUDGET_SHARE = 0.6;
/** Upper bound of the fraction that a follower may use. */
const MAX_FOLLOWER_BUDGET_SHARE = 0.4;
/** A leader without any heartbeat for this many intervals, plus a margin, counts as unreachable. */
const UNREACHABLE_INTERVALS = 2.5;
const UNREACHABLE_MARGIN_MS = 2500;
const MS_PER_S = 1000;

/** Larger than an equal share, because user requests arrive in bursts. */
const followerBudgetShare = (peers: number): number => Math.min(MAX_FOLLOWER_BUDGET_SHARE, 1 / peers);

/** Dependencies of all leaderships. */
export interface LeadershipManagerDependencies extends Omit<LeaderLoopDependencies, 'imageLocations'> {
  links: readonly PeerLink[];
  imageLocations: ImageLocationStore;
}

/** Runs at most one leadership at a time. */
export class LeadershipManager {
  /** Null while this controller doesn't lead. */
  leaderLoop: LeaderLoop | null = null;
  private readonly followerBudgetShare: number;

  constructor(private readonly dependencies: LeadershipManagerDependencies) {
    this.followerBudgetShare = followerBudgetShare(dependencies.platform.peers.length);
  }

  /** Null while this controller doesn't lead, or is loading the stored state. */
  get leader(): Leader | null {
    return this.leaderLoop?.leader ?? null;
  }

  /** Sets a follower's share of the store's rate limits; called once, before the first request to the store. */
  start(): void {
    this.dependencies.store.setBudgetShare(this.followerBudgetShare);
  }

  /** Starts a leadership after this controller has won an election. */
  onElected(): void {
    const { store, imageLocations } = this.dependencies;
    this.leaderLoop?.stop();
    store.setBudgetShare(LEADER_BUDGET_SHARE);
    this.leaderLoop = new LeaderLoop({ ...this.dependencies, imageLocations: imageLocations.all() });
    void this.leaderLoop.start();
  }

  /** Stops the leadership, because another controller leads or may lead. */
  onLeadershipLost(reason: string): void {
    const { store, log } = this.dependencies;
    log.info({ reason }, 'leadership lost');
    this.leaderLoop?.stop();
    this.leaderLoop = null;
    store.setBudgetShare(this.followerBudgetShare);
  }

  /** Resigns if no heartbeat arrives, directly or through peers, so that a controller that workers reach may lead. */
  resignIfUnreachable(): void {
    const { platform, election, links } = this.dependencies;
    if (!this.leaderLoop || links.length === 0 || !election.hasAuthority) return;
    const limitMs =
      platform.workers.heartbeatIntervalS * MS_PER_S * UNREACHABLE_INTERVALS + UNREACHABLE_MARGIN_MS;
    if (this.leaderLoop.timeSinceHeartbeatMs(monotonicNow()) >= limitMs)
      election.resign('no heartbeat received');
  }
}
