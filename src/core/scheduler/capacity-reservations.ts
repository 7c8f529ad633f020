// Room for a group that has waited long: the machines that will have it soonest are kept free of others, since small
// groups would otherwise take each piece as it appears and the whole would never come together. Nobody is stopped.
import type { Job } from '../job.js';
import type { Zone } from '../units.js';
import { estimatedFreeInS, type CandidateMachine } from './candidate-machine.js';
import type { Snapshot } from './snapshot.js';

/** Groups for which room is held at once. */
const MAX_HOLDS = 8;

interface Holding {
  slots: CandidateMachine[];
  /** Of these, held in the cycle before. */
  kept: number;
  /** Expected seconds until all of them have room. */
  readyInS: number;
}

const isBetter = (a: Holding, b: Holding | null): boolean =>
  b === null || a.kept > b.kept || (a.kept === b.kept && a.readyInS < b.readyInS);

export class CapacityReservations {
  private holds = 0;

  constructor(private readonly snapshot: Snapshot) {}

  reserveFor(job: Job, tasks: number, zones: (Zone | null)[]): void {
    if (this.holds >= MAX_HOLDS) return;
    let best: Holding | null = null;
    for (const zone of zones) {
      const holding = this.soonestIn(job, tasks, zone);
      if (holding && isBetter(holding, best)) best = holding;
    }
    job.reservedMachines.clear();
    if (!best) return;
    this.holds++;
    for (const slot of best.slots) {
      job.reservedMachines.add(slot.machine.id);
      slot.reservedFor = job;
    }
  }

  private soonestIn(job: Job, tasks: number, zone: Zone | null): Holding | null {
    const ends = this.snapshot.candidates
      .filter((slot) => this.snapshot.allows(job, slot, new Map(), zone))
      .map((slot) => ({
        slot,
        kept: job.reservedMachines.has(slot.machine.id),
        readyInS: estimatedFreeInS(job.spec, slot, this.snapshot.time.now),
      }))
      .filter((end) => end.readyInS < Infinity)
      // Those held already first: expectations change, and what is half drained must not be given up for others.
      .sort((a, b) => Number(b.kept) - Number(a.kept) || a.readyInS - b.readyInS)
      .slice(0, tasks);
    if (ends.length < tasks) return null;
    return {
      slots: ends.map((end) => end.slot),
      kept: ends.filter((end) => end.kept).length,
      readyInS: Math.max(...ends.map((end) => end.readyInS)),
    };
  }
}
