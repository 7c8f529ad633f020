/**
 * Capacity reservations for gangs that have waited long: the machines that will have capacity soonest are kept free of
 * other jobs. Guards against starvation: small groups would otherwise take each piece as it appears and the whole would
 * never come together. No task is stopped.
 */
import type { Job } from '../job.js';
import type { Zone } from '../units.js';
import { estimatedFreeInS, type CandidateMachine } from './candidate-machine.js';
import type { Snapshot } from './snapshot.js';

/** Gangs that capacity is reserved for at the same time. */
const MAX_RESERVATIONS = 8;

interface Reservation {
  candidates: CandidateMachine[];
  /** How many of them were reserved in the cycle before. */
  keptCount: number;
  /** Expected seconds until all of them have capacity. */
  freeInS: number;
}

const isBetter = (a: Reservation, b: Reservation | null): boolean =>
  b === null || a.keptCount > b.keptCount || (a.keptCount === b.keptCount && a.freeInS < b.freeInS);

/** The reservations made in one cycle. */
export class CapacityReservations {
  private count = 0;

  constructor(private readonly snapshot: Snapshot) {}

  /** Reserves machines for all of the gang's tasks, or drops what was reserved for it. */
  reserveFor(job: Job, tasks: number, zones: (Zone | null)[]): void {
    if (this.count >= MAX_RESERVATIONS) return;
    let best: Reservation | null = null;
    for (const zone of zones) {
      const reservation = this.soonestIn(job, tasks, zone);
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

  private soonestIn(job: Job, tasks: number, zone: Zone | null): Reservation | null {
    const chosen = this.snapshot.candidates
      .filter((candidate) => this.snapshot.allows(job, candidate, new Map(), zone))
      .map((candidate) => ({
        candidate,
        isKept: job.reservedMachines.has(candidate.machine.id),
        freeInS: estimatedFreeInS(job.spec, candidate, this.snapshot.time.now),
      }))
      .filter((option) => option.freeInS < Infinity)
      // Those reserved already first: estimates change, and what is half drained must not be given up for others.
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
