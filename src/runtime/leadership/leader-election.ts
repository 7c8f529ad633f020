/**
 * Who leads, and whether this controller may act as the leader.
 *
 * `hasAuthority` is the right to act: it is checked before every tick and reply. It ends on this controller's own clock
 * before the store can let another one lead.
 */
import type { PlatformSettings } from '../../config/platform.js';
import {
  leaseExpiresAt,
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

const PROBE_MS = 1000;
/** A store that answered within this time needs no probe. */
const ANSWER_FRESH_MS = 900;
/** For how long one that resigned leaves leadership to the others. */
const STAND_ASIDE_MS = 12_000;

/** What the rest of the controller is told. */
export interface LeaderElectionEvents {
  onElected: () => void;
  onLeadershipLost: (reason: string) => void;
  /** The leader key was read, and is alive. */
  onLeaderKeyRead: () => void;
}

/** What an election needs. */
export interface LeaderElectionDependencies {
  platform: PlatformSettings;
  leaseMs: number;
  store: KeyValueStoreClient;
  log: Logger;
  events: LeaderElectionEvents;
}

/** Takes part in elections for as long as the process runs. */
export class LeaderElection {
  readonly electionState: ElectionState = initialElectionState();
  private acquiring = false;
  private leaderKeyWasRead = false;
  private standAsideUntil = -Infinity;

  constructor(private readonly dependencies: LeaderElectionDependencies) {}

  /** Whether this controller may act as the leader now. */
  get hasAuthority(): boolean {
    return hasAuthority(this.electionState, this.dependencies.leaseMs, monotonicNow());
  }

  /** For how long it may still act as the leader by its own clock; null: it holds no lease. */
  get authorityLeftMs(): number | null {
    const { heldLease } = this.electionState;
    if (heldLease === null) return null;
    return Math.round(leaseExpiresAt(heldLease, this.dependencies.leaseMs) - monotonicNow());
  }

  /** Whether it holds the leader's lease, with or without authority. */
  get holdsLease(): boolean {
    return this.electionState.heldLease !== null;
  }

  /** Begins to watch, renew and probe. */
  start(): void {
    const { store, log, leaseMs } = this.dependencies;
    void watchLeaderKey(store, {
      readLeaderKey: () => this.readLeaderKey(),
      onLeader: (node, term) => this.updateLeader(node, term),
    });
    void renewHeldLease({
      store,
      log,
      leaseMs,
      electionState: this.electionState,
      authorityLeftMs: () => this.authorityLeftMs,
      onLeaseGone: () => this.loseLease('lease gone'),
    });
    void this.probe();
  }

  /** The store or a peer names a leader. */
  updateLeader(node: NodeName, term: Term): void {
    const held = this.electionState.heldLease;
    recordLeader(this.electionState, node, term);
    if (held && !this.electionState.heldLease) this.dependencies.events.onLeadershipLost('higher term seen');
  }

  /** Gives leadership up while the lease is alive, and leaves it to the others for a while. */
  resign(reason: string): void {
    const held = this.electionState.heldLease;
    if (!held) return;
    this.standAsideUntil = monotonicNow() + STAND_ASIDE_MS;
    this.loseLease(reason);
    void this.dependencies.store.revokeLease(held.leaseId);
  }

  /** A write as the leader failed because the leader key is another one's, or gone. */
  onLeaderKeyChanged(): void {
    if (this.electionState.heldLease) this.loseLease('leader key changed');
  }

  private loseLease(reason: string): void {
    this.electionState.heldLease = null;
    this.dependencies.events.onLeadershipLost(reason);
  }

  private async readLeaderKey(): Promise<void> {
    const current = await this.dependencies.store.get(keys.leader, budgetReserves.urgent);
    if (current.kind === 'gone') await this.acquire();
    else if (current.kind === 'ok') {
      if (!(await this.onLeaderKeyItem(current.value))) return;
    } else return;
    this.leaderKeyWasRead = true;
  }

  /** False for a damaged record. */
  private async onLeaderKeyItem({ data, lease }: Item): Promise<boolean> {
    const leader = parseLeaderRecord(data);
    if (!leader) return false;
    const { platform, store, log, events } = this.dependencies;
    this.updateLeader(leader.node, leader.term);
    events.onLeaderKeyRead();
    // This controller's own key from before a restart: that process is dead, so its lease need not run out.
    if (!this.leaderKeyWasRead && leader.node === platform.name && !this.holdsLease && lease) {
      log.info({ term: leader.term, lease }, 'lease of the previous process revoked');
      await store.revokeLease(lease);
    }
    return true;
  }

  /** Tells a store that doesn't answer from one without changes to tell. */
  private async probe(): Promise<never> {
    for (;;) {
      await sleep(PROBE_MS);
      const storeIsSilent = monotonicNow() - this.dependencies.store.lastAnswerAt >= ANSWER_FRESH_MS;
      if (storeIsSilent || (!this.holdsLease && !this.knowsOtherLeader())) await this.readLeaderKey();
    }
  }

  private knowsOtherLeader(): boolean {
    const { leader } = this.electionState;
    return leader !== null && leader.node !== this.dependencies.platform.name;
  }

  private async acquire(): Promise<void> {
    if (this.acquiring || this.holdsLease || monotonicNow() < this.standAsideUntil) return;
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
