// Stand-in for the cloud: rents machines, lists them late, takes them back; an outage.
import type { SimulatedHost } from './simulation-runtime.js';
import { startHttpServer, type HttpResponse } from './http-server.js';
import type { MachineInfo, MachineType } from '../../core/types.js';
import type { Endpoint, MachineId, MachineTypeName, Zone } from '../../core/units.js';

export interface CloudMachine {
  info: MachineInfo;
  rentedAt: number;
  up: boolean;
}

const sleep = (ms: number): Promise<void> => new Promise((r) => setTimeout(r, ms));
const trouble: HttpResponse = { status: 503, body: { error: 'trouble' } };

export class SimulatedCloudProvider {
  readonly machines = new Map<MachineId, CloudMachine>();
  /** Machines rented through requests. */
  scaledOutCount = 0;
  private readonly hires = new Map<string, MachineId[]>();
  private count = 0;
  unavailable = false;
  /** Every answer takes this much longer. */
  responseDelayMs = 0;
  /** Who was given back, and when. */
  readonly deletedAt = new Map<MachineId, number>();

  constructor(
    private readonly host: SimulatedHost,
    address: string,
    private readonly types: MachineType[],
    private readonly capacity: number,
    private readonly lagMs: number,
    private readonly events: { up: (m: MachineInfo) => void; gone: (id: MachineId) => void },
  ) {
    startHttpServer(host, address, async (q, body) => {
      if (this.responseDelayMs > 0) await sleep(this.responseDelayMs);
      return this.unavailable ? trouble : this.answer(q.target, body);
    });
  }

  addMachine(
    type: MachineTypeName,
    zone: Zone,
    spot: boolean,
    bootMs: number,
    rentedAt = this.now,
  ): MachineId {
    const n = ++this.count;
    const id = `host-${String(n).padStart(6, '0')}` as MachineId;
    const endpoint = `10.1.${n >> 8}.${n & 255}:9000` as Endpoint;
    const rented = { info: { id, endpoint, type, zone, spot }, rentedAt, up: false };
    this.machines.set(id, rented);
    this.host.runtime.clock.after(bootMs, () => {
      if (!this.machines.has(id)) return;
      rented.up = true;
      this.events.up(rented.info);
    });
    return id;
  }

  private get now(): number {
    return this.host.runtime.clock.now;
  }

  private answer(target: string, body: unknown): HttpResponse {
    const path = target.split('?')[0];
    if (path === '/machine_types') {
      const breeds = this.types.map((t) => ({
        label: t.name,
        vcpus: t.cpus,
        accelerators: t.gpus,
        memGb: t.memoryGb,
        cacheGb: t.cacheGb,
        fetchGbPerS: t.fetchGbPerS,
        price: t.price,
        lowPrice: t.spotPrice,
        startupS: t.bootS,
        pastures: t.zones,
      }));
      return { status: 200, body: { breeds } };
    }
    if (path === '/machines/return') {
      const { stalls } = body as { stalls: MachineId[] };
      for (const id of stalls) {
        if (!this.machines.delete(id)) continue;
        this.deletedAt.set(id, this.now);
        this.events.gone(id);
      }
      return { status: 200 };
    }
    if (path === '/machines' && body !== null && 'hire' in (body as object)) return this.rent(body);
    const stalls = [...this.machines.values()]
      .filter((m) => this.now - m.rentedAt >= this.lagMs)
      .map((m) => ({
        nameId: m.info.id,
        endpoint: m.info.endpoint,
        breed: m.info.type,
        pasture: m.info.zone,
        loaners: m.info.spot,
        status: m.up ? 'running' : 'starting',
        ageS: (this.now - m.rentedAt) / 1000,
      }));
    return { status: 200, body: { stalls, more: false } };
  }

  private rent(body: unknown): HttpResponse {
    const q = body as {
      hire: string;
      breed: MachineTypeName;
      pasture: Zone;
      loaners: boolean;
      number: number;
    };
    const known = this.hires.get(q.hire);
    if (known) return { status: 200, body: { stalls: known } };
    const bootMs = (this.types.find((t) => t.name === q.breed)?.bootS ?? 30) * 1000;
    const room = Math.min(q.number, this.capacity - this.machines.size);
    if (room <= 0) return { status: 503, body: { error: 'no capacity' } };
    const stalls = Array.from({ length: room }, () => this.addMachine(q.breed, q.pasture, q.loaners, bootMs));
    this.scaledOutCount += room;
    this.hires.set(q.hire, stalls);
    return { status: 200, body: { stalls } };
  }
}
