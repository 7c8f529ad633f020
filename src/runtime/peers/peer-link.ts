// Links between controllers: length-prefixed CBOR frames. Each controller dials every peer, asks there, and
// answers what the peers ask on their own connections.
import { connect, type Socket } from 'node:net';
import type { PlatformSettings } from '../../config/platform.js';
import type { CancellationLogPosition, CancellationLogPage } from '../../core/cancellation-log.js';
import type { NodeName, MonotonicTime, Zone } from '../../core/units.js';
import { encode, tryDecode } from '../../wire/cbor.js';
import {
  encodePeerRequest,
  parsePeerRequest,
  parsePeerResponse,
  type PeerRequest,
  type PeerResponses,
  type PeerStatus,
} from '../../wire/peer-messages.js';
import { parseLogPage } from '../../wire/cancellation-pages.js';

const MAX_FRAME = 256 * 1024;
const HEARTBEAT_MS = 400;
const ALIVE_MS = 2000;
const REDIAL_MS = 500;
const DIAL_TIMEOUT_MS = 1500;
/** Reports of a large cluster while the leader pauses for as long as a relay waits; about 1 KB each. */
const MAX_OPEN = 1024;
const GATHER_MS = 5;

/** A request or the response to it; an answerer that can't say has null. Names are short: they go with each message. */
interface Frame {
  /** The asker's number of the request. */
  i: number;
  /** The request. */
  q?: unknown;
  /** The response. */
  a?: unknown;
}

const encodeFrame = (message: Frame): Buffer => {
  const body = encode(message);
  const head = Buffer.alloc(4);
  head.writeUInt32BE(body.length);
  return Buffer.concat([head, body]);
};

/** Splits a byte stream into frames; null once it is broken. */
class FrameReader {
  private buffer: Buffer = Buffer.alloc(0);

  push(chunk: Buffer): Frame[] | null {
    this.buffer = this.buffer.length === 0 ? chunk : Buffer.concat([this.buffer, chunk]);
    const out: Frame[] = [];
    while (this.buffer.length >= 4) {
      const length = this.buffer.readUInt32BE(0);
      if (length > MAX_FRAME) return null;
      if (this.buffer.length < 4 + length) break;
      const value = tryDecode(this.buffer.subarray(4, 4 + length));
      this.buffer = this.buffer.subarray(4 + length);
      if (typeof value !== 'object' || value === null || typeof (value as Frame).i !== 'number') return null;
      out.push(value as Frame);
    }
    return out;
  }
}

/** Frames that come close together leave in one write: each write and each packet costs its processor time. */
class Outbox {
  private frames: Buffer[] = [];

  constructor(private readonly socket: Socket) {}

  push(f: Frame): void {
    this.frames.push(encodeFrame(f));
    if (this.frames.length > 1) return;
    setTimeout(() => {
      const all = this.frames;
      this.frames = [];
      if (!this.socket.destroyed) this.socket.write(all.length === 1 ? all[0] : Buffer.concat(all));
    }, GATHER_MS);
  }
}

/** Answers what a peer asks on its connection. */
export const servePeer = (
  socket: Socket,
  handle: (request: PeerRequest) => Promise<unknown>,
  onMalformed: (cause: string) => void,
): void => {
  const reader = new FrameReader();
  const outbox = new Outbox(socket);
  let open = 0;
  const answer = ({ i, q }: Frame): void => {
    const request = parsePeerRequest(q);
    if (!request.ok) {
      onMalformed(request.cause);
      outbox.push({ i, a: null }); // at once, rather than let the asker wait
      return;
    }
    // A peer that asks faster than we answer is not answered.
    if (open >= MAX_OPEN && request.value.kind !== 'heartbeat') return;
    open++;
    void handle(request.value).then((a) => {
      open--;
      outbox.push({ i, a });
    });
  };
  socket.on('data', (chunk) => {
    const frames = reader.push(chunk);
    if (frames === null) socket.destroy();
    else for (const message of frames) answer(message);
  });
  socket.on('error', () => socket.destroy());
};

/** What each heartbeat asks a peer about cancellations, and where its answer goes. */
export interface CancellationExchange {
  positionOf: (peer: NodeName) => CancellationLogPosition | null;
  onPeerPage: (peer: NodeName, s: CancellationLogPage, askedAt: MonotonicTime) => void;
  onMalformedPage: (peer: NodeName, cause: string) => void;
}

