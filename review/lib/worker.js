// A stand-in for a worker, written from PROTOCOL ("Workers -> controller nodes", "Controller nodes -> workers").
// It runs arrays and services; gangs of one task are run like an array's task.
import { setTimeout, clearTimeout } from 'node:timers';
import { performance } from 'node:perf_hooks';
import { Client, serve } from './wire.js';

const RESPONSE_TIMEOUT_MS = 4000;
const RETRY_MS = 1000;
const MIN_GAP_MS = 500;

export class Worker {
  /**
   * `nodes`: `[name, address]` of every controller in the order in which the worker tries them. `spec(job)`: the job as
   * its user uploaded it. `runS(job)`: its true run time. `note(text)` records what happens.
   */
  constructor({ machine, type, timings, nodes, spec, runS, note }) {
    Object.assign(this, { machine, type, timings, nodes, spec, runS, note });
    this.shift = 1;
    this.tally = 0;
    this.reins = 0;
    this.tasks = new Map();
    this.node = 0;
    this.alive = true;
    this.sick = false;
    this.renewedAt = performance.now();
    this.lastSentAt = -Infinity;
    this.changed = false;
    /** While the machine hangs: resolves when it goes on. */
    this.hung = null;
    this.images = new Map();
    /** Called with each answered report: the node, and whether it renewed the lease. */
    this.onAnswer = () => undefined;
  }

  get name() {
    return this.machine.nameId;
  }

  async start() {
    this.server = await serve((method, target, body) => this.onOrders(target, body));
    this.machine.endpoint = this.server.address;
    if (!this.alive) this.server.close();
    else void this.reportLoop();
  }

  /** The machine hangs: it sends and answers nothing, and nothing on it makes progress or ends. */
  hang() {
    this.note(`${this.name} hangs`);
    this.hung = new Promise((resolve) => {
      this.resume = () => {
        this.note(`${this.name} goes on`);
        this.hung = null;
        resolve();
      };
    });
  }

  /** The machine is gone with all that was on it. */
  kill(why) {
    if (!this.alive) return;
    this.alive = false;
    for (const task of this.tasks.values())
      if (task.status !== 'exited') {
        this.end(task);
        this.note(`${this.name}: ${task.hand} try ${task.try} is gone: machine ${why}`);
      }
    this.server?.close();
    this.client?.close();
    this.wake?.();
  }

  report() {
    const { nameId, breed, pasture, loaners, endpoint } = this.machine;
    const hands = [...this.tasks.values()].map(({ hand, try: attempt, status, cause, stored }) => ({
      hand,
      try: attempt,
      status,
      ...(cause ? { cause } : {}),
      ...(stored ? { stored } : {}),
    }));
    const { shift, reins } = this;
    return {
      stall: nameId,
      endpoint,
      breed,
      pasture,
      loaners,
      shift,
      tally: ++this.tally,
      reins,
      recallS: null,
      hands,
    };
  }

  async reportLoop() {
    while (this.alive) {
      await this.hung;
      if (!this.alive) return;
      this.checkLease();
      const [name, address] = this.nodes[this.node];
      this.client ??= new Client(address);
      this.changed = false;
      const sentAt = performance.now();
      this.lastSentAt = sentAt;
      const { shift } = this;
      const reply = await this.client.request('POST', '/checkin', this.report(), RESPONSE_TIMEOUT_MS);
      await this.hung;
      if (!this.alive) return;
      this.checkLease();
      if (reply?.status === 200) {
        this.onAnswer(name, true);
        this.onReply(reply.body, sentAt, shift);
        await this.pause();
      } else if (reply?.status === 421) {
        this.onAnswer(name, false);
        const named = this.nodes.findIndex(([node]) => node === reply.body?.foreman);
        if (named >= 0 && named !== this.node) {
          this.note(`${this.name}: ${name} sends it to ${reply.body.foreman}`);
          this.moveTo(named);
        } else await this.tryNext();
      } else {
        this.note(`${this.name}: ${name} answers ${reply ? reply.status : 'nothing'}`);
        await this.tryNext();
      }
    }
  }

  moveTo(index) {
    this.client?.close();
    this.client = null;
    this.node = index;
  }

  async tryNext() {
    this.moveTo((this.node + 1) % this.nodes.length);
    await this.sleep(RETRY_MS);
  }

  sleep(ms) {
    return new Promise((resolve) => {
      const timer = setTimeout(resolve, ms);
      this.wake = () => {
        clearTimeout(timer);
        resolve();
      };
    });
  }

  /** Waits for the next report: its interval give or take a quarter, or a change and at least half a second. */
  async pause() {
    const interval = this.timings.report_s * 1000 * (0.75 + Math.random() / 2);
    const until = this.lastSentAt + interval;
    for (;;) {
      const now = performance.now();
      const due = this.changed ? Math.min(until, this.lastSentAt + MIN_GAP_MS) : until;
      if (!this.alive || now >= due) return;
      await this.sleep(due - now);
    }
  }

