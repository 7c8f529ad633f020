/** Remembers within a cycle for which tasks no machine was found. */
import type { Job } from '../job.js';
import type { Zone } from '../units.js';
import { constraintSignature, type ZoneCounts } from './placement-constraints.js';

const inZone = (signature: string, zone: Zone): string => `${signature}|${zone}`;

/**
 * Signatures that found no machine: within a cycle capacity only shrinks, so that holds for all tasks like them until
 * something that was only tried is undone.
 */
export class UnschedulableSignatures {
  private readonly unschedulable = new Set<string>();
  private readonly signatures = new Map<Job, string>();

  /** Whether a task like the job's found no machine, in the zone if one is given. */
  has(job: Job, onlyZone: Zone | null): boolean {
    const signature = this.signatureOf(job);
    if (this.unschedulable.has(signature)) return true;
    return onlyZone !== null && this.unschedulable.has(inZone(signature, onlyZone));
  }

  /** Only where the zones of the job's other tasks, and machines that it avoids, have no part in the failure. */
  record(job: Job, zones: ZoneCounts, onlyZone: Zone | null): void {
    const { spread, oneZone } = job.spec;
    const zonesMatter = zones.size > 0 && (spread || oneZone);
    if (zonesMatter || job.errorMachines.size > 0) return;
    const signature = this.signatureOf(job);
    this.unschedulable.add(onlyZone === null ? signature : inZone(signature, onlyZone));
  }

  /** Forgets what was recorded for tasks like the job's, everywhere and in the zone. */
  forget(job: Job, onlyZone: Zone | null): void {
    const signature = this.signatureOf(job);
    this.unschedulable.delete(signature);
    if (onlyZone !== null) this.unschedulable.delete(inZone(signature, onlyZone));
  }

  private signatureOf(job: Job): string {
    let signature = this.signatures.get(job);
    if (signature === undefined) this.signatures.set(job, (signature = constraintSignature(job)));
    return signature;
  }
}
