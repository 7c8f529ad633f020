/**
 * The pages of the durable machine registry, which says which machines may hold tasks. A page is one record in the state
 * service.
 */
import type { MachineInfo } from '../machine-info.js';
import type { MachineId } from '../units.js';

interface Page {
  machines: Map<MachineId, MachineInfo>;
  writing: boolean;
  /** Names machines that are gone. */
  stale: boolean;
  /** Its last write was not confirmed: machines wait for it. */
  failed: boolean;
}

/** A page as it is to be written. */
export interface RegistryPage {
  page: string;
  machines: MachineInfo[];
}

/** Whether one page can name all of these machines. */
export type FitsPage = (machines: MachineInfo[]) => boolean;

/** Bookkeeping of the pages' content, and of the writes under way. */
export class MachineRegistry {
  private readonly pages = new Map<string, Page>();

  /** The page names the machine. */
  load(name: string, info: MachineInfo): void {
    const page = this.pages.get(name) ?? { machines: new Map(), writing: false, stale: false, failed: false };
    page.machines.set(info.id, info);
    this.pages.set(name, page);
  }

  /** A new page with these machines is being written. */
  openPage(name: string, machines: MachineInfo[]): void {
    for (const info of machines) this.load(name, info);
    this.pages.get(name)!.writing = true;
  }

  /** The outcome of writing a page; returns the machines that are durable by it. */
  onPageWritten(name: string, ok: boolean): MachineId[] {
    const page = this.pages.get(name);
    if (!page) return [];
    page.writing = false;
    page.failed = !ok;
    if (!ok) return [];
    if (page.machines.size === 0) this.pages.delete(name);
    return [...page.machines.keys()];
  }

  /** The page need not name the machine any more. */
  remove(name: string, id: MachineId): void {
    const page = this.pages.get(name);
    if (page?.machines.delete(id)) page.stale = true;
  }

  /**
   * Machines on a page that has grown too large to be written again, as after the service's limit on a value was
   * lowered: they are to be registered on a page of their own, and leave this one only when that is durable.
   */
  splitOversizedPage(fits: FitsPage): MachineInfo[] {
    for (const page of this.pages.values()) {
      if (!page.stale || page.writing) continue;
      const machines = [...page.machines.values()];
      if (!fits(machines)) return longestFittingPrefix(machines, fits);
    }
    return [];
  }

  /** A page to be written again without the machines that are gone; an empty one is deleted. */
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
