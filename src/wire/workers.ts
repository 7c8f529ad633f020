/** The workers' protocol: heartbeats, the commands in their replies, and direct commands. */
import * as v from 'valibot';
import type { Heartbeat } from '../core/heartbeat.js';
import type { TaskStatus, TaskState } from '../core/task-status.js';
import type { Command } from '../core/worker-command.js';
import type {
  Attempt,
  Uint64,
  Endpoint,
  JobId,
  MachineId,
  NodeName,
  MachineTypeName,
  Zone,
} from '../core/units.js';
import {
  boundedText,
  encodeUint64,
  nonNegativeNumber,
  parseWith,
  safeInteger,
  uint64,
  type ParseResult,
} from './parsing.js';

const TASK_STATES: Record<string, TaskState> = {
  pulling: 'fetching',
  waiting: 'waiting',
  running: 'running',
  saving: 'saving',
  exited: 'exited',
};

/** A job id, a slash and the index of the task. */
const TASK_ID = /^[^\s/]+\/\d{1,6}$/;

const heartbeatMessage = v.object({
  stall: boundedText,
  endpoint: boundedText,
  breed: boundedText,
  pasture: boundedText,
  loaners: v.boolean(),
  shift: uint64,
  tally: uint64,
  reins: uint64,
  recallS: v.nullish(nonNegativeNumber),
  hands: v.array(
    v.object({
      hand: v.pipe(v.string(), v.regex(TASK_ID)),
      try: safeInteger,
      status: v.picklist(['pulling', 'waiting', 'running', 'saving', 'exited']),
      cause: v.nullish(
        v.picklist(['done', 'stopped', 'peers', 'incomplete', 'error', 'no_room', 'in_use', 'no_such']),
      ),
      stored: v.nullish(v.boolean()),
    }),
  ),
});

const parseTask = (task: v.InferOutput<typeof heartbeatMessage>['hands'][number]): TaskStatus => {
  const slash = task.hand.indexOf('/');
  return {
    job: task.hand.slice(0, slash) as JobId,
    index: Number(task.hand.slice(slash + 1)),
    attempt: task.try as Attempt,
    state: TASK_STATES[task.status],
    cause: task.cause ?? null,
    saved: task.stored ?? false,
  };
};

/** Parses a worker's heartbeat. */
export const parseHeartbeat = (raw: unknown): ParseResult<Heartbeat> => {
  const parsed = parseWith(heartbeatMessage, raw);
  if (!parsed.ok) return parsed;
  const message = parsed.value;
  return {
    ok: true,
    value: {
      id: message.stall as MachineId,
      endpoint: message.endpoint as Endpoint,
      type: message.breed as MachineTypeName,
      zone: message.pasture as Zone,
      spot: message.loaners,
      incarnation: message.shift,
      sequence: message.tally,
      fencingToken: message.reins,
      interruptionNoticeS: message.recallS ?? null,
      tasks: message.hands.map(parseTask),
    },
  };
};

const encodeCommand = (command: Command): Record<string, unknown> => {
  const task = { hand: `${command.job}/${command.index}`, try: encodeUint64(command.attempt) };
  switch (command.op) {
    case 'start':
      return { call: 'run', ...task };
    case 'stop':
      return { call: 'kill', ...task, slackS: command.gracePeriodS };
    case 'forget':
      return { call: 'reap', ...task };
  }
};

/** The body of a reply that renews the worker's lease under this fencing token. */
export const heartbeatReply = (fencingToken: Uint64, commands: Command[]) => ({
  reins: encodeUint64(fencingToken),
  calls: commands.map(encodeCommand),
});

/**
 * The body of a request with direct commands: the leader sends them at once instead of with the next heartbeat's reply.
 * The worker executes them only in this incarnation.
 */
export const directCommandsBody = (fencingToken: Uint64, incarnation: Uint64, commands: Command[]) => ({
  reins: encodeUint64(fencingToken),
  shift: encodeUint64(incarnation),
  calls: commands.map(encodeCommand),
});

/** The body of a redirect to another controller; null: the worker tries any other one. */
export const redirectBody = (leader: NodeName | null) => (leader === null ? {} : { foreman: leader });

/** Request target of direct commands on a worker. */
export const DIRECT_COMMANDS_TARGET = '/orders';
