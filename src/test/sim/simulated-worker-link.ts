/** Heartbeats and direct commands between a simulated leader and its workers: delayed, lost, held back or duplicated. */
import type { LeaderSimulation } from './leader-simulation.js';
import type { SimulatedWorker } from './simulated-worker.js';
import type { Effect, Leader } from '../../core/leader/leader.js';
import type { Command } from '../../core/worker-command.js';

type DirectCommands = Extract<Effect, { kind: 'send-direct-commands' }>;

/** How long each message takes. */
export const NETWORK_LATENCY_MS = 5;
const COMMAND_TIMEOUT_MS = 2500;
const MIN_DUPLICATE_DELAY_MS = 1000;
/** A duplicate arrives up to so many leases later. */
const MAX_DUPLICATE_DELAY_LEASES = 4;

/** What passes between the leader and the workers. */
export class SimulatedWorkerLink {
  commandLossFraction = 0;
  holdCommands = false;
  /** Fraction of heartbeats and of executed commands that arrive once more, much later. */
  duplicateFraction = 0;
  private held: (() => void)[] = [];

  constructor(private readonly simulation: LeaderSimulation) {}

  /** Sends direct commands, and the leader the outcome. */
  sendCommands(leader: Leader, effect: DirectCommands): void {
    const { clock, machines } = this.simulation;
    const worker = machines.running.get(effect.machine)?.worker;
    for (const { op, job, index } of effect.commands)
      this.simulation.addTraceLine(`direct command to ${effect.machine}: ${op} ${job}/${index}`);
    const { term } = leader.leadership;
    const execute = (receiver: SimulatedWorker) =>
      receiver.onDirectCommands(term, Number(effect.incarnation), effect.commands);
    const arrives =
      worker?.alive &&
      !worker.unreachable &&
      !worker.inboundPartitioned &&
      !this.holdCommands &&
      this.simulation.random() >= this.commandLossFraction;
    if (arrives) {
      clock.after(NETWORK_LATENCY_MS, () => this.deliverCommands(leader, effect, worker, execute));
      return;
    }
    // Held back by the network: the leader gives up, and the commands are perhaps delivered minutes later.
    if (!worker?.inboundPartitioned) this.held.push(() => worker?.alive && execute(worker));
    this.simulation.scheduleForLeader(leader, COMMAND_TIMEOUT_MS, () => {
      leader.onDirectCommandResult(
        effect.machine,
        effect.commands,
        { kind: 'unknown' },
        this.simulation.monotonicNow,
      );
    });
  }

  /** The network delivers the commands that it held back. */
  deliverHeldCommands(): void {
    const { held } = this;
    this.held = [];
    this.simulation.addTraceLine(`${held.length} held direct commands arrive`);
    for (const deliver of held) deliver();
  }

  /** Sends a worker's heartbeat, and the worker the response. */
  sendHeartbeat(worker: SimulatedWorker): void {
    const { simulation } = this;
    const heartbeat = worker.nextHeartbeat();
    const sentAt = simulation.clock.now;
    if (worker.unreachable) return;
    if (this.isDuplicated())
      this.deliverDuplicate(() => simulation.leader?.onHeartbeat(heartbeat, simulation.monotonicNow));
    const incarnation = Number(heartbeat.incarnation);
    const respond = (term: number, commands: Command[]): void =>
      worker.onHeartbeatResponse(term, commands, sentAt, incarnation);
    simulation.clock.after(NETWORK_LATENCY_MS, () => {
      const { leader } = simulation;
      if (!leader) {
        // Another controller renews the lease under the last token, without commands.
        simulation.clock.after(NETWORK_LATENCY_MS, () => respond(simulation.term, []));
        return;
      }
      let commands: Command[] = [];
      if (simulation.keyValueStoreUnavailable)
        leader.onHeartbeatWithoutAuthority(heartbeat, simulation.monotonicNow);
      else commands = leader.onHeartbeat(heartbeat, simulation.monotonicNow);
      const { term } = leader.leadership;
      simulation.clock.after(NETWORK_LATENCY_MS, () => {
        if (!worker.unreachable) respond(term, commands);
      });
    });
  }

  private deliverCommands(
    leader: Leader,
    effect: DirectCommands,
    worker: SimulatedWorker,
    execute: (receiver: SimulatedWorker) => ReturnType<SimulatedWorker['onDirectCommands']>,
  ): void {
    if (!worker.alive) return;
    const { executed, report } = execute(worker);
    if (this.isDuplicated())
      this.deliverDuplicate(() => worker.alive && !worker.unreachable && execute(worker));
    const kind = executed ? 'executed' : 'refused';
    this.simulation.scheduleForLeader(leader, NETWORK_LATENCY_MS, () => {
      leader.onDirectCommandResult(
        effect.machine,
        effect.commands,
        { kind, heartbeat: report },
        this.simulation.monotonicNow,
      );
    });
  }

  private isDuplicated(): boolean {
    return this.duplicateFraction > 0 && this.simulation.random() < this.duplicateFraction;
  }

  private deliverDuplicate(deliver: () => unknown): void {
    const { clock, timings } = this.simulation;
    const rangeMs = timings.leaseS * MAX_DUPLICATE_DELAY_LEASES * 1000;
    clock.after(MIN_DUPLICATE_DELAY_MS + this.simulation.random() * rangeMs, () => void deliver());
  }
}
