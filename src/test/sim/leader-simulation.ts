/** Runs the real leader on virtual time against simulated key-value store, cloud provider, workers and users. */
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus';
import { uniformFloat64 } from 'pure-rand/distribution/uniformFloat64';
import { teams, types } from './fixtures.js';
import { InvariantChecker } from './invariant-checker.js';
import { SimulatedMachines } from './simulated-machines.js';
import { NETWORK_LATENCY_MS, SimulatedWorkerLink } from './simulated-worker-link.js';
import { VirtualClock } from './virtual-clock.js';
import { Leader, type Effect } from '../../core/leader/leader.js';
import type { FinalState, JobRecord, JobSpec } from '../../core/job-spec.js';
import type { MachineInfo } from '../../core/machine-info.js';
import type { JobId, MonotonicTime, SegmentName, Term, WallTime } from '../../core/units.js';

const EPOCH_MS = 1_700_000_000_000;
const TICK_INTERVAL_MS = 200;
const INVARIANT_CHECK_INTERVAL_MS = 1000;
const FIRST_MACHINE_LIST_AT_MS = 100;
const MACHINE_LIST_INTERVAL_MS = 4000;
const CLOUD_LATENCY_MS = 100;
/** A user repeats a refused submission after this time. */
const RESUBMIT_DELAY_MS = 1000;
const WATCH_RETRY_DELAY_MS = 500;

type LeaderArguments = ConstructorParameters<typeof Leader>;

/** A leader and its simulated environment. Tests inject faults by setting fields and calling methods. */
export class LeaderSimulation {
  readonly clock = new VirtualClock();
  readonly timings = {
    heartbeatIntervalS: 2,
    leaseS: 12,
    gangWaitS: 30,
    gangMemberLossTimeoutS: 6,
    cancelS: 40,
  };
  readonly checker: InvariantChecker;
  readonly specs = new Map<JobId, JobSpec>();
  readonly finalStates = new Map<JobId, FinalState>();
  readonly trace: string[] = [];
  readonly machines: SimulatedMachines;
  readonly link = new SimulatedWorkerLink(this);
  keyValueStoreUnavailable = false;
  cloudUnavailable = false;
  /** Machine evaluations of the most expensive scheduling cycle so far. */
  maxCycleWork = 0;
  leader: Leader | null = null;
  term = 0;
  private revision = 1;
  private readonly records = new Map<JobId, { record: JobRecord; revision: number }>();
  private readonly registry = new Map<string, MachineInfo[]>();
  private readonly progress = new Map<string, { job: JobId; segment: SegmentName; bytes: Uint8Array }>();
  private readonly generator;

  constructor(
    seed: number,
    private readonly createLeader = (...leaderArguments: LeaderArguments): Leader =>
      new Leader(...leaderArguments),
  ) {
    this.generator = xoroshiro128plus(seed);
    this.checker = new InvariantChecker(this.specs, teams, this.timings.cancelS, () => this.clock.now);
    this.machines = this.createMachines();
    this.clock.every(INVARIANT_CHECK_INTERVAL_MS, () => this.checker.checkPeriodically());
    this.electLeader();
    this.clock.every(TICK_INTERVAL_MS, () => this.tick());
    this.clock.after(FIRST_MACHINE_LIST_AT_MS, () => this.listMachines());
    this.clock.every(MACHINE_LIST_INTERVAL_MS, () => this.listMachines());
  }

  private createMachines(): SimulatedMachines {
    return new SimulatedMachines({
      environment: {
        clock: this.clock,
        checker: this.checker,
        timings: this.timings,
        specs: this.specs,
        gangs: new Map(),
        capacity: (typeName) => types.find((type) => type.name === typeName)!,
        runMs: (job) => this.specs.get(job)!.estimateS * 1000 * (0.7 + 0.6 * this.random()),
        fetchMs: (_machine, job) => this.specs.get(job)!.imageGb * 1000,
      },
      random: () => this.random(),
      addTraceLine: (line) => this.addTraceLine(line),
      sendHeartbeat: (worker) => this.link.sendHeartbeat(worker),
    });
  }

