// A stand-in for the cloud, written from PROTOCOL ("Controller nodes -> cloud").
import { setTimeout } from 'node:timers';
import { performance } from 'node:perf_hooks';
import { URLSearchParams } from 'node:url';
import { serve } from './wire.js';

const LATENCY_MS = 80;

export class Cloud {
  /**
   * `bootMs` gives the boot time of the n-th machine; `onUp(machine)` and `onGone(machine, why)` are called. `capacity`:
   * the number of machines that exist at most.
   */
  constructor({ types, listLagS, bootMs, capacity, onUp, onGone, note }) {
    Object.assign(this, { types, listLagS, bootMs, capacity, onUp, onGone, note });
    this.machines = new Map();
    this.hires = new Map();
    this.count = 0;
    /** `[node, names]` of each request to return machines. */
    this.onReturn = () => undefined;
  }

  async start(nodes) {
    this.servers = [];
    for (const node of nodes)
      this.servers.push(
        await serve(async (method, target, body) => {
          await new Promise((resolve) => setTimeout(resolve, LATENCY_MS));
          return this.respond(node, method, target, body);
        }),
      );
    return this.servers.map((server) => server.address);
  }

  close() {
    for (const server of this.servers) server.close();
  }

  respond(node, method, target, body) {
    const [path, search = ''] = target.split('?');
    if (path === '/machine_types') return [200, { breeds: this.types }];
    if (path === '/machines/return') return this.takeBack(node, body.stalls);
    if (path === '/machines' && method === 'POST') return this.rent(node, body);
    return this.list(new URLSearchParams(search));
  }

  rent(node, { hire, breed, pasture, loaners, number }) {
    const known = this.hires.get(hire);
    if (known) return [200, { stalls: known }];
    const count = Math.min(number, this.capacity - this.machines.size);
    if (count <= 0) {
      this.note(`cloud: ${node} asks for ${number} ${breed} in ${pasture}, hire ${hire}: no capacity`);
      return [503, { error: 'no capacity' }];
    }
    const stalls = [];
    for (let i = 0; i < count; i++) stalls.push(this.addMachine(breed, pasture, loaners));
    this.hires.set(hire, stalls);
    this.note(`cloud: ${node} rents ${count} ${breed} in ${pasture}, hire ${hire}: ${stalls.join(' ')}`);
    return [200, { stalls }];
  }

  addMachine(breed, pasture, loaners) {
    const ordinal = ++this.count;
    const nameId = `host-${String(ordinal).padStart(6, '0')}`;
    const machine = {
      nameId,
      breed,
      pasture,
      loaners,
      createdAt: performance.now(),
      up: false,
      endpoint: '',
    };
    this.machines.set(nameId, machine);
    setTimeout(() => {
      if (!this.machines.has(nameId)) return;
      machine.up = true;
      this.onUp(machine, ordinal);
    }, this.bootMs(ordinal));
    return nameId;
  }

  takeBack(node, names) {
    const known = names.filter((name) => this.machines.has(name));
    this.note(`cloud: ${node} returns ${names.join(' ')}`);
    this.onReturn(node, known);
    for (const name of known) {
      const machine = this.machines.get(name);
      this.machines.delete(name);
      this.onGone(machine, `returned by ${node}`);
    }
    return [200, {}];
  }

  list(query) {
    const since = query.get('since') ?? '';
    const most = Number(query.get('most') ?? 500);
    const now = performance.now();
    const all = [...this.machines.values()]
      .filter(({ nameId, createdAt }) => nameId > since && now - createdAt >= this.listLagS * 1000)
      .sort((a, b) => (a.nameId < b.nameId ? -1 : 1));
    const stalls = all.slice(0, most).map(({ nameId, endpoint, breed, pasture, loaners, up, createdAt }) => ({
      nameId,
      endpoint: endpoint === '' ? '127.0.0.1:1' : endpoint,
      breed,
      pasture,
      loaners,
      status: up ? 'running' : 'starting',
      ageS: (now - createdAt) / 1000,
    }));
    return [200, { stalls, more: all.length > most }];
  }
}
