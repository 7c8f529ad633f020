// A day on virtual time: the real core between stand-ins for state service, cloud, workers and users.
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus';
import { uniformFloat64 } from 'pure-rand/distribution/uniformFloat64';
import { InvariantChecker } from './invariant-checker.js';
import { VirtualClock } from './virtual-clock.js';
import { teams, types } from './fixtures.js';
import { SimulatedWorker, type WorkerEnvironment } from './simulated-worker.js';
import { Leader, type Effect } from '../../core/leader/leader.js';
import type { FinalState, JobRecord, JobSpec, MachineInfo } from '../../core/types.js';
import type {
  Endpoint,
  JobId,
  MachineId,
  SegmentName,
  MonotonicTime,
  Term,
  MachineTypeName,
  WallTime,
  Zone,
} from '../../core/units.js';

const times = { heartbeatIntervalS: 2, leaseS: 12, gangWaitS: 30, gangPeerS: 6, cancelS: 40 };
const NETWORK_MS = 5;

interface RunningMachine {
  worker: SimulatedWorker;
  listedFrom: number;
  rentedAt: number;
}

export class LeaderSimulation {
  readonly clock = new VirtualClock();
  readonly checker: InvariantChecker;
  readonly specs = new Map<JobId, JobSpec>();
  readonly finalStates = new Map<JobId, FinalState>();
  readonly trace: string[] = [];
  readonly workers = new Map<MachineId, RunningMachine>();
  keyValueStoreUnavailable = false;
  cloudUnavailable = false;
  commandLossFraction = 0;
  /** Machines looked at in the dearest cycle so far. */
  maxCycleWork = 0;
  holdCommands = false;
  /** Share of reports, and of orders that were carried out, of which a copy arrives once more, much later. */
  duplicateFraction = 0;
  /** Machines that the cloud has of each type, if not without limit. */
  readonly capacity = new Map<string, number>();
  leader: Leader | null = null;
  private term = 0;
  private revision = 1;
  private leaderStamp = 0;
  private machineCount = 0;
  private readonly records = new Map<JobId, { record: JobRecord; stamp: number }>();
  private readonly roster = new Map<string, MachineInfo[]>();
  private readonly progress = new Map<string, { job: JobId; segment: SegmentName; bytes: Uint8Array }>();
  private readonly rentals = new Map<string, MachineId[]>();
  private held: (() => void)[] = [];
  private readonly rng;
  private readonly world: WorkerEnvironment;

  constructor(
    seed: number,
    private readonly make: (...a: ConstructorParameters<typeof Leader>) => Leader = (...a) =>
      new Leader(...a),
  ) {
    this.rng = xoroshiro128plus(seed);
    this.checker = new InvariantChecker(this.specs, teams, times.cancelS, () => this.clock.now);
    this.world = {
      clock: this.clock,
      checker: this.checker,
      timings: times,
      specs: this.specs,
      gangs: new Map(),
      capacity: (name) => types.find((t) => t.name === name)!,
      runMs: (job) => this.specs.get(job)!.estimateS * 1000 * (0.7 + 0.6 * this.random()),
      fetchMs: (_item, job) => this.specs.get(job)!.imageGb * 1000,
    };
    this.clock.every(1000, () => this.checker.checkPeriodically());
    this.electLeader();
    this.clock.every(200, () => this.tick());
    this.clock.after(100, () => this.list());
    this.clock.every(4000, () => this.list());
  }

  random(): number {
    return uniformFloat64(this.rng);
  }

  addTraceLine(line: string): void {
    this.trace.push(`${(this.clock.now / 1000).toFixed(2).padStart(7)}  ${line}`);
  }

  // ---- users -----------------------------------------------------------------------------------------------

  submit(spec: JobSpec): void {
    if (this.keyValueStoreUnavailable) {
      this.clock.after(1000, () => this.submit(spec)); // answered 503: the user comes back
      return;
    }
    this.specs.set(spec.id, spec);
    this.checker.onJobAccepted(spec.id);
    const record: JobRecord = { spec, submittedAt: this.wall(), cancelledAt: null };
    this.put(spec.id, record);
    this.addTraceLine(`user submits ${spec.id} (${spec.kind}, ${spec.tasks} tasks, ${spec.priority})`);
  }

