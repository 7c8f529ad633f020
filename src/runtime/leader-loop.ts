// Runs a core Leader: loads what the state service holds, carries out effects, feeds back their outcomes.
import type { CancellationFeed } from './cancellation-feed.js';
import type { CloudClient } from './cloud-client.js';
import type { Logger } from './logger.js';
import type { Membership } from './membership.js';
import { LeaderRecords } from './leader-records.js';
import type { StateClient } from './state-client.js';
import { WorkerCalls } from './worker-calls.js';
import type { Platform } from '../config/platform.js';
import type { Operator } from '../config/operator.js';
import { Leader, type Effect, type ImageLocations } from '../core/leader.js';
import type { MachineType, Report, UnchangedReport } from '../core/types.js';
import type { Counter, JobId, MachineId, SegmentName, Steady, WallTime } from '../core/units.js';
import { encode, tryDecode } from '../wire/cbor.js';
import * as wire from '../wire/state.js';
import { ordersBody, parseReport } from '../wire/workers.js';

const steady = (): Steady => performance.now() as Steady;
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
  private ended = false;
  private queued = false;
  private heardAt = -Infinity;
  private ledSince = 0;
  private tickEnded = 0;
  private tickMs = 0;
  private longestTickMs = 0;
  private ticks = 0;
  private tickSumMs = 0;
  private ticksLoggedAt = 0;
  private readonly timers: NodeJS.Timeout[] = [];
  private readonly workers: WorkerCalls;
  private readonly records: LeaderRecords;

  constructor(
    private readonly platform: Platform,
    private readonly operator: Operator,
    private readonly membership: Membership,
    private readonly state: StateClient,
    private readonly cloud: CloudClient,
    private readonly log: Logger,
    private readonly random: () => number,
    private readonly types: () => MachineType[],
    private readonly imageLocations: ImageLocations,
    orderSockets: number,
    private readonly cancelled: Pick<CancellationFeed, 'has' | 'jobs'>,
  ) {
    this.workers = new WorkerCalls(orderSockets);
    this.records = new LeaderRecords(platform.stateLimits, membership, state, log);
  }

  get core(): Leader | null {
    return this.leader;
  }

  async start(): Promise<void> {
    const held = this.membership.election.held;
    if (!held) return;
    const startedAt = steady();
    const leader = new Leader(
      { term: held.term, keyStamp: held.keyStamp },
      {
        workers: this.platform.workers,
        teams: this.platform.teams,
        objectives: this.platform.objectives,
        idleHoldS: this.operator.idleHoldS,
        capacityRetryS: this.operator.capacityRetryS,
        headroom: this.operator.headroom,
        listLagS: this.platform.cloudLimits.listLagS,
        agingS: this.operator.agingS,
        fitsRosterPage: (machines) => wire.fitsRosterPage(machines, this.platform.stateLimits.valueKb),
        segmentBytes: wire.segmentBytes(this.platform.stateLimits.valueKb),
        progressRps: this.platform.stateLimits.writeRps * PROGRESS_SHARE,
        cycleWork: Math.max(LEAST_CYCLE_WORK, this.platform.limits.cpu * CYCLE_WORK_OF_A_CORE),
        random: this.random,
      },
      startedAt,
    );
    const roster = await this.load(wire.keys.rosterPrefix);
    const jobs = await this.load(wire.keys.activePrefix);
    const progress = await this.load(wire.keys.progressPrefix);
    if (!roster || !jobs || !progress || this.ended) return;
    // Read only now: types that arrive while the state service is being read would otherwise be missed, and nothing
    // could be placed before the next refresh.
    leader.setTypes(this.types());
    for (const item of roster.items) {
      const page = item.key.slice(wire.keys.rosterPrefix.length);
      const machines = wire.parseRosterPage(item.data);
      if (!machines) this.log.error({ key: item.key }, 'damaged page of the roster');
      for (const m of machines ?? []) leader.loadMachine(m, page, startedAt);
    }
    leader.loadImageLocations(this.imageLocations);
    for (const item of jobs.items) this.learn(leader, item.key, item.data, item.stamp, true);
    for (const item of progress.items) {
      const [, id, segment] = item.key.split('/');
      this.records.progressLoaded(item.key, item.stamp);
      const bits = wire.parseProgress(item.data);
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
    this.timers.push(setInterval(() => this.soon(), this.operator.cycleMs));
    void this.watchJobs(jobs.ledger);
    void this.pollCloud();
  }

  stop(): void {
    this.ended = true;
    this.leader = null;
    this.records.end();
    for (const t of this.timers) clearInterval(t);
    this.workers.close();
  }

  learnCancelled(jobs: JobId[]): void {
    if (!this.leader) return;
    for (const id of jobs) this.leader.learnCancelled(id, steady());
    this.soon();
  }

  report(report: Report): ReturnType<Leader['onReport']> {
    const leader = this.leader;
    if (!leader) return [];
    const now = steady();
    this.heardAt = now;
    const commands = leader.onReport(report, now);
    if (leader.hasChanges) this.soon();
    return commands;
  }

  /** The machines of which the next report is needed in full. */
  unchangedReports(unchanged: UnchangedReport[]): MachineId[] | null {
    const leader = this.leader;
    if (!leader) return null;
    const now = steady();
    this.heardAt = now;
    return unchanged.filter((v) => !leader.onUnchangedReport(v, now)).map((v) => v.machine);
  }

  /** How long no worker at all has been heard, though machines are known to be up. */
  deafForMs(now: number): number {
    if (!this.leader || !this.leader.expectsReports) return 0;
    return now - Math.max(this.heardAt, this.ledSince);
  }

  setTypes(types: MachineType[]): void {
    this.leader?.setTypes(types);
  }

  private async load(prefix: string) {
    while (!this.ended) {
      const r = await this.state.list(prefix);
      if (r.kind === 'ok') return r.value;
      await sleep(200);
    }
    return null;
  }

  private learn(leader: Leader, key: string, data: unknown, stamp: Counter, earlier: boolean): void {
    const record = wire.parseJobRecord(data);
    const id = key.slice(wire.keys.activePrefix.length) as JobId;
    if (record) {
      leader.learnJob(id, record, stamp, earlier, steady(), wall());
      if (this.cancelled.has(id)) leader.learnCancelled(id, steady());
    } else this.log.error({ key }, 'damaged job record, not placed');
  }

  private async watchJobs(from: Counter): Promise<void> {
    let since = from;
    while (!this.ended) {
      const r = await this.state.watch(wire.keys.activePrefix, since, WATCH_MS);
      if (this.ended || !this.leader) return;
      if (r.kind === 'ok') {
        since = r.value.ledger;
        for (const e of r.value.log) {
          if ('put' in e) this.learn(this.leader, e.put, e.data, e.stamp, false);
        }
        if (r.value.log.length > 0) this.soon();
      } else if (r.kind === 'gone') {
        const all = await this.load(wire.keys.activePrefix);
        if (!all || !this.leader) return;
        for (const item of all.items) this.learn(this.leader, item.key, item.data, item.stamp, false);
        since = all.ledger;
      } else {
        await sleep(250);
      }
    }
  }

  private async pollCloud(): Promise<void> {
    const interval = Math.max(2000, 4000 / this.platform.cloudLimits.rps);
    while (!this.ended) {
      if (this.membership.authority) {
        const listed = await this.cloud.list();
        if (listed) this.leader?.onList(listed, steady());
      }
      await sleep(interval);
    }
  }

  /** Runs the loop soon: events that come together share one cycle. */
  private soon(): void {
    if (this.queued) return;
    this.queued = true;
    // A tick's cost rises with the cluster: its pace falls with it, so that answers to workers, users and the
    // lease's renewal are never crowded out.
    const earliest = this.tickEnded + this.tickMs * TICK_PAUSES;
    setTimeout(
      () => {
        this.queued = false;
        this.tick();
      },
      Math.max(EVENT_DELAY_MS, Math.min(MAX_PAUSE_MS, earliest - steady())),
    );
  }

  private tick(): void {
    const leader = this.leader;
    if (!leader || this.ended) return;
    const began = steady();
    // Without authority nothing is decided: another controller may lead already.
    if (this.membership.authority) leader.tick(began, wall());
    else {
      const { authorityLeftMs } = this.membership;
      this.log.limited('authority', 'info', { authorityLeftMs }, 'no authority: nothing is decided');
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
      case 'finish':
        void this.finish(leader, e);
        return;
      case 'lookup':
        void this.lookUp(leader, e.job);
        return;
      case 'progress':
        void this.progress(leader, e);
        return;
      case 'roster':
        void this.writeRoster(leader, e);
        return;
      case 'rent':
        void this.rent(leader, e);
        return;
      case 'return':
        void this.cloud.giveBack(e.machines).then((ok) => {
          leader.onReturned(e.machines, ok, steady());
          this.log.info({ machines: e.machines, ok }, 'machines given back');
          this.soon();
        });
        return;
      case 'orders':
        void this.order(leader, e);
        return;
    }
  }

  private async finish(leader: Leader, e: Extract<Effect, { kind: 'finish' }>): Promise<void> {
    const outcome = await this.records.finish(e);
    if (this.ended) return;
    leader.onFinished(e.job, outcome, steady());
    if (outcome.kind === 'ok') this.soon();
  }

  private async lookUp(leader: Leader, job: JobId): Promise<void> {
    const final = await this.records.readFinal(job);
    if (this.ended) return;
    leader.onLookup(job, final, steady());
    this.soon();
  }

  private async progress(leader: Leader, e: Extract<Effect, { kind: 'progress' }>): Promise<void> {
    const r = await this.records.putProgress(e.job, e.segment, e.bytes);
    if (r.kind === 'changed') leader.loadProgress(e.job, e.segment, r.bytes);
    leader.onProgress(e.job, e.segment, e.bytes, r.kind === 'ok');
  }

  private async writeRoster(leader: Leader, e: Extract<Effect, { kind: 'roster' }>): Promise<void> {
    const ok = await this.records.writeRoster(e.page, e.machines);
    if (this.ended) return;
    leader.onRoster(e.page, ok);
    this.soon();
  }

  private async rent(leader: Leader, e: Extract<Effect, { kind: 'rent' }>): Promise<void> {
    const r = await this.cloud.rent({ request: e.request, ...e.order });
    if (this.ended) return;
    if (r.kind === 'rented') leader.onRented(e.request, { machines: r.machines }, steady());
    else if (r.kind === 'no-capacity') leader.onRented(e.request, 'no-capacity', steady());
    else {
      await sleep(RENT_RETRY_MS);
      if (!this.ended) leader.onRented(e.request, 'retry', steady());
    }
    this.soon();
  }

  private async order(leader: Leader, e: Extract<Effect, { kind: 'orders' }>): Promise<void> {
    const body = encode(ordersBody(leader.leadership.term, e.session, e.commands));
    const r = await this.workers.request(e.endpoint, '/orders', body, ORDER_TIMEOUT_MS);
    if (this.ended) return;
    const { machine, session } = e;
    const answer = r.ok ? r.status : r.cause;
    this.log.debug({ machine, session, term: leader.leadership.term, answer }, 'direct command answered');
    if (!r.ok) {
      leader.onOrdersAnswer(e.machine, e.commands, { kind: r.sent ? 'unknown' : 'unsent' }, steady());
    } else {
      const report = parseReport(tryDecode(r.body));
      const kind = r.status === 200 ? 'executed' : 'refused';
      leader.onOrdersAnswer(
        e.machine,
        e.commands,
        { kind, report: report.ok ? report.value : null },
        steady(),
      );
    }
    this.soon();
  }
}
