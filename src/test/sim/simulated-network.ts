// Connections between hosts on virtual time. Each pair of hosts can be cut on its own: packets are held and come
// later in order, connections are refused, or those that are open are reset.
import { EventEmitter } from 'node:events';
import type { Socket } from 'node:net';
import type { SimulatedHost, SimulationRuntime } from './simulation-runtime.js';

export type LinkFault = 'hold' | 'refuse' | 'lose';
const LATENCY_MS = 1;

class SimulatedSocket extends EventEmitter {
  destroyed = false;
  connected = false;
  peer: SimulatedSocket | null = null;
  private paused = false;
  private readonly unread: Buffer[] = [];
  private unsent: Buffer[] = [];

  constructor(
    private readonly network: SimulatedNetwork,
    readonly host: SimulatedHost,
    /** Where the other end is. */
    readonly other: string,
  ) {
    super();
    host.onKilled.push(() => this.vanish());
  }

  write(b: Buffer): boolean {
    if (this.destroyed) return false;
    if (!this.connected) this.unsent.push(b);
    else this.network.deliver(this.host.ip, this.other, () => this.peer?.receive(Buffer.from(b)));
    return true;
  }

  end(b?: Buffer): void {
    if (b) this.write(b);
    this.network.deliver(this.host.ip, this.other, () => this.peer?.closed());
    this.gone();
  }

  destroy(): this {
    if (this.destroyed) return this;
    if (this.connected) this.network.deliver(this.host.ip, this.other, () => this.peer?.closed());
    this.gone();
    return this;
  }

  established(peer: SimulatedSocket): void {
    this.connected = true;
    this.peer = peer;
    for (const b of this.unsent.splice(0)) this.write(b);
  }

  receive(b: Buffer): void {
    if (this.destroyed) return;
    this.unread.push(b);
    this.flush();
  }

  closed(): void {
    this.host.run(() => this.gone());
  }

  failed(code: string): void {
    this.host.run(() => {
      if (this.destroyed) return;
      this.emit('error', Object.assign(new Error(code), { code }));
      this.gone();
    });
  }

  pause(): this {
    this.paused = true;
    return this;
  }

  resume(): this {
    this.paused = false;
    if (this.unread.length > 0) this.network.runtime.clock.after(0, () => this.flush());
    return this;
  }

  unshift(b: Buffer): void {
    this.unread.unshift(b);
  }

  setNoDelay(): this {
    return this;
  }

  setTimeout(): this {
    return this;
  }

  private flush(): void {
    this.host.run(() => {
      while (!this.paused && !this.destroyed && this.unread.length > 0)
        this.emit('data', this.unread.shift()!);
    });
  }

  /** The process is dead: the other side hears of it, nothing here does. */
  private vanish(): void {
    if (this.destroyed) return;
    this.destroyed = true;
    if (this.connected) this.network.deliver(this.host.ip, this.other, () => this.peer?.failed('ECONNRESET'));
  }

  private gone(): void {
    if (this.destroyed) return;
    this.destroyed = true;
    this.network.runtime.clock.after(0, () => this.host.run(() => this.emit('close')));
  }
}

export class SimulatedNetwork {
  private readonly listeners = new Map<string, { host: SimulatedHost; accept: (socket: Socket) => void }>();
  private readonly troubles = new Map<string, LinkFault>();
  private readonly held = new Map<string, (() => void)[]>();
  private readonly slowLinks = new Map<string, number>();
  /** When the last packet on its way from one host to another arrives: packets never overtake one another. */
  private readonly lastArrival = new Map<string, number>();

  constructor(readonly runtime: SimulationRuntime) {}

  private key(a: string, b: string): string {
    return a < b ? `${a}|${b}` : `${b}|${a}`;
  }

  /** Each of these from each of those; packets that are held come when the trouble ends. */
  cut(these: string[], those: string[], trouble: LinkFault, forMs: number): void {
    const pairs = these.flatMap((a) => those.filter((b) => b !== a).map((b) => this.key(a, b)));
    for (const pair of pairs) this.troubles.set(pair, trouble);
    this.runtime.clock.after(forMs, () => {
      for (const pair of pairs) {
        this.troubles.delete(pair);
        for (const action of this.held.get(pair)?.splice(0) ?? [])
          this.runtime.clock.after(LATENCY_MS, action);
      }
    });
  }

  /** Packets between each of these and each of those take up to so long, and stay in order. */
  slow(these: string[], those: string[], latencyMs: () => number, forMs: number): void {
    const pairs = these.flatMap((a) => those.filter((b) => b !== a).map((b) => this.key(a, b)));
    for (const pair of pairs) this.slowLinks.set(pair, latencyMs());
    this.runtime.clock.after(forMs, () => {
      for (const pair of pairs) this.slowLinks.delete(pair);
    });
  }

  private schedule(from: string, to: string, action: () => void): void {
    const { clock } = this.runtime;
    const latencyMs = this.slowLinks.get(this.key(from, to)) ?? LATENCY_MS;
    const direction = `${from}>${to}`;
    const arrival = Math.max(clock.now + latencyMs, this.lastArrival.get(direction) ?? 0);
    this.lastArrival.set(direction, arrival);
    clock.after(arrival - clock.now, action);
  }

  deliver(from: string, to: string, action: () => void): void {
    const pair = this.key(from, to);
    const trouble = this.troubles.get(pair);
    if (trouble === 'hold' || trouble === 'refuse') {
      const held = this.held.get(pair) ?? [];
      held.push(action);
      this.held.set(pair, held);
    } else if (trouble !== 'lose') this.schedule(from, to, action);
  }

  connect(host: SimulatedHost, { host: ip, port }: { host: string; port: number }): Socket {
    const here = new SimulatedSocket(this, host, ip);
    const attempt = (): void => {
      if (here.destroyed) return;
      const trouble = this.troubles.get(this.key(host.ip, ip));
      if (trouble === 'refuse') {
        here.failed('ECONNREFUSED');
        return;
      }
      // Behind a cut the attempt is repeated until it is given up.
      if (trouble !== undefined) {
        this.runtime.clock.after(500, attempt);
        return;
      }
      const listener = this.listeners.get(`${ip}:${port}`);
      if (!listener?.host.alive) {
        here.failed('ECONNREFUSED');
        return;
      }
      const there = new SimulatedSocket(this, listener.host, host.ip);
      there.established(here);
      here.established(there);
      listener.host.run(() => listener.accept(there as unknown as Socket));
      host.run(() => here.emit('connect'));
    };
    this.schedule(host.ip, ip, attempt);
    return here as unknown as Socket;
  }

  createServer(host: SimulatedHost, accept: (socket: Socket) => void) {
    const server = {
      on: () => server,
      listen: (address: { host: string; port: number }) => {
        this.listeners.set(`${address.host}:${address.port}`, { host, accept });
        return server;
      },
    };
    return server;
  }
}
