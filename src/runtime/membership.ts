// Runs the election against the state service and keeps up with who leads.
import type { Platform } from '../config/platform.js';
import { authorityEnds, emptyElection, hasAuthority, learnLeader, type Election } from '../core/election.js';
import type { Counter, NodeName, Stamp, Steady, Term } from '../core/units.js';
import { keys, parseLeader, parseTerm } from '../wire/state.js';
import type { Logger } from './logger.js';
import type { StateClient } from './state-client.js';

const sleep = (ms: number): Promise<void> => new Promise((r) => setTimeout(r, ms));
const steady = (): Steady => performance.now() as Steady;
const WATCH_MS = 10_000;
const PROBE_MS = 1000;
const STAND_ASIDE_MS = 12_000;

export class Membership {
  readonly election: Election = emptyElection();
  private acquiring = false;
  private firstLook = true;
  private standAsideUntil = -Infinity;

  constructor(
    private readonly platform: Platform,
    private readonly ttlMs: number,
    private readonly state: StateClient,
    private readonly log: Logger,
    private readonly events: { onLead: () => void; onLost: (why: string) => void; onLeaderKey: () => void },
  ) {}

  get authority(): boolean {
    return hasAuthority(this.election, this.ttlMs, steady());
  }

  /** For how long it may still act as the leader by its own clock; null: it holds no lease. */
  get authorityLeftMs(): number | null {
    const { held } = this.election;
    return held === null ? null : Math.round(authorityEnds(held, this.ttlMs) - steady());
  }

  get holdsLease(): boolean {
    return this.election.held !== null;
  }

  start(): void {
    void this.follow();
    void this.renew();
    void this.probe();
  }

  learn(node: NodeName, term: Term): void {
    const held = this.election.held;
    learnLeader(this.election, node, term);
    if (held && !this.election.held) this.events.onLost('higher term seen');
  }

  /** Gives leadership up of our own will, and leaves it to the others for a while. */
  resign(why: string): void {
    const held = this.election.held;
    if (!held) return;
    this.election.held = null;
    this.standAsideUntil = steady() + STAND_ASIDE_MS;
    this.events.onLost(why);
    void this.state.endLease(held.lease);
  }

  /** A write of ours failed because the leader key is not ours any more. */
  deposed(): void {
    if (!this.election.held) return;
    this.election.held = null;
    this.events.onLost('leader key changed');
  }

  private async look(): Promise<void> {
    const r = await this.state.get(keys.leader, 0);
    if (r.kind === 'gone') {
      await this.acquire();
    } else if (r.kind === 'ok') {
      const leader = parseLeader(r.value.data);
      if (!leader) return;
      this.learn(leader.node, leader.term);
      this.events.onLeaderKey();
      // Our own key from before a restart: that process is dead, so its lease need not run out.
      const { permit } = r.value;
      if (this.firstLook && leader.node === this.platform.name && !this.election.held && permit) {
        this.log.info({ term: leader.term, lease: permit }, 'lease of the process before this one ended');
        await this.state.endLease(permit);
      }
    } else return;
    this.firstLook = false;
  }

  /** Watches the leader key: its removal starts an election at once. */
  private async follow(): Promise<void> {
    let since: Counter | null = null;
    for (;;) {
      if (since === null) {
        const first = await this.state.list(keys.leaderPrefix);
        if (first.kind !== 'ok') {
          await sleep(300);
          continue;
        }
        since = first.value.ledger;
        await this.look();
      }
      const r = await this.state.watch(keys.leaderPrefix, since, WATCH_MS);
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
          const leader = parseLeader(e.data);
          if (leader) this.learn(leader.node, leader.term);
        } else if ('delete' in e && e.delete === keys.leader) {
          void this.look();
        }
      }
    }
  }

  /** Tells a state service that doesn't answer from one that has nothing to say. */
  private async probe(): Promise<void> {
    for (;;) {
      await sleep(PROBE_MS);
      if (
        steady() - this.state.lastAnswerAt >= PROBE_MS * 0.9 ||
        (!this.holdsLease && !this.knownLeaderLives())
      ) {
        await this.look();
      }
    }
  }

  private knownLeaderLives(): boolean {
    return this.election.leader !== null && this.election.leader.node !== this.platform.name;
  }

  private async acquire(): Promise<void> {
    if (this.acquiring || this.holdsLease || steady() < this.standAsideUntil) return;
    this.acquiring = true;
    try {
      const sentAt = steady();
      const lease = await this.state.lease(this.ttlMs);
      if (lease.kind !== 'ok') return;
      const old = await this.state.get(keys.term, 0);
      if (old.kind !== 'ok' && old.kind !== 'gone') return;
      const stamp: Stamp = old.kind === 'ok' ? old.value.stamp : 0;
      const term = ((old.kind === 'ok' ? (parseTerm(old.value.data) ?? 0) : 0) + 1) as Term;
      const node = this.platform.name;
      const r = await this.state.transact(
        {
          if: [
            { key: keys.leader, stamp: 0 },
            { key: keys.term, stamp },
          ],
          then: [
            { put: keys.leader, data: { node, term }, lease: lease.value },
            { put: keys.term, data: { term } },
          ],
        },
        0,
      );
      let keyStamp = r.kind === 'ok' ? r.stamp : null;
      if (r.kind === 'unknown') {
        // The answer was lost: the key says whether it was carried out.
        const now = await this.state.get(keys.leader, 0);
        const leader = now.kind === 'ok' ? parseLeader(now.value.data) : null;
        if (now.kind === 'ok' && leader?.node === node && leader.term === term) keyStamp = now.value.stamp;
      }
      if (keyStamp === null) {
        void this.state.endLease(lease.value);
        return;
      }
      this.election.held = { lease: lease.value, term, keyStamp, renewedAt: sentAt };
      this.learn(node, term);
      this.log.info(
        { term, lease: lease.value, revision: keyStamp, authorityMs: this.authorityLeftMs },
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
      const held = this.election.held;
      if (!held) continue;
      const sentAt = steady();
      const r = await this.state.extend(held.lease);
      if (this.election.held !== held) continue;
      if (r.kind === 'ok') {
        held.renewedAt = sentAt;
        this.log.debug(
          { term: held.term, lease: held.lease, authorityMs: this.authorityLeftMs },
          'lease renewed',
        );
      } else if (r.kind === 'gone') {
        this.election.held = null;
        this.events.onLost('lease gone');
      } else {
        const left = this.authorityLeftMs;
        this.log.limited('renew', 'info', { outcome: r.kind, authorityLeftMs: left }, 'lease not renewed');
      }
    }
  }
}
