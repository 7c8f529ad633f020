// One controller: wires servers, links, election and the leader's loop together.
import { createServer, type Socket } from 'node:net';
import { createHistogram } from 'node:perf_hooks';
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus';
import { uniformFloat64 } from 'pure-rand/distribution/uniformFloat64';
import { AdmissionControl } from './users/admission-control.js';
import { CancellationFeed } from './cancellations/cancellation-feed.js';
import { HeartbeatHandler } from './workers/heartbeat-handler.js';
import { CloudProviderClient } from './cloud/cloud-provider-client.js';
import { httpConnectionHandler } from './http/http-server.js';
import type { HttpReply } from './http/http-reply.js';
import type { HttpMessage } from './http/http-message.js';
import { ImageLocationStore, shareImageLocations } from './peers/image-locations.js';
import { LeaderLoop } from './leadership/leader-loop.js';
import { Logger } from './logger.js';
import { MachineTypeCatalog } from './cloud/machine-type-catalog.js';
import { LeaderElection } from './leadership/leader-election.js';
import { LeaderlessFencing } from './workers/leaderless-fencing.js';
import { PeerHandler } from './peers/peer-handler.js';
import { PeerLink } from './peers/peer-link.js';
import { servePeer } from './peers/peer-server.js';
import { STATUS_CONNECTIONS, socketBudget } from './http/socket-budget.js';
import { KeyValueStoreClient } from './key-value-store/key-value-store-client.js';
import { UserApi } from './users/user-api.js';
import type { OperatorSettings } from '../config/operator.js';
import type { Address } from '../config/address.js';
import { platformWarnings, type PlatformSettings } from '../config/platform.js';
import { highestKnownTerm } from '../core/election.js';
import type { JobId, NodeName, MonotonicTime } from '../core/units.js';
import { encode } from '../wire/cbor.js';
import {
  encodePeerStatus,
  type PeerResponses,
  type PeerStatus,
  type TaskCounts,
} from '../wire/peer-messages.js';

const STATE_FRESH_MS = 2500;
const MAX_USER_REQUESTS = 32;
const RESERVED_USER_REQUESTS = 8;
const USER_FORWARD_TIMEOUT_MS = 2000;
const USERS_LOG_MS = 10_000;
const IMAGE_LOCATIONS_MS = 1000;
const FENCE_CHECK_MS = 1000;
/** The leader's part of the state service's budget. */
const leaderShare = 0.6;

const forwarded = (answer: PeerResponses['user-request'] | null): HttpReply | null => {
  if (answer === null) return null;
  const { status, body, retryAfterS } = answer;
  return {
    status,
    ...(body === null ? {} : { body: Buffer.from(body) }),
    ...(retryAfterS === null ? {} : { retryAfterS }),
  };
};

export class Controller {
  private readonly log: Logger;
  private readonly store: KeyValueStoreClient;
  private readonly cloud: CloudProviderClient;
  private readonly election: LeaderElection;
  private readonly links: PeerLink[] = [];
  private readonly cancellations: CancellationFeed;
  private readonly users: UserApi;
  private readonly heartbeatHandler: HeartbeatHandler;
  private readonly leaderlessFencing: LeaderlessFencing;
  private readonly random: () => number;
  private readonly sockets;
  private leaderLoop: LeaderLoop | null = null;
  private readonly userOutcomes = new Map<string, number>();
  private usersLoggedAt = -Infinity;
  private readonly machineTypes: MachineTypeCatalog;
  private readonly imageLocations = new ImageLocationStore();
  private readonly admission = new AdmissionControl(MAX_USER_REQUESTS, RESERVED_USER_REQUESTS);
  private readonly times = { user: createHistogram(), report: createHistogram() };