  cancel(id: JobId): void {
    const known = this.records.get(id);
    if (!known || this.keyValueStoreUnavailable) return;
    this.put(id, { ...known.record, cancelledAt: this.wall() });
    this.checker.onCancellationReported(id);
    this.addTraceLine(`user cancels ${id}`);
  }

  private put(id: JobId, record: JobRecord): void {
    const stamp = ++this.revision;
    this.records.set(id, { record, stamp });
    this.watchEvent(id, record, stamp);
  }

  /** An open watch waits through an outage and goes on afterwards. */
  private watchEvent(id: JobId, record: JobRecord, stamp: number): void {
    this.clock.after(NETWORK_MS, () => {
      if (this.keyValueStoreUnavailable) this.clock.after(500, () => this.watchEvent(id, record, stamp));
      else this.leader?.applyJobRecord(id, record, stamp, false, this.steady(), this.wall());
    });
  }

  // ---- controllers -----------------------------------------------------------------------------------------

  /** A new leader takes over from what the state service holds; the old one is gone without a word. */
  electLeader(): void {
    this.term++;
    this.leaderStamp = ++this.revision;
    const leader = this.make(
      { term: this.term as Term, keyRevision: this.leaderStamp },
      {
        workers: times,
        teams,
        objectives: [],
        idleHoldS: 30,
        capacityRetryS: 10,
        headroom: 1,
        listLagS: 4,
        agingS: 90,
        fitsRegistryPage: (machines) => machines.length <= 16,
        segmentBytes: 2048,
        progressWritesPerS: 20,
        cycleWorkLimit: 200_000,
        random: () => this.random(),
      },
      this.steady(),
    );
    leader.setMachineTypes(types);
    for (const [page, machines] of this.roster) {
      for (const machine of machines) leader.loadMachine(machine, page, this.steady());
    }
    for (const [id, { record, stamp }] of this.records) {
      leader.applyJobRecord(id, record, stamp, true, this.steady(), this.wall());
    }
    for (const record of this.progress.values())
      leader.loadProgress(record.job, record.segment, record.bytes);
    this.leader = leader;
    this.addTraceLine(`leader of term ${this.term} begins`);
  }

  crashLeader(backAfterMs: number): void {
    this.leader = null;
    this.addTraceLine('leader crashes');
    this.clock.after(backAfterMs, () => this.electLeader());
  }

  private tick(): void {
    const leader = this.leader;
    if (!leader || this.keyValueStoreUnavailable) return;
    leader.tick(this.steady(), this.wall());
    this.maxCycleWork = Math.max(this.maxCycleWork, leader.lastCycleWork);
    leader.takeEffects().forEach((effect) => this.carryOut(leader, effect));
  }

  private later(leader: Leader, ms: number, run: () => void): void {
    this.clock.after(ms, () => {
      if (this.leader === leader) run();
    });
  }

