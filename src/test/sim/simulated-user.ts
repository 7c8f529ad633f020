/**
 * A simulated user of one job, implemented from the published protocol: submits the job, polls its status and may
 * cancel it. Requests and their retries go to random controllers.
 */
import type { InvariantChecker } from './invariant-checker.js';
import type { SimulatedHost } from './simulated-host.js';
import { parseAddress } from '../../config/address.js';
import type { JobSpec } from '../../core/job-spec.js';
import { HttpClient } from '../../runtime/http/http-client.js';
import { encode, tryDecode } from '../../wire/cbor.js';

const POLL_INTERVAL_MS = 5000;
const RETRY_DELAY_MS = 1000;
const WRITE_TIMEOUT_MS = 5000;
const READ_TIMEOUT_MS = 2000;
const MAX_SUBMISSION_ATTEMPTS = 60;
const MAX_CANCELLATION_ATTEMPTS = 90;
/** The names of the job kinds in the user protocol. */
const jobKindNames = { array: 'array', gang: 'group', service: 'service' };

/** The request body with which a user submits the job. */
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

/** The user of one job. It passes each received status to the invariant checker. */
export class SimulatedUser {
  status = 'not submitted';
  accepted = false;
  /** Called when the job is accepted. */
  onAccepted: () => void = () => undefined;
  /** The time of the last response with a status of the job. */
  lastResponseAt = -Infinity;
  private readonly clients: HttpClient[];
  /** Whether the user has requested the cancellation of the job. */
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

  /** Submits the job and polls its status until it is done or cancelled. */
  start(): void {
    this.host.run(() => void this.submit());
  }

  /** Requests the cancellation of the job, with retries until a controller confirms it. */
  cancel(): void {
    this.host.run(() => void this.requestCancellation());
  }

  /** Submits the job again and queries its status, at every controller. */
  queryAllControllers(): void {
    for (const [controllerIndex] of this.clients.entries()) {
      this.host.run(() => {
        void this.sendRequest('POST', '/v1/jobs', jobBody(this.spec), WRITE_TIMEOUT_MS, controllerIndex).then(
          (response) => this.checkStillKnown(response),
        );
        void this.sendRequest('GET', `/v1/jobs/${this.spec.id}`, null, READ_TIMEOUT_MS, controllerIndex).then(
          (response) => this.checkStillKnown(response),
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

  /** Sends a request to the given controller, or to a random one. Returns null if there is no response. */
  async sendRequest(
    method: string,
    path: string,
    body: unknown,
    timeoutMs: number,
    controllerIndex?: number,
  ): Promise<UserResponse | null> {
    const client = this.clients[controllerIndex ?? Math.floor(this.random() * this.clients.length)];
    const requestedAt = this.host.runtime.clock.now;
    const result = await client.request(method, path, body === null ? null : encode(body), timeoutMs);
    return result.ok
      ? {
          status: result.status,
          body: result.body.length > 0 ? tryDecode(result.body) : {},
          requestedAt,
        }
      : null;
  }

  private async submit(): Promise<void> {
    for (let attempts = 0; attempts < MAX_SUBMISSION_ATTEMPTS && !this.accepted; attempts++) {
      const response = await this.sendRequest('POST', '/v1/jobs', jobBody(this.spec), WRITE_TIMEOUT_MS);
      if (response && (response.status === 201 || response.status === 200)) {
        this.accepted = true;
        this.checker.onJobAccepted(this.spec.id);
        this.onStatus(response);
        this.onAccepted();
      } else if (response && (response.status === 400 || response.status === 422)) {
        this.status = String(response.status);
        return;
      } else await new Promise((resolve) => setTimeout(resolve, RETRY_DELAY_MS));
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
    for (let attempts = 0; attempts < MAX_CANCELLATION_ATTEMPTS; attempts++) {
      // A 404 is a violation only if the job was accepted before the request. The acceptance may overtake the response.
      const acceptedBefore = this.accepted;
      const response = await this.sendRequest('POST', `/v1/jobs/${this.spec.id}/abort`, {}, WRITE_TIMEOUT_MS);
      if (response?.status === 200) {
        this.onStatus(response);
        return;
      }
      if (response?.status === 404 && acceptedBefore)
        this.checker.reportForgottenJob(this.spec.id, '404 in response to a cancellation');
      await new Promise((resolve) => setTimeout(resolve, RETRY_DELAY_MS));
    }
  }

  private onStatus(response: UserResponse): void {
    const { now } = this.host.runtime.clock;
    this.lastResponseAt = now;
    // A response to a request sent before a final status arrived may contain an older status.
    if (this.finalReportedAt !== null && response.requestedAt <= this.finalReportedAt) return;
    const { status } = response.body as { status: string };
    this.status = status === 'withdrawn' ? 'cancelled' : status;
    if (this.status === 'cancelled' && this.cancellationRequested)
      this.checker.onCancellationReported(this.spec.id);
    else if (this.status === 'cancelled') this.checker.onUnrequestedCancellation(this.spec.id);
    // The status in a late response may be as old as the request.
    else if (this.status !== 'done') this.checker.onUnfinishedReported(this.spec.id, response.requestedAt);
    else this.checker.onStatusReported(this.spec.id, this.status);
    if (this.status === 'done' || this.status === 'cancelled') this.finalReportedAt ??= now;
  }
}
