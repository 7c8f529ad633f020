/**
 * The machine types, from the cloud provider. While the provider does not respond, the catalog uses the copy that a
 * leader saved in the key-value store.
 */
import type { KeyValueStoreLimits } from '../../config/platform.js';
import type { MachineType } from '../../core/machine-info.js';
import type { Change } from '../../wire/key-value-store.js';
import {
  fitsValueLimit,
  keys,
  parseStoredMachineTypes,
  parseMachineTypesPage,
} from '../../wire/stored-records.js';
import { sleep } from '../clock.js';
import { budgetReserves, type KeyValueStoreClient } from '../key-value-store/key-value-store-client.js';
import type { LeaderElection } from '../leadership/leader-election.js';
import type { CloudProviderClient } from './cloud-provider-client.js';

const REFRESH_INTERVAL_MS = 30_000;
const RETRY_INTERVAL_MS = 700;

/** Splits the types into pages that each fit into one value of the key-value store. A type is never split. */
export const splitIntoPages = (types: MachineType[], maxValueKb: number): MachineType[][] => {
  const pages: MachineType[][] = [];
  for (const type of types) {
    const last = pages.at(-1);
    if (last && fitsValueLimit({ pages: types.length, types: [...last, type] }, maxValueKb)) last.push(type);
    else pages.push([type]);
  }
  return pages;
};

/** Dependencies of the catalog. */
export interface MachineTypeCatalogDependencies {
  limits: KeyValueStoreLimits;
  cloud: CloudProviderClient;
  store: KeyValueStoreClient;
  election: LeaderElection;
  onChange: (types: MachineType[]) => void;
}

/** Refreshes the machine types periodically. The leader also saves a copy for outages of the cloud provider. */
export class MachineTypeCatalog {
  /** The current machine types; empty until they have been read. */
  current: MachineType[] = [];

  constructor(private readonly dependencies: MachineTypeCatalogDependencies) {}

  /** Starts the periodic refresh, which runs until the process ends. */
  start(): void {
    void this.refreshPeriodically();
  }

  private async refreshPeriodically(): Promise<void> {
    for (;;) {
      await this.refresh();
      await sleep(this.current.length === 0 ? RETRY_INTERVAL_MS : REFRESH_INTERVAL_MS);
    }
  }

  private async refresh(): Promise<void> {
    if (this.current.length === 0) {
      const stored = await this.load();
      if (this.current.length === 0 && stored.length > 0) this.setTypes(stored);
    }
    const { cloud, election } = this.dependencies;
    if (this.current.length > 0 && !election.holdsLease) return;
    const listed = await cloud.listMachineTypes();
    if (!listed || listed.length === 0) return;
    this.setTypes(listed);
    await this.save(listed);
  }

  private setTypes(types: MachineType[]): void {
    this.current = types;
    this.dependencies.onChange(types);
  }

  private async load(): Promise<MachineType[]> {
    const { store } = this.dependencies;
    const first = await store.get(keys.machineTypesPage(0), budgetReserves.urgent);
    const page = first.kind === 'ok' ? parseMachineTypesPage(first.value.data) : null;
    if (page) return this.loadFurtherPages(page.pages, page.types);
    const whole = await store.get(keys.machineTypes, budgetReserves.urgent);
    return whole.kind === 'ok' ? (parseStoredMachineTypes(whole.value.data) ?? []) : [];
  }

  private async loadFurtherPages(pageCount: number, first: MachineType[]): Promise<MachineType[]> {
    const types = [...first];
    for (let i = 1; i < pageCount; i++) {
      const item = await this.dependencies.store.get(keys.machineTypesPage(i), budgetReserves.urgent);
      const page = item.kind === 'ok' ? parseMachineTypesPage(item.value.data) : null;
      if (!page) return [];
      types.push(...page.types);
    }
    return types;
  }

  private async save(types: MachineType[]): Promise<void> {
    const { maxValueKb } = this.dependencies.limits;
    if (fitsValueLimit(types, maxValueKb)) {
      await this.write([{ put: keys.machineTypes, data: types }, { delete: keys.machineTypesPage(0) }]);
      return;
    }
    const pages = splitIntoPages(types, maxValueKb);
    // The first page contains the number of pages. It is written last, so that the previous list is valid until then.
    for (const [i, page] of [...pages.entries()].reverse()) {
      const written = await this.write([
        { put: keys.machineTypesPage(i), data: { pages: pages.length, types: page } },
      ]);
      if (!written) return;
    }
  }

  /** Writes on the condition that this controller still holds the leader's lease. */
  private async write(changes: Change[]): Promise<boolean> {
    const { heldLease } = this.dependencies.election.electionState;
    if (!heldLease) return false;
    const result = await this.dependencies.store.transact({
      conditions: [{ key: keys.leader, revision: heldLease.keyRevision }],
      changes,
    });
    return result.kind === 'ok';
  }
}
