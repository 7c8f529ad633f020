/** The connection to one peer. Each controller connects to every peer and sends its requests and heartbeats there. */
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

const HEARTBEAT_INTERVAL_MS = 400;
/** A peer counts as unreachable after this time without a response to a heartbeat. */
const DETECTION_TIMEOUT_MS = 2000;
const RECONNECT_DELAY_MS = 500;
const CONNECT_TIMEOUT_MS = 1500;

/** Exchange of the cancellation logs, which is part of each heartbeat. */
export interface CancellationExchange {
  /** The position up to which this controller holds the peer's cancellation log. */
  positionOf: (peer: NodeName) => CancellationLogPosition | null;
  onPeerPage: (peer: NodeName, page: CancellationLogPage, requestedAt: MonotonicTime) => void;
  onMalformedPage: (peer: NodeName, cause: string) => void;
}

/** Dependencies of a link. */
export interface PeerLinkDependencies {
  peer: PlatformSettings['peers'][number];
  ownStatus: () => PeerStatus;
  onStatus: (status: PeerStatus) => void;
  cancellations: CancellationExchange;
  onMalformed: (peer: NodeName, cause: string) => void;
}

type Connection =
  { state: 'closed' } | { state: 'connecting' } | { state: 'connected'; socket: Socket; writer: FrameWriter };

const CLOSED: Connection = { state: 'closed' };
const CONNECTING: Connection = { state: 'connecting' };

/** The link to one peer; lives as long as the process. */
export class PeerLink {
  /** The last status that the peer reported. */
  status: PeerStatus | null = null;
  private connection: Connection = CLOSED;
  private readonly pending = new PendingRequests();
  private lastHeartbeatResponseAt = -Infinity;
  private heartbeatPending = false;
  private connectionRefusedAt = -Infinity;

  constructor(private readonly dependencies: PeerLinkDependencies) {}

  /** The peer's name. */
  get name(): NodeName {
    return this.dependencies.peer.name;
  }

  /** The peer's zone. */
  get zone(): Zone {
    return this.dependencies.peer.zone;
  }

  /** Whether the peer has responded to a heartbeat within the detection timeout. */
  isAlive(now: number): boolean {
    return now - this.lastHeartbeatResponseAt < DETECTION_TIMEOUT_MS;
  }

  /**
   * Whether the peer's address actively refused a connection recently. Unlike in a partition, the network to the peer
   * works, so workers may be able to reach the peer. The peer may also be down.
   */
  refusesConnections(now: number): boolean {
    return this.connection.state !== 'connected' && now - this.connectionRefusedAt < DETECTION_TIMEOUT_MS;
  }

  /** Connects, reconnects whenever the connection is closed, and sends periodic heartbeats. */
  start(): void {
    this.openConnection();
    setInterval(() => void this.sendHeartbeat(), HEARTBEAT_INTERVAL_MS);
  }

  /** Sends a request. Resolves to null if there is no response within the timeout, or if the response is malformed. */
  async sendRequest<R extends PeerRequest>(
    request: R,
    timeoutMs: number,
  ): Promise<PeerResponses[R['kind']] | null> {
    const raw = await this.sendEncoded(request, timeoutMs);
    if (raw === null || raw === undefined) return null;
    const kind: R['kind'] = request.kind;
    const response = parsePeerResponse(kind, raw);
    if (response.ok) return response.value;
    this.dependencies.onMalformed(this.name, response.cause);
    return null;
  }

  private sendEncoded(request: PeerRequest, timeoutMs: number): Promise<unknown> {
    const { connection, pending } = this;
    // Heartbeats are exempt from the limit: a link with many pending requests must not count as unreachable.
    const full = pending.isFull && request.kind !== 'heartbeat';
    if (connection.state !== 'connected' || full) return Promise.resolve(null);
    return pending.send(connection.writer, encodePeerRequest(request), timeoutMs);
  }

  private async sendHeartbeat(): Promise<void> {
    if (this.heartbeatPending) return;
    this.heartbeatPending = true;
    const { ownStatus, onStatus, cancellations } = this.dependencies;
    const requestedAt = monotonicNow();
    const logPosition = cancellations.positionOf(this.name);
    const response = await this.sendRequest(
      { kind: 'heartbeat', status: ownStatus(), logPosition },
      DETECTION_TIMEOUT_MS,
    );
    this.heartbeatPending = false;
    if (response === null) {
      this.closeIfUnresponsive();
      return;
    }
    this.lastHeartbeatResponseAt = monotonicNow();
    this.status = response.status;
    onStatus(response.status);
    const page = parseCancellationLogPage(response.cancellationPage);
    if (page.ok) cancellations.onPeerPage(this.name, page.value, requestedAt);
    else cancellations.onMalformedPage(this.name, page.cause);
  }

  /** Closes a connection without responses: after a partition, a new connection works sooner than the old one. */
  private closeIfUnresponsive(): void {
    if (this.connection.state === 'connected' && !this.isAlive(monotonicNow()))
      this.connection.socket.destroy();
  }

  private openConnection(): void {
    const socket = connect({ ...this.dependencies.peer.address, noDelay: true });
    const writer = new FrameWriter(socket);
    const reader = new FrameReader();
    this.connection = CONNECTING;
    const timer = setTimeout(() => {
      if (this.connection.state !== 'connected') socket.destroy();
    }, CONNECT_TIMEOUT_MS);
    socket.on('connect', () => {
      this.connection = { state: 'connected', socket, writer };
      this.connectionRefusedAt = -Infinity;
      void this.sendHeartbeat();
    });
    socket.on('data', (chunk) => {
      const frames = reader.push(chunk);
      if (frames === null) socket.destroy();
      else for (const frame of frames) this.pending.onResponse(frame);
    });
    socket.on('error', (error) => {
      if ('code' in error && error.code === 'ECONNREFUSED') this.connectionRefusedAt = monotonicNow();
      socket.destroy();
    });
    socket.on('close', () => {
      clearTimeout(timer);
      this.connection = CLOSED;
      this.pending.failAll();
      setTimeout(() => this.openConnection(), RECONNECT_DELAY_MS);
    });
  }
}