  /** The next random number of this seed. */
  random(): number {
    return uniformFloat64(this.generator);
  }

  get monotonicNow(): MonotonicTime {
    return this.clock.now as MonotonicTime;
  }

  private get wallClockNow(): WallTime {
    return (EPOCH_MS + this.clock.now) as WallTime;
  }

  /** Adds an event with the current time to the trace. */
  addTraceLine(line: string): void {
    this.trace.push(`${(this.clock.now / 1000).toFixed(2).padStart(7)}  ${line}`);
  }

  /** Submits a job as a user. The submission is repeated while the key-value store is unavailable. */
  submit(spec: JobSpec): void {
    if (this.keyValueStoreUnavailable) {
      this.clock.after(RESUBMIT_DELAY_MS, () => this.submit(spec));
      return;
    }
    this.specs.set(spec.id, spec);
    this.checker.onJobAccepted(spec.id);
    this.writeRecord(spec.id, { spec, submittedAt: this.wallClockNow, cancelledAt: null });
    this.addTraceLine(`user submits ${spec.id} (${spec.kind}, ${spec.tasks} tasks, ${spec.priority})`);
  }

  /** Cancels a job as a user, unless it has ended or the key-value store is unavailable. */
  cancel(id: JobId): void {
    const known = this.records.get(id);
    if (!known || this.keyValueStoreUnavailable) return;
    this.writeRecord(id, { ...known.record, cancelledAt: this.wallClockNow });
    this.checker.onCancellationReported(id);
    this.addTraceLine(`user cancels ${id}`);
  }

  /** Starts a new leader from the contents of the key-value store. The previous one is not notified. */
  electLeader(): void {
    this.term++;
    const leader = this.createLeader(
      { term: this.term as Term, keyRevision: ++this.revision },
      {
        workers: this.timings,
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
        maxMachineEvaluationsPerCycle: 200_000,
        random: () => this.random(),
      },
      this.monotonicNow,
    );
    this.loadState(leader);
    this.leader = leader;
    this.addTraceLine(`leader of term ${this.term} begins`);
  }

  /** Crashes the leader. Another one is elected after `electedAfterMs`. */
  crashLeader(electedAfterMs: number): void {
    this.leader = null;
    this.addTraceLine('leader crashes');
    this.clock.after(electedAfterMs, () => this.electLeader());
  }

  /** Schedules an action that runs only if this leader still leads at that time. */
  scheduleForLeader(leader: Leader, ms: number, action: () => void): void {
    this.clock.after(ms, () => {
      if (this.leader === leader) action();
    });
  }

  private loadState(leader: Leader): void {
    leader.setMachineTypes(types);
    for (const [page, machines] of this.registry)
      for (const machine of machines) leader.loadMachine(machine, page, this.monotonicNow);
    for (const [id, { record, revision }] of this.records)
      leader.applyJobRecord(
        { id, record, revision, fromEarlierLeader: true },
        this.monotonicNow,
        this.wallClockNow,
      );
    for (const { job, segment, bytes } of this.progress.values()) leader.loadProgress(job, segment, bytes);
  }

  private writeRecord(id: JobId, record: JobRecord): void {
    const revision = ++this.revision;
    this.records.set(id, { record, revision });
    this.sendWatchEvent(id, record, revision);
  }

  /** Delivers a change to the leader. An open watch stays open during an outage and delivers the change afterwards. */
  private sendWatchEvent(id: JobId, record: JobRecord, revision: number): void {
    this.clock.after(NETWORK_LATENCY_MS, () => {
      if (this.keyValueStoreUnavailable)
        this.clock.after(WATCH_RETRY_DELAY_MS, () => this.sendWatchEvent(id, record, revision));
      else
        this.leader?.applyJobRecord(
          { id, record, revision, fromEarlierLeader: false },
          this.monotonicNow,
          this.wallClockNow,
        );
    });
  }

