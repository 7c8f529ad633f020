/** Redirects workers to other controllers, each one rarely, because a redirect may cost a worker some of its lease. */
import type { PlatformSettings } from '../../config/platform.js';
import type { Heartbeat } from '../../core/heartbeat.js';
import type { MachineId, MonotonicTime } from '../../core/units.js';
import type { PeerLink } from '../peers/peer-link.js';
import { RateCounter } from './rate-counter.js';

/** A worker is redirected to its own zone at most once in this time: each redirect may cost it 5 s of its lease. */
const ZONE_REDIRECT_INTERVAL_MS = 60_000;
/** A worker redirected to find a better controller is kept if it returns within this time. */
const REDIRECT_INTERVAL_MS = 20_000;
/** Bounds the memory use, because requests may contain an unlimited number of different machine ids. */
const MAX_REDIRECTED_MACHINES = 5000;
/** Direct heartbeats that a leader accepts, per second and processor core of its limit. */
const DIRECT_HEARTBEATS_PER_S_PER_CORE = 200;
const MIN_DIRECT_HEARTBEATS_PER_S = 10;

/** Selects the workers to redirect, and records when each was redirected. */
export class WorkerRedirection {
  private readonly redirectedToZoneAt = new Map<MachineId, MonotonicTime>();
  private readonly redirectedAt = new Map<MachineId, MonotonicTime>();
  private readonly directHeartbeats = new RateCounter();

  constructor(
    private readonly platform: PlatformSettings,
    private readonly links: PeerLink[],
  ) {}

  /** Records a heartbeat that a worker sent to this controller. */
  recordDirectHeartbeat(now: MonotonicTime): void {
    this.directHeartbeats.record(now);
  }

  /**
   * A controller in the worker's zone that receives heartbeats and to which the worker should move; null if this
   * controller is in that zone. If the zones are partitioned later, the worker is then already at a controller that can
   * renew its lease; trying the controllers one by one could take longer than the lease lasts.
   */
  controllerInWorkerZone(heartbeat: Heartbeat, now: MonotonicTime): PeerLink | null {
    if (heartbeat.zone === this.platform.zone) return null;
    return this.controllerInZone(heartbeat, now);
  }

  /** A controller in the worker's zone, if the leader receives more direct heartbeats than its processor can handle. */
  controllerForOffloading(heartbeat: Heartbeat, now: MonotonicTime): PeerLink | null {
    const limit = Math.max(
      MIN_DIRECT_HEARTBEATS_PER_S,
      this.platform.processLimits.cpu * DIRECT_HEARTBEATS_PER_S_PER_CORE,
    );
    return this.directHeartbeats.perSecond(now) > limit ? this.controllerInZone(heartbeat, now) : null;
  }

  /** Whether a worker may be redirected to find a better controller; if so, it may not again for some time. */
  tryClaimRedirect(machine: MachineId, now: MonotonicTime): boolean {
    const last = this.redirectedAt.get(machine);
    if (this.redirectedAt.size > MAX_REDIRECTED_MACHINES) this.redirectedAt.clear();
    if (last !== undefined && now - last < REDIRECT_INTERVAL_MS) return false;
    this.redirectedAt.set(machine, now);
    return true;
  }

  private controllerInZone({ id, zone }: Heartbeat, now: MonotonicTime): PeerLink | null {
    const last = this.redirectedToZoneAt.get(id);
    if (last !== undefined && now - last < ZONE_REDIRECT_INTERVAL_MS) return null;
    const candidates = this.links.filter(
      (link) => link.zone === zone && link.isAlive(now) && link.status?.receivesHeartbeats,
    );
    if (candidates.length === 0) return null;
    if (this.redirectedToZoneAt.size > MAX_REDIRECTED_MACHINES) this.redirectedToZoneAt.clear();
    this.redirectedToZoneAt.set(id, now);
    // Spreads the workers over the controllers in the zone.
    return candidates[this.redirectedToZoneAt.size % candidates.length];
  }
}
