// Starts the project's controllers, as separate processes with the run command of deploy/service.toml, between the
// stand-ins for the state service, the cloud, the workers and the users.
import { spawn } from 'node:child_process';
import { mkdtempSync, readFileSync, rmSync, writeFileSync, createWriteStream } from 'node:fs';
import net from 'node:net';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import process from 'node:process';
import console from 'node:console';
import { setTimeout, clearTimeout } from 'node:timers';
import { performance } from 'node:perf_hooks';
import { fileURLToPath, URL } from 'node:url';
import { Cloud } from './cloud.js';
import { Proxy } from './proxy.js';
import { StateService } from './state-service.js';
import { Client } from './wire.js';
import { Worker } from './worker.js';

const ROOT = fileURLToPath(new URL('../..', import.meta.url));
const USER_TIMEOUT_MS = 5000;

export const sleep = (ms) => new Promise((resolve) => setTimeout(resolve, ms));

/** A free port below those that the system hands out by itself, so that nothing else takes it before it is used. */
const freePort = async () => {
  for (;;) {
    const port = 15_000 + Math.floor(Math.random() * 15_000);
    const free = await new Promise((resolve) => {
      const server = net.createServer();
      server.on('error', () => resolve(false));
      server.listen(port, '127.0.0.1', () => server.close(() => resolve(true)));
    });
    if (free) return port;
  }
};

const runCommand = () => {
  const text = readFileSync(join(ROOT, 'deploy/service.toml'), 'utf8');
  return /^run = "(.*)"$/m.exec(text)[1].split(' ');
};

const table = (name, fields) => {
  const lines = Object.entries(fields).map(([key, value]) => `${key} = ${JSON.stringify(value)}`);
  return `[${name}]\n${lines.join('\n')}\n`;
};

export class Cluster {
  /**
   * `folder`: of the case. `site`: settings of the deployment. `bootMs(n)`: the boot time of the n-th machine. `capacity`: machines that the cloud
   * has. `firstNode(machine, n)`: the index of the node to which the n-th machine reports first.
   */
  constructor({ folder, site, bootMs, capacity = 30, firstNode = () => 0, runS = () => 30 }) {
    Object.assign(this, { folder, site, runS, firstNode });
    this.lines = [];
    this.startedAt = performance.now();
    this.record = createWriteStream(join(folder, 'record.txt'));
    this.temporary = mkdtempSync(join(tmpdir(), 'case-'));
    this.jobs = new Map();
    this.workers = new Map();
    this.nodes = [];
    this.state = new StateService();
    this.cloud = new Cloud({
      types: site.types,
      listLagS: site.cloud.list_lag_s,
      bootMs,
      capacity,
      onUp: (machine, ordinal) => void this.addWorker(machine, ordinal),
      onGone: (machine, why) => this.workers.get(machine.nameId)?.kill(why),
      note: (text) => this.note(text),
    });
  }

  /** Seconds since the start. */
  get now() {
    return (performance.now() - this.startedAt) / 1000;
  }

  note(text) {
    this.record.write(`${this.now.toFixed(3).padStart(8)}  ${text}\n`);
  }

  /** Prepares the stand-ins, the settings and the proxies between the controllers. */
  async prepare() {
    const names = this.site.nodes.map(([name]) => name);
    const [stateAddresses, cloudAddresses] = [await this.state.start(names), await this.cloud.start(names)];
    for (const [i, [name, zone]] of this.site.nodes.entries())
      this.nodes.push({
        name,
        zone,
        public: `127.0.0.1:${await freePort()}`,
        internal: `127.0.0.1:${await freePort()}`,
        state: stateAddresses[i],
        cloud: cloudAddresses[i],
        proxies: new Map(),
      });
    for (const node of this.nodes) {
      for (const peer of this.nodes) {
        if (peer === node) continue;
        const proxy = new Proxy(peer.internal);
        node.proxies.set(peer.name, { proxy, address: await proxy.start() });
      }
      node.settings = join(this.temporary, `${node.name}.toml`);
      writeFileSync(node.settings, this.settingsOf(node));
    }
  }

  get proxies() {
    return this.nodes.flatMap((node) => [...node.proxies.values()].map(({ proxy }) => proxy));
  }

  settingsOf(node) {
    const { site } = this;
    const peers = this.nodes
      .filter((peer) => peer !== node)
      .map((peer) =>
        table('[peers]', {
          node_name: peer.name,
          area: peer.zone,
          address: node.proxies.get(peer.name).address,
        }),
      );
    const { name, zone } = node;
    const head = Object.entries({
      node_name: name,
      area: zone,
      public_addr: node.public,
      internal_addr: node.internal,
    })
      .map(([key, value]) => `${key} = ${JSON.stringify(value)}`)
      .join('\n');
    return [
      `${head}\n`,
      ...peers,
      table('external', { cloud: node.cloud, state: node.state }),
      table('settings', { count: site.nodes.length, zones: site.zones, clock_error_ms: 25.0 }),
      ...site.teams.map((team) => table('[settings.teams]', team)),
      table('settings.workers', site.workers),
      table('settings.state', site.state),
      table('settings.cloud', site.cloud),
      table('settings.limits', site.limits),
    ].join('\n');
  }

  node(name) {
    return this.nodes.find((node) => node.name === name);
  }

