/** A small deployment on loopback: three controllers, and the stand-ins for everything around them. */
import console from 'node:console';
import { join } from 'node:path';
import process from 'node:process';
import { clearTimeout, setTimeout } from 'node:timers';
import { Cloud } from './cloud.js';
import { Controllers, planNodes } from './controllers.js';
import { Record, sleep } from './record.js';
import { StateService } from './state-service.js';
import { Users } from './users.js';
import { Worker } from './worker.js';

export const EXIT = { held: 0, broken: 1, couldNotRun: 2 };
/** A run takes 120 s at most. */
const MAX_RUN_MS = 119_000;

export const troubleWanted = process.env.TROUBLE !== '0';

export class Cluster {
  constructor(site, folder) {
    this.site = site;
    this.record = new Record(join(folder, 'record.txt'));
    this.state = new StateService(site.state, this.record);
  }

  async start() {
    const { site, record } = this;
    this.nodes = await planNodes(site);
    const state = await this.state.start();
    this.cloud = new Cloud({ ...site.cloud, record, createWorker: (machine) => this.createWorker(machine) });
    const clouds = new Map();
    for (const { name } of this.nodes) clouds.set(name, await this.cloud.addressFor(name));
    const externalOf = (name) => ({ cloud: clouds.get(name), state });
    this.controllers = new Controllers(this.nodes, { site, externalOf }, record);
    this.users = new Users(this.controllers, record);
    this.controllers.startAll();
    return this.controllers.waitHealthy(15_000);
  }

  createWorker({ name, breed, pasture, loaners }) {
    const { record } = this;
    const { workers: timings, leaderComes, WorkerType = Worker } = this.site;
    const leader = this.leader();
    const others = this.nodes.filter((node) => node.name !== leader);
    const leading = this.nodes.filter((node) => node.name === leader);
    const orders = { first: [...leading, ...others], last: [...others, ...leading] };
    const nodes = orders[leaderComes] ?? this.nodes;
    return new WorkerType({ name, breed, pasture, loaners, timings, nodes, jobs: this.users.jobs, record });
  }

  /** The name of the node that holds the leader key. */
  leader() {
    return this.state.items.get('l/leader')?.data.node;
  }

  get workers() {
    return this.cloud.workers;
  }

  /** Waits until the condition holds; resolves to whether it did within the time. */
  async until(condition, timeoutMs) {
    for (let waited = 0; waited < timeoutMs; waited += 50) {
      if (condition()) return true;
      await sleep(50);
    }
    return condition();
  }

  stop() {
    this.controllers?.stop();
    this.cloud?.stop();
    this.state.stop();
  }
}

/** Runs a case. `play` gets the started cluster and resolves to `{ code, text }`. */
export const runCase = async (site, folder, play) => {
  const cluster = new Cluster(site, folder);
  const { record } = cluster;
  const finish = ({ code, text }) => {
    record.add(`result ${code}: ${text}`);
    console.log(`${troubleWanted ? 'with' : 'without'} trouble: ${text} (${code})`);
    cluster.stop();
    process.exit(code);
  };
  const late = setTimeout(
    () => finish({ code: EXIT.couldNotRun, text: 'the run took too long' }),
    MAX_RUN_MS,
  );
  for (const signal of ['SIGINT', 'SIGTERM'])
    process.on(signal, () => finish({ code: EXIT.couldNotRun, text: `ended by ${signal}` }));
  try {
    const up = await cluster.start();
    const result = up
      ? await play(cluster)
      : { code: EXIT.couldNotRun, text: 'the controllers did not answer GET /up with 200' };
    clearTimeout(late);
    finish(result);
  } catch (error) {
    finish({ code: EXIT.couldNotRun, text: `could not run: ${error.stack}` });
  }
};
