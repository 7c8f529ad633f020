/** A worker whose reports arrive while answers and direct commands don't reach it: `machine_deaf`. */
import { spawn } from 'node:child_process';
import { connect } from 'node:net';
import process from 'node:process';
import { fileURLToPath, URL } from 'node:url';
import { sleep } from './record.js';
import { Worker } from './worker.js';

const GATE = fileURLToPath(new URL('./gate.js', import.meta.url));
/** More than the queue of the gate takes. */
const FILLING_CONNECTIONS = 4;
const FILL_MS = 30;

export class DeafWorker extends Worker {
  filling = [];

  async start() {
    await super.start();
    this.gate = spawn(process.execPath, [GATE, this.server.address], { stdio: ['pipe', 'pipe', 'ignore'] });
    const port = await new Promise((resolve) => {
      this.gate.stdout.once('data', (chunk) => resolve(Number(String(chunk))));
    });
    this.endpoint = `127.0.0.1:${port}`;
  }

  /** The first report is sent once the address is known. */
  async reportLoop() {
    while (this.gate === undefined || this.endpoint === this.server.address) await sleep(5);
    await super.reportLoop();
  }

  async goDeaf() {
    this.deaf = true;
    await this.closeGate();
    this.record.add('trouble begins: answers and commands do not reach the machine', { machine: this.name });
  }

  hearAgain() {
    this.deaf = false;
    this.openGate();
    this.record.add('trouble over', { machine: this.name });
  }

  /** From now on connections to the machine hang. */
  async closeGate() {
    this.gate.kill('SIGSTOP');
    const [host, port] = this.endpoint.split(':');
    for (let i = 0; i < FILLING_CONNECTIONS; i++) {
      const socket = connect({ host, port: Number(port) });
      socket.on('error', () => socket.destroy());
      this.filling.push(socket);
    }
    await sleep(FILL_MS);
  }

  openGate() {
    for (const socket of this.filling) socket.destroy();
    this.gate.kill('SIGCONT');
  }

  stop(cause) {
    super.stop(cause);
    this.gate?.kill('SIGKILL');
  }
}
