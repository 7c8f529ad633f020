// A stand-in for the state service, written from PROTOCOL ("Controller nodes -> state service").
import { setInterval, clearInterval, setTimeout } from 'node:timers';
import { performance } from 'node:perf_hooks';
import { URLSearchParams } from 'node:url';
import { serve } from './wire.js';

const LATENCY_MS = 4;
const KEPT_CHANGES = 10_000;
const MAX_ITEMS = 1000;

export class StateService {
  constructor() {
    this.items = new Map();
    this.leases = new Map();
    this.log = [];
    this.ledger = 1;
    this.lastPermit = 0;
    this.waiting = new Set();
    /** Called with the node whose address was used, the method, the target and the body of each request. */
    this.onRequest = () => undefined;
  }

  /** Starts one address for each node, so that a test can tell who sent a request. */
  async start(nodes) {
    this.servers = [];
    for (const node of nodes)
      this.servers.push(
        await serve(async (method, target, body) => {
          await new Promise((resolve) => setTimeout(resolve, LATENCY_MS));
          this.onRequest(node, method, target, body);
          return this.respond(method, target, body);
        }),
      );
    this.timer = setInterval(() => this.endLeases(), 20);
    return this.servers.map((server) => server.address);
  }

  close() {
    clearInterval(this.timer);
    for (const server of this.servers) server.close();
  }

  endLeases() {
    const now = performance.now();
    for (const [permit, lease] of this.leases) if (now >= lease.endsAt) this.endLease(permit);
  }

  endLease(permit) {
    if (!this.leases.delete(permit)) return;
    const keys = [...this.items].filter(([, item]) => item.permit === permit).map(([key]) => key);
    if (keys.length > 0) this.apply(keys.map((key) => ({ delete: key })));
  }

  apply(changes) {
    const stamp = ++this.ledger;
    for (const change of changes) {
      if (change.put !== undefined) {
        const permit = change.permit === undefined || change.permit === null ? null : Number(change.permit);
        this.items.set(change.put, { data: change.data, stamp, permit });
        this.log.push({ put: change.put, data: change.data, stamp });
      } else if (this.items.delete(change.delete)) this.log.push({ delete: change.delete, stamp });
    }
    if (this.log.length > KEPT_CHANGES) this.log.splice(0, this.log.length - KEPT_CHANGES);
    for (const wake of [...this.waiting]) wake();
  }

  respond(method, target, body) {
    const [path, search = ''] = target.split('?');
    const query = new URLSearchParams(search);
    if (path === '/multi') return this.transact(body);
    if (path === '/leases') {
      const permit = ++this.lastPermit;
      this.leases.set(permit, { ttlMs: body.ttlMs, endsAt: performance.now() + body.ttlMs });
      return [200, { permit }];
    }
    if (path.startsWith('/leases/')) return this.onLease(method, path);
    if (path === '/changes') return this.watch(query);
    if (path === '/store') return this.list(query);
    const key = path.slice('/store/'.length);
    const item = this.items.get(key);
    if (!item) return [404, { ledger: this.ledger }];
    return [200, { key, data: item.data, stamp: item.stamp, permit: item.permit }];
  }

  onLease(method, path) {
    const permit = Number(path.split('/')[2]);
    const lease = this.leases.get(permit);
    if (method === 'DELETE') this.endLease(permit);
    else if (!lease) return [404, { ledger: this.ledger }];
    else lease.endsAt = performance.now() + lease.ttlMs;
    return [200, {}];
  }

  transact(body) {
    const failed = body.if
      .filter(({ key, stamp }) => (this.items.get(key)?.stamp ?? 0) !== Number(stamp))
      .map(({ key }) => key);
    if (failed.length > 0) return [409, { failed, ledger: this.ledger }];
    for (const { permit } of body.then)
      if (permit !== undefined && permit !== null && !this.leases.has(Number(permit)))
        return [400, { error: 'no such lease' }];
    if (body.then.length > 0) this.apply(body.then);
    return [200, { ledger: this.ledger }];
  }

  list(query) {
    const under = query.get('under');
    const since = query.get('since') ?? '';
    const most = Math.min(MAX_ITEMS, Number(query.get('most') ?? MAX_ITEMS));
    const all = [...this.items]
      .filter(([key]) => key.startsWith(under) && key > since)
      .sort(([a], [b]) => (a < b ? -1 : 1));
    const items = all.slice(0, most).map(([key, { data, stamp }]) => ({ key, data, stamp }));
    return [200, { items, more: all.length > most, ledger: this.ledger }];
  }

  async watch(query) {
    const under = query.get('under');
    const since = Number(query.get('since'));
    const until = performance.now() + Number(query.get('blockMs') ?? 0);
    for (;;) {
      if (this.log.length === KEPT_CHANGES && this.log[0].stamp > since + 1)
        return [410, { ledger: this.ledger }];
      const log = this.log.filter(
        (entry) => entry.stamp > since && (entry.put ?? entry.delete).startsWith(under),
      );
      const left = until - performance.now();
      if (log.length > 0 || left <= 0) return [200, { ledger: this.ledger, log }];
      await new Promise((resolve) => {
        const wake = () => {
          this.waiting.delete(wake);
          resolve();
        };
        this.waiting.add(wake);
        setTimeout(wake, left);
      });
    }
  }
}
