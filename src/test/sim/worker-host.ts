/** A machine on the simulated network. Its worker sends heartbeats to the controllers and receives direct commands. */
import type { SimulatedHost } from './simulated-host.js';
import { startHttpServer, type HttpResponse } from './http-server.js';
import { SimulatedWorker, type WorkerEnvironment } from './simulated-worker.js';
import { parseAddress } from '../../config/address.js';
import type { Heartbeat } from '../../core/heartbeat.js';
import type { MachineInfo } from '../../core/machine-info.js';
import type { Command } from '../../core/worker-command.js';
import type { Attempt, JobId } from '../../core/units.js';
import { HttpClient } from '../../runtime/http/http-client.js';
import { decode, encode } from '../../wire/cbor.js';

const RESPONSE_TIMEOUT_MS = 4000;
const HEARTBEAT_CHECK_INTERVAL_MS = 500;
/** Delay before the next controller is tried. */
const NEXT_CONTROLLER_DELAY_MS = 1000;
/** A delayed direct command is executed after the minimum delay plus a random part of the range. */
const MIN_COMMAND_DELAY_MS = 2000;
const COMMAND_DELAY_RANGE_MS = 14_000;

interface Call {
  call: 'run' | 'kill' | 'reap';
  hand: string;
  try: number | bigint;
  slackS?: number;
}

interface DirectCommandsBody {
  reins: number;
  shift: number;
  calls: Call[];
}

const decodeCommand = (call: Call): Command => {
  const [job = '', index = ''] = call.hand.split('/');
  const ref = { job: job as JobId, index: Number(index), attempt: Number(call.try) as Attempt };
  if (call.call === 'run') return { op: 'start', ...ref };
  return call.call === 'reap'
    ? { op: 'forget', ...ref }
    : { op: 'stop', ...ref, gracePeriodS: call.slackS ?? 0 };
};

/** The names of the task states in the worker protocol. */
const taskStateNames = {
  fetching: 'pulling',
  waiting: 'waiting',
  running: 'running',
  saving: 'saving',
  exited: 'exited',
};

const heartbeatBody = (heartbeat: Heartbeat) => ({
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
    status: taskStateNames[t.state],
    ...(t.cause ? { cause: t.cause } : {}),
    stored: t.saved,
  })),
});

/** The worker of one machine and its connections to the controllers. */
export class WorkerHost {
  readonly worker: SimulatedWorker;
  /** Heartbeats reach no controller, but direct commands reach the worker. */
  heartbeatsDropped = false;
  /** Called with the body of each heartbeat, also of dropped ones. */
  onHeartbeatSent: ((body: Buffer) => void) | null = null;
  /** Until the time `until`, this fraction of direct commands gets no response and is executed once, seconds later. */
  delayedCommands = { fraction: 0, until: 0 };
  private readonly clients = new Map<string, HttpClient>();
  private controllerIndex: number;
  private heartbeatInFlight = false;
  private nextHeartbeatAt = 0;
  private lastReportedState = '';
  /** Callbacks that run when the machine no longer hangs. */
  private readonly resumeCallbacks: (() => void)[] = [];

  constructor(
    readonly host: SimulatedHost,
    readonly info: MachineInfo,
    environment: WorkerEnvironment,
    private readonly controllers: { name: string; address: string }[],
    private readonly random: () => number,
  ) {
    this.worker = new SimulatedWorker(info, environment);
    this.controllerIndex = Math.floor(random() * controllers.length);
    startHttpServer(host, info.endpoint, async (_request, body) => {
      if (this.worker.hung) await this.untilResumed();
      return this.worker.inboundPartitioned ? null : this.onDirectCommands(body as DirectCommandsBody);
    });
    host.run(() => setInterval(() => this.sendHeartbeatIfDue(), HEARTBEAT_CHECK_INTERVAL_MS));
  }

  /** Hangs the machine: neither its worker nor its tasks make progress for `forMs`. */
  hang(forMs: number): void {
    this.worker.hung = true;
    this.host.runtime.clock.after(forMs, () => {
      this.worker.hung = false;
      for (const resume of this.resumeCallbacks.splice(0)) this.host.run(resume);
    });
  }

  /** Ends the machine and its tasks. */
  terminate(): void {
    this.worker.kill();
    this.host.kill();
  }

  private get now(): number {
    return this.host.runtime.clock.now;
  }

  private untilResumed(): Promise<void> {
    return new Promise<void>((resume) => this.resumeCallbacks.push(resume));
  }

  private onDirectCommands({ reins, shift, calls }: DirectCommandsBody): HttpResponse | null {
    const execute = () => this.worker.onDirectCommands(reins, shift, calls.map(decodeCommand));
    if (this.now < this.delayedCommands.until && this.random() < this.delayedCommands.fraction) {
      const delayMs = MIN_COMMAND_DELAY_MS + this.random() * COMMAND_DELAY_RANGE_MS;
      this.host.runtime.clock.after(delayMs, () => this.host.run(() => void execute()));
      return null;
    }
    const { executed, report } = execute();
    return { status: executed ? 200 : 409, body: heartbeatBody(report) };
  }

  private sendHeartbeatIfDue(): void {
    if (this.worker.hung || this.heartbeatInFlight) return;
    this.worker.checkLease();
    const state = this.worker.describeState();
    if (this.now < this.nextHeartbeatAt && state === this.lastReportedState) return;
    this.lastReportedState = state;
    this.nextHeartbeatAt = this.now + this.worker.heartbeatIntervalMs * (0.75 + 0.5 * this.random());
    void this.sendHeartbeat();
  }

  private async sendHeartbeat(): Promise<void> {
    this.heartbeatInFlight = true;
    const sentAt = this.now;
    const { incarnation } = this.worker;
    const body = encode(heartbeatBody(this.worker.nextHeartbeat()));
    this.onHeartbeatSent?.(body);
    const result = this.heartbeatsDropped
      ? ({ ok: false } as const)
      : await this.client().request('POST', '/checkin', body, RESPONSE_TIMEOUT_MS);
    if (this.worker.hung) await this.untilResumed();
    this.heartbeatInFlight = false;
    if (this.worker.inboundPartitioned) {
      await new Promise((resolve) => setTimeout(resolve, RESPONSE_TIMEOUT_MS));
      this.useNextController(null);
      return;
    }
    if (!result.ok) {
      this.useNextController(null);
      return;
    }
    const response = decode(result.body) as { reins?: number; calls?: Call[]; foreman?: string };
    const commands = (response.calls ?? []).map(decodeCommand);
    if (result.status === 200 && this.now - sentAt <= RESPONSE_TIMEOUT_MS)
      this.worker.onHeartbeatResponse(Number(response.reins), commands, sentAt, incarnation);
    else if (result.status !== 200)
      this.useNextController(result.status === 421 ? (response.foreman ?? null) : null);
  }

  private client(): HttpClient {
    const { name, address } = this.controllers[this.controllerIndex];
    const client = this.clients.get(name) ?? new HttpClient(parseAddress(address), 1, 60_000);
    this.clients.set(name, client);
    return client;
  }

  /** Switches to the named controller without delay, or to the next one after a delay if no other one is named. */
  private useNextController(named: string | null): void {
    const namedIndex = this.controllers.findIndex((controller) => controller.name === named);
    if (namedIndex >= 0 && namedIndex !== this.controllerIndex) {
      this.controllerIndex = namedIndex;
      this.nextHeartbeatAt = this.now;
      return;
    }
    this.controllerIndex = (this.controllerIndex + 1) % this.controllers.length;
    this.nextHeartbeatAt = this.now + NEXT_CONTROLLER_DELAY_MS;
  }
}
