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

const sleep = (ms: number): Promise<void> => new Promise((resolve) => setTimeout(resolve, ms));
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
    private readonly events: { up: (machine: MachineInfo) => void; gone: (id: MachineId) => void },
  ) {
    startHttpServer(host, address, async (request, body) => {
      if (this.responseDelayMs > 0) await sleep(this.responseDelayMs);
      return this.unavailable ? trouble : this.answer(request.target, body);
    });
  }

  addMachine(
    type: MachineTypeName,
    zone: Zone,
    spot: boolean,
    bootMs: number,
    rentedAt = this.now,
  ): MachineId {
    const ordinal = ++this.count;
    const id = `host-${String(ordinal).padStart(6, '0')}` as MachineId;
    const endpoint = `10.1.${ordinal >> 8}.${ordinal & 255}:9000` as Endpoint;
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
      .filter((machine) => this.now - machine.rentedAt >= this.lagMs)
      .map((machine) => ({
        nameId: machine.info.id,
        endpoint: machine.info.endpoint,
        breed: machine.info.type,
        pasture: machine.info.zone,
        loaners: machine.info.spot,
        status: machine.up ? 'running' : 'starting',
        ageS: (this.now - machine.rentedAt) / 1000,
      }));
    return { status: 200, body: { stalls, more: false } };
  }

  private rent(body: unknown): HttpResponse {
    const request = body as {
      hire: string;
      breed: MachineTypeName;
      pasture: Zone;
      loaners: boolean;
      number: number;
    };
    const known = this.hires.get(request.hire);
    if (known) return { status: 200, body: { stalls: known } };
    const bootMs = (this.types.find((t) => t.name === request.breed)?.bootS ?? 30) * 1000;
    const room = Math.min(request.number, this.capacity - this.machines.size);
    if (room <= 0) return { status: 503, body: { error: 'no capacity' } };
    const stalls = Array.from({ length: room }, () =>
      this.addMachine(request.breed, request.pasture, request.loaners, bootMs),
    );
    this.scaledOutCount += room;
    this.hires.set(request.hire, stalls);
    return { status: 200, body: { stalls } };
  }
}
