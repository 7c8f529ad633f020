import { HttpClient } from '../http/http-client.js';
import { TokenBucket } from '../key-value-store/token-bucket.js';
import type { PlatformSettings } from '../../config/platform.js';
import type { ListedMachine, MachineType } from '../../core/types.js';
import type { MachineId } from '../../core/units.js';
import { encode, tryDecode } from '../../wire/cbor.js';
import * as wire from '../../wire/cloud.js';

export type ScaleOutOutcome =
  | { kind: 'provisioned'; machines: MachineId[] }
  | { kind: 'no-capacity' }
  | { kind: 'refused' } // 429, outage, over our budget: not carried out
  | { kind: 'unknown' };

const TIMEOUT_MS = 3000;
/** What reads leave in the budget: renting and returning go first. */
const FOR_CHANGES = 1;
const PAGE_TRIES = 5;
const PAGE_RETRY_MS = 400;
const sleep = (ms: number): Promise<void> => new Promise((r) => setTimeout(r, ms));

export class CloudProviderClient {
  private readonly http: HttpClient;
  private readonly budget: TokenBucket;
  private readonly forChanges: number;

  constructor(platform: PlatformSettings) {
    this.http = new HttpClient(platform.cloudProvider, 6, 20_000);
    const rps = platform.cloudProviderLimits.rps * 0.85;
    const burst = Math.max(1, rps * 1.5);
    this.budget = new TokenBucket(rps, burst, performance.now());
    this.forChanges = burst >= 2 * FOR_CHANGES ? FOR_CHANGES : 0;
  }

  /** Null while the cloud doesn't answer. */
  async listMachineTypes(): Promise<MachineType[] | null> {
    return this.read('/machine_types', wire.parseMachineTypes);
  }

  async listMachines(): Promise<ListedMachine[] | null> {
    const machines: ListedMachine[] = [];
    let since: MachineId | null = null;
    for (;;) {
      // A page refused must not throw away those before it: under a tight budget no list would ever be complete.
      let page: ReturnType<typeof wire.parseMachines> = null;
      for (let tries = 0; page === null && tries < PAGE_TRIES; tries++) {
        if (tries > 0) await sleep(PAGE_RETRY_MS);
        page = await this.read(wire.listMachinesTarget(since, 500), wire.parseMachines);
        if (page === null && machines.length === 0) return null;
      }
      if (!page) return null;
      machines.push(...page.machines);
      const last: ListedMachine | undefined = page.machines.at(-1);
      if (!page.more || !last) return machines;
      since = last.id;
    }
  }

  async createMachines(rental: wire.ScaleOutRequest): Promise<ScaleOutOutcome> {
    if (!this.budget.take(1, performance.now())) return { kind: 'refused' };
    const r = await this.http.request(
      'POST',
      '/machines',
      encode(wire.createMachinesBody(rental)),
      TIMEOUT_MS,
    );
    if (!r.ok) return r.sent ? { kind: 'unknown' } : { kind: 'refused' };
    const body = tryDecode(r.body);
    if (r.status === 200) {
      const machines = wire.parseCreatedMachines(body);
      return machines ? { kind: 'provisioned', machines } : { kind: 'unknown' };
    }
    const error = typeof body === 'object' && body !== null && 'error' in body ? body.error : null;
    return { kind: r.status === 503 && error === 'no capacity' ? 'no-capacity' : 'refused' };
  }

  /** True only when the answer says that the machines are gone. */
  async deleteMachines(machines: MachineId[]): Promise<boolean> {
    if (!this.budget.take(1, performance.now())) return false;
    const r = await this.http.request(
      'POST',
      '/machines/return',
      encode(wire.deleteMachinesBody(machines)),
      TIMEOUT_MS,
    );
    return r.ok && r.status === 200;
  }

  private async read<T>(target: string, parse: (raw: unknown) => T | null): Promise<T | null> {
    if (!this.budget.take(1, performance.now(), this.forChanges)) return null;
    const r = await this.http.request('GET', target, null, TIMEOUT_MS);
    return r.ok && r.status === 200 ? parse(tryDecode(r.body)) : null;
  }
}