  constructor(
    private readonly platform: PlatformSettings,
    private readonly operator: OperatorSettings,
  ) {
    this.log = new Logger(platform.name);
    this.sockets = socketBudget(platform.limits.sockets, platform.peers.length);
    this.store = new KeyValueStoreClient(platform);
    this.cloud = new CloudProviderClient(platform);
    const rng = xoroshiro128plus((Date.now() ^ (process.pid << 16)) | 0);
    this.random = () => uniformFloat64(rng);
    this.election = new LeaderElection(platform, operator.leaseMs, this.store, this.log, {
      onLead: () => this.lead(),
      onLost: (why) => this.follow(why),
      // The key's lease is alive, so there was a leader at most a lease ago. This is what a controller has that was
      // just restarted: without it, its workers would lose their leases for want of an answer.
      onLeaderKey: () => this.heartbeatHandler.recordLeaderSeen(operator.leaseMs),
    });
    this.machineTypes = new MachineTypeCatalog({
      limits: platform.keyValueStoreLimits,
      cloud: this.cloud,
      store: this.store,
      election: this.election,
      onChange: (types) => this.leaderLoop?.setMachineTypes(types),
    });
    this.cancellations = new CancellationFeed(platform, this.store, this.links, this.log, (jobs) =>
      this.leaderLoop?.applyCancellations(jobs),
    );
    for (const peer of platform.peers) {
      this.links.push(
        new PeerLink({
          peer,
          ownStatus: () => this.status(),
          onStatus: (status) => this.onPeerStatus(status),
          cancellations: this.cancellations,
          onMalformed: (name, cause) => this.malformed(name, cause),
        }),
      );
    }
    this.users = new UserApi({
      platform,
      store: this.store,
      machineTypes: () => this.machineTypes.current,
      taskCounts: (id) => this.counts(id),
      onCancellationTold: (id) => this.cancellations.recordConfirmed(id),
      knownJobs: this.cancellations,
    });
    this.heartbeatHandler = new HeartbeatHandler({
      platform,
      election: this.election,
      links: this.links,
      leaderLoop: () => this.leaderLoop,
      cancellations: this.cancellations,
      storeAvailable: () => this.storeAvailable(),
      log: this.log,
    });
    this.leaderlessFencing = new LeaderlessFencing({
      platform,
      heartbeatHandler: this.heartbeatHandler,
      cancellations: this.cancellations,
      links: this.links,
      cloud: this.cloud,
      storeAvailable: () => this.storeAvailable(),
      log: this.log,
    });
  }

  start(): void {
    const limits = {
      connections: this.sockets.public,
      idleMs: 60_000,
      bodyBytes: 64 * 1024,
      clientGroup: (q: HttpMessage) => (q.target === '/checkin' ? 'workers' : 'users'),
    };
    const onPublic = httpConnectionHandler(limits, this.log, (q, reply) => void this.route(q, reply));
    this.listen(this.platform.publicAddress, onPublic, this.sockets.backlog);
    const inside = { connections: STATUS_CONNECTIONS, idleMs: 10_000, bodyBytes: 1024 };
    const onStatus = httpConnectionHandler(inside, this.log, (q, reply) => reply(this.inspect(q)));
    const handler = this.peerHandler();
    // A frame's first byte is always 0, so a plain HTTP request for the status page is told apart by its first.
    const onInternal = (socket: Socket): void => {
      socket.on('error', () => socket.destroy());
      socket.once('data', (chunk) => {
        socket.pause();
        if (chunk[0] === 0)
          servePeer(
            socket,
            (q) => handler.answer(q),
            (cause) => this.malformed(null, cause),
          );
        else onStatus(socket);
        socket.unshift(chunk);
        socket.resume();
      });
    };
    this.listen(this.platform.internalAddress, onInternal, STATUS_CONNECTIONS);
    this.store.setBudgetShare(this.followerShare());
    for (const link of this.links) link.start();
    this.election.start();
    this.cancellations.start();
    setInterval(() => void this.leaderlessFencing.check(), FENCE_CHECK_MS);
    this.machineTypes.start();
    setInterval(
      () => shareImageLocations(this.leaderLoop?.leaderCore ?? null, this.imageLocations, this.links),
      IMAGE_LOCATIONS_MS,
    );
    setInterval(() => this.resignIfUnreachable(), 500);
    for (const warning of platformWarnings(this.platform)) this.log.info({ warning }, 'settings');
    this.log.info({ zone: this.platform.zone }, 'started');
  }

  /** A follower's part of the state service's budget: more than an equal one, since users' requests come in bursts. */
  private followerShare(): number {
    return Math.min(0.4, 1 / this.platform.peers.length);
  }

