// A machine on the simulated network: its worker reports to the controllers and takes direct commands.
import type { SimulatedHost } from './simulation-runtime.js';
import { startHttpServer } from './http-server.js';
import { SimulatedWorker, type WorkerEnvironment } from './simulated-worker.js';
import { parseAddress } from '../../config/address.js';
import type { Command, MachineInfo, Heartbeat } from '../../core/types.js';
import type { Attempt, JobId } from '../../core/units.js';
import { HttpClient } from '../../runtime/http/http-client.js';
import { decode, encode } from '../../wire/cbor.js';

const ANSWER_LIMIT_MS = 4000;
const LOOK_MS = 500;

interface Call {
  call: 'run' | 'kill' | 'reap';
  hand: string;
  try: number | bigint;
  slackS?: number;
}

const commandOf = (call: Call): Command => {
  const [job = '', index = ''] = call.hand.split('/');
  const ref = { job: job as JobId, index: Number(index), attempt: Number(call.try) as Attempt };
  if (call.call === 'run') return { op: 'start', ...ref };
  return call.call === 'reap'
    ? { op: 'forget', ...ref }
    : { op: 'stop', ...ref, gracePeriodS: call.slackS ?? 0 };
};

const stateNames = {
  fetching: 'pulling',
  waiting: 'waiting',
  running: 'running',
  saving: 'saving',
  exited: 'exited',
};

const reportBody = (heartbeat: Heartbeat) => ({
  stall: heartbeat.id,
  endpoint: heartbeat.endpoint,
  breed: heartbeat.type,
  pasture: heartbeat.zone,
  loaners: heartbeat.spot,
  shift: heartbeat.incarnation,
  tally: heartbeat.sequence,
  reins: heartbeat.fencingToken,
  recallS: heartbeat.interruptionNoticeS,
  hands: heartbeat.tasks.map((t) => ({
    hand: `${t.job}/${t.index}`,
    try: BigInt(t.attempt),
    status: stateNames[t.state],
    ...(t.cause ? { cause: t.cause } : {}),
    stored: t.saved,
  })),
});

export class WorkerHost {
  readonly worker: SimulatedWorker;
  /** Its reports reach no controller, while direct commands reach it. */
  heartbeatsDropped = false;
  /** Given copies of its reports, which arrive again late. */
  onHeartbeatSent: ((body: Buffer) => void) | null = null;
  /** That share of direct commands gets no answer and is carried out once, much later. */
  delayedCommands = { fraction: 0, until: 0 };
  private readonly clients = new Map<string, HttpClient>();
  private at: number;
  private open = false;
  private nextAt = 0;
  private lastTasks = '';
  private readonly held: (() => void)[] = [];

  constructor(
    readonly host: SimulatedHost,
    readonly info: MachineInfo,
    view: WorkerEnvironment,
    private readonly controllers: { name: string; address: string }[],
    private readonly random: () => number,
  ) {
    this.worker = new SimulatedWorker(info, view);
    this.at = Math.floor(random() * controllers.length);
    startHttpServer(host, info.endpoint, async (_request, body) => {
      if (this.worker.hung) await new Promise<void>((resume) => this.held.push(resume));
      if (this.worker.inboundPartitioned) return null;
      const message = body as { reins: number; shift: number; calls: Call[] };
      const carryOut = () =>
        this.worker.onDirectCommands(message.reins, message.shift, message.calls.map(commandOf));
      if (this.now < this.delayedCommands.until && this.random() < this.delayedCommands.fraction) {
        this.host.runtime.clock.after(2000 + this.random() * 14_000, () =>
          this.host.run(() => void carryOut()),
        );
        return null;
      }
      const result = carryOut();
      return { status: result.executed ? 200 : 409, body: reportBody(result.report) };
    });
    host.run(() => setInterval(() => this.look(), LOOK_MS));
  }

  hang(forMs: number): void {
    this.worker.hung = true;
    this.host.runtime.clock.after(forMs, () => {
      this.worker.hung = false;
      for (const resume of this.held.splice(0)) this.host.run(resume);
    });
  }

  terminate(): void {
    this.worker.kill();
    this.host.kill();
  }

  private get now(): number {
    return this.host.runtime.clock.now;
  }

  private look(): void {
    if (this.worker.hung || this.open) return;
    this.worker.checkLease();
    const tasks = this.worker.describeState();
    if (this.now < this.nextAt && tasks === this.lastTasks) return;
    this.lastTasks = tasks;
    this.nextAt = this.now + this.worker.heartbeatIntervalMs * (0.75 + 0.5 * this.random());
    void this.report();
  }

  private async report(): Promise<void> {
    this.open = true;
    const sentAt = this.now;
    const { incarnation } = this.worker;
    const body = encode(reportBody(this.worker.nextHeartbeat()));
    this.onHeartbeatSent?.(body);
    const to = this.controllers[this.at];
    const client = this.clients.get(to.name) ?? new HttpClient(parseAddress(to.address), 1, 60_000);
    this.clients.set(to.name, client);
    const result = this.heartbeatsDropped
      ? ({ ok: false } as const)
      : await client.request('POST', '/checkin', body, ANSWER_LIMIT_MS);
    if (this.worker.hung) await new Promise<void>((resume) => this.held.push(resume));
    this.open = false;
    if (this.worker.inboundPartitioned) {
      await new Promise((resolve) => setTimeout(resolve, ANSWER_LIMIT_MS));
      this.next(null);
      return;
    }
    if (!result.ok) {
      this.next(null);
      return;
    }
    const answer = decode(result.body) as { reins?: number; calls?: Call[]; foreman?: string };
    if (result.status === 200 && this.now - sentAt <= ANSWER_LIMIT_MS)
      this.worker.onHeartbeatResponse(
        Number(answer.reins),
        (answer.calls ?? []).map(commandOf),
        sentAt,
        incarnation,
      );
    else if (result.status !== 200) this.next(result.status === 421 ? (answer.foreman ?? null) : null);
  }

  private next(named: string | null): void {
    const there = this.controllers.findIndex((controller) => controller.name === named);
    if (there >= 0 && there !== this.at) {
      this.at = there;
      this.nextAt = this.now;
      return;
    }
    this.at = (this.at + 1) % this.controllers.length;
    this.nextAt = this.now + 1000;
  }
}
