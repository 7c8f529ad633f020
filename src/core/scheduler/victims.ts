// Which tasks would have to stop for a task to fit on a machine. Nothing is stopped here: victims are only named.
import { add, fits } from '../cluster.js';
import type { Job, Placement } from '../job.js';
import { priorityRank } from '../types.js';
import type { Steady } from '../units.js';
import type { Slot } from './slot.js';

export interface Victim {
  job: Job;
  placement: Placement;
}

export interface Victims {
  list: Victim[];
  cost: number;
}

/** What was found for a group on a machine, as of the machine's version then. */
export interface Found {
  version: number;
  victims: Victims | null;
}

export interface Nomination extends Victims {
  slot: Slot;
}

/** Seconds of work that stopping loses, with lower priorities well before higher ones. */
const lossOf = (v: Victim, now: Steady): number => {
  const ran = v.placement.runningSince === null ? 0 : (now - v.placement.runningSince) / 1000;
  const lost = v.job.spec.checkpointS > 0 ? Math.min(ran, v.job.spec.saveS) : ran;
  return lost + 1000 * priorityRank[v.job.spec.priority];
};

/** The least lower-priority work whose stopping makes room here; null where none does. */
export const victimsOn = (
  job: Job,
  slot: Slot,
  whom: (victim: Victim) => boolean,
  now: Steady,
): Victims | null => {
  const room = { ...slot.free };
  add(room, slot.releasing);
  if (fits(job.spec, room)) return { list: [], cost: 0 };
  const rank = priorityRank[job.spec.priority];
  // Most machines hold too little that may be stopped: told by sums, without looking at their tasks.
  const most = slot.below[rank];
  if (!most) return null;
  add(room, most);
  if (!fits(job.spec, room)) return null;
  add(room, most, -1);
  const candidates: (Victim & { loss: number })[] = [];
  for (const c of slot.machine.placements.values()) {
    if (priorityRank[c.job.spec.priority] >= rank) continue;
    if (c.placement.shielded || c.placement.stop || !whom(c)) continue;
    candidates.push({ ...c, loss: lossOf(c, now) });
  }
  candidates.sort((a, b) => a.loss - b.loss);
  const list: Victim[] = [];
  let cost = 0;
  for (const c of candidates) {
    list.push(c);
    cost += c.loss + 1;
    add(room, c.job.spec);
    if (fits(job.spec, room)) return { list, cost };
  }
  return null;
};
