/**
 * Capacity reservations for gangs that have waited long: the machines that are expected to have capacity soonest are
 * closed to other jobs. No task is stopped. Guards against starvation: smaller jobs would otherwise take each piece of
 * capacity as it becomes free, and a large gang would never find enough at once.
 */
import type { Job } from '../job.js';
import type { Zone } from '../units.js';
import { estimatedFreeInS, type CandidateMachine } from './candidate-machine.js';
import type { Snapshot } from './snapshot.js';

/** Maximum number of gangs that have reservations at the same time. */
const MAX_RESERVATIONS = 8;

interface Reservation {
  candidates: CandidateMachine[];
  /** The number of these machines that were already reserved for the gang in the previous cycle. */
  keptCount: number;
  /** Expected seconds until all of these machines have capacity. */
  freeInS: number;
}

const isBetter = (a: Reservation, b: Reservation | null): boolean =>
  b === null || a.keptCount > b.keptCount || (a.keptCount === b.keptCount && a.freeInS < b.freeInS);

/** The reservations made in one cycle. */
export class CapacityReservations {
  private count = 0;

  constructor(private readonly snapshot: Snapshot) {}

  /** Reserves machines for all of the gang's tasks, or releases its reservations if too few machines qualify. */
  reserveFor(job: Job, tasks: number, zones: (Zone | null)[]): void {
    if (this.count >= MAX_RESERVATIONS) return;
    let best: Reservation | null = null;
    for (const zone of zones) {
      const reservation = this.soonestInZone(job, tasks, zone);
      if (reservation && isBetter(reservation, best)) best = reservation;
    }
    job.reservedMachines.clear();
    if (!best) return;
    this.count++;
    for (const candidate of best.candidates) {
      job.reservedMachines.add(candidate.machine.id);
      candidate.reservedFor = job;
    }
  }

  private soonestInZone(job: Job, tasks: number, zone: Zone | null): Reservation | null {
    const chosen = this.snapshot.candidates
      .filter((candidate) => this.snapshot.allows(job, candidate, new Map(), zone))
      .map((candidate) => ({
        candidate,
        isKept: job.reservedMachines.has(candidate.machine.id),
        freeInS: estimatedFreeInS(job.spec, candidate, this.snapshot.time.now),
      }))
      .filter((option) => option.freeInS < Infinity)
      // Machines already reserved come first: estimates change between cycles, and a machine that has been partly
      // drained must not be given up for another.
      .sort((a, b) => Number(b.isKept) - Number(a.isKept) || a.freeInS - b.freeInS)
      .slice(0, tasks);
    if (chosen.length < tasks) return null;
    return {
      candidates: chosen.map((option) => option.candidate),
      keptCount: chosen.filter((option) => option.isKept).length,
      freeInS: Math.max(...chosen.map((option) => option.freeInS)),
    };
  }
}
