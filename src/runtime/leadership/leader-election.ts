// Runs the election against the state service and keeps up with who leads.
import type { PlatformSettings } from '../../config/platform.js';
import {
  leaseExpiresAt,
  initialElectionState,
  hasAuthority,
  recordLeader,
  type ElectionState,
} from '../../core/election.js';
import type { Uint64, NodeName, Revision, MonotonicTime, Term } from '../../core/units.js';
import { keys, parseLeaderRecord, parseTermRecord } from '../../wire/key-value-store.js';
import type { Logger } from '../logger.js';
import type { KeyValueStoreClient } from '../key-value-store/key-value-store-client.js';

const sleep = (ms: number): Promise<void> => new Promise((r) => setTimeout(r, ms));
const steady = (): MonotonicTime => performance.now() as MonotonicTime;
const WATCH_MS = 10_000;
const PROBE_MS = 1000;
const STAND_ASIDE_MS = 12_000;

export class LeaderElection {
  readonly electionState: ElectionState = initialElectionState();
  private acquiring = false;
  private firstLook = true;
  private standAsideUntil = -Infinity;

  constructor(
    private readonly platform: PlatformSettings,
    private readonly ttlMs: number,
    private readonly store: KeyValueStoreClient,
    private readonly log: Logger,
    private readonly events: { onLead: () => void; onLost: (why: string) => void; onLeaderKey: () => void },
  ) {}

  get hasAuthority(): boolean {
    return hasAuthority(this.electionState, this.ttlMs, steady());
  }

  /** For how long it may still act as the leader by its own clock; null: it holds no lease. */
  get authorityLeftMs(): number | null {
    const { heldLease } = this.electionState;
    return heldLease === null ? null : Math.round(leaseExpiresAt(heldLease, this.ttlMs) - steady());
  }

  get holdsLease(): boolean {
    return this.electionState.heldLease !== null;
  }

  start(): void {
    void this.watchLeaderKey();
    void this.renew();
    void this.probe();
  }

  noteLeader(node: NodeName, term: Term): void {
    const held = this.electionState.heldLease;
    recordLeader(this.electionState, node, term);
    if (held && !this.electionState.heldLease) this.events.onLost('higher term seen');
  }

  /** Gives leadership up of our own will, and leaves it to the others for a while. */
  resign(why: string): void {
    const held = this.electionState.heldLease;
    if (!held) return;
    this.electionState.heldLease = null;
    this.standAsideUntil = steady() + STAND_ASIDE_MS;
    this.events.onLost(why);
    void this.store.revokeLease(held.leaseId);
  }

  /** A write of ours failed because the leader key is not ours any more. */
  onLeaderKeyChanged(): void {
    if (!this.electionState.heldLease) return;
    this.electionState.heldLease = null;
    this.events.onLost('leader key changed');
  }

  private async readLeaderKey(): Promise<void> {
    const r = await this.store.get(keys.leader, 0);
    if (r.kind === 'gone') {
      await this.acquire();
    } else if (r.kind === 'ok') {
      const leader = parseLeaderRecord(r.value.data);
      if (!leader) return;
      this.noteLeader(leader.node, leader.term);
      this.events.onLeaderKey();
      // Our own key from before a restart: that process is dead, so its lease need not run out.
      const { lease } = r.value;
      if (this.firstLook && leader.node === this.platform.name && !this.electionState.heldLease && lease) {
        this.log.info({ term: leader.term, lease: lease }, 'lease of the process before this one ended');
        await this.store.revokeLease(lease);
      }
    } else return;
    this.firstLook = false;
  }

