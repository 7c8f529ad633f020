/** A user of one job, written from the published protocol: submits it, queries it, may cancel it; retries at any controller. */
import type { InvariantChecker } from './invariant-checker.js';
import type { SimulatedHost } from './simulated-host.js';
import { parseAddress } from '../../config/address.js';
import type { JobSpec } from '../../core/job-spec.js';
import { HttpClient } from '../../runtime/http/http-client.js';
import { encode, tryDecode } from '../../wire/cbor.js';

const POLL_INTERVAL_MS = 5000;
const RETRY_AFTER_MS = 1000;
const WRITE_TIMEOUT_MS = 5000;
const READ_TIMEOUT_MS = 2000;
const MAX_SUBMISSIONS = 60;
const MAX_CANCELLATIONS = 90;
const jobKindNames = { array: 'array', gang: 'group', service: 'service' };

/** The job as a user submits it. */
export const jobBody = (spec: JobSpec): Record<string, unknown> => ({
  nameId: spec.id,
  herd: spec.class,
  outfit: spec.team,
  gait: jobKindNames[spec.kind],
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

/** A controller's response to a user. */
export interface UserResponse {
  status: number;
  body: unknown;
  requestedAt: number;
}

/** The user of one job; what it is told goes to the invariant checker. */
export class SimulatedUser {
  status = 'not submitted';
  accepted = false;
  /** Called when the job is accepted. */
  onAccepted: () => void = () => undefined;
  /** When a request about the job was last answered. */
  lastResponseAt = -Infinity;
  private readonly clients: HttpClient[];
  /** It has asked to cancel the job. */
  cancellationRequested = false;
  private finalReportedAt: number | null = null;

  constructor(
    private readonly host: SimulatedHost,
    readonly spec: JobSpec,
    addresses: string[],
    private readonly checker: InvariantChecker,
    private readonly random: () => number,
  ) {
    this.clients = addresses.map((a) => new HttpClient(parseAddress(a), 2, 30_000));
  }

  /** Submits the job, and queries it until it has ended. */
  start(): void {
    this.host.run(() => void this.submit());
  }

  /** Asks to cancel the job until a controller confirms it. */
  cancel(): void {
    this.host.run(() => void this.requestCancellation());
  }

  /** Submits and queries the job once more, at every controller. */
  queryAllControllers(): void {
    for (const [at] of this.clients.entries()) {
      this.host.run(() => {
        void this.sendRequest('POST', '/v1/jobs', jobBody(this.spec), WRITE_TIMEOUT_MS, at).then((response) =>
          this.checkStillKnown(response),
        );
        void this.sendRequest('GET', `/v1/jobs/${this.spec.id}`, null, READ_TIMEOUT_MS, at).then((response) =>
          this.checkStillKnown(response),
        );
      });
    }
  }

  private checkStillKnown(response: UserResponse | null): void {
    if (!response || !this.accepted) return;
    if (response.status === 404 || response.status === 400 || response.status === 422)
      this.checker.reportForgottenJob(this.spec.id, String(response.status));
    else if (response.status === 200) this.onStatus(response);
  }

  /** Sends a request to one controller, whichever state the job is in. */
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
    for (let tries = 0; tries < MAX_SUBMISSIONS && !this.accepted; tries++) {
      const response = await this.sendRequest('POST', '/v1/jobs', jobBody(this.spec), WRITE_TIMEOUT_MS);
      if (response && (response.status === 201 || response.status === 200)) {
        this.accepted = true;
        this.checker.onJobAccepted(this.spec.id);
        this.onStatus(response);
        this.onAccepted();
      } else if (response && (response.status === 400 || response.status === 422)) {
        this.status = String(response.status);
        return;
      } else await new Promise((resolve) => setTimeout(resolve, RETRY_AFTER_MS));
    }
    void this.poll();
  }

  private async poll(): Promise<void> {
    while (this.status !== 'done' && this.status !== 'cancelled') {
      await new Promise((resolve) => setTimeout(resolve, POLL_INTERVAL_MS));
      const response = await this.sendRequest('GET', `/v1/jobs/${this.spec.id}`, null, READ_TIMEOUT_MS);
      if (response?.status === 404 && this.accepted) this.checker.reportForgottenJob(this.spec.id, '404');
      else if (response?.status === 200) this.onStatus(response);
    }
  }

  private async requestCancellation(): Promise<void> {
    if (this.cancellationRequested) return;
    this.cancellationRequested = true;
    this.checker.onCancellationRequested(this.spec.id);
    for (let tries = 0; tries < MAX_CANCELLATIONS; tries++) {
      // Only what was accepted before the request has to be known: a response may be overtaken by the acceptance.
      const acceptedBefore = this.accepted;
      const response = await this.sendRequest('POST', `/v1/jobs/${this.spec.id}/abort`, {}, WRITE_TIMEOUT_MS);
      if (response?.status === 200) {
        this.onStatus(response);
        return;
      }
      if (response?.status === 404 && acceptedBefore)
        this.checker.reportForgottenJob(this.spec.id, '404 to a cancellation');
      await new Promise((resolve) => setTimeout(resolve, RETRY_AFTER_MS));
    }
  }

  private onStatus(response: UserResponse): void {
    const { now } = this.host.runtime.clock;
    this.lastResponseAt = now;
    // Requested before a final response arrived, and overtaken by it: rightly older.
    if (this.finalReportedAt !== null && response.requestedAt <= this.finalReportedAt) return;
    const { status } = response.body as { status: string };
    this.status = status === 'withdrawn' ? 'cancelled' : status;
    if (this.status === 'cancelled' && this.cancellationRequested)
      this.checker.onCancellationReported(this.spec.id);
    else if (this.status === 'cancelled') this.checker.onUnrequestedCancellation(this.spec.id);
    // Requested before, and only answered now: it may be as old as the request.
    else if (this.status !== 'done') this.checker.onUnfinishedReported(this.spec.id, response.requestedAt);
    else this.checker.onStatusReported(this.spec.id, this.status);
    if (this.status === 'done' || this.status === 'cancelled') this.finalReportedAt ??= now;
  }
}
