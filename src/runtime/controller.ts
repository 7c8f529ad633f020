/** Composition root of a controller process: creates the components, connects them and starts them. */
import { uniformFloat64 } from 'pure-rand/distribution/uniformFloat64';
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus';
import type { OperatorSettings } from '../config/operator.js';
import { platformWarnings, type PlatformSettings } from '../config/platform.js';
import type { JobId, NodeName } from '../core/units.js';
import { CancellationFeed } from './cancellations/cancellation-feed.js';
import { wallClockNow } from './clock.js';
import { CloudProviderClient } from './cloud/cloud-provider-client.js';
import { MachineTypeCatalog } from './cloud/machine-type-catalog.js';
import { HealthCheck } from './health-check.js';
import { socketBudget, type SocketBudget } from './http/socket-budget.js';
import { KeyValueStoreClient } from './key-value-store/key-value-store-client.js';
import { LeaderElection } from './leadership/leader-election.js';
import { LeadershipManager } from './leadership/leadership-manager.js';
import { startInternalListener, startPublicListener } from './listeners.js';
import { Logger } from './logger.js';
import { ImageLocationStore, shareImageLocations } from './peers/image-locations.js';
import { PeerHandler } from './peers/peer-handler.js';
import { PeerLink } from './peers/peer-link.js';
import { PeerStatusExchange } from './peers/peer-status.js';
import { TaskCountLookup } from './peers/task-counts.js';
import { PublicRouter } from './public-router.js';
import { RequestLatency } from './request-latency.js';
import { StatusPage } from './status-page.js';
import { AdmissionControl } from './users/admission-control.js';
import { UserApi } from './users/user-api.js';
import { UserRequestHandler } from './users/user-request-handler.js';
import { HeartbeatHandler } from './workers/heartbeat-handler.js';
import { LeaderlessFencing } from './workers/leaderless-fencing.js';

const MAX_CONCURRENT_USER_REQUESTS = 32;
const RESERVED_RETRY_REQUESTS = 8;
const IMAGE_LOCATIONS_INTERVAL_MS = 1000;
const FENCING_CHECK_INTERVAL_MS = 1000;
const REACHABILITY_CHECK_INTERVAL_MS = 500;

/** The process id is part of the random seed, so that processes started at the same time draw different numbers. */
const PROCESS_ID_SHIFT_BITS = 16;
const createRandom = (): (() => number) => {
  const generator = xoroshiro128plus((wallClockNow() ^ (process.pid << PROCESS_ID_SHIFT_BITS)) | 0);
  return () => uniformFloat64(generator);
};

/** One controller. Its components live as long as the process. */
export class Controller {
  private readonly log: Logger;
  private readonly sockets: SocketBudget;
  private readonly store: KeyValueStoreClient;
  private readonly cloud: CloudProviderClient;
  private readonly links: PeerLink[] = [];
  private readonly imageLocations = new ImageLocationStore();
  private readonly admission = new AdmissionControl(MAX_CONCURRENT_USER_REQUESTS, RESERVED_RETRY_REQUESTS);
  private readonly userLatency = new RequestLatency();
  private readonly heartbeatLatency = new RequestLatency();
  private readonly election: LeaderElection;
  private readonly machineTypes: MachineTypeCatalog;
  private readonly cancellations: CancellationFeed;
  private readonly leadership: LeadershipManager;
  private readonly health: HealthCheck;
  private readonly taskCounts: TaskCountLookup;
  private readonly users: UserApi;
  private readonly heartbeatHandler: HeartbeatHandler;
  private readonly leaderlessFencing: LeaderlessFencing;
  private readonly peerStatus: PeerStatusExchange;

  constructor(
    private readonly platform: PlatformSettings,
    private readonly operator: OperatorSettings,
  ) {
    this.log = new Logger(platform.name);
    this.sockets = socketBudget(platform.processLimits.sockets, platform.peers.length);
    this.store = new KeyValueStoreClient(platform);
    this.cloud = new CloudProviderClient(platform);
    this.election = this.createElection();
    this.machineTypes = new MachineTypeCatalog({
      limits: platform.keyValueStoreLimits,
      cloud: this.cloud,
      store: this.store,
      election: this.election,
      onChange: (types) => this.leadership.leaderLoop?.setMachineTypes(types),
    });
    this.cancellations = this.createCancellationFeed();
    this.leadership = this.createLeadership();
    for (const peer of platform.peers) this.links.push(this.createLink(peer));
    const { store, links, machineTypes, leadership } = this;
    this.health = new HealthCheck({ store, links, machineTypes });
    this.taskCounts = new TaskCountLookup(leadership, links);
    this.users = this.createUserApi();
    this.heartbeatHandler = this.createHeartbeatHandler();
    this.leaderlessFencing = this.createLeaderlessFencing();
    this.peerStatus = this.createPeerStatus();
  }

  /** Opens the listeners, and takes part in the cluster until the process ends. */
  start(): void {
    this.listen();
    this.leadership.start();
    for (const link of this.links) link.start();
    this.election.start();
    this.cancellations.start();
    setInterval(() => void this.leaderlessFencing.check(), FENCING_CHECK_INTERVAL_MS);
    this.machineTypes.start();
    setInterval(
      () => shareImageLocations(this.leadership.leader, this.imageLocations, this.links),
      IMAGE_LOCATIONS_INTERVAL_MS,
    );
    setInterval(() => this.leadership.resignIfUnreachable(), REACHABILITY_CHECK_INTERVAL_MS);
    for (const warning of platformWarnings(this.platform)) this.log.info({ warning }, 'settings warning');
    this.log.info({ zone: this.platform.zone }, 'controller started');
  }

