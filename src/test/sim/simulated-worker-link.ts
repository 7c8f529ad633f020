/** Delivers heartbeats and direct commands between a leader and simulated workers, with delays, loss and duplicates. */
import type { LeaderSimulation } from './leader-simulation.js';
import type { SimulatedWorker } from './simulated-worker.js';
import type { Effect, Leader } from '../../core/leader/leader.js';
import type { Command } from '../../core/worker-command.js';

type DirectCommands = Extract<Effect, { kind: 'send-direct-commands' }>;

/** Latency of each message. */
export const NETWORK_LATENCY_MS = 5;
const COMMAND_TIMEOUT_MS = 2500;
const MIN_DUPLICATE_DELAY_MS = 1000;
/** Range of the random delay of a duplicate, in lease times. */
const MAX_DUPLICATE_DELAY_LEASES = 4;

/** The link between the leader and the workers. Tests inject faults by setting its fields. */
export class SimulatedWorkerLink {
  commandLossFraction = 0;
  holdCommands = false;
  /** Fraction of heartbeats and of executed commands that arrive a second time, seconds later. */
  duplicateFraction = 0;
  private held: (() => void)[] = [];

  constructor(private readonly simulation: LeaderSimulation) {}

  /** Delivers direct commands to a worker and the result to the leader. */
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
    // The network holds the commands: the leader's request times out, and they may be delivered minutes later.
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

  /** Delivers the commands that the network has held. */
  deliverHeldCommands(): void {
    const { held } = this;
    this.held = [];
    this.simulation.addTraceLine(`${held.length} held direct commands arrive`);
    for (const deliver of held) deliver();
  }

  /** Delivers a worker's heartbeat to the leader and the response to the worker. */
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
        // Without a leader, another controller renews the lease under the last fencing token and sends no commands.
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