  /** Starts a controller. */
  startNode(name) {
    const node = this.node(name);
    const [program, ...args] = runCommand();
    const level = process.env.CASE_LOG ?? 'error';
    node.process = spawn(program === 'node' ? process.execPath : program, [...args, node.settings], {
      cwd: ROOT,
      env: { ...process.env, LOG_LEVEL: level },
      stdio: ['ignore', 'ignore', process.env.CASE_LOG ? 'inherit' : 'pipe'],
    });
    node.process.stderr?.on('data', (data) =>
      this.note(`${name} logs: ${String(data).trim().slice(0, 2000)}`),
    );
    const child = node.process;
    child.on('exit', (code, signal) => this.note(`${name} (process) ends: ${signal ?? code}`));
    this.note(`${name} starts`);
  }

  signal(name, signal) {
    this.note(`${name} gets ${signal}`);
    this.node(name).process.kill(signal);
  }

  /** Waits until the node answers GET /up with 200. */
  async waitUp(name, timeoutS = 20) {
    const client = new Client(this.node(name).public);
    const until = this.now + timeoutS;
    try {
      while (this.now < until) {
        const reply = await client.request('GET', '/up', undefined, 1000);
        if (reply?.status === 200) return;
        await sleep(100);
      }
    } finally {
      client.close();
    }
    throw new Error(`${name} is not up after ${timeoutS} s`);
  }

  async addWorker(machine, ordinal) {
    const type = this.site.types.find(({ label }) => label === machine.breed);
    const worker = new Worker({
      machine,
      type,
      timings: this.site.workers,
      nodes: this.nodes.map((node) => [node.name, node.public]),
      spec: (id) => this.jobs.get(id),
      runS: this.runS,
      note: (text) => this.note(text),
    });
    worker.node = this.firstNode(machine, ordinal) % this.nodes.length;
    this.note(`${machine.nameId} (${machine.breed}, ${machine.pasture}) is up`);
    this.workers.set(machine.nameId, worker);
    this.onWorker?.(worker);
    await worker.start();
  }

  /** One request of a user, which is recorded with its answer. */
  async user(node, method, path, body) {
    const client = new Client(this.node(node).public);
    const reply = await client.request(method, path, body, USER_TIMEOUT_MS);
    client.close();
    const answer = reply ? `${reply.status} ${JSON.stringify(reply.body)}` : 'no answer';
    this.note(`user: ${method} ${path} at ${node}: ${answer}`);
    return reply;
  }

  /** Submits a job; it is repeated, as users do, until it is accepted. */
  async submit(node, job) {
    this.jobs.set(job.nameId, job);
    this.note(`user: submits ${JSON.stringify(job)}`);
    for (let attempt = 0; attempt < 20; attempt++) {
      const reply = await this.user(node, 'POST', '/v1/jobs', job);
      if (reply && (reply.status === 200 || reply.status === 201)) return;
      await sleep(1000);
    }
    throw new Error(`${job.nameId} was not accepted`);
  }

  /** Cancels a job; it is repeated, as users do, until it is answered. */
  async abort(node, id) {
    for (let attempt = 0; attempt < 20; attempt++) {
      const reply = await this.user(node, 'POST', `/v1/jobs/${id}/abort`);
      if (reply?.status === 200) return reply.body.status;
      await sleep(1000);
    }
    throw new Error(`${id} could not be cancelled`);
  }

  /** Records what the leader's page for operators says of a job. The rule is not judged by it. */
  async noteQueue(id) {
    for (const node of this.nodes) {
      const client = new Client(node.internal);
      const reply = await client.request('GET', '/queue', undefined, 1000);
      client.close();
      const text = JSON.stringify(reply?.body?.queue ?? null);
      if (text.includes(id)) this.note(`operators' page of ${node.name}: ${text}`);
    }
  }

  async waitFor(what, condition, timeoutS) {
    const until = this.now + timeoutS;
    while (this.now < until) {
      if (condition()) {
        this.note(`test: ${what}`);
        return;
      }
      await sleep(50);
    }
    throw new Error(`not within ${timeoutS} s: ${what}`);
  }

  /** Ends every process that was started, and all stand-ins. */
  async close() {
    for (const { process: child } of this.nodes) {
      if (!child || child.exitCode !== null || child.signalCode !== null) continue;
      child.kill('SIGKILL');
      child.kill('SIGCONT');
    }
    for (const worker of this.workers.values()) worker.kill('at the end of the test');
    for (const proxy of this.proxies) proxy.close();
    this.state.close();
    this.cloud.close();
    rmSync(this.temporary, { recursive: true, force: true });
    await new Promise((resolve) => this.record.end(resolve));
  }
}

/** Runs a case: exit code 1 if `body` returns a text that says how the rule was broken, 0 for null, 2 on an error. */
export const runCase = async (options, body) => {
  const cluster = new Cluster(options);
  const trouble = process.env.TROUBLE !== '0';
  const guard = setTimeout(() => {
    cluster.note('test: over its time, could not run');
    void cluster.close().then(() => process.exit(2));
  }, 118_000);
  for (const signal of ['SIGINT', 'SIGTERM'])
    process.on(signal, () => {
      cluster.note(`test: gets ${signal}, could not run`);
      void cluster.close().then(() => process.exit(2));
    });
  let code = 2;
  try {
    cluster.note(trouble ? 'with the disruption' : 'without the disruption (TROUBLE=0)');
    await cluster.prepare();
    const broken = await body(cluster, trouble);
    cluster.note(broken ? `RULE BROKEN: ${broken}` : 'the rule held');
    console.log(broken ? `rule broken: ${broken}` : 'the rule held');
    code = broken ? 1 : 0;
  } catch (error) {
    cluster.note(`could not run: ${error.message}`);
    console.log(`could not run: ${error.message}`);
  }
  clearTimeout(guard);
  await cluster.close();
  process.exit(code);
};