  private carryOut(leader: Leader, effect: Effect): void {
    const now = (): MonotonicTime => this.steady();
    const ok = !this.keyValueStoreUnavailable;
    switch (effect.kind) {
      case 'log':
        if (effect.level === 'info' && effect.text !== 'fleet')
          this.addTraceLine(`  ${effect.text} ${JSON.stringify(effect.fields)}`);
        return;
      case 'write-registry-page':
        if (effect.machines.length === 0) this.roster.delete(effect.page);
        else this.roster.set(effect.page, effect.machines);
        this.later(leader, NETWORK_MS, () => leader.onRegistryPageWritten(effect.page, ok));
        return;
      case 'write-progress':
        this.progress.set(`${effect.job}/${effect.segment}`, {
          job: effect.job,
          segment: effect.segment,
          bytes: effect.bytes,
        });
        this.later(leader, NETWORK_MS, () =>
          leader.onProgressWritten(effect.job, effect.segment, effect.bytes, ok),
        );
        return;
      case 'write-final-record':
        this.finish(leader, effect);
        return;
      case 'read-final-record': {
        const final = ok ? (this.finalStates.get(effect.job) ?? null) : null;
        this.later(leader, NETWORK_MS, () => leader.onFinalRecordRead(effect.job, final, now()));
        return;
      }
      case 'create-machines':
        this.later(leader, 100, () => {
          if (this.cloudUnavailable) leader.onScaleOutResult(effect.request, 'retry', now());
          else {
            const machines = this.rent(effect.request, effect.order);
            leader.onScaleOutResult(
              effect.request,
              machines.length === 0 ? 'no-capacity' : { machines },
              now(),
            );
          }
        });
        return;
      case 'delete-machines': {
        const down = this.cloudUnavailable;
        if (!down) for (const id of effect.machines) this.removeMachine(id);
        this.later(leader, 100, () => leader.onDeletionResult(effect.machines, !down, now()));
        return;
      }
      case 'send-direct-commands':
        this.order(leader, effect);
        return;
    }
  }

  private finish(leader: Leader, effect: Extract<Effect, { kind: 'write-final-record' }>): void {
    const known = this.records.get(effect.job);
    if (known && known.stamp !== effect.revision) {
      this.later(leader, NETWORK_MS, () =>
        leader.onFinalRecordWritten(
          effect.job,
          { kind: 'changed', record: known.record, revision: known.stamp },
          this.steady(),
        ),
      );
      return;
    }
    this.records.delete(effect.job);
    this.finalStates.set(effect.job, effect.state);
    this.checker.onStatusReported(effect.job, effect.state);
    this.addTraceLine(`${effect.job} is ${effect.state}`);
    this.later(leader, NETWORK_MS, () =>
      leader.onFinalRecordWritten(effect.job, { kind: 'ok', state: effect.state }, this.steady()),
    );
  }

  private order(leader: Leader, effect: Extract<Effect, { kind: 'send-direct-commands' }>): void {
    const worker = this.workers.get(effect.machine)?.worker;
    const term = leader.leadership.term;
    for (const command of effect.commands)
      this.addTraceLine(`order to ${effect.machine}: ${command.op} ${command.job}/${command.index}`);
    const arrive = (): void => {
      if (!worker?.alive) return;
      const run = (): ReturnType<SimulatedWorker['onDirectCommands']> =>
        worker.onDirectCommands(term, Number(effect.incarnation), effect.commands);
      const result = run();
      if (this.duplicateFraction > 0 && this.random() < this.duplicateFraction)
        this.lateCopy(() => worker.alive && !worker.unreachable && run());
      const kind = result.executed ? 'executed' : 'refused';
      this.later(leader, NETWORK_MS, () => {
        leader.onDirectCommandResult(
          effect.machine,
          effect.commands,
          { kind, report: result.report },
          this.steady(),
        );
      });
    };
    const silent =
      !worker?.alive ||
      worker.unreachable ||
      worker.inboundPartitioned ||
      this.holdCommands ||
      this.random() < this.commandLossFraction;
    if (!silent) {
      this.clock.after(NETWORK_MS, arrive);
      return;
    }
    if (worker?.inboundPartitioned) {
      this.later(leader, 2500, () => {
        leader.onDirectCommandResult(effect.machine, effect.commands, { kind: 'unknown' }, this.steady());
      });
      return;
    }
    // Held back by the network: given up here, and perhaps delivered minutes later.
    this.held.push(
      () => worker?.alive && worker.onDirectCommands(term, Number(effect.incarnation), effect.commands),
    );
    this.later(leader, 2500, () => {
      leader.onDirectCommandResult(effect.machine, effect.commands, { kind: 'unknown' }, this.steady());
    });
  }

  /** A copy of a message: seconds to well over a lease later. */
  private lateCopy(run: () => unknown): void {
    this.clock.after(1000 + this.random() * times.leaseS * 4000, () => void run());
  }

