/** A machine on the simulated network: its worker sends heartbeats to the controllers and takes direct commands. */
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
const CHECK_INTERVAL_MS = 500;
/** Pause before the next controller is tried. */
const NEXT_CONTROLLER_AFTER_MS = 1000;
/** How much later than sent a delayed direct command is executed. */
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
    status: stateNames[t.state],
    ...(t.cause ? { cause: t.cause } : {}),
    stored: t.saved,
  })),
});

/** The worker of one machine, and what reaches it through the network. */
export class WorkerHost {
  readonly worker: SimulatedWorker;
  /** Its heartbeats reach no controller, while direct commands reach it. */
  heartbeatsDropped = false;
  /** Called with each heartbeat that it sends. */
  onHeartbeatSent: ((body: Buffer) => void) | null = null;
  /** Until then that fraction of direct commands gets no response and is executed once, much later. */
  delayedCommands = { fraction: 0, until: 0 };
  private readonly clients = new Map<string, HttpClient>();
  private controllerIndex: number;
  private heartbeatInFlight = false;
  private nextHeartbeatAt = 0;
  private lastReportedState = '';
  /** What goes on once the machine no longer hangs. */
  private readonly waitingForResume: (() => void)[] = [];

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
    host.run(() => setInterval(() => this.sendHeartbeatIfDue(), CHECK_INTERVAL_MS));
  }

  /** The machine hangs: nothing on it runs, its tasks included. */
  hang(forMs: number): void {
    this.worker.hung = true;
    this.host.runtime.clock.after(forMs, () => {
      this.worker.hung = false;
      for (const resume of this.waitingForResume.splice(0)) this.host.run(resume);
    });
  }

  /** The machine ends with its tasks. */
  terminate(): void {
    this.worker.kill();
    this.host.kill();
  }

  private get now(): number {
    return this.host.runtime.clock.now;
  }

  private untilResumed(): Promise<void> {
    return new Promise<void>((resume) => this.waitingForResume.push(resume));
  }

  private onDirectCommands({ reins, shift, calls }: DirectCommandsBody): HttpResponse | null {
    const execute = () => this.worker.onDirectCommands(reins, shift, calls.map(commandOf));
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
    const commands = (response.calls ?? []).map(commandOf);
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

  /** Goes on with the controller that was named, at once, or else with the next one. */
  private useNextController(named: string | null): void {
    const namedIndex = this.controllers.findIndex((controller) => controller.name === named);
    if (namedIndex >= 0 && namedIndex !== this.controllerIndex) {
      this.controllerIndex = namedIndex;
      this.nextHeartbeatAt = this.now;
      return;
    }
    this.controllerIndex = (this.controllerIndex + 1) % this.controllers.length;
    this.nextHeartbeatAt = this.now + NEXT_CONTROLLER_AFTER_MS;
  }
}
