/** A worker whose machine loses the network for a while: no report leaves, and connections to it hang. */
import { DeafWorker } from './deaf-worker.js';
import { sleep } from './record.js';

const REPLY_TIMEOUT_MS = 4000;

export class CutWorker extends DeafWorker {
  async sendReport(sentAt) {
    if (!this.cut) return super.sendReport(sentAt);
    this.record.add('report lost', { machine: this.name, node: this.nodes[this.nodeIndex].name });
    await sleep(REPLY_TIMEOUT_MS);
    return this.tryNextNode();
  }

  async cutOff() {
    this.cut = true;
    await this.closeGate();
    this.record.add('trouble begins: the machine loses the network', { machine: this.name });
  }

  backAgain() {
    this.cut = false;
    this.openGate();
    this.record.add('the machine has the network again', { machine: this.name });
  }
}
