/**
 * A worker of the protocol page: reports, leases, tokens, commands, image fetches. Jobs are arrays, services and gangs
 * of one task.
 */
import { clearInterval, clearTimeout, setInterval, setTimeout } from 'node:timers';
import { Client, serve } from './http.js';
import { now, sleep } from './record.js';

const REPLY_TIMEOUT_MS = 4000;
const NEXT_NODE_DELAY_MS = 1000;
const MIN_REPORT_GAP_MS = 500;
const LEASE_CHECK_MS = 100;
/** `fetchGbPerS`, give or take a third. */
const FETCH_SPEED = 1.3;
/** A faulty machine fails a task this long after it has its image. */
const FAIL_AFTER_MS = 500;

export class Worker {
  /** `jobs`: job id -> `{ job, runS }`, as the users uploaded them. */
  constructor({ name, breed, pasture, loaners, timings, nodes, jobs, record }) {
    Object.assign(this, { name, breed, pasture, loaners, timings, nodes, jobs, record });
    this.shift = 1;
    this.tally = 0;
    this.reins = 0;
    this.recallS = null;
    this.tasks = new Map();
    this.images = new Set();
    this.fetches = new Map();
    this.sick = false;
    this.stopped = false;
    /** Answers don't reach the worker. */
    this.deaf = false;
    this.nodeIndex = 0;
    this.sessionBeganAt = now();
    this.leaseFrom = this.sessionBeganAt;
    this.tokenChangeAt = -Infinity;
    this.changed = true;
    this.clients = nodes.map(({ address }) => new Client(address));
    /** When the last report was answered with a valid 200. */
    this.answeredAt = -Infinity;
    this.answered = 0;
  }

  async start() {
    this.server = await serve((message) => this.handle(message));
    this.endpoint = this.server.address;
    this.timer = setInterval(() => this.checkLease(), LEASE_CHECK_MS);
    void this.reportLoop();
    this.record.add('machine up', {
      machine: this.name,
      breed: this.breed.label,
      pasture: this.pasture,
      loaners: this.loaners,
    });
  }

  /** The machine is gone with all that is on it. */
  stop(cause) {
    if (this.stopped) return;
    this.stopped = true;
    clearInterval(this.timer);
    this.endTasks();
    this.server.close();
    for (const client of this.clients) client.close();
    this.record.add('machine gone', { machine: this.name, cause });
  }

  report() {
    const hands = [...this.tasks.values()].map(({ hand, attempt, status, cause, stored }) => ({
      hand,
      try: attempt,
      status,
      ...(cause === null ? {} : { cause }),
      ...(stored ? { stored } : {}),
    }));
    return {
      stall: this.name,
      endpoint: this.endpoint,
      breed: this.breed.label,
      pasture: this.pasture,
      loaners: this.loaners,
      shift: this.shift,
      tally: ++this.tally,
      reins: this.reins,
      recallS: this.recallS,
      hands,
    };
  }

  async reportLoop() {
    let lastSentAt = -Infinity;
    while (!this.stopped) {
      const { reportS } = this.timings;
      const dueAt = lastSentAt + reportS * 1000 * (0.75 + 0.5 * Math.random());
      while (!this.stopped && now() < dueAt && !(this.changed && now() >= lastSentAt + MIN_REPORT_GAP_MS))
        await sleep(20);
      if (this.stopped) return;
      lastSentAt = now();
      this.changed = false;
      if (!(await this.sendReport(lastSentAt))) lastSentAt = -Infinity;
    }
  }

  /** Returns false if another node is to be tried at once. */
  async sendReport(sentAt) {
    const { shift } = this;
    const { status, body } = await this.clients[this.nodeIndex].send(
      'POST',
      '/checkin',
      this.report(),
      REPLY_TIMEOUT_MS,
    );
    if (this.deaf) {
      // The answer is lost: the worker waits for it and closes the connection.
      this.clients[this.nodeIndex].close();
      this.clients[this.nodeIndex] = new Client(this.nodes[this.nodeIndex].address);
      this.record.add('report, its answer is lost', {
        machine: this.name,
        node: this.nodes[this.nodeIndex].name,
        status,
        answer: body ?? null,
      });
      await sleep(sentAt + REPLY_TIMEOUT_MS - now());
      return this.tryNextNode();
    }
    if (this.stopped) return true;
    this.record.add('report', {
      machine: this.name,
      node: this.nodes[this.nodeIndex].name,
      shift,
      reins: body?.reins ?? null,
      status,
      foreman: body?.foreman ?? null,
    });
    if (status === 200) {
      this.onReply(shift, sentAt, body);
      return true;
    }
    const named = status === 421 ? this.nodes.findIndex(({ name }) => name === body?.foreman) : -1;
    if (named >= 0 && named !== this.nodeIndex) {
      this.nodeIndex = named;
      return false;
    }
    return this.tryNextNode();
  }

  async tryNextNode() {
    await sleep(NEXT_NODE_DELAY_MS);
    this.nodeIndex = (this.nodeIndex + 1) % this.nodes.length;
    return false;
  }

  onReply(shift, sentAt, body) {
    const reins = body?.reins === undefined ? null : Number(body.reins);
    if (shift !== this.shift || reins === null || reins < this.reins) return;
    this.setToken(reins);
    this.leaseFrom = sentAt;
    this.answeredAt = now();
    this.answered++;
    for (const command of body.calls ?? []) this.execute(command, 'reply');
  }

