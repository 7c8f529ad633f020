// Pages of the durable roster: which machines may hold tasks. A page is one record in the state service.
import type { MachineInfo } from '../types.js';
import type { MachineId } from '../units.js';

interface Page {
  machines: Map<MachineId, MachineInfo>;
  writing: boolean;
  /** Names machines that are gone. */
  stale: boolean;
  /** Its last write was not confirmed: machines wait for it. */
  failed: boolean;
}

export class MachineRegistry {
  private readonly pages = new Map<string, Page>();

  load(name: string, info: MachineInfo): void {
    const page = this.pages.get(name) ?? { machines: new Map(), writing: false, stale: false, failed: false };
    page.machines.set(info.id, info);
    this.pages.set(name, page);
  }

  openPage(name: string, machines: MachineInfo[]): void {
    for (const m of machines) this.load(name, m);
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

  remove(name: string, id: MachineId): void {
    const page = this.pages.get(name);
    if (page?.machines.delete(id)) page.stale = true;
  }

  /** Pages to be written again because machines on them are gone. */
  private stalePages(): [string, Page][] {
    return [...this.pages].filter(([, page]) => page.stale && !page.writing);
  }

  /**
   * Machines on a page that has grown too large to be written again, as after the service's limit on a value was
   * lowered: they are to be enrolled on a page of their own, and leave this one only when that is durable.
   */
  splitOversizedPage(fits: (machines: MachineInfo[]) => boolean): MachineInfo[] {
    for (const [, page] of this.stalePages()) {
      const machines = [...page.machines.values()];
      if (fits(machines)) continue;
      const first: MachineInfo[] = [];
      for (const machine of machines) {
        if (!fits([...first, machine])) break;
        first.push(machine);
      }
      return first;
    }
    return [];
  }

  /** A page to be written again without the machines that are gone; an empty one is deleted. */
  nextPageToWrite(
    which: 'failed' | 'stale',
    fits: (machines: MachineInfo[]) => boolean,
  ): { page: string; machines: MachineInfo[] } | null {
    for (const [name, page] of this.pages) {
      if (!page[which] || page.writing || !fits([...page.machines.values()])) continue;
      page.stale = false;
      page.writing = true;
      return { page: name, machines: [...page.machines.values()] };
    }
    return null;
  }
}
