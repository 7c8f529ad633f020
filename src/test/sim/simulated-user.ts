// A user of one job: submits it, asks about it, may call it off; retries as the protocol says, at any controller.
import type { InvariantChecker } from './invariant-checker.js';
import type { SimulatedHost } from './simulation-runtime.js';
import { parseAddress } from '../../config/address.js';
import type { JobSpec } from '../../core/types.js';
import { HttpClient } from '../../runtime/http/http-client.js';
import { encode, tryDecode } from '../../wire/cbor.js';

const POLL_MS = 5000;
const gaits = { array: 'array', gang: 'group', service: 'service' };

export const jobBody = (s: JobSpec): Record<string, unknown> => ({
  nameId: s.id,
  herd: s.class,
  outfit: s.team,
  gait: gaits[s.kind],
  rank: s.priority,
  hands: s.tasks,
  vcpus: s.cpus,
  accelerators: s.gpus,
  memGb: s.memoryGb,
  kit: s.image,
  sizeGb: s.imageGb,
  breeds: s.types,
  pasture: s.zone,
  oneZone: s.oneZone,
  spread: s.spread,
  loaners: s.spot,
  rideS: s.estimateS,
  waypointS: s.checkpointS,
  stowS: s.saveS,
  dueS: s.deadlineS,
  ...(s.dependsOn.length > 0 ? { awaits: s.dependsOn } : {}),
});

export interface UserResponse {
  status: number;
  body: unknown;
  requestedAt: number;
}

export class SimulatedUser {
  status = 'not submitted';
  accepted = false;
  /** Called when the job is accepted. */
  onAccepted: () => void = () => undefined;
  /** When a question about the job was last answered. */
  lastResponseAt = -Infinity;
  private readonly clients: HttpClient[];
  /** Its user has asked to cancel it. */
  cancellationRequested = false;
  private finalAt: number | null = null;

  constructor(
    private readonly host: SimulatedHost,
    readonly spec: JobSpec,
    addresses: string[],
    private readonly checker: InvariantChecker,
    private readonly random: () => number,
  ) {
    this.clients = addresses.map((a) => new HttpClient(parseAddress(a), 2, 30_000));
  }

  start(): void {
    this.host.run(() => void this.submit());
  }

  cancel(): void {
    this.host.run(() => void this.abort());
  }

  /** The submission and a question once more, at every controller. */
  queryAllControllers(): void {
    for (const [at] of this.clients.entries()) {
      this.host.run(() => {
        void this.sendRequest('POST', '/v1/jobs', jobBody(this.spec), 5000, at).then((r) => this.check(r));
        void this.sendRequest('GET', `/v1/jobs/${this.spec.id}`, null, 2000, at).then((r) => this.check(r));
      });
    }
  }

  private check(r: UserResponse | null): void {
    if (!r || !this.accepted) return;
    if (r.status === 404 || r.status === 400 || r.status === 422)
      this.checker.reportForgottenJob(this.spec.id, String(r.status));
    else if (r.status === 200) this.take(r);
  }

  /** Asks one controller, whichever state the job is in. */
  async sendRequest(
    method: string,
    path: string,
    body: unknown,
    timeoutMs: number,
    at?: number,
  ): Promise<UserResponse | null> {
    const client = this.clients[at ?? Math.floor(this.random() * this.clients.length)];
    const askedAt = this.host.runtime.clock.now;
    const r = await client.request(method, path, body === null ? null : encode(body), timeoutMs);
    return r.ok
      ? { status: r.status, body: r.body.length > 0 ? tryDecode(r.body) : {}, requestedAt: askedAt }
      : null;
  }

  private async submit(): Promise<void> {
    for (let tries = 0; tries < 60 && !this.accepted; tries++) {
      const r = await this.sendRequest('POST', '/v1/jobs', jobBody(this.spec), 5000);
      if (r && (r.status === 201 || r.status === 200)) {
        this.accepted = true;
        this.checker.onJobAccepted(this.spec.id);
        this.take(r);
        this.onAccepted();
      } else if (r && (r.status === 400 || r.status === 422)) {
        this.status = String(r.status);
        return;
      } else await new Promise((go) => setTimeout(go, 1000));
    }
    void this.poll();
  }

  private async poll(): Promise<void> {
    while (this.status !== 'done' && this.status !== 'cancelled') {
      await new Promise((go) => setTimeout(go, POLL_MS));
      const r = await this.sendRequest('GET', `/v1/jobs/${this.spec.id}`, null, 2000);
      if (r?.status === 404 && this.accepted) this.checker.reportForgottenJob(this.spec.id, '404');
      else if (r?.status === 200) this.take(r);
    }
  }

  private async abort(): Promise<void> {
    if (this.cancellationRequested) return;
    this.cancellationRequested = true;
    this.checker.onCancellationRequested(this.spec.id);
    for (let tries = 0; tries < 90; tries++) {
      // Only what was accepted before it was asked has to be known: an answer may be overtaken by the acceptance.
      const acceptedBefore = this.accepted;
      const r = await this.sendRequest('POST', `/v1/jobs/${this.spec.id}/abort`, {}, 5000);
      if (r?.status === 200) {
        this.take(r);
        return;
      }
      if (r?.status === 404 && acceptedBefore)
        this.checker.reportForgottenJob(this.spec.id, '404 to a cancellation');
      await new Promise((go) => setTimeout(go, 1000));
    }
  }

  private take(r: UserResponse): void {
    const { now } = this.host.runtime.clock;
    this.lastResponseAt = now;
    // Asked before a final answer came, and overtaken by it: older by right.
    if (this.finalAt !== null && r.requestedAt <= this.finalAt) return;
    const { status } = r.body as { status: string };
    this.status = status === 'withdrawn' ? 'cancelled' : status;
    if (this.status === 'cancelled' && this.cancellationRequested)
      this.checker.onCancellationReported(this.spec.id);
    else if (this.status === 'cancelled') this.checker.onUnrequestedCancellation(this.spec.id);
    // Asked before, and only answered now: what was true then is no older than it should be.
    else if (this.status !== 'done') this.checker.onUnfinishedReported(this.spec.id, r.requestedAt);
    else this.checker.onStatusReported(this.spec.id, this.status);
    if (this.status === 'done' || this.status === 'cancelled') this.finalAt ??= now;
  }
}