export class PeerLink {
  private socket: Socket | null = null;
  private outbox: Outbox | null = null;
  private connected = false;
  private nextId = 1;
  private readonly waiting = new Map<number, (response: unknown) => void>();
  status: PeerStatus | null = null;
  private heardAt = -Infinity;
  private heartbeatOpen = false;
  private refusedAt = -Infinity;

  constructor(
    readonly peer: PlatformSettings['peers'][number],
    private readonly ownStatus: () => PeerStatus,
    private readonly onStatus: (s: PeerStatus) => void,
    private readonly cancellations: CancellationExchange,
    private readonly onMalformed: (peer: NodeName, cause: string) => void,
  ) {}

  get name(): NodeName {
    return this.peer.name;
  }

  get zone(): Zone {
    return this.peer.zone;
  }

  isAlive(now: number): boolean {
    return now - this.heardAt < ALIVE_MS;
  }

  /**
   * Its address answers with a refusal: the network in between works, unlike behind a cut, and a worker may well
   * reach it. It may also be dead.
   */
  refusesConnections(now: number): boolean {
    return !this.connected && now - this.refusedAt < ALIVE_MS;
  }

  start(): void {
    this.dial();
    setInterval(() => void this.heartbeat(), HEARTBEAT_MS);
  }

  /** Null without an answer in time, or with one of another shape. */
  async ask<R extends PeerRequest>(request: R, timeoutMs: number): Promise<PeerResponses[R['kind']] | null> {
    const raw = await this.exchange(request, timeoutMs);
    if (raw === null || raw === undefined) return null;
    const kind: R['kind'] = request.kind;
    const response = parsePeerResponse(kind, raw);
    if (response.ok) return response.value;
    this.onMalformed(this.name, response.cause);
    return null;
  }

  private exchange(request: PeerRequest, timeoutMs: number): Promise<unknown> {
    return new Promise((resolve) => {
      const { outbox } = this;
      // Heartbeats pass: a link full of other questions is not a dead one.
      const full = this.waiting.size >= MAX_OPEN && request.kind !== 'heartbeat';
      if (!outbox || !this.connected || full) {
        resolve(null);
        return;
      }
      const i = this.nextId++;
      const finish = (response: unknown): void => {
        clearTimeout(timer);
        this.waiting.delete(i);
        resolve(response);
      };
      const timer = setTimeout(() => finish(null), timeoutMs);
      this.waiting.set(i, finish);
      outbox.push({ i, q: encodePeerRequest(request) });
    });
  }

  private async heartbeat(): Promise<void> {
    if (this.heartbeatOpen) return;
    this.heartbeatOpen = true;
    const askedAt = performance.now() as MonotonicTime;
    const logPosition = this.cancellations.positionOf(this.name);
    const answer = await this.ask({ kind: 'heartbeat', status: this.ownStatus(), logPosition }, ALIVE_MS);
    this.heartbeatOpen = false;
    if (answer === null) {
      // A connection that stopped answering may sit behind a cut: a new one works as soon as the cut ends.
      if (this.connected && !this.isAlive(performance.now())) this.socket?.destroy();
      return;
    }
    this.heardAt = performance.now();
    this.status = answer.status;
    this.onStatus(answer.status);
    const page = parseLogPage(answer.cancellationPage);
    if (page.ok) this.cancellations.onPeerPage(this.name, page.value, askedAt);
    else this.cancellations.onMalformedPage(this.name, page.cause);
  }

  private dial(): void {
    const socket = connect({ ...this.peer.address, noDelay: true });
    this.socket = socket;
    this.outbox = new Outbox(socket);
    const reader = new FrameReader();
    const timer = setTimeout(() => {
      if (!this.connected) socket.destroy();
    }, DIAL_TIMEOUT_MS);
    socket.on('connect', () => {
      this.connected = true;
      this.refusedAt = -Infinity;
      void this.heartbeat();
    });
    socket.on('data', (chunk) => {
      const frames = reader.push(chunk);
      if (frames === null) socket.destroy();
      else for (const f of frames) this.waiting.get(f.i)?.(f.a);
    });
    socket.on('error', (e) => {
      if ('code' in e && e.code === 'ECONNREFUSED') this.refusedAt = performance.now();
      socket.destroy();
    });
    socket.on('close', () => {
      clearTimeout(timer);
      this.connected = false;
      for (const finish of [...this.waiting.values()]) finish(null);
      setTimeout(() => this.dial(), REDIAL_MS);
    });
  }
}
