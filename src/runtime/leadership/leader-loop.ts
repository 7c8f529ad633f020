// Runs a core Leader: loads what the state service holds, carries out effects, feeds back their outcomes.
import type { CancellationFeed } from '../cancellations/cancellation-feed.js';
import type { CloudProviderClient } from '../cloud/cloud-provider-client.js';
import type { Logger } from '../logger.js';
import type { LeaderElection } from './leader-election.js';
import { LeaderRecords } from './leader-records.js';
import type { KeyValueStoreClient } from '../key-value-store/key-value-store-client.js';
import { WorkerClient } from '../workers/worker-client.js';
import type { PlatformSettings } from '../../config/platform.js';
import type { OperatorSettings } from '../../config/operator.js';
import { Leader, type Effect, type ImageLocations } from '../../core/leader/leader.js';
import type { MachineType, Heartbeat, UnchangedHeartbeat } from '../../core/types.js';
import type { Uint64, JobId, MachineId, SegmentName, MonotonicTime, WallTime } from '../../core/units.js';
import { encode, tryDecode } from '../../wire/cbor.js';
import * as wire from '../../wire/key-value-store.js';
import { directCommandsBody, parseHeartbeat } from '../../wire/workers.js';

const steady = (): MonotonicTime => performance.now() as MonotonicTime;
const wall = (): WallTime => Date.now() as WallTime;
const sleep = (ms: number): Promise<void> => new Promise((r) => setTimeout(r, ms));
const EVENT_DELAY_MS = 25;
const ORDER_TIMEOUT_MS = 2500;
const WATCH_MS = 10_000;
const RENT_RETRY_MS = 1200;
const TICK_PAUSES = 4;
const MAX_PAUSE_MS = 500;
/** Machines looked at in a cycle, by the part of a core that there is: about 15 ms of the controller's own time. */
const CYCLE_WORK_OF_A_CORE = 600_000;
const LEAST_CYCLE_WORK = 30_000;
const TICK_LOG_MS = 10_000;
/** Of the state service's rate of changes: what a leader's progress may take. */
const PROGRESS_SHARE = 0.2;

export class LeaderLoop {
  private leader: Leader | null = null;
  private stopped = false;
  private tickRequested = false;
  private lastHeartbeatAt = -Infinity;
  private ledSince = 0;
  private tickEnded = 0;
  private tickMs = 0;
  private longestTickMs = 0;
  private ticks = 0;
  private tickSumMs = 0;
  private ticksLoggedAt = 0;
  private readonly timers: NodeJS.Timeout[] = [];
  private readonly workers: WorkerClient;
  private readonly records: LeaderRecords;

  constructor(
    private readonly platform: PlatformSettings,
    private readonly operator: OperatorSettings,
    private readonly election: LeaderElection,
    private readonly store: KeyValueStoreClient,
    private readonly cloud: CloudProviderClient,
    private readonly log: Logger,
    private readonly random: () => number,
    private readonly machineTypes: () => MachineType[],
    private readonly imageLocations: ImageLocations,
    orderSockets: number,
    private readonly cancellations: Pick<CancellationFeed, 'has' | 'jobs'>,
  ) {
    this.workers = new WorkerClient(orderSockets);
    this.records = new LeaderRecords(platform.keyValueStoreLimits, election, store, log);
  }

  get leaderCore(): Leader | null {
    return this.leader;
  }

