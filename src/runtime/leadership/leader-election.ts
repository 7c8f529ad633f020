/**
 * Leader election of this controller, and its authority to act as the leader.
 *
 * `hasAuthority` is checked before every tick and every reply to a worker. By this controller's own clock, authority
 * ends before the key-value store can let another controller become the leader.
 */
import type { PlatformSettings } from '../../config/platform.js';
import {
  authorityEndsAt,
  initialElectionState,
  hasAuthority,
  recordLeader,
  type ElectionState,
  type HeldLease,
} from '../../core/election.js';
import type { NodeName, Term } from '../../core/units.js';
import type { Item } from '../../wire/key-value-store.js';
import { keys, parseLeaderRecord } from '../../wire/stored-records.js';
import { monotonicNow, sleep } from '../clock.js';
import { budgetReserves, type KeyValueStoreClient } from '../key-value-store/key-value-store-client.js';
import type { Logger } from '../logger.js';
import { watchLeaderKey } from './leader-key-watch.js';
import { acquireLeaderLease } from './lease-acquisition.js';
import { renewHeldLease } from './lease-renewal.js';

const PROBE_INTERVAL_MS = 1000;
/** The store is not probed if it has responded within this time. */
const STORE_RESPONSE_FRESH_MS = 900;
/** How long a controller that resigned does not run for election, so that another one can win it. */
const RESIGNATION_BACKOFF_MS = 12_000;

/** Callbacks to the other parts of the controller. */
export interface LeaderElectionEvents {
  onElected: () => void;
  onLeadershipLost: (reason: string) => void;
  /** The leader key was read and exists, so the lease of the leader that it names has not expired. */
  onLeaderKeyRead: () => void;
}

/** Dependencies of the leader election. */
export interface LeaderElectionDependencies {
  platform: PlatformSettings;
  leaseMs: number;
  store: KeyValueStoreClient;
  log: Logger;
  events: LeaderElectionEvents;
}

/** Takes part in leader elections for the lifetime of the process. */
export class LeaderElection {
  readonly electionState: ElectionState = initialElectionState();
  private acquiring = false;
  private leaderKeyWasRead = false;
  private backoffUntil = -Infinity;

  constructor(private readonly dependencies: LeaderElectionDependencies) {}

  /** Whether this controller may act as the leader now. */
  get hasAuthority(): boolean {
    return hasAuthority(this.electionState, this.dependencies.leaseMs, monotonicNow());
  }

  /** Time until this controller's authority ends by its own clock, negative afterwards; null if it holds no lease. */
  get authorityLeftMs(): number | null {
    const { heldLease } = this.electionState;
    if (heldLease === null) return null;
    return Math.round(authorityEndsAt(heldLease, this.dependencies.leaseMs) - monotonicNow());
  }

  /** Whether this controller holds the leader lease, with or without authority. */
  get holdsLease(): boolean {
    return this.electionState.heldLease !== null;
  }

  /** Starts to watch the leader key, to renew the lease and to probe the store. */
  start(): void {
    const { store, log, leaseMs } = this.dependencies;
    void watchLeaderKey(store, {
      checkLeaderKey: () => this.checkLeaderKey(),
      onLeader: (node, term) => this.updateLeader(node, term),
    });
    void renewHeldLease({
      store,
      log,
      leaseMs,
      electionState: this.electionState,
      authorityLeftMs: () => this.authorityLeftMs,
      onLeaseGone: () => this.endLeadership('lease gone'),
    });
    void this.probeStore();
  }

  /** Records a leader named by the store or by a peer; a higher term ends this controller's own leadership. */
  updateLeader(node: NodeName, term: Term): void {
    const held = this.electionState.heldLease;
    recordLeader(this.electionState, node, term);
    if (held && !this.electionState.heldLease) this.dependencies.events.onLeadershipLost('higher term seen');
  }

  /** Gives up leadership by revoking the lease, and does not run for election for `RESIGNATION_BACKOFF_MS`. */
  resign(reason: string): void {
    const held = this.electionState.heldLease;
    if (!held) return;
    this.backoffUntil = monotonicNow() + RESIGNATION_BACKOFF_MS;
    this.endLeadership(reason);
    void this.dependencies.store.revokeLease(held.leaseId);
  }

  /** A write of the leader failed because the leader key was deleted or belongs to another controller. */
  onLeaderKeyChanged(): void {
    if (this.electionState.heldLease) this.endLeadership('leader key changed');
  }

  private endLeadership(reason: string): void {
    this.electionState.heldLease = null;
    this.dependencies.events.onLeadershipLost(reason);
  }

  private async checkLeaderKey(): Promise<void> {
    const current = await this.dependencies.store.get(keys.leader, budgetReserves.urgent);
    if (current.kind === 'gone') await this.acquire();
    else if (current.kind === 'ok') {
      if (!(await this.onLeaderKeyItem(current.value))) return;
    } else return;
    this.leaderKeyWasRead = true;
  }

  /** Returns false for a damaged record. */
  private async onLeaderKeyItem({ data, lease }: Item): Promise<boolean> {
    const leader = parseLeaderRecord(data);
    if (!leader) return false;
    const { platform, store, log, events } = this.dependencies;
    this.updateLeader(leader.node, leader.term);
    events.onLeaderKeyRead();
    // This controller created the key before it was restarted. That process has ended, so its lease can be revoked
    // instead of waiting for it to expire.
    if (!this.leaderKeyWasRead && leader.node === platform.name && !this.holdsLease && lease) {
      log.info({ term: leader.term, lease }, 'lease of the previous process revoked');
      await store.revokeLease(lease);
    }
    return true;
  }

  /**
   * Reads the leader key while no leader is known, and whenever the store has not responded recently: the watch
   * alone does not distinguish an outage of the store from a time without changes.
   */
  private async probeStore(): Promise<never> {
    for (;;) {
      await sleep(PROBE_INTERVAL_MS);
      const responseIsStale =
        monotonicNow() - this.dependencies.store.lastResponseAt >= STORE_RESPONSE_FRESH_MS;
      if (responseIsStale || (!this.holdsLease && !this.hasOtherLeader())) await this.checkLeaderKey();
    }
  }

  private hasOtherLeader(): boolean {
    const { leader } = this.electionState;
    return leader !== null && leader.node !== this.dependencies.platform.name;
  }

  private async acquire(): Promise<void> {
    if (this.acquiring || this.holdsLease || monotonicNow() < this.backoffUntil) return;
    const { platform, store, leaseMs } = this.dependencies;
    this.acquiring = true;
    try {
      const held = await acquireLeaderLease(store, platform.name, leaseMs);
      if (held) this.onLeaseAcquired(held);
    } finally {
      this.acquiring = false;
    }
  }

  private onLeaseAcquired(held: HeldLease): void {
    const { platform, log, events } = this.dependencies;
    this.electionState.heldLease = held;
    this.updateLeader(platform.name, held.term);
    log.info(
      {
        term: held.term,
        lease: held.leaseId,
        revision: held.keyRevision,
        authorityMs: this.authorityLeftMs,
      },
      'leadership acquired',
    );
    events.onElected();
  }
}
