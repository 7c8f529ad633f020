// Workers' side: reports and commands.
import * as v from 'valibot';
import { nonNegativeNumber, uint64, encodeUint64, parseWith, safeInteger, boundedText } from './common.js';
import type { Command, Heartbeat, TaskStatus, TaskState } from '../core/types.js';
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

const states: Record<string, TaskState> = {
  pulling: 'fetching',
  waiting: 'waiting',
  running: 'running',
  saving: 'saving',
  exited: 'exited',
};

const schema = v.object({
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
      hand: v.pipe(v.string(), v.regex(/^[^\s/]+\/\d{1,6}$/)),
      try: safeInteger,
      status: v.picklist(['pulling', 'waiting', 'running', 'saving', 'exited']),
      cause: v.nullish(
        v.picklist(['done', 'stopped', 'peers', 'incomplete', 'error', 'no_room', 'in_use', 'no_such']),
      ),
      stored: v.nullish(v.boolean()),
    }),
  ),
});

const parseTask = (t: v.InferOutput<typeof schema>['hands'][number]): TaskStatus => {
  const slash = t.hand.indexOf('/');
  return {
    job: t.hand.slice(0, slash) as JobId,
    index: Number(t.hand.slice(slash + 1)),
    attempt: t.try as Attempt,
    state: states[t.status],
    cause: t.cause ?? null,
    saved: t.stored ?? false,
  };
};

export const parseHeartbeat = (
  raw: unknown,
): { ok: true; value: Heartbeat } | { ok: false; cause: string } => {
  const r = parseWith(schema, raw);
  if (!r.ok) return r;
  const m = r.value;
  return {
    ok: true,
    value: {
      id: m.stall as MachineId,
      endpoint: m.endpoint as Endpoint,
      type: m.breed as MachineTypeName,
      zone: m.pasture as Zone,
      spot: m.loaners,
      incarnation: m.shift,
      sequence: m.tally,
      fencingToken: m.reins,
      interruptionNoticeS: m.recallS ?? null,
      tasks: m.hands.map(parseTask),
    },
  };
};

const encodeCommand = (c: Command): Record<string, unknown> => {
  const base = { hand: `${c.job}/${c.index}`, try: encodeUint64(c.attempt) };
  switch (c.op) {
    case 'start':
      return { call: 'run', ...base };
    case 'stop':
      return { call: 'kill', ...base, slackS: c.gracePeriodS };
    case 'forget':
      return { call: 'reap', ...base };
  }
};

export const heartbeatReply = (token: Uint64, commands: Command[]) => ({
  reins: encodeUint64(token),
  calls: commands.map(encodeCommand),
});

export const directCommandsBody = (token: Uint64, session: Uint64, commands: Command[]) => ({
  reins: encodeUint64(token),
  shift: encodeUint64(session),
  calls: commands.map(encodeCommand),
});

export const redirectBody = (leader: NodeName | null) => (leader === null ? {} : { foreman: leader });

/** Path of a worker's direct commands. */
export const DIRECT_COMMANDS_TARGET = '/orders';