  /** Watches the leader key: its removal starts an election at once. */
  private async watchLeaderKey(): Promise<void> {
    let since: Uint64 | null = null;
    for (;;) {
      if (since === null) {
        const first = await this.store.list(keys.leaderPrefix);
        if (first.kind !== 'ok') {
          await sleep(300);
          continue;
        }
        since = first.value.ledger;
        await this.readLeaderKey();
      }
      const r = await this.store.watch(keys.leaderPrefix, since, WATCH_MS);
      if (r.kind === 'gone') {
        since = null;
        continue;
      }
      if (r.kind !== 'ok') {
        await sleep(300);
        continue;
      }
      since = r.value.ledger;
      for (const e of r.value.log) {
        if ('put' in e && e.put === keys.leader) {
          const leader = parseLeaderRecord(e.data);
          if (leader) this.noteLeader(leader.node, leader.term);
        } else if ('delete' in e && e.delete === keys.leader) {
          void this.readLeaderKey();
        }
      }
    }
  }

  /** Tells a state service that doesn't answer from one that has nothing to say. */
  private async probe(): Promise<void> {
    for (;;) {
      await sleep(PROBE_MS);
      if (
        steady() - this.store.lastAnswerAt >= PROBE_MS * 0.9 ||
        (!this.holdsLease && !this.knownLeaderLives())
      ) {
        await this.readLeaderKey();
      }
    }
  }

  private knownLeaderLives(): boolean {
    return this.electionState.leader !== null && this.electionState.leader.node !== this.platform.name;
  }

  private async acquire(): Promise<void> {
    if (this.acquiring || this.holdsLease || steady() < this.standAsideUntil) return;
    this.acquiring = true;
    try {
      const sentAt = steady();
      const lease = await this.store.grantLease(this.ttlMs);
      if (lease.kind !== 'ok') return;
      const old = await this.store.get(keys.term, 0);
      if (old.kind !== 'ok' && old.kind !== 'gone') return;
      const stamp: Revision = old.kind === 'ok' ? old.value.revision : 0;
      const term = ((old.kind === 'ok' ? (parseTermRecord(old.value.data) ?? 0) : 0) + 1) as Term;
      const node = this.platform.name;
      const r = await this.store.transact(
        {
          conditions: [
            { key: keys.leader, revision: 0 },
            { key: keys.term, revision: stamp },
          ],
          changes: [
            { put: keys.leader, data: { node, term }, lease: lease.value },
            { put: keys.term, data: { term } },
          ],
        },
        0,
      );
      let keyRevision = r.kind === 'ok' ? r.revision : null;
      if (r.kind === 'unknown') {
        // The answer was lost: the key says whether it was carried out.
        const now = await this.store.get(keys.leader, 0);
        const leader = now.kind === 'ok' ? parseLeaderRecord(now.value.data) : null;
        if (now.kind === 'ok' && leader?.node === node && leader.term === term)
          keyRevision = now.value.revision;
      }
      if (keyRevision === null) {
        void this.store.revokeLease(lease.value);
        return;
      }
      this.electionState.heldLease = { leaseId: lease.value, term, keyRevision, renewedAt: sentAt };
      this.noteLeader(node, term);
      this.log.info(
        { term, lease: lease.value, revision: keyRevision, authorityMs: this.authorityLeftMs },
        'leadership taken',
      );
      this.events.onLead();
    } finally {
      this.acquiring = false;
    }
  }

  private async renew(): Promise<void> {
    for (;;) {
      await sleep(this.ttlMs / 5);
      const held = this.electionState.heldLease;
      if (!held) continue;
      const sentAt = steady();
      const r = await this.store.renewLease(held.leaseId);
      if (this.electionState.heldLease !== held) continue;
      if (r.kind === 'ok') {
        held.renewedAt = sentAt;
        this.log.debug(
          { term: held.term, lease: held.leaseId, authorityMs: this.authorityLeftMs },
          'lease renewed',
        );
      } else if (r.kind === 'gone') {
        this.electionState.heldLease = null;
        this.events.onLost('lease gone');
      } else {
        const left = this.authorityLeftMs;
        this.log.rateLimited(
          'renew',
          'info',
          { outcome: r.kind, authorityLeftMs: left },
          'lease not renewed',
        );
      }
    }
  }
}
