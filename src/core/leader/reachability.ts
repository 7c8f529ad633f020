/** Counts reachable and unreachable machines by zone, in one pass over the machines. */
import type { Machine } from '../machine.js';
import type { Zone } from '../units.js';

/**
 * A zone is partitioned if at least this many of its machines, and at least this fraction of them, missed a heartbeat.
 */
const PARTITION_MIN_MACHINES = 2;
const PARTITION_ZONE_FRACTION = 0.5;
/** A zone is unreachable as a whole if at least this fraction of its machines that are up is unreachable. */
const WHOLE_ZONE_FRACTION = 0.9;
/**
 * In a mass failure more than this many machines, and more than this fraction of those that are up, are unreachable.
 */
const MASS_FAILURE_MIN_MACHINES = 3;
const MASS_FAILURE_MACHINE_FRACTION = 0.1;

const increment = (counts: Map<Zone, number>, zone: Zone): void => {
  counts.set(zone, (counts.get(zone) ?? 0) + 1);
};

/** Reachability of the machines that are up. */
export class Reachability {
  /** Machines that have sent no heartbeat within one round of heartbeats. */
  readonly suspected: Machine[] = [];
  private upCount = 0;
  private unreachableCount = 0;
  private readonly upByZone = new Map<Zone, number>();
  private readonly unreachableByZone = new Map<Zone, number>();

  /** Adds a machine that is up and whose last heartbeat is `sinceHeartbeatMs` old. */
  add(machine: Machine, sinceHeartbeatMs: number, heartbeatRoundMs: number, missedHeartbeatMs: number): void {
    this.upCount++;
    increment(this.upByZone, machine.info.zone);
    if (sinceHeartbeatMs < heartbeatRoundMs) return;
    this.suspected.push(machine);
    if (sinceHeartbeatMs < missedHeartbeatMs) return;
    this.unreachableCount++;
    increment(this.unreachableByZone, machine.info.zone);
  }

  /** The zones that currently appear to be partitioned. */
  *partitionedZones(): Iterable<Zone> {
    for (const [zone, count] of this.unreachableByZone)
      if (count >= PARTITION_MIN_MACHINES && count >= PARTITION_ZONE_FRACTION * this.upByZone.get(zone)!)
        yield zone;
  }

  /**
   * Whether nearly all machines of the zone are unreachable, as in a network partition. If some machines of a zone are
   * reachable, the others may hang instead, and then no controller can end a cancelled task on them.
   */
  isWholeZoneUnreachable(zone: Zone): boolean {
    return (this.unreachableByZone.get(zone) ?? 0) >= WHOLE_ZONE_FRACTION * (this.upByZone.get(zone) ?? 0);
  }

  /**
   * Whether many machines are unreachable at once. Counts all machines that missed a heartbeat, not only those past
   * their detection timeout; otherwise the first tenth of them would be fenced before a mass failure is detected.
   */
  get isMassFailure(): boolean {
    return (
      this.unreachableCount >
      Math.max(MASS_FAILURE_MIN_MACHINES, this.upCount * MASS_FAILURE_MACHINE_FRACTION)
    );
  }
}