  private tick(): void {
    const { leader } = this;
    if (!leader || this.keyValueStoreUnavailable) return;
    leader.tick(this.monotonicNow, this.wallClockNow);
    this.maxCycleWork = Math.max(this.maxCycleWork, leader.lastCycleMachineEvaluations);
    leader.takeEffects().forEach((effect) => this.execute(leader, effect));
  }

  private execute(leader: Leader, effect: Effect): void {
    const ok = !this.keyValueStoreUnavailable;
    switch (effect.kind) {
      case 'log':
        if (effect.level === 'info' && effect.text !== 'machine usage')
          this.addTraceLine(`  ${effect.text} ${JSON.stringify(effect.fields)}`);
        return;
      case 'write-registry-page':
        if (effect.machines.length === 0) this.registry.delete(effect.page);
        else this.registry.set(effect.page, effect.machines);
        this.scheduleForLeader(leader, NETWORK_LATENCY_MS, () =>
          leader.onRegistryPageWritten(effect.page, ok),
        );
        return;
      case 'write-progress': {
        const { job, segment, bytes } = effect;
        this.progress.set(`${job}/${segment}`, { job, segment, bytes });
        this.scheduleForLeader(leader, NETWORK_LATENCY_MS, () =>
          leader.onProgressWritten(job, segment, bytes, ok),
        );
        return;
      }
      case 'write-final-record':
        this.writeFinalRecord(leader, effect);
        return;
      case 'read-final-record': {
        const final = ok ? (this.finalStates.get(effect.job) ?? null) : null;
        this.scheduleForLeader(leader, NETWORK_LATENCY_MS, () =>
          leader.onFinalRecordRead(effect.job, final, this.monotonicNow),
        );
        return;
      }
      case 'create-machines':
        this.scheduleForLeader(leader, CLOUD_LATENCY_MS, () => this.createMachinesFor(leader, effect));
        return;
      case 'delete-machines': {
        const deleted = !this.cloudUnavailable;
        if (deleted) for (const id of effect.machines) this.machines.remove(id);
        this.scheduleForLeader(leader, CLOUD_LATENCY_MS, () =>
          leader.onDeletionResult(effect.machines, deleted, this.monotonicNow),
        );
        return;
      }
      case 'send-direct-commands':
        this.link.sendCommands(leader, effect);
        return;
    }
  }

  private writeFinalRecord(leader: Leader, effect: Extract<Effect, { kind: 'write-final-record' }>): void {
    const { job, state } = effect;
    const known = this.records.get(job);
    if (known && known.revision !== effect.revision) {
      const outcome = { kind: 'changed', record: known.record, revision: known.revision } as const;
      this.scheduleForLeader(leader, NETWORK_LATENCY_MS, () =>
        leader.onFinalRecordWritten(job, outcome, this.monotonicNow),
      );
      return;
    }
    this.records.delete(job);
    this.finalStates.set(job, state);
    this.checker.onStatusReported(job, state);
    this.addTraceLine(`${job} is ${state}`);
    this.scheduleForLeader(leader, NETWORK_LATENCY_MS, () =>
      leader.onFinalRecordWritten(job, { kind: 'ok', state }, this.monotonicNow),
    );
  }

  private createMachinesFor(leader: Leader, effect: Extract<Effect, { kind: 'create-machines' }>): void {
    if (this.cloudUnavailable) {
      leader.onScaleOutResult(effect.requestId, 'retry', this.monotonicNow);
      return;
    }
    const machines = this.machines.create(effect.requestId, effect.request);
    const result = machines.length === 0 ? 'no-capacity' : { machines };
    leader.onScaleOutResult(effect.requestId, result, this.monotonicNow);
  }

  private listMachines(): void {
    if (this.leader && !this.cloudUnavailable)
      this.leader.onMachineList(this.machines.list(), this.monotonicNow);
  }
}
