// Tells workers of new starts and stops at once, without waiting for their next report.
import { attemptKey, type Machine } from '../cluster.js';
import { commandsFor } from '../reconcile.js';
import type { Command } from '../types.js';
import type { Steady } from '../units.js';
import type { LeaderState } from './state.js';

/** Attempts kept on a worker only because a copy of their start may still arrive; beyond, starts go in answers. */
const MAX_STARTS_ON_THE_WAY = 16;

/** Commands that go straight to workers. */
export class CommandDispatch {
  constructor(private readonly state: LeaderState) {}

  dispatch(now: Steady): void {
    for (const machine of [...this.state.machinesToCommand]) {
      if (machine.orderOpen) continue;
      this.state.machinesToCommand.delete(machine);
      if (this.canBeReached(machine)) this.dispatchTo(machine, now);
    }
  }

  /** Only the stops of cancelled jobs: they are final, whoever leads next. */
  dispatchCancellations(now: Steady): void {
    for (const machine of [...this.state.machinesToCommand]) {
      if (machine.orderOpen || !machine.settled || !machine.endpointKnown) continue;
      const stops = commandsFor(machine, this.state.jobs, now).filter(
        (c) => c.op === 'stop' && this.state.jobs.get(c.job)?.cancelled,
      );
      // It stays among those to be told: the rest of its commands waits for authority.
      if (stops.length > 0) this.send(machine, stops);
    }
  }

  private canBeReached(machine: Machine): boolean {
    return machine.settled && machine.endpointKnown && this.state.machines.get(machine.id) === machine;
  }

  private dispatchTo(machine: Machine, now: Steady): void {
    // The bound keeps reports short on a machine that runs many tasks under one leader.
    const direct = machine.startsOnTheWay.size < MAX_STARTS_ON_THE_WAY;
    const commands = commandsFor(machine, this.state.jobs, now).filter(
      (c) => c.op === 'stop' || (c.op === 'start' && direct),
    );
    if (commands.length === 0) {
      if (machine.roster !== 'durable' && machine.placements.size > 0)
        this.state.machinesToCommand.add(machine);
      return;
    }
    for (const c of commands) if (c.op === 'start') this.noteStart(machine, c);
    this.send(machine, commands);
  }

  private noteStart(machine: Machine, { job, index, attempt }: Command): void {
    const placement = this.state.jobs.get(job)?.placements.get(index);
    if (placement) placement.orderOpen = true;
    machine.startsOnTheWay.sent(attemptKey(job, index, attempt));
  }

  private send(machine: Machine, commands: Command[]): void {
    machine.orderOpen = true;
    const { id, session, info } = machine;
    this.state.decisions.commandsSent(machine, commands, { via: 'direct' });
    this.state.effects.push({ kind: 'orders', machine: id, endpoint: info.endpoint, session, commands });
  }
}
