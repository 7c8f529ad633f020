/** Starts the project's own program with the `run` command of the deploy file, and sends signals to it. */
import { spawn } from 'node:child_process';
import { closeSync, mkdtempSync, openSync, readFileSync, rmSync, writeFileSync } from 'node:fs';
import { createServer } from 'node:net';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import process from 'node:process';
import { clearInterval, setInterval } from 'node:timers';
import { fileURLToPath, URL } from 'node:url';
import { parse } from 'smol-toml';
import { Client } from './http.js';
import { sleep } from './record.js';

const ROOT = fileURLToPath(new URL('../../', import.meta.url));
const PROBE_MS = 1000;
const PROBE_TIMEOUT_MS = 1000;

const freePort = () =>
  new Promise((resolve) => {
    const server = createServer();
    server.listen(0, '127.0.0.1', () => {
      const { port } = server.address();
      server.close(() => resolve(port));
    });
  });

const teamToml = (team) => `[[settings.teams]]
name = "${team.name}"
cpus = ${team.cpus.toFixed(1)}
cpus_max = ${team.cpusMax.toFixed(1)}
gpus = ${team.gpus.toFixed(1)}
gpus_max = ${team.gpusMax.toFixed(1)}
`;

const settingsToml = (node, peers, { external, site }) => `node_name = "${node.name}"
area = "${node.area}"
public_addr = "${node.address}"
internal_addr = "${node.internal}"

${peers
  .map(
    (peer) => `[[peers]]\nnode_name = "${peer.name}"\narea = "${peer.area}"\naddress = "${peer.internal}"\n`,
  )
  .join('\n')}
[external]
cloud = "${external.cloud}"
state = "${external.state}"

[settings]
count = ${peers.length + 1}
zones = [${site.zones.map((zone) => `"${zone}"`).join(', ')}]
clock_error_ms = ${site.clockErrorMs.toFixed(1)}

${site.teams.map(teamToml).join('\n')}
[settings.workers]
report_s = ${site.workers.reportS.toFixed(1)}
lease_s = ${site.workers.leaseS.toFixed(1)}
gang_wait_s = ${site.workers.gangWaitS.toFixed(1)}
gang_peer_s = ${site.workers.gangPeerS.toFixed(1)}
cancel_s = ${site.workers.cancelS.toFixed(1)}

[settings.state]
rps = ${site.state.rps.toFixed(1)}
write_rps = ${site.state.writeRps.toFixed(1)}
value_kb = ${site.state.valueKb.toFixed(1)}
txn_ops = ${site.state.txnOps}

[settings.cloud]
rps = ${site.cloud.rps.toFixed(1)}
list_lag_s = ${site.cloud.listLagS.toFixed(1)}

[settings.limits]
cpu = ${site.limits.cpu}
memory_mb = ${site.limits.memoryMb.toFixed(1)}
fd_limit = ${site.limits.fdLimit}
`;

/** The addresses of the nodes of a site, with free ports. `throughProxy` may replace addresses that others see. */
export const planNodes = async (site) => {
  const nodes = [];
  for (const [i, area] of site.nodeAreas.entries()) {
    const address = `127.0.0.1:${await freePort()}`;
    const internal = `127.0.0.1:${await freePort()}`;
    nodes.push({ name: `stable-${i}`, area, address, internal });
  }
  return nodes;
};

export class Controllers {
  constructor(nodes, options, record) {
    this.nodes = nodes;
    this.options = options;
    this.record = record;
    this.folder = mkdtempSync(join(tmpdir(), 'review-'));
    const [program, ...args] = parse(readFileSync(join(ROOT, 'deploy/service.toml'), 'utf8')).run.split(
      /\s+/,
    );
    Object.assign(this, { program, args });
    this.children = new Map();
    this.healthy = new Set();
    this.ended = [];
    this.probes = nodes.map(({ address }) => new Client(address));
  }

  start(name) {
    const node = this.nodes.find((other) => other.name === name);
    const peers = this.nodes.filter((other) => other !== node);
    const settings = join(this.folder, `${name}.toml`);
    writeFileSync(
      settings,
      settingsToml(node, peers, { ...this.options, external: this.options.externalOf(name) }),
    );
    const log = openSync(join(this.folder, `${name}.log`), 'a');
    const child = spawn(this.program, [...this.args, settings], {
      cwd: ROOT,
      env: { ...process.env, LOG_LEVEL: process.env.LOG_LEVEL ?? 'info' },
      stdio: ['ignore', 'ignore', log],
    });
    closeSync(log);
    this.children.set(name, child);
    this.record.add('controller started', { node: name, pid: child.pid });
    child.on('exit', (code, signal) => {
      this.record.add('controller ended', { node: name, code, signal });
      this.ended.push({ name, code, signal });
    });
  }

  startAll() {
    for (const { name } of this.nodes) this.start(name);
    this.timer = setInterval(() => void this.probeAll(), PROBE_MS);
  }

  signal(name, signal) {
    this.record.add('signal', { node: name, signal });
    this.children.get(name).kill(signal);
  }

  async probeAll() {
    await Promise.all(
      this.nodes.map(async ({ name }, i) => {
        const { status } = await this.probes[i].send('GET', '/up', null, PROBE_TIMEOUT_MS);
        if (status === 200) this.healthy.add(name);
        else this.healthy.delete(name);
      }),
    );
  }

  /** Resolves to whether all nodes answered `GET /up` with 200 within the time. */
  async waitHealthy(timeoutMs) {
    for (let waited = 0; waited < timeoutMs; waited += 100) {
      await this.probeAll();
      if (this.healthy.size === this.nodes.length) return true;
      await sleep(100);
    }
    return false;
  }

  log(name) {
    return readFileSync(join(this.folder, `${name}.log`), 'utf8');
  }

  stop() {
    clearInterval(this.timer);
    for (const child of this.children.values()) {
      child.removeAllListeners('exit');
      child.kill('SIGKILL');
    }
    for (const probe of this.probes) probe.close();
    if (process.env.KEEP_LOGS !== '1') rmSync(this.folder, { recursive: true, force: true });
    else this.record.add('logs kept', { folder: 'temporary folder' });
  }
}
