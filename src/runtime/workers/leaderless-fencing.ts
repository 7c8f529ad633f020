/**
 * Guards against a cancelled task on a hung machine while there is no leader: the leader has ended, and no other one
 * can be elected during an outage of the key-value store. A hung worker does not execute stop commands and does not
 * notice that its lease has expired, so its machine is deleted.
 */
import type { PlatformSettings } from '../../config/platform.js';
import type { MachineId, MonotonicTime } from '../../core/units.js';
import type { CancellationFeed } from '../cancellations/cancellation-feed.js';
import { monotonicNow } from '../clock.js';
import type { CloudProviderClient } from '../cloud/cloud-provider-client.js';
import type { Logger } from '../logger.js';
import type { PeerLink } from '../peers/peer-link.js';
import type { HeartbeatHandler } from './heartbeat-handler.js';

const MS_PER_S = 1000;
/** Fraction of `cancel_s` after which a cancellation is overdue; a leader, if there were one, would act earlier. */
const OVERDUE_CANCEL_FRACTION = 0.6;
/** Cancellations older than this multiple of `cancel_s` are ignored. */
const MAX_CANCEL_AGE_MULTIPLE = 2;
const PEER_REQUEST_TIMEOUT_MS = 1500;
const MAX_FENCED_AT_ONCE = 100;
/** Within this many lease durations, a restarted controller and its workers have reconnected. */
const RECONNECT_LEASES = 1.5;

/** Dependencies of the leaderless fencing. */
export interface LeaderlessFencingDependencies {
  platform: PlatformSettings;
  heartbeatHandler: HeartbeatHandler;
  cancellations: Pick<CancellationFeed, 'cancellationLearnedAt' | 'anyLearnedBetween'>;
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

  /** Fences machines if no leader is reachable and a cancellation is overdue; called periodically. */
  async check(): Promise<void> {
    const now = this.clock();
    if (this.inProgress || this.dependencies.heartbeatHandler.isLeaderReachable(now)) return;
    const cancelMs = this.dependencies.platform.workers.cancelS * MS_PER_S;
    const oldest = (now - cancelMs * MAX_CANCEL_AGE_MULTIPLE) as MonotonicTime;
    const overdue = (now - cancelMs * OVERDUE_CANCEL_FRACTION) as MonotonicTime;
    if (!this.dependencies.cancellations.anyLearnedBetween(oldest, overdue)) return;
    this.inProgress = true;
    try {
      await this.fence(
        this.machinesWithOverdueTasks(overdue, now),
        await this.machinesWithoutRecentHeartbeat(now),
      );
    } finally {
      this.inProgress = false;
    }
  }

  /** Machines that stopped sending heartbeats, and last reported a task whose cancellation is overdue. */
  private machinesWithOverdueTasks(overdue: MonotonicTime, now: MonotonicTime): MachineId[] {
    const { heartbeatHandler, cancellations, platform } = this.dependencies;
    return heartbeatHandler
      .machinesWithoutHeartbeatFor(platform.workers.leaseS * MS_PER_S, now)
      .filter(([, tasks]) =>
        tasks.some(
          (task) =>
            task.state !== 'exited' && (cancellations.cancellationLearnedAt(task.job) ?? Infinity) < overdue,
        ),
      )
      .map(([id]) => id);
  }

  /**
   * Running machines that did not send a heartbeat to this controller recently. Their tasks may have been reported only
   * to a controller that has ended, and the machine registry can't be read during an outage, so a machine that sends
   * heartbeats to no controller may be hung with any task.
   */
  private async machinesWithoutRecentHeartbeat(now: MonotonicTime): Promise<MachineId[]> {
    const { heartbeatHandler, cloud, platform, storeAvailable } = this.dependencies;
    const reconnectMs = platform.workers.leaseS * MS_PER_S * RECONNECT_LEASES;
    if (storeAvailable() || now - this.startedAt < reconnectMs) return [];
    const listed = await cloud.listMachines();
    const running = (listed ?? [])
      .filter((machine) => machine.status === 'running')
      .map((machine) => machine.id);
    const reporting = new Set(heartbeatHandler.machinesWithRecentHeartbeat(running));
    return running.filter((id) => !reporting.has(id));
  }

  /** Deletes those of the machines that send heartbeats to no controller. */
  private async fence(withOverdueTasks: MachineId[], withoutRecentHeartbeat: MachineId[]): Promise<void> {
    const { heartbeatHandler, cloud, log } = this.dependencies;
    const machines = [...new Set([...withOverdueTasks, ...withoutRecentHeartbeat])].slice(
      0,
      MAX_FENCED_AT_ONCE,
    );
    if (machines.length === 0) return;
    // The machines may by now send heartbeats to a peer, which commands them to stop cancelled tasks.
    const { reporting, allPeersResponded } = await this.queryPeers(machines);
    for (const id of machines) if (reporting.has(id)) heartbeatHandler.removeHeartbeat(id);
    // If a peer did not respond, it may receive heartbeats of the machines: then only those that last reported an
    // overdue task are deleted.
    const unreachable = machines.filter(
      (id) => !reporting.has(id) && (allPeersResponded || withOverdueTasks.includes(id)),
    );
    if (unreachable.length === 0) return;
    const ok = await cloud.deleteMachines(unreachable);
    log.info({ machines: unreachable, ok }, 'machines fenced without a leader');
    if (ok) for (const id of unreachable) heartbeatHandler.removeHeartbeat(id);
  }

  /** Returns which of the machines send heartbeats to peers, and whether every peer responded. */
  private async queryPeers(
    machines: MachineId[],
  ): Promise<{ reporting: Set<string>; allPeersResponded: boolean }> {
    const responses = await Promise.all(
      this.dependencies.links.map((link) =>
        link.sendRequest({ kind: 'recent-heartbeats', machines }, PEER_REQUEST_TIMEOUT_MS),
      ),
    );
    return {
      reporting: new Set(responses.flatMap((response) => response?.machines ?? [])),
      allPeersResponded: responses.every((response) => response !== null),
    };
  }
}