  private createElection(): LeaderElection {
    const { platform, store, log } = this;
    const { leaderLeaseMs: leaseMs } = this.operator;
    return new LeaderElection({
      platform,
      leaseMs,
      store,
      log,
      events: {
        onElected: () => this.leadership.onElected(),
        onLeadershipLost: (reason) => this.leadership.onLeadershipLost(reason),
        // The leader key exists only while its lease is alive, so a leader existed at most one lease ago. Without this
        // record, a controller that has just restarted would let its workers' leases expire until a leader responds.
        onLeaderKeyRead: () => this.heartbeatHandler.recordLeaderSeen(leaseMs),
      },
    });
  }

  private createCancellationFeed(): CancellationFeed {
    const { platform, store, links, log } = this;
    const onCancelled = (jobs: JobId[]): void => this.leadership.leaderLoop?.applyCancellations(jobs);
    return new CancellationFeed({ platform, store, links, log, onCancelled });
  }

  private createLeadership(): LeadershipManager {
    const { platform, operator, election, store, cloud, log, links, imageLocations, cancellations } = this;
    return new LeadershipManager({
      platform,
      operator,
      election,
      store,
      cloud,
      log,
      random: createRandom(),
      machineTypes: () => this.machineTypes.current,
      imageLocations,
      directCommandConnections: this.sockets.directCommands,
      cancellations,
      links,
    });
  }

  private createUserApi(): UserApi {
    return new UserApi({
      platform: this.platform,
      store: this.store,
      machineTypes: () => this.machineTypes.current,
      taskCounts: (id) => this.taskCounts.find(id),
      onCancellationReported: (id) => this.cancellations.recordConfirmed(id),
      knownJobs: this.cancellations,
    });
  }

  private createHeartbeatHandler(): HeartbeatHandler {
    const { platform, election, links, cancellations, log } = this;
    return new HeartbeatHandler({
      platform,
      election,
      links,
      leaderLoop: () => this.leadership.leaderLoop,
      cancellations,
      storeAvailable: () => this.health.isStoreAvailable(),
      log,
    });
  }

  private createLeaderlessFencing(): LeaderlessFencing {
    const { platform, heartbeatHandler, cancellations, links, cloud, log } = this;
    const storeAvailable = (): boolean => this.health.isStoreAvailable();
    return new LeaderlessFencing({
      platform,
      heartbeatHandler,
      cancellations,
      links,
      cloud,
      storeAvailable,
      log,
    });
  }

  private createPeerStatus(): PeerStatusExchange {
    const { platform, election, leadership, heartbeatHandler, health } = this;
    return new PeerStatusExchange({ node: platform.name, election, leadership, heartbeatHandler, health });
  }

  private createLink(peer: PlatformSettings['peers'][number]): PeerLink {
    return new PeerLink({
      peer,
      ownStatus: () => this.peerStatus.ownStatus(),
      onStatus: (status) => this.peerStatus.onPeerStatus(status),
      cancellations: this.cancellations,
      onMalformed: (name, cause) => this.logMalformedPeerMessage(name, cause),
    });
  }

  private listen(): void {
    const { platform, log, sockets } = this;
    const router = this.createRouter();
    const statusPage = this.createStatusPage();
    const peerHandler = this.createPeerHandler();
    startPublicListener(
      platform.publicAddress,
      sockets,
      (request, reply) => void router.handle(request, reply),
      log,
    );
    startInternalListener(
      platform.internalAddress,
      {
        statusPage: (request) => statusPage.handle(request),
        peerRequest: (request) => peerHandler.handle(request),
        onMalformedPeerRequest: (cause) => this.logMalformedPeerMessage(null, cause),
      },
      log,
    );
  }

  private createRouter(): PublicRouter {
    const { users, links, admission, userLatency, heartbeatLatency, log, heartbeatHandler, health } = this;
    const userRequests = new UserRequestHandler({ users, links, admission, latency: userLatency, log });
    return new PublicRouter({ heartbeatHandler, health, userRequests, heartbeatLatency, log });
  }

  private createStatusPage(): StatusPage {
    const { peerStatus, election, leadership, admission, cancellations, userLatency, heartbeatLatency } =
      this;
    return new StatusPage({
      peerStatus,
      election,
      leadership,
      admission,
      cancellations,
      userLatency,
      heartbeatLatency,
    });
  }

  private createPeerHandler(): PeerHandler {
    const { links, election, heartbeatHandler, cancellations, users, imageLocations } = this;
    return new PeerHandler({
      links,
      election,
      heartbeatHandler,
      cancellations,
      users,
      imageLocations,
      leaderLoop: () => this.leadership.leaderLoop,
      status: () => this.peerStatus.ownStatus(),
      onPeerStatus: (status) => this.peerStatus.onPeerStatus(status),
      taskCounts: (id) => this.taskCounts.localCounts(id),
    });
  }

  private logMalformedPeerMessage(peer: NodeName | null, cause: string): void {
    this.log.rateLimited('peer-message', 'info', { peer, cause }, 'malformed peer message dropped');
  }
}
