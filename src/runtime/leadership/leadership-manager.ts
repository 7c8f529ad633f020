/** Begins and ends this controller's leaderships, as the election decides. */
import type { Leader } from '../../core/leader/leader.js';
import { monotonicNow } from '../clock.js';
import type { ImageLocationStore } from '../peers/image-locations.js';
import type { PeerLink } from '../peers/peer-link.js';
import { LeaderLoop, type LeaderLoopDependencies } from './leader-loop.js';

/** The leader's share of the store's rate limits. */
const LEADER_SHARE = 0.6;
const MAX_FOLLOWER_SHARE = 0.4;
/** Without any heartbeat for so many intervals, and some slack, a leader counts as unreachable. */
const UNREACHABLE_INTERVALS = 2.5;
const UNREACHABLE_SLACK_MS = 2500;
const MS_PER_S = 1000;

/** More than an equal share, since users' requests come in bursts. */
const followerShare = (peers: number): number => Math.min(MAX_FOLLOWER_SHARE, 1 / peers);

/** What leaderships work with. */
export interface LeadershipManagerDependencies extends Omit<LeaderLoopDependencies, 'imageLocations'> {
  links: readonly PeerLink[];
  imageLocations: ImageLocationStore;
}

/** At most one leadership at a time. */
export class LeadershipManager {
  /** Null while this controller doesn't lead. */
  leaderLoop: LeaderLoop | null = null;
  private readonly followerShare: number;

  constructor(private readonly dependencies: LeadershipManagerDependencies) {
    this.followerShare = followerShare(dependencies.platform.peers.length);
  }

  /** Null while this controller doesn't lead, or is loading what the store holds. */
  get leader(): Leader | null {
    return this.leaderLoop?.leader ?? null;
  }

  /** To be called once, before the first request to the store. */
  start(): void {
    this.dependencies.store.setBudgetShare(this.followerShare);
  }

  /** This controller has won an election. */
  onElected(): void {
    const { store, imageLocations } = this.dependencies;
    this.leaderLoop?.stop();
    store.setBudgetShare(LEADER_SHARE);
    this.leaderLoop = new LeaderLoop({ ...this.dependencies, imageLocations: imageLocations.all() });
    void this.leaderLoop.start();
  }

  /** Another one leads, or may. */
  onLeadershipLost(reason: string): void {
    const { store, log } = this.dependencies;
    log.info({ reason }, 'leadership lost');
    this.leaderLoop?.stop();
    this.leaderLoop = null;
    store.setBudgetShare(this.followerShare);
  }

  /** A leader that no heartbeat reaches, directly or through its peers, gives way to one that may be reached. */
  resignIfUnreachable(): void {
    const { platform, election, links } = this.dependencies;
    if (!this.leaderLoop || links.length === 0 || !election.hasAuthority) return;
    const limitMs =
      platform.workers.heartbeatIntervalS * MS_PER_S * UNREACHABLE_INTERVALS + UNREACHABLE_SLACK_MS;
    if (this.leaderLoop.timeSinceHeartbeatMs(monotonicNow()) >= limitMs)
      election.resign('no heartbeat received');
  }
}
