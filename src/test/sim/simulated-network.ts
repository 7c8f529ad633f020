/**
 * The network between the hosts of a simulation, on virtual time. Each link between two hosts can have a fault: packets
 * are held and arrive later in order, packets are lost, or connections are refused.
 */
import type { Socket } from 'node:net';
import type { SimulatedHost } from './simulated-host.js';
import { SimulatedSocket } from './simulated-socket.js';
import type { SimulationRuntime } from './simulation-runtime.js';

/** `hold` delivers packets after the fault, `lose` drops them, `refuse` holds them and refuses new connections. */
export type LinkFault = 'hold' | 'refuse' | 'lose';

const LATENCY_MS = 1;
const CONNECT_RETRY_MS = 500;

/** The key of the link between two hosts, which is the same for both directions. */
const linkKey = (a: string, b: string): string => (a < b ? `${a}|${b}` : `${b}|${a}`);

const linksBetween = (hosts: string[], others: string[]): string[] =>
  hosts.flatMap((a) => others.filter((b) => b !== a).map((b) => linkKey(a, b)));

/** Delivers packets between hosts, which are identified by their IP addresses. */
export class SimulatedNetwork {
  private readonly listeners = new Map<string, { host: SimulatedHost; accept: (socket: Socket) => void }>();
  private readonly faults = new Map<string, LinkFault>();
  private readonly held = new Map<string, (() => void)[]>();
  private readonly slowLatencyMs = new Map<string, number>();
  /** Arrival time of the last packet in each direction of a link. Later packets don't overtake it. */
  private readonly lastArrival = new Map<string, number>();

  constructor(readonly runtime: SimulationRuntime) {}

  /** Injects a fault on the link between each of `hosts` and each of `others`. Held packets arrive when it ends. */
  injectFault(hosts: string[], others: string[], fault: LinkFault, forMs: number): void {
    const links = linksBetween(hosts, others);
    for (const link of links) this.faults.set(link, fault);
    this.runtime.clock.after(forMs, () => {
      for (const link of links) {
        this.faults.delete(link);
        for (const arrive of this.held.get(link)?.splice(0) ?? [])
          this.runtime.clock.after(LATENCY_MS, arrive);
      }
    });
  }

  /** Sets the latency of the link between each of `hosts` and each of `others`. `latencyMs` is called for each link. */
  setLatency(hosts: string[], others: string[], latencyMs: () => number, forMs: number): void {
    const links = linksBetween(hosts, others);
    for (const link of links) this.slowLatencyMs.set(link, latencyMs());
    this.runtime.clock.after(forMs, () => {
      for (const link of links) this.slowLatencyMs.delete(link);
    });
  }

  /** Sends a packet. Calls `arrive` at its arrival, or never if the packet is lost. */
  deliver(from: string, to: string, arrive: () => void): void {
    const link = linkKey(from, to);
    const fault = this.faults.get(link);
    if (fault === 'hold' || fault === 'refuse') {
      const held = this.held.get(link) ?? [];
      held.push(arrive);
      this.held.set(link, held);
    } else if (fault !== 'lose') this.schedule(from, to, arrive);
  }

  /** Implements `net.connect` for a process of this host. */
  connect(host: SimulatedHost, { host: ip, port }: { host: string; port: number }): Socket {
    const local = new SimulatedSocket(this, host, ip);
    const attempt = (): void => {
      if (local.destroyed) return;
      const fault = this.faults.get(linkKey(host.ip, ip));
      const listener = this.listeners.get(`${ip}:${port}`);
      // During a partition the attempt is repeated until the caller destroys the socket.
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

  /** Implements `net.createServer` for a process of this host. */
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
