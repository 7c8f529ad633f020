/**
 * The pages of the durable machine registry, which lists the machines that may hold tasks. Each page is one record in
 * the key-value store.
 */
import type { MachineInfo } from '../machine-info.js';
import type { MachineId } from '../units.js';

interface Page {
  machines: Map<MachineId, MachineInfo>;
  writing: boolean;
  /** Whether the stored page contains machines that were removed. */
  stale: boolean;
  /** Whether the last write was not confirmed. The registration of its machines waits for a successful write. */
  failed: boolean;
}

/** The content of a page to be written. */
export interface RegistryPage {
  page: string;
  machines: MachineInfo[];
}

/** Whether all of these machines fit on one page. */
export type FitsPage = (machines: MachineInfo[]) => boolean;

/** Tracks the content of the pages and their writes in flight. */
export class MachineRegistry {
  private readonly pages = new Map<string, Page>();

  /** Adds a machine that the page contains. */
  load(name: string, info: MachineInfo): void {
    const page = this.pages.get(name) ?? { machines: new Map(), writing: false, stale: false, failed: false };
    page.machines.set(info.id, info);
    this.pages.set(name, page);
  }

  /** Adds a new page with these machines, whose write is in flight. */
  openPage(name: string, machines: MachineInfo[]): void {
    for (const info of machines) this.load(name, info);
    this.pages.get(name)!.writing = true;
  }

  /** Handles the result of writing a page, and returns the machines whose registration is now durable. */
  onPageWritten(name: string, ok: boolean): MachineId[] {
    const page = this.pages.get(name);
    if (!page) return [];
    page.writing = false;
    page.failed = !ok;
    if (!ok) return [];
    if (page.machines.size === 0) this.pages.delete(name);
    return [...page.machines.keys()];
  }

  /** Removes the machine from the page; the page is written without it later. */
  remove(name: string, id: MachineId): void {
    const page = this.pages.get(name);
    if (page?.machines.delete(id)) page.stale = true;
  }

  /**
   * Machines to move off a page that is too large to be rewritten, as after the key-value store's limit on a value was
   * lowered. They must be registered on a new page, and are removed from the old page only when the new one is durable.
   */
  selectMachinesToSplitOff(fits: FitsPage): MachineInfo[] {
    for (const page of this.pages.values()) {
      if (!page.stale || page.writing) continue;
      const machines = [...page.machines.values()];
      if (!fits(machines)) return longestFittingPrefix(machines, fits);
    }
    return [];
  }

  /** The next page to be rewritten, without its removed machines; an empty page is to be deleted from the store. */
  nextPageToWrite(condition: 'failed' | 'stale', fits: FitsPage): RegistryPage | null {
    for (const [name, page] of this.pages) {
      if (!page[condition] || page.writing || !fits([...page.machines.values()])) continue;
      page.stale = false;
      page.writing = true;
      return { page: name, machines: [...page.machines.values()] };
    }
    return null;
  }
}

const longestFittingPrefix = (machines: MachineInfo[], fits: FitsPage): MachineInfo[] => {
  const prefix: MachineInfo[] = [];
  for (const machine of machines) {
    if (!fits([...prefix, machine])) break;
    prefix.push(machine);
  }
  return prefix;
};