  setToken(reins) {
    if (reins <= this.reins) return;
    this.reins = reins;
    if (now() - this.tokenChangeAt < (this.timings.leaseS * 1000) / 2) return;
    this.tokenChangeAt = now();
    this.changed = true;
  }

  handle({ method, path, body }) {
    if (this.stopped) return null;
    if (method === 'GET' && path === '/inspect') return { status: 200, body: this.report() };
    if (method !== 'POST' || path !== '/orders') return { status: 404 };
    if (body?.reins === undefined || body.shift === undefined) return { status: 400 };
    if (Number(body.reins) < this.reins || Number(body.shift) !== this.shift)
      return { status: 409, body: this.report() };
    this.setToken(Number(body.reins));
    for (const command of body.calls ?? []) this.execute(command, 'orders');
    return { status: 200, body: this.report() };
  }

  execute(command, via) {
    const { call, hand, slackS } = command;
    const attempt = Number(command.try);
    const key = `${hand}#${attempt}`;
    this.record.add('command', { machine: this.name, via, call, hand, try: attempt });
    const task = this.tasks.get(key);
    if (call === 'run' && !task) this.run(key, hand, attempt);
    else if (call === 'kill' && task) this.kill(task, slackS ?? 0);
    else if (call === 'reap' && task?.status === 'exited') {
      this.tasks.delete(key);
      this.changed = true;
    }
  }

  run(key, hand, attempt) {
    const task = { hand, attempt, status: 'pulling', cause: null, stored: false, timer: null };
    const [jobId, index] = hand.split('/');
    const known = this.jobs.get(jobId);
    const others = [...this.tasks.values()].filter(
      (other) => other.hand === hand && other.status !== 'exited',
    );
    this.tasks.set(key, task);
    this.changed = true;
    if (!known || Number(index) >= known.job.hands) return this.exit(task, 'no_such');
    if (others.length > 0) return this.exit(task, 'in_use');
    task.job = known.job;
    task.runS = known.runS;
    if (!this.hasRoom()) return this.exit(task, 'no_room');
    return this.fetch(task);
  }

  /** What is free beside all tasks that have not exited. */
  free() {
    const free = { vcpus: this.breed.vcpus, accelerators: this.breed.accelerators, memGb: this.breed.memGb };
    for (const { status, job } of this.tasks.values())
      if (status !== 'exited' && job) for (const key of Object.keys(free)) free[key] -= job[key];
    return free;
  }

  hasRoom() {
    return Object.values(this.free()).every((amount) => amount > -1e-6);
  }

  /** Whether a further task of the job would fit. */
  fits(job) {
    return Object.entries(this.free()).every(([key, amount]) => job[key] <= amount + 1e-6);
  }

  fetch(task) {
    const { kit, sizeGb } = task.job;
    if (this.images.has(kit)) {
      this.begin(task);
      return;
    }
    const ms = (sizeGb / (this.breed.fetchGbPerS * FETCH_SPEED)) * 1000;
    if (!this.fetches.has(kit))
      this.fetches.set(
        kit,
        sleep(ms).then(() => this.fetched(kit)),
      );
  }

  fetched(kit) {
    this.fetches.delete(kit);
    if (this.stopped) return;
    const waiting = [...this.tasks.values()].filter(
      ({ status, job }) => status === 'pulling' && job.kit === kit,
    );
    if (waiting.length === 0) return;
    this.images.add(kit);
    for (const task of waiting) this.begin(task);
  }

  begin(task) {
    task.status = 'running';
    task.runningSince = now();
    this.changed = true;
    this.record.add('task runs', { machine: this.name, hand: task.hand, try: task.attempt, sick: this.sick });
    if (this.sick) task.timer = setTimeout(() => this.exit(task, 'error'), FAIL_AFTER_MS);
    else if (task.job.gait !== 'service')
      task.timer = setTimeout(() => this.exit(task, 'done'), task.runS * 1000);
  }

  kill(task, slackS) {
    if (task.status === 'exited') return;
    const saves = task.status === 'running' && task.job.waypointS > 0 && slackS >= task.job.stowS;
    if (!saves) {
      this.exit(task, 'stopped');
      return;
    }
    clearTimeout(task.timer);
    task.status = 'saving';
    task.timer = setTimeout(() => this.exit(task, 'stopped', true), task.job.stowS * 1000);
    this.changed = true;
  }

  exit(task, cause, stored = false) {
    clearTimeout(task.timer);
    Object.assign(task, { status: 'exited', cause, stored });
    this.changed = true;
    this.record.add('task exits', { machine: this.name, hand: task.hand, try: task.attempt, cause });
  }

  endTasks() {
    for (const task of this.tasks.values()) clearTimeout(task.timer);
    this.tasks.clear();
  }

  checkLease() {
    if (now() - this.leaseFrom <= this.timings.leaseS * 1000) return;
    this.record.add('worker lease ran out', {
      machine: this.name,
      shift: this.shift,
      tasks: this.tasks.size,
    });
    this.endTasks();
    this.shift++;
    this.leaseFrom = now();
    this.changed = true;
  }
}
