/** Sends new start and stop commands directly to workers, without waiting for their next heartbeat. */
import { attemptKey } from '../task-status.js';
import type { Machine } from '../machine.js';
import { commandsForMachine } from './machine-commands.js';
import type { Command } from '../worker-command.js';
import type { MonotonicTime } from '../units.js';
import type { LeaderState } from './leader-state.js';

/**
 * Maximum number of attempts that a worker must keep in its heartbeats because a copy of their start may still arrive.
 * Above it, starts are only sent in replies to heartbeats. This bounds the size of heartbeats on a machine that runs
 * many tasks under one leader.
 */
const MAX_IN_FLIGHT_STARTS = 16;

/** Sends direct commands, one request at a time to each worker. */
export class DirectCommandDispatcher {
  constructor(private readonly state: LeaderState) {}

  /** Sends all pending start and stop commands. */
  dispatch(now: MonotonicTime): void {
    for (const machine of [...this.state.machinesWithPendingCommands]) {
      if (machine.directCommandInFlight) continue;
      this.state.machinesWithPendingCommands.delete(machine);
      if (this.canReceiveCommands(machine)) this.dispatchTo(machine, now);
    }
  }

  /**
   * Sends only the stop commands of cancelled jobs, which need no authority because a cancellation is final under
   * every leader.
   */
  dispatchCancellations(now: MonotonicTime): void {
    for (const machine of [...this.state.machinesWithPendingCommands]) {
      if (machine.directCommandInFlight || !machine.reconciled || !machine.endpointKnown) continue;
      const stops = commandsForMachine(machine, this.state.jobs, now).filter(
        ({ op, job }) => op === 'stop' && this.state.jobs.get(job)?.cancelled,
      );
      // The machine stays in the set of pending ones, because its other commands need authority.
      if (stops.length > 0) this.send(machine, stops);
    }
  }

  private canReceiveCommands(machine: Machine): boolean {
    return machine.reconciled && machine.endpointKnown && this.state.machines.get(machine.id) === machine;
  }

  private dispatchTo(machine: Machine, now: MonotonicTime): void {
    const mayStart = machine.inFlightStarts.size < MAX_IN_FLIGHT_STARTS;
    const commands = commandsForMachine(machine, this.state.jobs, now).filter(
      ({ op }) => op === 'stop' || (op === 'start' && mayStart),
    );
    if (commands.length === 0) {
      if (machine.registration.state !== 'durable' && machine.placements.size > 0)
        this.state.machinesWithPendingCommands.add(machine);
      return;
    }
    for (const command of commands) if (command.op === 'start') this.recordStart(machine, command);
    this.send(machine, commands);
  }

  private recordStart(machine: Machine, { job, index, attempt }: Command): void {
    const placement = this.state.jobs.get(job)?.placements.get(index);
    if (placement) placement.directStartInFlight = true;
    machine.inFlightStarts.recordSent(attemptKey(job, index, attempt));
  }

  private send(machine: Machine, commands: Command[]): void {
    machine.directCommandInFlight = true;
    const { id, info } = machine;
    this.state.decisionLog.recordCommandsSent(machine, commands, { via: 'direct' });
    this.state.effects.push({
      kind: 'send-direct-commands',
      machine: id,
      endpoint: info.endpoint,
      incarnation: machine.lastHeartbeat.incarnation,
      commands,
    });
  }
}