  async start(): Promise<void> {
    const held = this.election.electionState.heldLease;
    if (!held) return;
    const startedAt = steady();
    const leader = new Leader(
      { term: held.term, keyRevision: held.keyRevision },
      {
        workers: this.platform.workers,
        teams: this.platform.teams,
        objectives: this.platform.objectives,
        idleHoldS: this.operator.idleHoldS,
        capacityRetryS: this.operator.capacityRetryS,
        headroom: this.operator.headroom,
        listLagS: this.platform.cloudProviderLimits.listLagS,
        agingS: this.operator.agingS,
        fitsRegistryPage: (machines) =>
          wire.fitsRegistryPage(machines, this.platform.keyValueStoreLimits.valueKb),
        segmentBytes: wire.segmentBytes(this.platform.keyValueStoreLimits.valueKb),
        progressWritesPerS: this.platform.keyValueStoreLimits.writeRps * PROGRESS_SHARE,
        cycleWorkLimit: Math.max(LEAST_CYCLE_WORK, this.platform.limits.cpu * CYCLE_WORK_OF_A_CORE),
        random: this.random,
      },
      startedAt,
    );
    const roster = await this.load(wire.keys.registryPrefix);
    const jobs = await this.load(wire.keys.activePrefix);
    const progress = await this.load(wire.keys.progressPrefix);
    if (!roster || !jobs || !progress || this.stopped) return;
    // Read only now: types that arrive while the state service is being read would otherwise be missed, and nothing
    // could be placed before the next refresh.
    leader.setMachineTypes(this.machineTypes());
    for (const item of roster.items) {
      const page = item.key.slice(wire.keys.registryPrefix.length);
      const machines = wire.parseRegistryPage(item.data);
      if (!machines) this.log.error({ key: item.key }, 'damaged page of the roster');
      for (const m of machines ?? []) leader.loadMachine(m, page, startedAt);
    }
    leader.loadImageLocations(this.imageLocations);
    for (const item of jobs.items) this.applyJobRecord(leader, item.key, item.data, item.revision, true);
    for (const item of progress.items) {
      const [, id, segment] = item.key.split('/');
      this.records.progressLoaded(item.key, item.revision);
      const bits = wire.parseProgressRecord(item.data);
      if (bits !== null)
        leader.loadProgress(id as JobId, segment as SegmentName, Buffer.from(bits, 'base64'));
    }
    // Jobs were read before: only a leader writes progress, so these belong to jobs that are over.
    const orphans = progress.items.filter((item) => !leader.jobs.has(item.key.split('/')[1] as JobId));
    void this.records.deleteKeys(orphans.map((item) => item.key));
    this.leader = leader;
    this.ledSince = steady();
    const revisions = { roster: roster.ledger, jobs: jobs.ledger, progress: progress.ledger };
    const loadedMs = Math.round(this.ledSince - startedAt);
    const counts = { jobs: jobs.items.length, roster: roster.items.length };
    this.log.info({ term: held.term, ...counts, revisions, loadedMs }, 'leading');
    this.timers.push(setInterval(() => this.requestTick(), this.operator.cycleMs));
    void this.watchJobs(jobs.ledger);
    void this.pollCloud();
  }

  stop(): void {
    this.stopped = true;
    this.leader = null;
    this.records.stop();
    for (const t of this.timers) clearInterval(t);
    this.workers.close();
  }

  applyCancellations(jobs: JobId[]): void {
    if (!this.leader) return;
    for (const id of jobs) this.leader.applyCancellation(id, steady());
    this.requestTick();
  }

  onHeartbeat(report: Heartbeat): ReturnType<Leader['onHeartbeat']> {
    const leader = this.leader;
    if (!leader) return [];
    const now = steady();
    this.lastHeartbeatAt = now;
    const commands = leader.onHeartbeat(report, now);
    if (leader.hasChanges) this.requestTick();
    return commands;
  }

  /** The machines of which the next report is needed in full. */
  onUnchangedHeartbeats(unchanged: UnchangedHeartbeat[]): MachineId[] | null {
    const leader = this.leader;
    if (!leader) return null;
    const now = steady();
    this.lastHeartbeatAt = now;
    return unchanged.filter((v) => !leader.onUnchangedHeartbeat(v, now)).map((v) => v.machine);
  }

  /** How long no worker at all has been heard, though machines are known to be up. */
  withoutHeartbeatsForMs(now: number): number {
    if (!this.leader || !this.leader.expectsHeartbeats) return 0;
    return now - Math.max(this.lastHeartbeatAt, this.ledSince);
  }

