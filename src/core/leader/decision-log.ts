/**
 * Log events and counters of the leader's decisions about single tasks. The log lines of all controllers, merged by
 * job, task, attempt and machine, show why and under which term a task was started, stopped, released or forgotten.
 */
import type { Machine } from '../machine.js';
import type { Job, Placement } from '../job.js';
import type { TaskStatus } from '../task-status.js';
import type { Command } from '../worker-command.js';
import type { Uint64, Term } from '../units.js';
import type { LogLevel } from './effects.js';

/**
 * How commands reach a worker: in the reply to the heartbeat with this sequence number, or directly at its endpoint.
 */
export type CommandChannel = { via: 'heartbeat'; sequence: Uint64 } | { via: 'direct' };

/** Why a placement was released, i.e. why the machine no longer holds the task. */
export type ReleaseCause =
  | 'start never sent'
  | 'stopped before it started'
  | 'start not acknowledged'
  | 'exited'
  | 'task missing from heartbeat'
  | 'incarnation ended'
  | 'machine deleted';

/** Counts of decisions since this leadership began, shown on the status page. */
export interface DecisionCounts {
  started: number;
  stopped: number;
  forgotten: number;
  released: number;
  adopted: number;
  completed: number;
}

type Log = (level: LogLevel, fields: Record<string, unknown>, text: string) => void;

const counterByOp = { start: 'started', stop: 'stopped', forget: 'forgotten' } as const;

/** Counts and logs decisions. */
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

  /** Records commands sent to the machine's worker. */
  recordCommandsSent(machine: Machine, commands: readonly Command[], channel: CommandChannel): void {
    const { term } = this;
    const { incarnation } = machine.lastHeartbeat;
    for (const { op, job, index: task, attempt } of commands) {
      this.counts[counterByOp[op]]++;
      const fields = { op, job, task, attempt, machine: machine.id, incarnation, term, ...channel };
      this.log('debug', fields, 'command sent');
    }
  }

  /** Records the release of a placement. */
  recordReleased(job: Job, placement: Placement, cause: ReleaseCause): void {
    this.counts.released++;
    const { index: task, attempt, machine } = placement;
    this.log('debug', { job: job.id, task, attempt, machine, term: this.term, cause }, 'task released');
  }

  /** Records the adoption of a task that an earlier leader started on the machine. */
  recordAdopted(machine: Machine, { job, index: task, attempt }: TaskStatus): void {
    this.counts.adopted++;
    this.log('debug', { job, task, attempt, machine: machine.id, term: this.term }, 'task adopted');
  }

  /** Records the completion of a task. */
  recordCompleted(machine: Machine, { job, index: task, attempt }: TaskStatus): void {
    this.counts.completed++;
    this.log('debug', { job, task, attempt, machine: machine.id, term: this.term }, 'task completed');
  }
}
