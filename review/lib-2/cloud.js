/** The cloud of the protocol page: types, rentals, returns and a list that lags. It starts the workers. */
import { serve } from './http.js';
import { now, sleep } from './record.js';

const MAX_NUMBER = 50;
const MAX_RETURNED = 100;
const BURST_S = 2;

export class Cloud {
  /** `bootS` may be a second or two: "at times machines are up within a second or two". */
  constructor({ breeds, rps, listLagS, bootS, createWorker, record }) {
    Object.assign(this, { breeds, rps, listLagS, bootS, createWorker, record });
    this.servers = [];
    this.machines = new Map();
    /** Called before machines are given back: (node, names). */
    this.onReturn = () => {};
    this.hires = new Map();
    this.count = 0;
    this.tokens = rps * BURST_S;
    this.at = now();
    /** How many machines of a kind can be had now: (breed, pasture, loaners, number) => number. */
    this.capacity = (_breed, _pasture, _loaners, number) => number;
  }

  /** An address of its own for one node, so that the record shows which node asked. */
  async addressFor(node) {
    const server = await serve((message) => this.handle(message, node));
    this.servers.push(server);
    return server.address;
  }

  stop() {
    for (const server of this.servers) server.close();
    for (const { worker } of this.machines.values()) worker?.stop('end of the test');
  }

  /** The workers of all machines that are up. */
  get workers() {
    return [...this.machines.values()]
      .filter(({ goneAt, worker }) => goneAt === null && worker)
      .map(({ worker }) => worker);
  }

  /** How many machines of the kind are rented now. */
  inUse(label, loaners) {
    const rented = [...this.machines.values()].filter(({ goneAt }) => goneAt === null);
    return rented.filter((machine) => machine.breed.label === label && machine.loaners === loaners).length;
  }

  handle({ method, path, query, body }, node) {
    const time = now();
    this.tokens = Math.min(this.rps * BURST_S, this.tokens + ((time - this.at) / 1000) * this.rps);
    this.at = time;
    if (this.tokens < 1) return { status: 429 };
    this.tokens -= 1;
    if (method === 'GET' && path === '/machine_types') return { status: 200, body: { breeds: this.breeds } };
    if (method === 'GET' && path === '/machines') return this.list(query);
    if (method === 'POST' && path === '/machines') return this.rent(body, node);
    if (method === 'POST' && path === '/machines/return') return this.giveBack(body, node);
    return { status: 400 };
  }

  rent(body, node) {
    const { hire, breed: label, pasture, loaners, number } = body ?? {};
    const known = this.hires.get(hire);
    if (known) return { status: 200, body: { stalls: known } };
    const breed = this.breeds.find((type) => type.label === label);
    if (!breed || !(number >= 1 && number <= MAX_NUMBER)) return { status: 400 };
    const granted = Math.min(number, this.capacity(label, pasture, loaners, number));
    this.record.add('rental request', { node, hire, breed: label, pasture, loaners, number, granted });
    if (granted < 1) return { status: 503, body: { error: 'no capacity' } };
    const stalls = [];
    for (let i = 0; i < granted; i++) stalls.push(this.create(breed, pasture, loaners));
    this.hires.set(hire, stalls);
    return { status: 200, body: { stalls } };
  }

  create(breed, pasture, loaners) {
    const name = `host-${String(++this.count).padStart(6, '0')}`;
    const machine = {
      name,
      breed,
      pasture,
      loaners,
      rentedAt: now(),
      upAt: null,
      goneAt: null,
      worker: null,
    };
    this.machines.set(name, machine);
    void this.boot(machine);
    return name;
  }

  async boot(machine) {
    await sleep(this.bootS * 1000);
    if (machine.goneAt !== null) return;
    machine.worker = this.createWorker(machine);
    await machine.worker.start();
    machine.upAt = now();
  }

  giveBack(body, node) {
    const names = body?.stalls ?? [];
    if (names.length > MAX_RETURNED) return { status: 400 };
    this.onReturn(node, names);
    this.record.add('machines returned', { node, stalls: names });
    for (const name of names) this.remove(name, 'returned');
    return { status: 200, body: {} };
  }

  /** The cloud takes a spot machine back, without a notice. */
  remove(name, cause) {
    const machine = this.machines.get(name);
    if (!machine || machine.goneAt !== null) return;
    machine.goneAt = now();
    machine.worker?.stop(cause);
  }

  list(query) {
    const asOf = now() - this.listLagS * 1000;
    const since = query.get('since') ?? '';
    const most = Math.min(500, Number(query.get('most')));
    const listed = [...this.machines.values()]
      .filter(
        ({ name, rentedAt, goneAt }) =>
          name > since && rentedAt <= asOf && (goneAt === null || goneAt > asOf),
      )
      .sort((a, b) => (a.name < b.name ? -1 : 1));
    const stalls = listed.slice(0, most).map(({ name, breed, pasture, loaners, rentedAt, upAt, worker }) => ({
      nameId: name,
      endpoint: worker?.endpoint ?? '127.0.0.1:1',
      breed: breed.label,
      pasture,
      loaners,
      status: upAt !== null && upAt <= asOf ? 'running' : 'starting',
      ageS: (asOf - rentedAt) / 1000,
    }));
    return { status: 200, body: { stalls, more: listed.length > most } };
  }
}