  private listen(address: Address, onConnection: (s: Socket) => void, backlog: number): void {
    const server = createServer(onConnection);
    server.on('error', (e) => {
      this.log.error({ cause: e.message, ...address }, 'cannot listen');
      process.exit(1);
    });
    server.listen({ ...address, backlog });
  }

  // ---- public requests -------------------------------------------------------------------------------------

  private async route(q: HttpMessage, reply: (r: HttpReply) => void): Promise<void> {
    const began = performance.now();
    const record = (which: 'user' | 'report'): void =>
      this.times[which].record(Math.max(1, Math.round((performance.now() - began) * 1000)));
    try {
      if (q.target === '/checkin') {
        reply(q.method === 'POST' ? await this.heartbeatHandler.handle(q.body) : { status: 405 });
        record('report');
        return;
      }
      if (q.target === '/up') {
        reply({ status: this.healthy() ? 200 : 503 });
        return;
      }
      // The stage is full: the user is told at once when to come back.
      const who = q.method === 'GET' ? q.target : null;
      if (!this.admission.tryAdmit(who)) {
        this.countUser({ status: 503, refusalCause: 'stage full' });
        reply({ status: 503, retryAfterS: 1 });
        return;
      }
      let served = false;
      try {
        const answer = await this.serveUser(q);
        served = answer.status !== 503;
        const { method, target } = q;
        const { status, jobStatus, refusalCause } = answer;
        this.log.debug({ method, target, status, told: jobStatus, cause: refusalCause }, 'user answered');
        this.countUser(answer);
        reply(answer);
        record('user');
      } finally {
        this.admission.release(who, served);
      }
    } catch (e) {
      // A fault in one request must not end the controller.
      this.log.rateLimited(
        'fault',
        'error',
        { cause: e instanceof Error ? e.stack : String(e) },
        'request failed',
      );
      reply({ status: 503, retryAfterS: 1 });
    }
  }

  /** Now and then: what users were answered, and why they were sent away. */
  private countUser(r: HttpReply): void {
    const outcome = r.refusalCause ?? String(r.status);
    this.userOutcomes.set(outcome, (this.userOutcomes.get(outcome) ?? 0) + 1);
    const now = performance.now();
    if (now - this.usersLoggedAt < USERS_LOG_MS) return;
    this.usersLoggedAt = now;
    this.log.info({ outcomes: Object.fromEntries(this.userOutcomes) }, 'user requests');
    this.userOutcomes.clear();
  }

  /** Refused by the state service alone: a peer that it serves takes the request, so that the user need not. */
  private async serveUser(q: HttpMessage): Promise<HttpReply> {
    const own = await this.users.handle(q);
    if (own.status !== 503) return own;
    const now = performance.now();
    const peer = this.links.find((l) => l.isAlive(now) && l.status?.storeAvailable);
    if (!peer) return own;
    const { method, target, body } = q;
    const a = await peer.ask({ kind: 'user-request', method, target, body }, USER_FORWARD_TIMEOUT_MS);
    return forwarded(a) ?? own;
  }

  private storeAvailable(): boolean {
    return performance.now() - this.store.lastAnswerAt < STATE_FRESH_MS;
  }

  /** While the state service is down for everybody, leaving the load balancer would only delay the return. */
  private healthy(): boolean {
    if (this.machineTypes.current.length === 0) return false;
    if (this.storeAvailable()) return true;
    const now = performance.now();
    const reached = this.links.filter((l) => l.isAlive(now));
    // Cut off from the state service and from every peer: it is we who are cut off, and others can serve.
    if (this.links.length > 0 && reached.length === 0) return false;
    return this.store.lastAnswerAt > -Infinity && !reached.some((l) => l.status?.storeAvailable);
  }

  // ---- peers -----------------------------------------------------------------------------------------------

  private status(): PeerStatus {
    const { hasAuthority } = this.election;
    return {
      node: this.platform.name,
      leading: hasAuthority && this.leaderLoop !== null,
      holdsLease: this.election.holdsLease && (this.leaderLoop?.leaderCore ?? null) !== null,
      term: highestKnownTerm(this.election.electionState),
      reachableLeader: this.heartbeatHandler.reachableLeader,
      storeAvailable: this.storeAvailable(),
      receivesHeartbeats: this.heartbeatHandler.receivesHeartbeats,
      leaderSeenAgoMs: this.heartbeatHandler.leaderSeenAgoMs,
    };
  }

