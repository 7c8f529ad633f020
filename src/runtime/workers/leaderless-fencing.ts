/**
 * Guards against a cancelled task on a machine that hangs while nobody leads: the leader ended, and in an outage of
 * the key-value store none can follow it. A hanging worker acts on no stop, and does not notice the end of its lease.
 */
import type { PlatformSettings } from '../../config/platform.js';
import type { MachineId, MonotonicTime } from '../../core/units.js';
import type { CancellationFeed } from '../cancellations/cancellation-feed.js';
import { monotonicNow } from '../clock.js';
import type { CloudProviderClient } from '../cloud/cloud-provider-client.js';
import type { Logger } from '../logger.js';
import type { PeerLink } from '../peers/peer-link.js';
import type { HeartbeatHandler } from './heartbeat-handler.js';

/** Of the time in which a cancelled task must be gone: later than a leader would act, were there one. */
const OVERDUE_CANCEL_FRACTION = 0.6;
/** In multiples of the same time: older cancellations are not considered. */
const MAX_CANCEL_AGE = 2;
const ASK_TIMEOUT_MS = 1500;
const MAX_FENCED_AT_ONCE = 100;
/** Within this many leases a controller that was ended and its workers have found one another again. */
const SETTLING_LEASES = 1.5;

/** What the fencing without a leader depends on. */
export interface LeaderlessFencingDependencies {
  platform: PlatformSettings;
  heartbeatHandler: HeartbeatHandler;
  cancellations: Pick<CancellationFeed, 'learnedAtOf' | 'anyLearnedBetween'>;
  links: PeerLink[];
  cloud: Pick<CloudProviderClient, 'deleteMachines' | 'listMachines'>;
  storeAvailable: () => boolean;
  log: Logger;
  clock?: () => MonotonicTime;
}

/** Deletes machines that may hold a cancelled task and send no heartbeats, while no leader can be reached. */
export class LeaderlessFencing {
  private inProgress = false;
  private readonly clock: () => MonotonicTime;
  private readonly startedAt: MonotonicTime;

  constructor(private readonly dependencies: LeaderlessFencingDependencies) {
    this.clock = dependencies.clock ?? monotonicNow;
    this.startedAt = this.clock();
  }

  /** To be called regularly. */
  async check(): Promise<void> {
    const now = this.clock();
    if (this.inProgress || this.dependencies.heartbeatHandler.isLeaderReachable(now)) return;
    const cancelMs = this.dependencies.platform.workers.cancelS * 1000;
    const oldest = (now - cancelMs * MAX_CANCEL_AGE) as MonotonicTime;
    const overdue = (now - cancelMs * OVERDUE_CANCEL_FRACTION) as MonotonicTime;
    if (!this.dependencies.cancellations.anyLearnedBetween(oldest, overdue)) return;
    this.inProgress = true;
    try {
      await this.fence(this.holdingCancelledTasks(overdue, now), await this.neverReported(now));
    } finally {
      this.inProgress = false;
    }
  }

  /** Machines that send no heartbeats any more, and last held a task whose cancellation is overdue. */
  private holdingCancelledTasks(overdue: MonotonicTime, now: MonotonicTime): MachineId[] {
    const { heartbeatHandler, cancellations, platform } = this.dependencies;
    return heartbeatHandler
      .machinesWithoutHeartbeatFor(platform.workers.leaseS * 1000, now)
      .filter(([, tasks]) =>
        tasks.some(
          (task) => task.state !== 'exited' && (cancellations.learnedAtOf(task.job) ?? Infinity) < overdue,
        ),
      )
      .map(([id]) => id);
  }

  /**
   * Machines of which nothing is known here. What they held was told to a controller that has ended, and the machine
   * registry can't be read in an outage: one that reports to nobody may hang with any task.
   */
  private async neverReported(now: MonotonicTime): Promise<MachineId[]> {
    const { heartbeatHandler, cloud, platform, storeAvailable } = this.dependencies;
    const settlingMs = platform.workers.leaseS * 1000 * SETTLING_LEASES;
    if (storeAvailable() || now - this.startedAt < settlingMs) return [];
    const listed = await cloud.listMachines();
    const running = (listed ?? [])
      .filter((machine) => machine.status === 'running')
      .map((machine) => machine.id);
    const reporting = new Set(heartbeatHandler.machinesWithRecentHeartbeat(running));
    return running.filter((id) => !reporting.has(id));
  }

  /** Deletes those of the machines that send heartbeats to nobody. */
  private async fence(holdingCancelled: MachineId[], neverReported: MachineId[]): Promise<void> {
    const { heartbeatHandler, cloud, log } = this.dependencies;
    const machines = [...new Set([...holdingCancelled, ...neverReported])].slice(0, MAX_FENCED_AT_ONCE);
    if (machines.length === 0) return;
    // They may report to another controller by now, which tells them to stop.
    const { reporting, allPeersAnswered } = await this.askPeers(machines);
    for (const id of machines) if (reporting.has(id)) heartbeatHandler.removeHeartbeat(id);
    // Those that a controller out of reach may get heartbeats from are spared, unless they are known to hold such a
    // task.
    const unreachable = machines.filter(
      (id) => !reporting.has(id) && (allPeersAnswered || holdingCancelled.includes(id)),
    );
    if (unreachable.length === 0) return;
    const ok = await cloud.deleteMachines(unreachable);
    log.info({ machines: unreachable, ok }, 'machines fenced without a leader');
    if (ok) for (const id of unreachable) heartbeatHandler.removeHeartbeat(id);
  }

  /** Which of the machines send heartbeats to other controllers, and whether every one of these said so. */
  private async askPeers(
    machines: MachineId[],
  ): Promise<{ reporting: Set<string>; allPeersAnswered: boolean }> {
    const answers = await Promise.all(
      this.dependencies.links.map((link) =>
        link.ask({ kind: 'recent-heartbeats', machines }, ASK_TIMEOUT_MS),
      ),
    );
    return {
      reporting: new Set(answers.flatMap((answer) => answer?.machines ?? [])),
      allPeersAnswered: answers.every((answer) => answer !== null),
    };
  }
}
