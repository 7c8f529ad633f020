/** The cloud provider's API, within the part of its rate limit that this controller has. */
import type { PlatformSettings } from '../../config/platform.js';
import type { ListedMachine, MachineType } from '../../core/machine-info.js';
import type { MachineId } from '../../core/units.js';
import { encode, tryDecode } from '../../wire/cbor.js';
import * as wire from '../../wire/cloud-provider.js';
import { monotonicNow, sleep } from '../clock.js';
import { HttpClient } from '../http/http-client.js';
import { TokenBucket } from '../key-value-store/token-bucket.js';
import { HTTP_STATUS } from '../http/http-status.js';

/** What became of a scale-out request. */
export type ScaleOutOutcome =
  | { kind: 'provisioned'; machines: MachineId[] }
  | { kind: 'no-capacity' }
  /** Rate limit, outage, or over our budget: not carried out. */
  | { kind: 'refused' }
  /** It may have been carried out. */
  | { kind: 'unknown' };

const TIMEOUT_MS = 3000;
const MAX_CONNECTIONS = 6;
const MAX_IDLE_MS = 20_000;
const BUDGET_FRACTION = 0.85;
const BURST_S = 1.5;
/** What reads leave in the budget: scale-out and scale-in go first. */
const RESERVED_FOR_CHANGES = 1;
const PAGE_SIZE = 500;
const PAGE_ATTEMPTS = 5;
const PAGE_RETRY_MS = 400;
const NO_CAPACITY_ERROR = 'no capacity';

/** Lists machine types and machines, creates and deletes machines. */
export class CloudProviderClient {
  private readonly http: HttpClient;
  private readonly budget: TokenBucket;
  private readonly reservedForChanges: number;

  constructor(platform: PlatformSettings) {
    this.http = new HttpClient(platform.cloudProvider, MAX_CONNECTIONS, MAX_IDLE_MS);
    const rate = platform.cloudProviderLimits.requestsPerS * BUDGET_FRACTION;
    const burst = Math.max(1, rate * BURST_S);
    this.budget = new TokenBucket(rate, burst, monotonicNow());
    this.reservedForChanges = burst >= 2 * RESERVED_FOR_CHANGES ? RESERVED_FOR_CHANGES : 0;
  }

  /** The machine types on offer; null while the cloud doesn't answer. */
  async listMachineTypes(): Promise<MachineType[] | null> {
    return this.read('/machine_types', wire.parseMachineTypes);
  }

  /** All machines; null while the cloud doesn't answer. */
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

  /** Creates machines; a repeated request of the same name creates no more. */
  async createMachines(request: wire.CreateMachinesRequest): Promise<ScaleOutOutcome> {
    if (!this.budget.take(1, monotonicNow())) return { kind: 'refused' };
    const body = encode(wire.createMachinesBody(request));
    const result = await this.http.request('POST', '/machines', body, TIMEOUT_MS);
    if (!result.ok) return result.sent ? { kind: 'unknown' } : { kind: 'refused' };
    const answer = tryDecode(result.body);
    if (result.status === HTTP_STATUS.ok) {
      const machines = wire.parseCreatedMachines(answer);
      return machines ? { kind: 'provisioned', machines } : { kind: 'unknown' };
    }
    const error = typeof answer === 'object' && answer !== null && 'error' in answer ? answer.error : null;
    const noCapacity = result.status === HTTP_STATUS.unavailable && error === NO_CAPACITY_ERROR;
    return { kind: noCapacity ? 'no-capacity' : 'refused' };
  }

  /** True only when the answer says that the machines are gone. */
  async deleteMachines(machines: MachineId[]): Promise<boolean> {
    if (!this.budget.take(1, monotonicNow())) return false;
    const body = encode(wire.deleteMachinesBody(machines));
    const result = await this.http.request('POST', '/machines/return', body, TIMEOUT_MS);
    return result.ok && result.status === HTTP_STATUS.ok;
  }

  /** A page that is refused is asked for again: under a tight budget no list would ever be complete otherwise. */
  private async readPage(after: MachineId | null): Promise<wire.MachineListPage | null> {
    const target = wire.listMachinesTarget(after, PAGE_SIZE);
    for (let attempt = 0; attempt < PAGE_ATTEMPTS; attempt++) {
      if (attempt > 0) await sleep(PAGE_RETRY_MS);
      const page = await this.read(target, wire.parseMachineListPage);
      // Before the first page there is nothing to lose.
      if (page || after === null) return page;
    }
    return null;
  }

  private async read<T>(target: string, parse: (raw: unknown) => T | null): Promise<T | null> {
    if (!this.budget.take(1, monotonicNow(), this.reservedForChanges)) return null;
    const result = await this.http.request('GET', target, null, TIMEOUT_MS);
    return result.ok && result.status === HTTP_STATUS.ok ? parse(tryDecode(result.body)) : null;
  }
}