  change() {
    this.changed = true;
    this.wake?.();
  }

  onReply(body, sentAt, shift) {
    const reins = body?.reins;
    if (reins === undefined || reins < this.reins || shift !== this.shift) return;
    this.setReins(Number(reins));
    this.renewedAt = Math.max(this.renewedAt, sentAt);
    for (const call of body.calls ?? []) this.execute(call);
  }

  setReins(reins) {
    if (reins > this.reins) this.change();
    this.reins = reins;
  }

  async onOrders(target, body) {
    await this.hung;
    if (!this.alive) return null;
    this.checkLease();
    if (target === '/inspect') return [200, this.report()];
    if (body?.reins === undefined || body.shift === undefined) return [400, {}];
    if (body.reins < this.reins || Number(body.shift) !== this.shift) return [409, this.report()];
    this.setReins(Number(body.reins));
    for (const call of body.calls) this.execute(call);
    return [200, this.report()];
  }

  checkLease() {
    const now = performance.now();
    if (this.hung || now - this.renewedAt <= this.timings.lease_s * 1000) return;
    this.note(`${this.name}: lease ran out, session ${this.shift + 1} begins`);
    for (const task of this.tasks.values()) this.end(task);
    this.tasks.clear();
    this.shift++;
    this.renewedAt = now;
    this.change();
  }

  execute({ call, hand, try: rawAttempt, slackS }) {
    const attempt = Number(rawAttempt);
    const key = `${hand} ${attempt}`;
    const task = this.tasks.get(key);
    if (call === 'reap') {
      if (task?.status === 'exited') this.tasks.delete(key);
    } else if (call === 'kill') {
      if (task) this.stop(task, slackS);
    } else if (!task) this.run(key, hand, attempt);
    this.change();
  }

  free() {
    const free = { ...this.type };
    for (const task of this.tasks.values()) {
      if (task.status === 'exited') continue;
      free.vcpus -= task.spec.vcpus;
      free.accelerators -= task.spec.accelerators;
      free.memGb -= task.spec.memGb;
    }
    return free;
  }

  run(key, hand, attempt) {
    const id = hand.split('/')[0];
    const spec = this.spec(id);
    const task = { hand, try: attempt, status: 'pulling', spec };
    const refusal = this.refusal(hand, spec);
    this.tasks.set(key, task);
    if (refusal) {
      this.exit(task, refusal);
      return;
    }
    const fetchMs = this.images.has(spec.kit) ? 0 : (spec.sizeGb / this.type.fetchGbPerS) * 1000;
    this.note(`${this.name}: told to run ${hand} try ${attempt}`);
    task.timer = setTimeout(() => this.begin(task), fetchMs);
  }

  refusal(hand, spec) {
    if (!spec) return 'no_such';
    if ([...this.tasks.values()].some((task) => task.hand === hand && task.status !== 'exited'))
      return 'in_use';
    const free = this.free();
    const hasRoom = ['vcpus', 'accelerators', 'memGb'].every((name) => spec[name] <= free[name] + 1e-6);
    return hasRoom ? null : 'no_room';
  }

  begin(task) {
    this.images.set(task.spec.kit, true);
    task.status = 'running';
    task.begunAt = performance.now();
    this.note(`${this.name}: ${task.hand} try ${task.try} runs`);
    this.change();
    if (this.sick) task.timer = setTimeout(() => this.exit(task, 'error'), 500);
    else if (task.spec.gait !== 'service')
      task.timer = setTimeout(() => this.exit(task, 'done'), this.runS(task.spec.nameId) * 1000);
  }

  stop(task, slackS) {
    if (task.status === 'exited' || (task.status === 'saving' && slackS > 0)) return;
    const { waypointS, stowS } = task.spec;
    if (task.status === 'running' && waypointS > 0 && slackS >= stowS) {
      this.end(task);
      task.status = 'saving';
      task.timer = setTimeout(() => {
        task.stored = true;
        this.exit(task, 'stopped');
      }, stowS * 1000);
    } else this.exit(task, 'stopped');
  }

  end(task) {
    clearTimeout(task.timer);
  }

  exit(task, cause) {
    this.end(task);
    task.status = 'exited';
    task.cause = cause;
    this.note(`${this.name}: ${task.hand} try ${task.try} exits: ${cause}`);
    this.change();
  }

  /** The tasks of the job that are on the machine. */
  holds(job) {
    return [...this.tasks.values()].filter(
      ({ hand, status }) => hand.startsWith(`${job}/`) && (status === 'running' || status === 'saving'),
    );
  }
}
