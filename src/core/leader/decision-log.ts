/**
 * Log events and counters of what the leader decides about single tasks. The lines of all controllers, merged by job,
 * task, attempt and machine, tell why a task was started, stopped, given up or forgotten, and under which term.
 */
import type { Machine } from '../machine.js';
import type { Job, Placement } from '../job.js';
import type { Command, TaskStatus } from '../types.js';
import type { Uint64, Term } from '../units.js';

/** How commands reach a worker: with the answer to a report of that sequence number, or straight to its address. */
export type CommandChannel = { via: 'report'; seq: Uint64 } | { via: 'direct' };

/** Why the leader no longer counts a task as being on a machine. */
export type ReleaseCause =
  | 'never told to its worker'
  | 'stopped, and not started by a later report'
  | 'not started by a worker that heeds no command'
  | 'exited'
  | 'task vanished'
  | 'session ended'
  | 'machine gone';

/** Counts since this leadership began, for the status page. */
export interface DecisionCounts {
  started: number;
  stopped: number;
  forgotten: number;
  released: number;
  adopted: number;
  completed: number;
}

type Log = (level: 'info' | 'debug', fields: Record<string, unknown>, text: string) => void;

const countedAs = { start: 'started', stop: 'stopped', forget: 'forgotten' } as const;

export class DecisionLog {
  readonly counts: DecisionCounts = {
    started: 0,
    stopped: 0,
    forgotten: 0,
    released: 0,
    adopted: 0,
    completed: 0,
  };

  constructor(
    private readonly term: Term,
    private readonly log: Log,
  ) {}

  recordCommandsSent(machine: Machine, commands: readonly Command[], channel: CommandChannel): void {
    const { term } = this;
    const { id, incarnation } = machine;
    for (const { op, job, index: task, attempt } of commands) {
      this.counts[countedAs[op]]++;
      this.log(
        'debug',
        { op, job, task, attempt, machine: id, session: incarnation, term, ...channel },
        'command sent',
      );
    }
  }

  recordReleased(job: Job, placement: Placement, cause: ReleaseCause): void {
    this.counts.released++;
    const { index: task, attempt, machine } = placement;
    this.log('debug', { job: job.id, task, attempt, machine, term: this.term, cause }, 'task released');
  }

  recordAdopted(machine: Machine, { job, index: task, attempt }: TaskStatus): void {
    this.counts.adopted++;
    this.log('debug', { job, task, attempt, machine: machine.id, term: this.term }, 'task adopted');
  }

  recordCompleted(machine: Machine, { job, index: task, attempt }: TaskStatus): void {
    this.counts.completed++;
    this.log('debug', { job, task, attempt, machine: machine.id, term: this.term }, 'task completed');
  }
}
