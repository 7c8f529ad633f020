// A user of one job: submits it, asks about it, may call it off; retries as the protocol says, at any controller.
import type { InvariantChecker } from './invariant-checker.js';
import type { SimulatedHost } from './simulated-host.js';
import { parseAddress } from '../../config/address.js';
import type { JobSpec } from '../../core/types.js';
import { HttpClient } from '../../runtime/http/http-client.js';
import { encode, tryDecode } from '../../wire/cbor.js';

const POLL_MS = 5000;
const gaits = { array: 'array', gang: 'group', service: 'service' };

export const jobBody = (spec: JobSpec): Record<string, unknown> => ({
  nameId: spec.id,
  herd: spec.class,
  outfit: spec.team,
  gait: gaits[spec.kind],
  rank: spec.priority,
  hands: spec.tasks,
  vcpus: spec.cpus,
  accelerators: spec.gpus,
  memGb: spec.memoryGb,
  kit: spec.image,
  sizeGb: spec.imageGb,
  breeds: spec.types,
  pasture: spec.zone,
  oneZone: spec.oneZone,
  spread: spec.spread,
  loaners: spec.spot,
  rideS: spec.estimateS,
  waypointS: spec.checkpointS,
  stowS: spec.saveS,
  dueS: spec.deadlineS,
  ...(spec.dependsOn.length > 0 ? { awaits: spec.dependsOn } : {}),
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
        void this.sendRequest('POST', '/v1/jobs', jobBody(this.spec), 5000, at).then((response) =>
          this.check(response),
        );
        void this.sendRequest('GET', `/v1/jobs/${this.spec.id}`, null, 2000, at).then((response) =>
          this.check(response),
        );
      });
    }
  }

  private check(response: UserResponse | null): void {
    if (!response || !this.accepted) return;
    if (response.status === 404 || response.status === 400 || response.status === 422)
      this.checker.reportForgottenJob(this.spec.id, String(response.status));
    else if (response.status === 200) this.take(response);
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
    const result = await client.request(method, path, body === null ? null : encode(body), timeoutMs);
    return result.ok
      ? {
          status: result.status,
          body: result.body.length > 0 ? tryDecode(result.body) : {},
          requestedAt: askedAt,
        }
      : null;
  }

  private async submit(): Promise<void> {
    for (let tries = 0; tries < 60 && !this.accepted; tries++) {
      const response = await this.sendRequest('POST', '/v1/jobs', jobBody(this.spec), 5000);
      if (response && (response.status === 201 || response.status === 200)) {
        this.accepted = true;
        this.checker.onJobAccepted(this.spec.id);
        this.take(response);
        this.onAccepted();
      } else if (response && (response.status === 400 || response.status === 422)) {
        this.status = String(response.status);
        return;
      } else await new Promise((resolve) => setTimeout(resolve, 1000));
    }
    void this.poll();
  }

  private async poll(): Promise<void> {
    while (this.status !== 'done' && this.status !== 'cancelled') {
      await new Promise((resolve) => setTimeout(resolve, POLL_MS));
      const response = await this.sendRequest('GET', `/v1/jobs/${this.spec.id}`, null, 2000);
      if (response?.status === 404 && this.accepted) this.checker.reportForgottenJob(this.spec.id, '404');
      else if (response?.status === 200) this.take(response);
    }
  }

  private async abort(): Promise<void> {
    if (this.cancellationRequested) return;
    this.cancellationRequested = true;
    this.checker.onCancellationRequested(this.spec.id);
    for (let tries = 0; tries < 90; tries++) {
      // Only what was accepted before it was asked has to be known: an answer may be overtaken by the acceptance.
      const acceptedBefore = this.accepted;
      const response = await this.sendRequest('POST', `/v1/jobs/${this.spec.id}/abort`, {}, 5000);
      if (response?.status === 200) {
        this.take(response);
        return;
      }
      if (response?.status === 404 && acceptedBefore)
        this.checker.reportForgottenJob(this.spec.id, '404 to a cancellation');
      await new Promise((resolve) => setTimeout(resolve, 1000));
    }
  }

  private take(response: UserResponse): void {
    const { now } = this.host.runtime.clock;
    this.lastResponseAt = now;
    // Asked before a final answer came, and overtaken by it: older by right.
    if (this.finalAt !== null && response.requestedAt <= this.finalAt) return;
    const { status } = response.body as { status: string };
    this.status = status === 'withdrawn' ? 'cancelled' : status;
    if (this.status === 'cancelled' && this.cancellationRequested)
      this.checker.onCancellationReported(this.spec.id);
    else if (this.status === 'cancelled') this.checker.onUnrequestedCancellation(this.spec.id);
    // Asked before, and only answered now: what was true then is no older than it should be.
    else if (this.status !== 'done') this.checker.onUnfinishedReported(this.spec.id, response.requestedAt);
    else this.checker.onStatusReported(this.spec.id, this.status);
    if (this.status === 'done' || this.status === 'cancelled') this.finalAt ??= now;
  }
}
