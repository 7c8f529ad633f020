/** Records the task signatures for which no machine was found in a scheduling cycle. */
import type { Job } from '../job.js';
import type { Zone } from '../units.js';
import { constraintSignature, type ZoneCounts } from './placement-constraints.js';

const zoneSignature = (signature: string, zone: Zone): string => `${signature}|${zone}`;

/**
 * The signatures for which no machine was found. Capacity only shrinks within a cycle, so the failure holds for all
 * tasks with the same signature, until a tentative placement is reverted.
 */
export class UnschedulableSignatures {
  private readonly unschedulable = new Set<string>();
  private readonly signatures = new Map<Job, string>();

  /** Whether no machine was found for a task with the job's signature, in any zone or in the given one. */
  has(job: Job, onlyZone: Zone | null): boolean {
    const signature = this.signatureOf(job);
    if (this.unschedulable.has(signature)) return true;
    return onlyZone !== null && this.unschedulable.has(zoneSignature(signature, onlyZone));
  }

  /** Records a failure, unless the zones of the job's other tasks or the machines that it avoids may have caused it. */
  record(job: Job, zones: ZoneCounts, onlyZone: Zone | null): void {
    const { spread, oneZone } = job.spec;
    const zonesMatter = zones.size > 0 && (spread || oneZone);
    if (zonesMatter || job.errorMachines.size > 0) return;
    const signature = this.signatureOf(job);
    this.unschedulable.add(onlyZone === null ? signature : zoneSignature(signature, onlyZone));
  }

  /** Discards the failures recorded for the job's signature, for any zone and for the given one. */
  forget(job: Job, onlyZone: Zone | null): void {
    const signature = this.signatureOf(job);
    this.unschedulable.delete(signature);
    if (onlyZone !== null) this.unschedulable.delete(zoneSignature(signature, onlyZone));
  }

  private signatureOf(job: Job): string {
    let signature = this.signatures.get(job);
    if (signature === undefined) this.signatures.set(job, (signature = constraintSignature(job)));
    return signature;
  }
}
