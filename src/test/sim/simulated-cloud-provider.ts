/**
 * A simulated cloud provider, implemented from the published protocol. It creates machines, lists them with a delay
 * after their creation, deletes them, and can have an outage.
 */
import { startHttpServer, type HttpResponse } from './http-server.js';
import type { SimulatedHost } from './simulated-host.js';
import type { MachineInfo, MachineType } from '../../core/machine-info.js';
import type { Endpoint, MachineId, MachineTypeName, Zone } from '../../core/units.js';

const DEFAULT_BOOT_S = 30;

/** A machine that the provider has created and not deleted. */
export interface CloudMachine {
  info: MachineInfo;
  createdAt: number;
  up: boolean;
}

interface Options {
  host: SimulatedHost;
  address: string;
  types: MachineType[];
  /** The maximum number of machines at the same time. */
  capacity: number;
  /** Delay from a machine's creation to its first appearance in lists. */
  listLagMs: number;
  onMachineUp: (machine: MachineInfo) => void;
  onMachineDeleted: (id: MachineId) => void;
}

interface ScaleOutBody {
  hire: string;
  breed: MachineTypeName;
  pasture: Zone;
  loaners: boolean;
  number: number;
}

const sleep = (ms: number): Promise<void> => new Promise((resolve) => setTimeout(resolve, ms));
const unavailableResponse: HttpResponse = { status: 503, body: { error: 'trouble' } };

const encodeMachineType = (type: MachineType) => ({
  label: type.name,
  vcpus: type.cpus,
  accelerators: type.gpus,
  memGb: type.memoryGb,
  cacheGb: type.cacheGb,
  fetchGbPerS: type.fetchGbPerS,
  price: type.price,
  lowPrice: type.spotPrice,
  startupS: type.bootS,
  pastures: type.zones,
});

/** The provider's machines and its HTTP interface. */
export class SimulatedCloudProvider {
  readonly machines = new Map<MachineId, CloudMachine>();
  /** The number of machines created by requests. */
  scaledOutCount = 0;
  unavailable = false;
  /** Additional delay of every response. */
  responseDelayMs = 0;
  /** The time at which each machine was deleted by a request. */
  readonly deletedAt = new Map<MachineId, number>();
  private readonly machinesByRequest = new Map<string, MachineId[]>();
  private lastOrdinal = 0;

  constructor(private readonly options: Options) {
    startHttpServer(options.host, options.address, async (request, body) => {
      if (this.responseDelayMs > 0) await sleep(this.responseDelayMs);
      return this.unavailable ? unavailableResponse : this.respond(request.target, body);
    });
  }

  /** Creates a machine that boots for `bootMs`. */
  addMachine(
    type: MachineTypeName,
    zone: Zone,
    spot: boolean,
    bootMs: number,
    createdAt = this.now,
  ): MachineId {
    const ordinal = ++this.lastOrdinal;
    const id = `host-${String(ordinal).padStart(6, '0')}` as MachineId;
    const endpoint = `10.1.${ordinal >> 8}.${ordinal & 255}:9000` as Endpoint;
    const machine = { info: { id, endpoint, type, zone, spot }, createdAt, up: false };
    this.machines.set(id, machine);
    this.options.host.runtime.clock.after(bootMs, () => {
      if (!this.machines.has(id)) return;
      machine.up = true;
      this.options.onMachineUp(machine.info);
    });
    return id;
  }

  private get now(): number {
    return this.options.host.runtime.clock.now;
  }

  private respond(target: string, body: unknown): HttpResponse {
    const path = target.split('?')[0];
    if (path === '/machine_types')
      return { status: 200, body: { breeds: this.options.types.map(encodeMachineType) } };
    if (path === '/machines/return') return this.deleteMachines(body as { stalls: MachineId[] });
    if (path === '/machines' && body !== null && 'hire' in (body as object))
      return this.scaleOut(body as ScaleOutBody);
    return this.list();
  }

  private deleteMachines({ stalls }: { stalls: MachineId[] }): HttpResponse {
    for (const id of stalls) {
      if (!this.machines.delete(id)) continue;
      this.deletedAt.set(id, this.now);
      this.options.onMachineDeleted(id);
    }
    return { status: 200 };
  }

  private list(): HttpResponse {
    const stalls = [...this.machines.values()]
      .filter(({ createdAt }) => this.now - createdAt >= this.options.listLagMs)
      .map(({ info, createdAt, up }) => ({
        nameId: info.id,
        endpoint: info.endpoint,
        breed: info.type,
        pasture: info.zone,
        loaners: info.spot,
        status: up ? 'running' : 'starting',
        ageS: (this.now - createdAt) / 1000,
      }));
    return { status: 200, body: { stalls, more: false } };
  }

  private scaleOut({ hire, breed, pasture, loaners, number }: ScaleOutBody): HttpResponse {
    const known = this.machinesByRequest.get(hire);
    if (known) return { status: 200, body: { stalls: known } };
    const { types, capacity } = this.options;
    const bootMs = (types.find((type) => type.name === breed)?.bootS ?? DEFAULT_BOOT_S) * 1000;
    const count = Math.min(number, capacity - this.machines.size);
    if (count <= 0) return { status: 503, body: { error: 'no capacity' } };
    const stalls = Array.from({ length: count }, () => this.addMachine(breed, pasture, loaners, bootMs));
    this.scaledOutCount += count;
    this.machinesByRequest.set(hire, stalls);
    return { status: 200, body: { stalls } };
  }
}
