// Tells workers of new starts and stops at once, without waiting for their next report.
import { attemptKey } from '../task-status.js';
import { type Machine } from '../machine.js';
import { commandsForMachine } from './machine-commands.js';
import type { Command } from '../types.js';
import type { MonotonicTime } from '../units.js';
import type { LeaderState } from './leader-state.js';

/** Attempts kept on a worker only because a copy of their start may still arrive; beyond, starts go in answers. */
const MAX_STARTS_ON_THE_WAY = 16;

/** Commands that go straight to workers. */
export class DirectCommandDispatcher {
  constructor(private readonly state: LeaderState) {}

  dispatch(now: MonotonicTime): void {
    for (const machine of [...this.state.machinesWithPendingCommands]) {
      if (machine.directCommandInFlight) continue;
      this.state.machinesWithPendingCommands.delete(machine);
      if (this.canBeReached(machine)) this.dispatchTo(machine, now);
    }
  }

  /** Only the stops of cancelled jobs: they are final, whoever leads next. */
  dispatchCancellations(now: MonotonicTime): void {
    for (const machine of [...this.state.machinesWithPendingCommands]) {
      if (machine.directCommandInFlight || !machine.reconciled || !machine.endpointKnown) continue;
      const stops = commandsForMachine(machine, this.state.jobs, now).filter(
        (c) => c.op === 'stop' && this.state.jobs.get(c.job)?.cancelled,
      );
      // It stays among those to be told: the rest of its commands waits for authority.
      if (stops.length > 0) this.send(machine, stops);
    }
  }

  private canBeReached(machine: Machine): boolean {
    return machine.reconciled && machine.endpointKnown && this.state.machines.get(machine.id) === machine;
  }

  private dispatchTo(machine: Machine, now: MonotonicTime): void {
    // The bound keeps reports short on a machine that runs many tasks under one leader.
    const direct = machine.inFlightStarts.size < MAX_STARTS_ON_THE_WAY;
    const commands = commandsForMachine(machine, this.state.jobs, now).filter(
      (c) => c.op === 'stop' || (c.op === 'start' && direct),
    );
    if (commands.length === 0) {
      if (machine.registration !== 'durable' && machine.placements.size > 0)
        this.state.machinesWithPendingCommands.add(machine);
      return;
    }
    for (const c of commands) if (c.op === 'start') this.noteStart(machine, c);
    this.send(machine, commands);
  }

  private noteStart(machine: Machine, { job, index, attempt }: Command): void {
    const placement = this.state.jobs.get(job)?.placements.get(index);
    if (placement) placement.directStartInFlight = true;
    machine.inFlightStarts.recordSent(attemptKey(job, index, attempt));
  }

  private send(machine: Machine, commands: Command[]): void {
    machine.directCommandInFlight = true;
    const { id, incarnation, info } = machine;
    this.state.decisionLog.recordCommandsSent(machine, commands, { via: 'direct' });
    this.state.effects.push({
      kind: 'send-direct-commands',
      machine: id,
      endpoint: info.endpoint,
      incarnation: incarnation,
      commands,
    });
  }
}
