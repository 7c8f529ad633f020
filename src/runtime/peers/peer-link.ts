/** The connection to one peer. Each controller dials every peer, and sends its requests and heartbeats there. */
import { connect, type Socket } from 'node:net';
import type { PlatformSettings } from '../../config/platform.js';
import type { CancellationLogPosition, CancellationLogPage } from '../../core/cancellation-log.js';
import type { NodeName, MonotonicTime, Zone } from '../../core/units.js';
import { parseCancellationLogPage } from '../../wire/cancellation-pages.js';
import {
  encodePeerRequest,
  parsePeerResponse,
  type PeerRequest,
  type PeerResponses,
  type PeerStatus,
} from '../../wire/peer-messages.js';
import { monotonicNow } from '../clock.js';
import { FrameReader } from './frame-codec.js';
import { FrameWriter } from './frame-writer.js';
import { PendingRequests } from './pending-requests.js';

const HEARTBEAT_MS = 400;
/** Without a heartbeat's response for so long the peer counts as unreachable. */
const DETECTION_TIMEOUT_MS = 2000;
const REDIAL_MS = 500;
const DIAL_TIMEOUT_MS = 1500;

/** What each heartbeat asks a peer about cancellations, and where its answer goes. */
export interface CancellationExchange {
  positionOf: (peer: NodeName) => CancellationLogPosition | null;
  onPeerPage: (peer: NodeName, page: CancellationLogPage, askedAt: MonotonicTime) => void;
  onMalformedPage: (peer: NodeName, cause: string) => void;
}

/** What a link needs. */
export interface PeerLinkDependencies {
  peer: PlatformSettings['peers'][number];
  ownStatus: () => PeerStatus;
  onStatus: (status: PeerStatus) => void;
  cancellations: CancellationExchange;
  onMalformed: (peer: NodeName, cause: string) => void;
}

type Connection =
  { state: 'closed' } | { state: 'dialling' } | { state: 'connected'; socket: Socket; writer: FrameWriter };

const CLOSED: Connection = { state: 'closed' };
const DIALLING: Connection = { state: 'dialling' };

/** One for each peer, for as long as the process runs. */
export class PeerLink {
  /** What the peer said last of itself. */
  status: PeerStatus | null = null;
  private connection: Connection = CLOSED;
  private readonly pending = new PendingRequests();
  private lastHeartbeatAt = -Infinity;
  private heartbeatPending = false;
  private refusedAt = -Infinity;

  constructor(private readonly dependencies: PeerLinkDependencies) {}

  /** The peer's name. */
  get name(): NodeName {
    return this.dependencies.peer.name;
  }

  /** The peer's zone. */
  get zone(): Zone {
    return this.dependencies.peer.zone;
  }

  /** It answered a heartbeat lately. */
  isAlive(now: number): boolean {
    return now - this.lastHeartbeatAt < DETECTION_TIMEOUT_MS;
  }

  /**
   * Its address answers with a refusal: the network in between works, unlike in a partition, and a worker may well
   * reach it. It may also be dead.
   */
  refusesConnections(now: number): boolean {
    return this.connection.state !== 'connected' && now - this.refusedAt < DETECTION_TIMEOUT_MS;
  }

  /** Dials, again and again, and sends heartbeats. */
  start(): void {
    this.dial();
    setInterval(() => void this.sendHeartbeat(), HEARTBEAT_MS);
  }

  /** Null without a response in time, or with one of another shape. */
  async ask<R extends PeerRequest>(request: R, timeoutMs: number): Promise<PeerResponses[R['kind']] | null> {
    const raw = await this.send(request, timeoutMs);
    if (raw === null || raw === undefined) return null;
    const kind: R['kind'] = request.kind;
    const response = parsePeerResponse(kind, raw);
    if (response.ok) return response.value;
    this.dependencies.onMalformed(this.name, response.cause);
    return null;
  }

  private send(request: PeerRequest, timeoutMs: number): Promise<unknown> {
    const { connection, pending } = this;
    // Heartbeats pass: a link full of other requests is not a dead one.
    const full = pending.isFull && request.kind !== 'heartbeat';
    if (connection.state !== 'connected' || full) return Promise.resolve(null);
    return pending.send(connection.writer, encodePeerRequest(request), timeoutMs);
  }

  private async sendHeartbeat(): Promise<void> {
    if (this.heartbeatPending) return;
    this.heartbeatPending = true;
    const { ownStatus, onStatus, cancellations } = this.dependencies;
    const askedAt = monotonicNow();
    const logPosition = cancellations.positionOf(this.name);
    const response = await this.ask(
      { kind: 'heartbeat', status: ownStatus(), logPosition },
      DETECTION_TIMEOUT_MS,
    );
    this.heartbeatPending = false;
    if (response === null) {
      this.dropUnanswering();
      return;
    }
    this.lastHeartbeatAt = monotonicNow();
    this.status = response.status;
    onStatus(response.status);
    const page = parseCancellationLogPage(response.cancellationPage);
    if (page.ok) cancellations.onPeerPage(this.name, page.value, askedAt);
    else cancellations.onMalformedPage(this.name, page.cause);
  }

  /** A connection without answers may be cut off: a new one works as soon as the partition ends. */
  private dropUnanswering(): void {
    if (this.connection.state === 'connected' && !this.isAlive(monotonicNow()))
      this.connection.socket.destroy();
  }

  private dial(): void {
    const socket = connect({ ...this.dependencies.peer.address, noDelay: true });
    const writer = new FrameWriter(socket);
    const reader = new FrameReader();
    this.connection = DIALLING;
    const timer = setTimeout(() => {
      if (this.connection.state !== 'connected') socket.destroy();
    }, DIAL_TIMEOUT_MS);
    socket.on('connect', () => {
      this.connection = { state: 'connected', socket, writer };
      this.refusedAt = -Infinity;
      void this.sendHeartbeat();
    });
    socket.on('data', (chunk) => {
      const frames = reader.push(chunk);
      if (frames === null) socket.destroy();
      else for (const frame of frames) this.pending.onResponse(frame);
    });
    socket.on('error', (error) => {
      if ('code' in error && error.code === 'ECONNREFUSED') this.refusedAt = monotonicNow();
      socket.destroy();
    });
    socket.on('close', () => {
      clearTimeout(timer);
      this.connection = CLOSED;
      this.pending.failAll();
      setTimeout(() => this.dial(), REDIAL_MS);
    });
  }
}
