/** Client of the cloud provider's API, within a fraction of the provider's rate limit. */
import type { PlatformSettings } from '../../config/platform.js';
import type { ListedMachine, MachineType } from '../../core/machine-info.js';
import type { MachineId } from '../../core/units.js';
import { encode, tryDecode } from '../../wire/cbor.js';
import * as wire from '../../wire/cloud-provider.js';
import { monotonicNow, sleep } from '../clock.js';
import { HttpClient } from '../http/http-client.js';
import { TokenBucket } from '../key-value-store/token-bucket.js';
import { HTTP_STATUS } from '../http/http-status.js';

/** Outcome of a scale-out request. */
export type ScaleOutOutcome =
  | { kind: 'provisioned'; machines: MachineId[] }
  | { kind: 'no-capacity' }
  /** Not executed: rate limit, outage, or over this controller's request budget. */
  | { kind: 'refused' }
  /** The request may have been executed. */
  | { kind: 'unknown' };

const CLOUD_REQUEST_TIMEOUT_MS = 3000;
const MAX_CONNECTIONS = 6;
const MAX_CONNECTION_IDLE_MS = 20_000;
const RATE_LIMIT_FRACTION = 0.85;
const BURST_DURATION_S = 1.5;
/** Tokens that reads leave in the budget, because scale-out and scale-in take precedence. */
const TOKENS_RESERVED_FOR_CHANGES = 1;
const MACHINES_PER_LIST_PAGE = 500;
const MAX_PAGE_ATTEMPTS = 5;
const PAGE_RETRY_DELAY_MS = 400;
const NO_CAPACITY_ERROR = 'no capacity';

/** Lists machine types and machines, creates and deletes machines. */
export class CloudProviderClient {
  private readonly http: HttpClient;
  private readonly budget: TokenBucket;
  private readonly tokensReservedForChanges: number;

  constructor(platform: PlatformSettings) {
    this.http = new HttpClient(platform.cloudProvider, MAX_CONNECTIONS, MAX_CONNECTION_IDLE_MS);
    const rate = platform.cloudProviderLimits.requestsPerS * RATE_LIMIT_FRACTION;
    const burst = Math.max(1, rate * BURST_DURATION_S);
    this.budget = new TokenBucket(rate, burst, monotonicNow());
    this.tokensReservedForChanges =
      burst >= 2 * TOKENS_RESERVED_FOR_CHANGES ? TOKENS_RESERVED_FOR_CHANGES : 0;
  }

  /** Returns the available machine types, or null if the cloud provider does not respond. */
  async listMachineTypes(): Promise<MachineType[] | null> {
    return this.read('/machine_types', wire.parseMachineTypes);
  }

  /** Returns all machines, or null if the list could not be read completely. */
  async listMachines(): Promise<ListedMachine[] | null> {
    const machines: ListedMachine[] = [];
    let lastId: MachineId | null = null;
    for (;;) {
      const page = await this.readPage(lastId);
      if (!page) return null;
      machines.push(...page.machines);
      const last: ListedMachine | undefined = page.machines.at(-1);
      if (!page.more || !last) return machines;
      lastId = last.id;
    }
  }

  /** Creates machines. The request id makes this idempotent: a repeated request creates no further machines. */
  async createMachines(request: wire.CreateMachinesRequest): Promise<ScaleOutOutcome> {
    if (!this.budget.take(1, monotonicNow())) return { kind: 'refused' };
    const body = encode(wire.createMachinesBody(request));
    const result = await this.http.request('POST', '/machines', body, CLOUD_REQUEST_TIMEOUT_MS);
    if (!result.ok) return result.sent ? { kind: 'unknown' } : { kind: 'refused' };
    const responseBody = tryDecode(result.body);
    if (result.status === HTTP_STATUS.ok) {
      const machines = wire.parseCreatedMachines(responseBody);
      return machines ? { kind: 'provisioned', machines } : { kind: 'unknown' };
    }
    const error =
      typeof responseBody === 'object' && responseBody !== null && 'error' in responseBody
        ? responseBody.error
        : null;
    const noCapacity = result.status === HTTP_STATUS.unavailable && error === NO_CAPACITY_ERROR;
    return { kind: noCapacity ? 'no-capacity' : 'refused' };
  }

  /** Deletes machines. Returns true only if the cloud provider confirms the deletion. */
  async deleteMachines(machines: MachineId[]): Promise<boolean> {
    if (!this.budget.take(1, monotonicNow())) return false;
    const body = encode(wire.deleteMachinesBody(machines));
    const result = await this.http.request('POST', '/machines/return', body, CLOUD_REQUEST_TIMEOUT_MS);
    return result.ok && result.status === HTTP_STATUS.ok;
  }

  /**
   * Reads one page, with retries for all pages but the first: with a low rate limit, a list of several pages would
   * otherwise never be complete.
   */
  private async readPage(after: MachineId | null): Promise<wire.MachineListPage | null> {
    const target = wire.listMachinesTarget(after, MACHINES_PER_LIST_PAGE);
    for (let attempt = 0; attempt < MAX_PAGE_ATTEMPTS; attempt++) {
      if (attempt > 0) await sleep(PAGE_RETRY_DELAY_MS);
      const page = await this.read(target, wire.parseMachineListPage);
      // A failure of the first page discards no pages, so it is not retried.
      if (page || after === null) return page;
    }
    return null;
  }

  private async read<T>(target: string, parse: (raw: unknown) => T | null): Promise<T | null> {
    if (!this.budget.take(1, monotonicNow(), this.tokensReservedForChanges)) return null;
    const result = await this.http.request('GET', target, null, CLOUD_REQUEST_TIMEOUT_MS);
    return result.ok && result.status === HTTP_STATUS.ok ? parse(tryDecode(result.body)) : null;
  }
}
