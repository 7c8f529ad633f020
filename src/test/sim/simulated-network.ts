/**
 * The network between the hosts of a simulation, on virtual time. Each pair of hosts can have a fault of its own: packets
 * are held and arrive later in order, are lost, or connections are refused.
 */
import type { Socket } from 'node:net';
import type { SimulatedHost } from './simulated-host.js';
import { SimulatedSocket } from './simulated-socket.js';
import type { SimulationRuntime } from './simulation-runtime.js';

/** Held packets arrive after the fault, lost ones never; `refuse` holds packets and refuses new connections. */
export type LinkFault = 'hold' | 'refuse' | 'lose';

const LATENCY_MS = 1;
const CONNECT_RETRY_MS = 500;

/** The same for both directions. */
const linkKey = (a: string, b: string): string => (a < b ? `${a}|${b}` : `${b}|${a}`);

const linksBetween = (some: string[], others: string[]): string[] =>
  some.flatMap((a) => others.filter((b) => b !== a).map((b) => linkKey(a, b)));

/** Delivers packets between hosts, which are named by their addresses. */
export class SimulatedNetwork {
  private readonly listeners = new Map<string, { host: SimulatedHost; accept: (socket: Socket) => void }>();
  private readonly faults = new Map<string, LinkFault>();
  private readonly held = new Map<string, (() => void)[]>();
  private readonly slowLatencyMs = new Map<string, number>();
  /** When the last packet on its way from one host to another arrives: packets never overtake one another. */
  private readonly lastArrival = new Map<string, number>();

  constructor(readonly runtime: SimulationRuntime) {}

  /** A fault between each of some hosts and each of others; held packets arrive when it ends. */
  injectFault(some: string[], others: string[], fault: LinkFault, forMs: number): void {
    const links = linksBetween(some, others);
    for (const link of links) this.faults.set(link, fault);
    this.runtime.clock.after(forMs, () => {
      for (const link of links) {
        this.faults.delete(link);
        for (const arrive of this.held.get(link)?.splice(0) ?? [])
          this.runtime.clock.after(LATENCY_MS, arrive);
      }
    });
  }

  /** A longer latency between each of some hosts and each of others, drawn for each pair. */
  addLatency(some: string[], others: string[], latencyMs: () => number, forMs: number): void {
    const links = linksBetween(some, others);
    for (const link of links) this.slowLatencyMs.set(link, latencyMs());
    this.runtime.clock.after(forMs, () => {
      for (const link of links) this.slowLatencyMs.delete(link);
    });
  }

  /** Runs `arrive` when a packet sent now arrives, if it does. */
  deliver(from: string, to: string, arrive: () => void): void {
    const link = linkKey(from, to);
    const fault = this.faults.get(link);
    if (fault === 'hold' || fault === 'refuse') {
      const held = this.held.get(link) ?? [];
      held.push(arrive);
      this.held.set(link, held);
    } else if (fault !== 'lose') this.schedule(from, to, arrive);
  }

  /** As `net.connect`, for a process of this host. */
  connect(host: SimulatedHost, { host: ip, port }: { host: string; port: number }): Socket {
    const local = new SimulatedSocket(this, host, ip);
    const attempt = (): void => {
      if (local.destroyed) return;
      const fault = this.faults.get(linkKey(host.ip, ip));
      const listener = this.listeners.get(`${ip}:${port}`);
      // Behind a partition the attempt is repeated until the caller gives it up.
      if (fault === 'hold' || fault === 'lose') this.runtime.clock.after(CONNECT_RETRY_MS, attempt);
      else if (fault === 'refuse' || !listener?.host.alive) local.fail('ECONNREFUSED');
      else {
        const remote = new SimulatedSocket(this, listener.host, host.ip);
        remote.onConnected(local);
        local.onConnected(remote);
        listener.host.run(() => listener.accept(remote as unknown as Socket));
        host.run(() => local.emit('connect'));
      }
    };
    this.schedule(host.ip, ip, attempt);
    return local as unknown as Socket;
  }

  /** As `net.createServer`, for a process of this host. */
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

  private schedule(from: string, to: string, arrive: () => void): void {
    const { clock } = this.runtime;
    const latencyMs = this.slowLatencyMs.get(linkKey(from, to)) ?? LATENCY_MS;
    const direction = `${from}>${to}`;
    const arrival = Math.max(clock.now + latencyMs, this.lastArrival.get(direction) ?? 0);
    this.lastArrival.set(direction, arrival);
    clock.after(arrival - clock.now, arrive);
  }
}
