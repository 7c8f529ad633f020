/** Users of the protocol page: they submit, ask and cancel through a load balancer that picks healthy nodes. */
import { Client } from './http.js';
import { now, sleep } from './record.js';

const SUBMIT_TIMEOUT_MS = 5000;
const ASK_TIMEOUT_MS = 2000;
const RETRY_MS = 1000;
const RETRIES_MS = 60_000;

export class Users {
  constructor(controllers, record) {
    this.controllers = controllers;
    this.record = record;
    /** job id -> `{ job, runS }`, which the workers fetch. */
    this.jobs = new Map();
    this.turn = 0;
  }

  /** The next healthy node, each in turn. */
  node() {
    const { nodes, healthy } = this.controllers;
    const usable = nodes.filter(({ name }) => healthy.has(name));
    const from = usable.length > 0 ? usable : nodes;
    return from[this.turn++ % from.length];
  }

  async request(node, method, path, body, timeoutMs) {
    const client = new Client(node.address);
    const reply = await client.send(method, path, body, timeoutMs);
    client.close();
    return reply;
  }

  /** Submits until the job is accepted or refused; resolves to the last status. */
  async submit(job, runS) {
    this.jobs.set(job.nameId, { job, runS });
    const until = now() + RETRIES_MS;
    for (;;) {
      const node = this.node();
      const { status, body } = await this.request(node, 'POST', '/v1/jobs', job, SUBMIT_TIMEOUT_MS);
      this.record.add('submit', { job: job.nameId, node: node.name, status, answer: body ?? null });
      if ([200, 201, 400, 422].includes(status) || now() > until) return status;
      await sleep(RETRY_MS);
    }
  }

  async ask(id, node = this.node()) {
    const { status, body } = await this.request(node, 'GET', `/v1/jobs/${id}`, null, ASK_TIMEOUT_MS);
    this.record.add('ask', { job: id, node: node.name, status, answer: body ?? null });
    return { status, body };
  }

  async abortOnce(id, node = this.node()) {
    const path = `/v1/jobs/${id}/abort`;
    const { status, body } = await this.request(node, 'POST', path, null, SUBMIT_TIMEOUT_MS);
    this.record.add('abort', { job: id, node: node.name, status, answer: body ?? null });
    return { status, body };
  }
}
