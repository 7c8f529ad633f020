// Links between controllers: length-prefixed CBOR frames. Each controller dials every peer, asks there, and
// answers what the peers ask on their own connections.
import { connect, type Socket } from 'node:net';
import type { Platform } from '../config/platform.js';
import type { LogPosition, LogPage } from '../core/cancellations.js';
import type { ImageLocations } from '../core/leader.js';
import type { UnchangedReport } from '../core/types.js';
import type { NodeName, Steady, Term, Zone } from '../core/units.js';
import { encode, tryDecode } from '../wire/cbor.js';
import { parseLogPage } from '../wire/peers.js';
import type { LeaderRequest } from './leader-route.js';

const MAX_FRAME = 256 * 1024;
const HEARTBEAT_MS = 400;
const ALIVE_MS = 2000;
const REDIAL_MS = 500;
const DIAL_TIMEOUT_MS = 1500;
/** Reports of a large cluster while the leader pauses for as long as a relay waits; about 1 KB each. */
const MAX_OPEN = 1024;
const GATHER_MS = 5;

export interface LeaderStatus {
  node: NodeName;
  term: Term;
  leading: boolean;
  /** It holds the leader's lease and knows the cluster, with or without authority: in an outage nobody has any. */
  holding: boolean;
}

export interface PeerStatus extends LeaderStatus {
  /** The leader that it reaches itself, so that others may reach it over this peer. */
  reaches: LeaderStatus | null;
  stateOk: boolean;
  /** Workers reach it themselves. */
  hearing: boolean;
  /** How long ago it last knew of a leader; null: never. */
  leaderSeenAgoMs: number | null;
}
export type PeerRequest =
  /** `have`: how much of the answerer's log of cancellations the asker holds. */
  | { kind: 'heartbeat'; from: PeerStatus; have: LogPosition | null }
  | { kind: 'cancelled'; jobs: string[] }
  /** Which of these machines reported to the answerer itself lately? */
  | { kind: 'heard'; machines: string[] }
  | { kind: 'relay'; report: Uint8Array }
  | { kind: 'vouch'; term: Term; machines: UnchangedReport[] }
  /** To be passed on to a leader that the asker cannot reach; the answer is the leader's. */
  | { kind: 'forward'; to: NodeName; request: LeaderRequest }
  | { kind: 'user'; method: string; target: string; body: Uint8Array }
  | { kind: 'hints'; images: ImageLocations }
  | { kind: 'counts'; job: string };
export type PeerResponse = Record<string, unknown>;

interface Frame {
  i: number;
  q?: PeerRequest;
  a?: PeerResponse;
}

const frame = (f: Frame): Buffer => {
  const body = encode(f);
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
    this.frames.push(frame(f));
    if (this.frames.length > 1) return;
    setTimeout(() => {
      const all = this.frames;
      this.frames = [];
      if (!this.socket.destroyed) this.socket.write(all.length === 1 ? all[0] : Buffer.concat(all));
    }, GATHER_MS);
  }
}

export const answerPeer = (socket: Socket, handle: (q: PeerRequest) => Promise<PeerResponse>): void => {
  const reader = new FrameReader();
  const outbox = new Outbox(socket);
  let open = 0;
  socket.on('data', (chunk) => {
    const frames = reader.push(chunk);
    if (frames === null) {
      socket.destroy();
      return;
    }
    for (const f of frames) {
      if (!f.q || typeof f.q !== 'object') continue;
      if (open >= MAX_OPEN && f.q.kind !== 'heartbeat') continue; // a peer that asks faster than we answer is not answered
      open++;
      const { i } = f;
      void handle(f.q).then((a) => {
        open--;
        outbox.push({ i, a });
      });
    }
  });
  socket.on('error', () => socket.destroy());
};

/** What each heartbeat asks a peer about cancellations, and where its answer goes. */
export interface CancellationExchange {
  have: (peer: NodeName) => LogPosition | null;
  heard: (peer: NodeName, s: LogPage, askedAt: Steady) => void;
  malformed: (peer: NodeName, cause: string) => void;
}

export class PeerLink {
  private socket: Socket | null = null;
  private outbox: Outbox | null = null;
  private connected = false;
  private nextId = 1;
  private readonly waiting = new Map<number, (a: PeerResponse | null) => void>();
  status: PeerStatus | null = null;
  private heardAt = -Infinity;
  private heartbeatOpen = false;
  private refusedAt = -Infinity;

  constructor(
    readonly peer: Platform['peers'][number],
    private readonly own: () => PeerStatus,
    private readonly onStatus: (s: PeerStatus) => void,
    private readonly cancelled: CancellationExchange,
  ) {}

  get name(): NodeName {
    return this.peer.name;
  }

  get zone(): Zone {
    return this.peer.zone;
  }

  alive(now: number): boolean {
    return now - this.heardAt < ALIVE_MS;
  }

  /**
   * Its address answers with a refusal: the network in between works, unlike behind a cut, and a worker may well
   * reach it. It may also be dead.
   */
  refuses(now: number): boolean {
    return !this.connected && now - this.refusedAt < ALIVE_MS;
  }

  start(): void {
    this.dial();
    setInterval(() => void this.heartbeat(), HEARTBEAT_MS);
  }

  ask(q: PeerRequest, timeoutMs: number): Promise<PeerResponse | null> {
    return new Promise((resolve) => {
      const { outbox } = this;
      // Heartbeats pass: a link full of other questions is not a dead one.
      if (!outbox || !this.connected || (this.waiting.size >= MAX_OPEN && q.kind !== 'heartbeat')) {
        resolve(null);
        return;
      }
      const i = this.nextId++;
      const timer = setTimeout(() => finish(null), timeoutMs);
      const finish = (a: PeerResponse | null): void => {
        clearTimeout(timer);
        this.waiting.delete(i);
        resolve(a);
      };
      this.waiting.set(i, finish);
      outbox.push({ i, q });
    });
  }

  private async heartbeat(): Promise<void> {
    if (this.heartbeatOpen) return;
    this.heartbeatOpen = true;
    const askedAt = performance.now() as Steady;
    const have = this.cancelled.have(this.name);
    const a = await this.ask({ kind: 'heartbeat', from: this.own(), have }, ALIVE_MS);
    this.heartbeatOpen = false;
    if (a === null) {
      // A connection that stopped answering may sit behind a cut: a new one works as soon as the cut ends.
      if (this.connected && !this.alive(performance.now())) this.socket?.destroy();
      return;
    }
    const status = a['status'] as PeerStatus | undefined;
    if (!status || typeof status.term !== 'number') return;
    this.heardAt = performance.now();
    this.status = status;
    this.onStatus(status);
    const s = parseLogPage(a['cancelled']);
    if (s.ok) this.cancelled.heard(this.name, s.value, askedAt);
    else this.cancelled.malformed(this.name, s.cause);
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
      else for (const f of frames) this.waiting.get(f.i)?.(f.a ?? null);
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