  /** The network delivers what it held back. */
  deliverHeldCommands(): void {
    const held = this.held;
    this.held = [];
    this.addTraceLine(`${held.length} held orders arrive`);
    for (const run of held) run();
  }

  // ---- cloud and workers -----------------------------------------------------------------------------------

  private rent(
    request: string,
    order: { type: MachineTypeName; zone: Zone; spot: boolean; count: number },
  ): MachineId[] {
    const known = this.rentals.get(request);
    if (known) return known;
    const ids: MachineId[] = [];
    for (let i = 0; i < order.count; i++) {
      const left = this.capacity.get(order.type) ?? Infinity;
      if (left <= 0) break;
      this.capacity.set(order.type, left - 1);
      const id = `host-${String(this.machineCount++).padStart(4, '0')}` as MachineId;
      const { type, zone, spot } = order;
      const info = { id, endpoint: `10.0.0.1:${9000 + this.machineCount}` as Endpoint, type, zone, spot };
      ids.push(id);
      this.clock.after(20_000 * (0.6 + 0.9 * this.random()), () => this.boot(info));
    }
    this.rentals.set(request, ids);
    this.addTraceLine(`rents ${order.count} ${order.type} in ${order.zone}${order.spot ? ' (spot)' : ''}`);
    return ids;
  }

  private readonly returned = new Set<MachineId>();

  private boot(info: MachineInfo): void {
    if (this.returned.has(info.id)) return;
    const worker = new SimulatedWorker(info, this.world);
    this.workers.set(info.id, { worker, listedFrom: this.clock.now + 4000, rentedAt: this.clock.now });
    const round = (): void => {
      if (!worker.alive) return;
      this.reportFrom(worker);
      this.clock.after(times.heartbeatIntervalS * 1000 * (0.75 + 0.5 * this.random()), round);
    };
    round();
  }

  private reportFrom(worker: SimulatedWorker): void {
    const report = worker.nextHeartbeat();
    const sentAt = this.clock.now;
    if (worker.unreachable) return;
    if (this.duplicateFraction > 0 && this.random() < this.duplicateFraction)
      this.lateCopy(() => this.leader?.onHeartbeat(report, this.steady()));
    this.clock.after(NETWORK_MS, () => {
      const leader = this.leader;
      if (!leader) {
        // Another controller keeps the worker alive under the last token, without commands.
        this.clock.after(NETWORK_MS, () =>
          worker.onHeartbeatResponse(this.term, [], sentAt, Number(report.incarnation)),
        );
        return;
      }
      const term = leader.leadership.term;
      let commands: ReturnType<Leader['onHeartbeat']> = [];
      if (this.keyValueStoreUnavailable) leader.onHeartbeatWithoutAuthority(report, this.steady());
      else commands = leader.onHeartbeat(report, this.steady());
      this.clock.after(NETWORK_MS, () => {
        if (!worker.unreachable)
          worker.onHeartbeatResponse(term, commands, sentAt, Number(report.incarnation));
      });
    });
  }

  removeMachine(id: MachineId): void {
    const worker = this.workers.get(id)?.worker;
    const left = worker ? this.capacity.get(worker.info.type) : undefined;
    if (worker && left !== undefined) this.capacity.set(worker.info.type, left + 1);
    this.returned.add(id);
    worker?.kill();
    this.workers.delete(id);
  }

  private list(): void {
    if (!this.leader || this.cloudUnavailable) return;
    const listed = [...this.workers.values()]
      .filter((running) => running.listedFrom <= this.clock.now)
      .map((running) => ({
        ...running.worker.info,
        status: 'running' as const,
        ageS: (this.clock.now - running.rentedAt) / 1000,
      }));
    this.leader.onMachineList(listed, this.steady());
  }

  private steady(): MonotonicTime {
    return this.clock.now as MonotonicTime;
  }

  private wall(): WallTime {
    return (1_700_000_000_000 + this.clock.now) as WallTime;
  }
}
