/** The state service of the protocol page: keys with versions, transactions, leases, changes, and both rate limits. */
import { clearInterval, clearTimeout, setInterval, setTimeout } from 'node:timers';
import { serve } from './http.js';
import { now } from './record.js';

const MAX_ITEMS = 1000;
const KEPT_CHANGES = 10_000;
const LEASE_CHECK_MS = 20;
const KEYS_PATH = '/store';

class Bucket {
  constructor(rate) {
    this.rate = rate;
    this.tokens = rate;
    this.at = now();
  }

  take(count) {
    const time = now();
    this.tokens = Math.min(this.rate, this.tokens + ((time - this.at) / 1000) * this.rate);
    this.at = time;
    if (this.tokens < count) return false;
    this.tokens -= count;
    return true;
  }
}

export class StateService {
  constructor({ rps, writeRps, txnOps, valueKb }, record) {
    this.limits = { txnOps, valueKb };
    this.requests = new Bucket(rps);
    this.writes = new Bucket(writeRps);
    this.record = record;
    this.items = new Map();
    this.leases = new Map();
    this.log = [];
    this.ledger = 0;
    this.waiting = new Set();
    this.nextPermit = 1;
    /** Seconds by which an answer is late, for a test that slows the service down: (message) => ms. */
    this.answerDelayMs = () => 0;
  }

  async start() {
    this.server = await serve((message) => this.handle(message));
    this.timer = setInterval(() => this.endLeases(), LEASE_CHECK_MS);
    return this.server.address;
  }

  stop() {
    clearInterval(this.timer);
    this.server.close();
  }

  async handle(message) {
    if (!this.requests.take(1)) return { status: 429 };
    const reply = await this.answer(message);
    const delayMs = this.answerDelayMs(message, reply);
    if (delayMs > 0) await new Promise((resolve) => setTimeout(resolve, delayMs));
    return reply;
  }

  answer({ method, path, query, body }) {
    if (method === 'GET' && path === KEYS_PATH) return this.list(query);
    if (method === 'GET' && path.startsWith(`${KEYS_PATH}/`))
      return this.get(path.slice(KEYS_PATH.length + 1));
    if (method === 'POST' && path === '/multi') return this.transact(body);
    if (method === 'GET' && path === '/changes') return this.changes(query);
    if (path.startsWith('/leases')) return this.lease(method, path, body);
    return { status: 400 };
  }

  get(key) {
    const item = this.items.get(key);
    return item ? { status: 200, body: { key, ...item } } : { status: 404, body: { ledger: this.ledger } };
  }

  list(query) {
    const prefix = query.get('under');
    const since = query.get('since');
    const most = Math.min(MAX_ITEMS, Number(query.get('most')));
    const found = [...this.items.keys()]
      .filter((key) => key.startsWith(prefix) && (since === null || key > since))
      .sort();
    const items = found.slice(0, most).map((key) => ({ key, ...this.items.get(key) }));
    return { status: 200, body: { items, more: found.length > most, ledger: this.ledger } };
  }

  transact(body) {
    if (!body || !Array.isArray(body.then ?? [])) return { status: 400 };
    const changes = body.then ?? [];
    const conditions = body.if ?? [];
    if (changes.length > this.limits.txnOps || conditions.length > 4 * this.limits.txnOps)
      return { status: 400, body: { error: 'too many' } };
    for (const { put, data } of changes)
      if (put !== undefined && JSON.stringify(data).length > this.limits.valueKb * 1024)
        return { status: 400, body: { error: 'too large' } };
    if (!this.writes.take(changes.length)) return { status: 429 };
    this.endLeases();
    for (const { put, permit } of changes)
      if (put !== undefined && permit !== undefined && permit !== null && !this.leases.has(Number(permit)))
        return { status: 400, body: { error: 'no such lease' } };
    const failed = conditions
      .filter(({ key, stamp }) => (this.items.get(key)?.stamp ?? 0) !== Number(stamp))
      .map(({ key }) => key);
    if (failed.length > 0) return { status: 409, body: { failed, ledger: this.ledger } };
    this.apply(changes);
    return { status: 200, body: { ledger: this.ledger } };
  }

  apply(changes) {
    if (changes.length === 0) return;
    this.ledger++;
    for (const change of changes) {
      if (change.delete !== undefined) {
        if (!this.items.delete(change.delete)) continue;
        this.log.push({ delete: change.delete, stamp: this.ledger });
      } else {
        const permit = change.permit === undefined || change.permit === null ? null : Number(change.permit);
        this.items.set(change.put, { data: change.data, stamp: this.ledger, permit });
        this.log.push({ put: change.put, data: change.data, stamp: this.ledger });
      }
      if ((change.put ?? change.delete) === 'l/leader')
        this.record.add('state service: leader key', { ...change, ledger: this.ledger });
    }
    if (this.log.length > KEPT_CHANGES) this.log.splice(0, this.log.length - KEPT_CHANGES);
    for (const wake of [...this.waiting]) wake();
  }

  lease(method, path, body) {
    this.endLeases();
    if (method === 'POST' && path === '/leases') {
      const permit = this.nextPermit++;
      const ttlMs = Number(body.ttlMs);
      this.leases.set(permit, { ttlMs, endsAt: now() + ttlMs });
      return { status: 200, body: { permit } };
    }
    const [, , id, verb] = path.split('/');
    const permit = Number(id);
    const lease = this.leases.get(permit);
    if (!lease) return { status: 404, body: {} };
    if (method === 'DELETE') this.endLease(permit);
    else if (method === 'POST' && verb === 'extend') lease.endsAt = now() + lease.ttlMs;
    else return { status: 400 };
    return { status: 200, body: {} };
  }

  endLeases() {
    for (const [permit, { endsAt }] of this.leases) if (now() > endsAt) this.endLease(permit);
  }

  endLease(permit) {
    this.leases.delete(permit);
    const keys = [...this.items].filter(([, item]) => item.permit === permit).map(([key]) => key);
    this.apply(keys.map((key) => ({ delete: key })));
  }

  async changes(query) {
    const prefix = query.get('under');
    const since = Number(query.get('since'));
    const until = now() + Math.min(60_000, Number(query.get('blockMs') ?? 0));
    for (;;) {
      const oldest = this.log[0]?.stamp ?? this.ledger + 1;
      if (since + 1 < oldest && since < this.ledger && this.log.length >= KEPT_CHANGES)
        return { status: 410 };
      const log = this.log.filter(
        (change) => change.stamp > since && (change.put ?? change.delete).startsWith(prefix),
      );
      const leftMs = until - now();
      if (log.length > 0 || leftMs <= 0) return { status: 200, body: { ledger: this.ledger, log } };
      await this.nextChange(leftMs);
    }
  }

  nextChange(ms) {
    return new Promise((resolve) => {
      const wake = () => {
        clearTimeout(timer);
        this.waiting.delete(wake);
        resolve();
      };
      const timer = setTimeout(wake, ms);
      this.waiting.add(wake);
    });
  }
}
