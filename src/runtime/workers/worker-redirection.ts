/** Sends workers to other controllers, each of them seldom: every move may cost a worker some of its lease. */
import type { PlatformSettings } from '../../config/platform.js';
import type { Heartbeat } from '../../core/heartbeat.js';
import type { MachineId, MonotonicTime } from '../../core/units.js';
import type { PeerLink } from '../peers/peer-link.js';
import { RateCounter } from './rate-counter.js';

/** A worker is sent to its own zone at most once in this time: each move may cost it 5 s of its lease. */
const ZONE_REDIRECT_INTERVAL_MS = 60_000;
/** A worker sent to look for a better controller is kept here if it comes back within this time. */
const REDIRECT_INTERVAL_MS = 20_000;
/** Guards against names without end from outside. */
const MAX_MACHINES = 5000;
/** Heartbeats a second that a leader takes itself, by the part of a core that it has. */
const DIRECT_HEARTBEATS_PER_CORE = 200;
const MIN_DIRECT_HEARTBEATS = 10;

/** Decides which workers go elsewhere, and remembers when each was sent. */
export class WorkerRedirection {
  private readonly redirectedToZoneAt = new Map<MachineId, MonotonicTime>();
  private readonly redirectedElsewhereAt = new Map<MachineId, MonotonicTime>();
  private readonly directHeartbeats = new RateCounter();

  constructor(
    private readonly platform: PlatformSettings,
    private readonly links: PeerLink[],
  ) {}

  /** A heartbeat arrives from its worker itself. */
  recordDirectHeartbeat(now: MonotonicTime): void {
    this.directHeartbeats.record(now);
  }

  /**
   * A controller in the worker's own zone, if workers do reach it. When the zones are partitioned, the worker is then
   * already where its lease can be renewed: trying the others one by one could outlast it.
   */
  closerController(heartbeat: Heartbeat, now: MonotonicTime): PeerLink | null {
    if (heartbeat.zone === this.platform.zone) return null;
    return this.controllerInZone(heartbeat, now);
  }

  /** A leader with more direct heartbeats than it has processor for leaves them to others of the worker's zone. */
  lessBusyController(heartbeat: Heartbeat, now: MonotonicTime): PeerLink | null {
    const limit = Math.max(
      MIN_DIRECT_HEARTBEATS,
      this.platform.processLimits.cpu * DIRECT_HEARTBEATS_PER_CORE,
    );
    return this.directHeartbeats.perSecond(now) > limit ? this.controllerInZone(heartbeat, now) : null;
  }

  /** Whether a worker may be sent to look for a better controller now; if so it may not again for some time. */
  tryClaimRedirect(machine: MachineId, now: MonotonicTime): boolean {
    const last = this.redirectedElsewhereAt.get(machine);
    if (this.redirectedElsewhereAt.size > MAX_MACHINES) this.redirectedElsewhereAt.clear();
    if (last !== undefined && now - last < REDIRECT_INTERVAL_MS) return false;
    this.redirectedElsewhereAt.set(machine, now);
    return true;
  }

  private controllerInZone({ id, zone }: Heartbeat, now: MonotonicTime): PeerLink | null {
    const last = this.redirectedToZoneAt.get(id);
    if (last !== undefined && now - last < ZONE_REDIRECT_INTERVAL_MS) return null;
    const candidates = this.links.filter(
      (link) => link.zone === zone && link.isAlive(now) && link.status?.receivesHeartbeats,
    );
    if (candidates.length === 0) return null;
    if (this.redirectedToZoneAt.size > MAX_MACHINES) this.redirectedToZoneAt.clear();
    this.redirectedToZoneAt.set(id, now);
    // Spread over the controllers there.
    return candidates[this.redirectedToZoneAt.size % candidates.length];
  }
}