  private onPeerStatus(s: PeerStatus): void {
    if (typeof s.leaderSeenAgoMs === 'number') this.heartbeatHandler.recordLeaderSeen(s.leaderSeenAgoMs);
    if (s.leading || s.holdsLease) this.election.noteLeader(s.node, s.term);
    if (s.leading) this.heartbeatHandler.recordLeaderSeen();
    if (s.reachableLeader) this.election.noteLeader(s.reachableLeader.node, s.reachableLeader.term);
  }

  private peerHandler(): PeerHandler {
    return new PeerHandler({
      links: this.links,
      election: this.election,
      heartbeatHandler: this.heartbeatHandler,
      cancellations: this.cancellations,
      users: this.users,
      imageLocations: this.imageLocations,
      leaderLoop: () => this.leaderLoop,
      status: () => this.status(),
      onPeerStatus: (status) => this.onPeerStatus(status),
      taskCounts: (id) => this.ownCounts(id),
    });
  }

  private malformed(peer: NodeName | null, cause: string): void {
    this.log.rateLimited('peer-message', 'info', { peer, cause }, 'malformed message of a peer dropped');
  }

  private ownCounts(id: JobId): TaskCounts | null {
    const job = this.leaderLoop?.leaderCore?.jobs.get(id);
    return job ? { done: job.completedCount, running: job.runningCount } : null;
  }

  /** Counts are for display only: without the leader they are left at zero. */
  private async counts(id: JobId): Promise<TaskCounts | null> {
    if (this.leaderLoop) return this.ownCounts(id);
    const now = performance.now();
    const link = this.links.find((l) => l.isAlive(now) && l.status?.leading);
    const answer = await link?.ask({ kind: 'task-counts', job: id }, 500);
    return answer?.counts ?? null;
  }

  private inspect(q: HttpMessage): HttpReply {
    if (q.method !== 'GET' || q.target !== '/queue') return { status: 404 };
    const stage = (h: ReturnType<typeof createHistogram>) => ({
      count: h.count,
      p50Ms: h.percentile(50) / 1000,
      p99Ms: h.percentile(99) / 1000,
    });
    const body = {
      ...encodePeerStatus(this.status()),
      authorityLeftMs: this.election.authorityLeftMs,
      requests: {
        open: this.admission.openRequests,
        refused: this.admission.refusedCount,
        ...stage(this.times.user),
      },
      reports: stage(this.times.report),
      cancellationsBehindMs: this.cancellations.coverageAgeMs(performance.now() as MonotonicTime),
      queue: this.leaderLoop?.leaderCore?.status() ?? null,
    };
    return { status: 200, body: encode(JSON.parse(JSON.stringify(body))) };
  }

  // ---- leadership ------------------------------------------------------------------------------------------

  /** A leader that hears no worker, directly or through its peers, gives way to one that may. */
  private resignIfUnreachable(): void {
    const loop = this.leaderLoop;
    if (!loop || this.links.length === 0 || !this.election.hasAuthority) return;
    if (
      loop.withoutHeartbeatsForMs(performance.now()) <
      this.platform.workers.heartbeatIntervalS * 2500 + 2500
    )
      return;
    this.election.resign('no worker is heard');
  }

  private lead(): void {
    this.leaderLoop?.stop();
    this.store.setBudgetShare(leaderShare);
    const { platform, operator, election, store, cloud, log, random } = this;
    this.leaderLoop = new LeaderLoop(
      platform,
      operator,
      election,
      store,
      cloud,
      log,
      random,
      () => this.machineTypes.current,
      this.imageLocations.all(),
      this.sockets.directCommands,
      this.cancellations,
    );
    void this.leaderLoop.start();
  }

  private follow(why: string): void {
    this.log.info({ why }, 'leadership lost');
    this.leaderLoop?.stop();
    this.leaderLoop = null;
    this.store.setBudgetShare(this.followerShare());
  }
}
