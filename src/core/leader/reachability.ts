/** Which machines are reachable by their heartbeats, counted by zone in one pass. */
import type { Machine } from '../machine.js';
import type { Zone } from '../units.js';

/** A zone is partitioned where at least this many of its machines, and this part of them, missed a heartbeat. */
const PARTITION_MIN_MACHINES = 2;
const PARTITION_ZONE_FRACTION = 0.5;
/** Of a zone that is cut off as a whole this part, or more, is unreachable: new machines that aren't up don't count. */
const WHOLE_ZONE_FRACTION = 0.9;
/** A mass failure: more than this many machines, and more than this part of those that are up, are unreachable. */
const MASS_FAILURE_MIN_MACHINES = 3;
const MASS_FAILURE_MACHINE_FRACTION = 0.1;

const increment = (counts: Map<Zone, number>, zone: Zone): void => {
  counts.set(zone, (counts.get(zone) ?? 0) + 1);
};

/** Counts of the machines that are up. */
export class Reachability {
  /** Those that may have missed a heartbeat. */
  readonly suspected: Machine[] = [];
  private upCount = 0;
  private unreachableCount = 0;
  private readonly upByZone = new Map<Zone, number>();
  private readonly unreachableByZone = new Map<Zone, number>();

  /** Counts a machine that is up, and whose last heartbeat is `sinceHeartbeatMs` old. */
  add(machine: Machine, sinceHeartbeatMs: number, heartbeatRoundMs: number, missedHeartbeatMs: number): void {
    this.upCount++;
    increment(this.upByZone, machine.info.zone);
    if (sinceHeartbeatMs < heartbeatRoundMs) return;
    this.suspected.push(machine);
    if (sinceHeartbeatMs < missedHeartbeatMs) return;
    this.unreachableCount++;
    increment(this.unreachableByZone, machine.info.zone);
  }

  /** Zones that look partitioned now. */
  *partitionedZones(): Iterable<Zone> {
    for (const [zone, count] of this.unreachableByZone)
      if (count >= PARTITION_MIN_MACHINES && count >= PARTITION_ZONE_FRACTION * this.upByZone.get(zone)!)
        yield zone;
  }

  /**
   * As in a partition, which spares no machine. Where some of a zone are reachable, the others may as well hang, and a
   * cancelled task on them is not ended by anybody there.
   */
  isWholeZoneUnreachable(zone: Zone): boolean {
    return (this.unreachableByZone.get(zone) ?? 0) >= WHOLE_ZONE_FRACTION * (this.upByZone.get(zone) ?? 0);
  }

  /**
   * All that missed a heartbeat count, not only those past their detection timeout: else the first tenth of them would
   * be fenced.
   */
  get isMassFailure(): boolean {
    return (
      this.unreachableCount >
      Math.max(MASS_FAILURE_MIN_MACHINES, this.upCount * MASS_FAILURE_MACHINE_FRACTION)
    );
  }
}
