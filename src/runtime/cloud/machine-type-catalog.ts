// The machine types: from the cloud, or while it doesn't answer, from what a leader has kept in the state service.
import type { CloudProviderClient } from './cloud-provider-client.js';
import type { LeaderElection } from '../leadership/leader-election.js';
import { budgetReserves, type KeyValueStoreClient } from '../key-value-store/key-value-store-client.js';
import type { KeyValueStoreLimits } from '../../config/platform.js';
import type { MachineType } from '../../core/types.js';
import {
  fitsValue,
  keys,
  parseStoredTypes,
  parseTypesPage,
  type Change,
} from '../../wire/key-value-store.js';

const REFRESH_MS = 30_000;
const RETRY_MS = 700;

const sleep = (ms: number): Promise<void> => new Promise((resolve) => setTimeout(resolve, ms));

/** In pieces that each fit one value; a single type is never divided. */
export const splitIntoPages = (types: MachineType[], valueKb: number): MachineType[][] => {
  const pages: MachineType[][] = [];
  for (const type of types) {
    const last = pages.at(-1);
    if (last && fitsValue({ pages: types.length, types: [...last, type] }, valueKb)) last.push(type);
    else pages.push([type]);
  }
  return pages;
};

/** Keeps the machine types up to date, and a copy of them for times without the cloud. */
export class MachineTypeCatalog {
  /** Empty until they are known. */
  current: MachineType[] = [];

  constructor(
    private readonly limits: KeyValueStoreLimits,
    private readonly cloud: CloudProviderClient,
    private readonly state: KeyValueStoreClient,
    private readonly membership: LeaderElection,
    private readonly onChange: (types: MachineType[]) => void,
  ) {}

  start(): void {
    void this.follow();
  }

  private async follow(): Promise<void> {
    for (;;) {
      if (this.current.length === 0) {
        const kept = await this.load();
        if (this.current.length === 0 && kept.length > 0) this.set(kept);
      }
      if (this.current.length === 0 || this.membership.holdsLease) {
        const fresh = await this.cloud.listMachineTypes();
        if (fresh && fresh.length > 0) {
          this.set(fresh);
          await this.store(fresh);
        }
      }
      await sleep(this.current.length === 0 ? RETRY_MS : REFRESH_MS);
    }
  }

  private set(types: MachineType[]): void {
    this.current = types;
    this.onChange(types);
  }

  private async load(): Promise<MachineType[]> {
    const first = await this.state.get(keys.typesPage(0), budgetReserves.urgent);
    const page = first.kind === 'ok' ? parseTypesPage(first.value.data) : null;
    if (page) return this.loadPages(page.pages, page.types);
    const whole = await this.state.get(keys.types, budgetReserves.urgent);
    return whole.kind === 'ok' ? (parseStoredTypes(whole.value.data) ?? []) : [];
  }

  private async loadPages(count: number, first: MachineType[]): Promise<MachineType[]> {
    const all = [...first];
    for (let i = 1; i < count; i++) {
      const item = await this.state.get(keys.typesPage(i), budgetReserves.urgent);
      const page = item.kind === 'ok' ? parseTypesPage(item.value.data) : null;
      if (!page) return [];
      all.push(...page.types);
    }
    return all;
  }

  private async store(types: MachineType[]): Promise<void> {
    if (fitsValue(types, this.limits.valueKb)) {
      await this.write([{ put: keys.types, data: types }, { delete: keys.typesPage(0) }]);
      return;
    }
    const pages = splitIntoPages(types, this.limits.valueKb);
    // The first page names the number of pages and is written last: until then the list before holds.
    for (const [i, page] of [...pages.entries()].reverse()) {
      if (!(await this.write([{ put: keys.typesPage(i), data: { pages: pages.length, types: page } }])))
        return;
    }
  }

  private async write(then: Change[]): Promise<boolean> {
    const held = this.membership.electionState.heldLease;
    if (!held) return false;
    const r = await this.state.transact({
      conditions: [{ key: keys.leader, revision: held.keyRevision }],
      changes: then,
    });
    return r.kind === 'ok';
  }
}
