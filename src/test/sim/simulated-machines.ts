/** The machines in the simulation of one leader. A simulated cloud provider creates, lists and deletes them. */
import { SimulatedWorker, type WorkerEnvironment } from './simulated-worker.js';
import type { ScaleOutRequest } from '../../core/scaling/scale-out-plan.js';
import type { ListedMachine, MachineInfo } from '../../core/machine-info.js';
import type { Endpoint, MachineId } from '../../core/units.js';

const LIST_LAG_MS = 4000;
const TYPICAL_BOOT_MS = 20_000;

interface RunningMachine {
  worker: SimulatedWorker;
  /** The time at which the machine first appears in lists. */
  listedFrom: number;
  upSince: number;
}

interface Dependencies {
  environment: WorkerEnvironment;
  random: () => number;
  addTraceLine: (line: string) => void;
  sendHeartbeat: (worker: SimulatedWorker) => void;
}

/** The running machines, each with a worker, and the cloud provider's operations on them. */
export class SimulatedMachines {
  readonly running = new Map<MachineId, RunningMachine>();
  /** Remaining capacity of the provider by machine type. A type without an entry is unlimited. */
  readonly capacity = new Map<string, number>();
  private lastOrdinal = 0;
  private readonly createdByRequest = new Map<string, MachineId[]>();
  private readonly removed = new Set<MachineId>();

  constructor(private readonly dependencies: Dependencies) {}

  /** Creates the machines of a request, which boot later. A repeated request returns the same machines. */
  create(requestId: string, request: ScaleOutRequest): MachineId[] {
    const known = this.createdByRequest.get(requestId);
    if (known) return known;
    const { environment, random, addTraceLine } = this.dependencies;
    const { type, zone, spot, count } = request;
    const ids: MachineId[] = [];
    for (let i = 0; i < count; i++) {
      const remaining = this.capacity.get(type) ?? Infinity;
      if (remaining <= 0) break;
      this.capacity.set(type, remaining - 1);
      const id = `host-${String(this.lastOrdinal++).padStart(4, '0')}` as MachineId;
      const info = { id, endpoint: `10.0.0.1:${9000 + this.lastOrdinal}` as Endpoint, type, zone, spot };
      ids.push(id);
      environment.clock.after(TYPICAL_BOOT_MS * (0.6 + 0.9 * random()), () => this.boot(info));
    }
    this.createdByRequest.set(requestId, ids);
    addTraceLine(`creates ${count} ${type} in ${zone}${spot ? ' (spot)' : ''}`);
    return ids;
  }

  /** Ends the machine and its tasks, at the leader's request or as a fault. */
  remove(id: MachineId): void {
    const worker = this.running.get(id)?.worker;
    const remaining = worker ? this.capacity.get(worker.info.type) : undefined;
    if (worker && remaining !== undefined) this.capacity.set(worker.info.type, remaining + 1);
    this.removed.add(id);
    worker?.kill();
    this.running.delete(id);
  }

  /** The provider's list of machines. */
  list(): ListedMachine[] {
    const { now } = this.dependencies.environment.clock;
    return [...this.running.values()]
      .filter(({ listedFrom }) => listedFrom <= now)
      .map(({ worker, upSince }) => ({
        ...worker.info,
        status: 'running' as const,
        ageS: (now - upSince) / 1000,
      }));
  }

  private boot(info: MachineInfo): void {
    if (this.removed.has(info.id)) return;
    const { environment, random, sendHeartbeat } = this.dependencies;
    const { clock, timings } = environment;
    const worker = new SimulatedWorker(info, environment);
    this.running.set(info.id, { worker, listedFrom: clock.now + LIST_LAG_MS, upSince: clock.now });
    const sendHeartbeats = (): void => {
      if (!worker.alive) return;
      sendHeartbeat(worker);
      clock.after(timings.heartbeatIntervalS * 1000 * (0.75 + 0.5 * random()), sendHeartbeats);
    };
    sendHeartbeats();
  }
}
