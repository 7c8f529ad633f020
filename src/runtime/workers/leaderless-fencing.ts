// Guards against a cancelled task on a machine that hangs while nobody leads: the leader ended, and in an outage of
// the state service none can follow it. A hanging worker heeds no stop, and does not notice the end of its lease.
import type { CancellationFeed } from '../cancellations/cancellation-feed.js';
import type { HeartbeatHandler } from './heartbeat-handler.js';
import type { CloudProviderClient } from '../cloud/cloud-provider-client.js';
import type { Logger } from '../logger.js';
import type { PeerLink } from '../peers/peer-link.js';
import type { PlatformSettings } from '../../config/platform.js';
import type { MachineId, MonotonicTime } from '../../core/units.js';

/** Later than a leader would, were there one. */
const OVERDUE_CANCELS = 0.6;
const ASK_TIMEOUT_MS = 1500;
const MOST_RETURNED = 100;

/** Within this time a controller that was ended and its workers have found one another again. */
const SETTLING_LEASES = 1.5;

export class LeaderlessFencing {
  private open = false;
  private readonly startedAt: MonotonicTime;

  constructor(
    private readonly platform: PlatformSettings,
    private readonly reportHandler: HeartbeatHandler,
    private readonly cancelled: Pick<CancellationFeed, 'learnedAtOf' | 'anyLearnedBetween'>,
    private readonly links: PeerLink[],
    private readonly cloud: Pick<CloudProviderClient, 'deleteMachines' | 'listMachines'>,
    private readonly storeAvailable: () => boolean,
    private readonly log: Logger,
    private readonly clock: () => MonotonicTime = () => performance.now() as MonotonicTime,
  ) {
    this.startedAt = clock();
  }

  /** To be called regularly. */
  async check(): Promise<void> {
    const now = this.clock();
    if (this.open || this.reportHandler.isLeaderReachable(now)) return;
    const { cancelS } = this.platform.workers;
    const before = (now - cancelS * 1000 * OVERDUE_CANCELS) as MonotonicTime;
    if (!this.cancelled.anyLearnedBetween((now - cancelS * 2000) as MonotonicTime, before)) return;
    this.open = true;
    try {
      await this.fence(this.knownToHold(before, now), await this.unheard(now));
    } finally {
      this.open = false;
    }
  }

  private knownToHold(before: MonotonicTime, now: MonotonicTime): MachineId[] {
    return this.reportHandler
      .machinesWithoutHeartbeatFor(this.platform.workers.leaseS * 1000, now)
      .filter(([, tasks]) =>
        tasks.some((t) => t.state !== 'exited' && (this.cancelled.learnedAtOf(t.job) ?? Infinity) < before),
      )
      .map(([id]) => id);
  }

  /**
   * Machines of which nothing is known here. What they held was told to a controller that has ended, and the roster
   * can't be read in an outage: one that reports to nobody may hang with any task.
   */
  private async unheard(now: MonotonicTime): Promise<MachineId[]> {
    const settlingMs = this.platform.workers.leaseS * 1000 * SETTLING_LEASES;
    if (this.storeAvailable() || now - this.startedAt < settlingMs) return [];
    const listed = await this.cloud.listMachines();
    const up = (listed ?? []).filter((m) => m.status === 'running').map((m) => m.id);
    const heard = new Set(this.reportHandler.recentlyReporting(up));
    return up.filter((id) => !heard.has(id));
  }

  private async fence(known: MachineId[], unheard: MachineId[]): Promise<void> {
    const machines = [...new Set([...known, ...unheard])].slice(0, MOST_RETURNED);
    if (machines.length === 0) return;
    // They may report to another controller by now, which tells them to stop.
    const answers = await Promise.all(
      this.links.map((l) => l.ask({ kind: 'recent-heartbeats', machines }, ASK_TIMEOUT_MS)),
    );
    const heard = new Set(answers.flatMap((answer) => answer?.machines ?? []));
    for (const id of machines) if (heard.has(id)) this.reportHandler.forgetHeartbeat(id);
    // Whom a controller out of reach may hear is spared, unless we know that it holds such a task.
    const all = answers.every((answer) => answer !== null);
    const silent = machines.filter((id) => !heard.has(id) && (all || known.includes(id)));
    if (silent.length === 0) return;
    const ok = await this.cloud.deleteMachines(silent);
    this.log.info({ machines: silent, ok }, 'silent with a cancelled task, and no leader: fenced');
    if (ok) for (const id of silent) this.reportHandler.forgetHeartbeat(id);
  }
}