  setMachineTypes(types: MachineType[]): void {
    this.leader?.setMachineTypes(types);
  }

  private async load(prefix: string) {
    while (!this.stopped) {
      const r = await this.store.list(prefix);
      if (r.kind === 'ok') return r.value;
      await sleep(200);
    }
    return null;
  }

  private applyJobRecord(leader: Leader, key: string, data: unknown, stamp: Uint64, earlier: boolean): void {
    const record = wire.parseJobRecord(data);
    const id = key.slice(wire.keys.activePrefix.length) as JobId;
    if (record) {
      leader.applyJobRecord({ id, record, revision: stamp, fromEarlierLeader: earlier }, steady(), wall());
      if (this.cancellations.has(id)) leader.applyCancellation(id, steady());
    } else this.log.error({ key }, 'damaged job record, not placed');
  }

  private async watchJobs(from: Uint64): Promise<void> {
    let since = from;
    while (!this.stopped) {
      const r = await this.store.watch(wire.keys.activePrefix, since, WATCH_MS);
      if (this.stopped || !this.leader) return;
      if (r.kind === 'ok') {
        since = r.value.ledger;
        for (const e of r.value.log) {
          if ('put' in e) this.applyJobRecord(this.leader, e.put, e.data, e.stamp, false);
        }
        if (r.value.log.length > 0) this.requestTick();
      } else if (r.kind === 'gone') {
        const all = await this.load(wire.keys.activePrefix);
        if (!all || !this.leader) return;
        for (const item of all.items)
          this.applyJobRecord(this.leader, item.key, item.data, item.revision, false);
        since = all.ledger;
      } else {
        await sleep(250);
      }
    }
  }

  private async pollCloud(): Promise<void> {
    const interval = Math.max(2000, 4000 / this.platform.cloudProviderLimits.rps);
    while (!this.stopped) {
      if (this.election.hasAuthority) {
        const listed = await this.cloud.listMachines();
        if (listed) this.leader?.onMachineList(listed, steady());
      }
      await sleep(interval);
    }
  }

  /** Runs the loop soon: events that come together share one cycle. */
  private requestTick(): void {
    if (this.tickRequested) return;
    this.tickRequested = true;
    // A tick's cost rises with the cluster: its pace falls with it, so that answers to workers, users and the
    // lease's renewal are never crowded out.
    const earliest = this.tickEnded + this.tickMs * TICK_PAUSES;
    setTimeout(
      () => {
        this.tickRequested = false;
        this.tick();
      },
      Math.max(EVENT_DELAY_MS, Math.min(MAX_PAUSE_MS, earliest - steady())),
    );
  }

  private tick(): void {
    const leader = this.leader;
    if (!leader || this.stopped) return;
    const began = steady();
    // Without authority nothing is decided: another controller may lead already.
    if (this.election.hasAuthority) leader.tick(began, wall());
    else {
      const { authorityLeftMs } = this.election;
      this.log.rateLimited('authority', 'info', { authorityLeftMs }, 'no authority: nothing is decided');
      leader.tickWithoutAuthority(began, wall());
    }
    this.tickEnded = steady();
    this.tickMs = this.tickEnded - began;
    this.longestTickMs = Math.max(this.longestTickMs, this.tickMs);
    this.ticks++;
    this.tickSumMs += this.tickMs;
    this.logTicks();
    for (const e of leader.takeEffects()) this.carryOut(leader, e);
  }

  private logTicks(): void {
    if (this.tickEnded - this.ticksLoggedAt < TICK_LOG_MS) return;
    this.ticksLoggedAt = this.tickEnded;
    const meanMs = Math.round((this.tickSumMs / this.ticks) * 10) / 10;
    this.log.info({ ticks: this.ticks, meanMs, longestMs: Math.round(this.longestTickMs) }, 'cycles');
    this.ticks = 0;
    this.tickSumMs = 0;
    this.longestTickMs = 0;
  }

  private carryOut(leader: Leader, e: Effect): void {
    switch (e.kind) {
      case 'log':
        this.log[e.level](e.fields, e.text);
        return;
      case 'write-final-record':
        void this.writeFinalRecord(leader, e);
        return;
      case 'read-final-record':
        void this.readFinalRecord(leader, e.job);
        return;
      case 'write-progress':
        void this.writeProgress(leader, e);
        return;
      case 'write-registry-page':
        void this.writeRegistryPage(leader, e);
        return;
      case 'create-machines':
        void this.createMachines(leader, e);
        return;
      case 'delete-machines':
        void this.cloud.deleteMachines(e.machines).then((ok) => {
          leader.onDeletionResult(e.machines, ok, steady());
          this.log.info({ machines: e.machines, ok }, 'machines given back');
          this.requestTick();
        });
        return;
      case 'send-direct-commands':
        void this.sendDirectCommands(leader, e);
        return;
    }
  }

  private async writeFinalRecord(
    leader: Leader,
    e: Extract<Effect, { kind: 'write-final-record' }>,
  ): Promise<void> {
    const outcome = await this.records.writeFinalRecord(e);
    if (this.stopped) return;
    leader.onFinalRecordWritten(e.job, outcome, steady());
    if (outcome.kind === 'ok') this.requestTick();
  }

  private async readFinalRecord(leader: Leader, job: JobId): Promise<void> {
    const final = await this.records.readFinalRecord(job);
    if (this.stopped) return;
    leader.onFinalRecordRead(job, final, steady());
    this.requestTick();
  }

  private async writeProgress(leader: Leader, e: Extract<Effect, { kind: 'write-progress' }>): Promise<void> {
    const r = await this.records.writeProgress(e.job, e.segment, e.bytes);
    if (r.kind === 'changed') leader.loadProgress(e.job, e.segment, r.bytes);
    leader.onProgressWritten(e.job, e.segment, e.bytes, r.kind === 'ok');
  }

  private async writeRegistryPage(
    leader: Leader,
    e: Extract<Effect, { kind: 'write-registry-page' }>,
  ): Promise<void> {
    const ok = await this.records.writeRegistryPage(e.page, e.machines);
    if (this.stopped) return;
    leader.onRegistryPageWritten(e.page, ok);
    this.requestTick();
  }

  private async createMachines(
    leader: Leader,
    e: Extract<Effect, { kind: 'create-machines' }>,
  ): Promise<void> {
    const r = await this.cloud.createMachines({ request: e.request, ...e.order });
    if (this.stopped) return;
    if (r.kind === 'provisioned') leader.onScaleOutResult(e.request, { machines: r.machines }, steady());
    else if (r.kind === 'no-capacity') leader.onScaleOutResult(e.request, 'no-capacity', steady());
    else {
      await sleep(RENT_RETRY_MS);
      if (!this.stopped) leader.onScaleOutResult(e.request, 'retry', steady());
    }
    this.requestTick();
  }

  private async sendDirectCommands(
    leader: Leader,
    e: Extract<Effect, { kind: 'send-direct-commands' }>,
  ): Promise<void> {
    const body = encode(directCommandsBody(leader.leadership.term, e.incarnation, e.commands));
    const r = await this.workers.request(e.endpoint, '/orders', body, ORDER_TIMEOUT_MS);
    if (this.stopped) return;
    const { machine, incarnation } = e;
    const answer = r.ok ? r.status : r.cause;
    this.log.debug(
      { machine, session: incarnation, term: leader.leadership.term, answer },
      'direct command answered',
    );
    if (!r.ok) {
      leader.onDirectCommandResult(e.machine, e.commands, { kind: r.sent ? 'unknown' : 'unsent' }, steady());
    } else {
      const report = parseHeartbeat(tryDecode(r.body));
      const kind = r.status === 200 ? 'executed' : 'refused';
      leader.onDirectCommandResult(
        e.machine,
        e.commands,
        { kind, heartbeat: report.ok ? report.value : null },
        steady(),
      );
    }
    this.requestTick();
  }
}
