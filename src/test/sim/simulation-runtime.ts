// Hosts on virtual time: what runs on one is paused, killed and restarted with it. The controllers' own modules run
// unchanged: Node's timers, clocks and `net` are replaced for the whole test process, and answer by host.
import { AsyncLocalStorage } from 'node:async_hooks';
import net from 'node:net';
import { syncBuiltinESMExports } from 'node:module';
import { VirtualClock } from './virtual-clock.js';
import type { SimulatedNetwork } from './simulated-network.js';

const EPOCH = 1_700_000_000_000;
/** Controllers seed their random numbers with it: the same day must give the same verdict in each test process. */
const SIMULATED_PID = 4711;
const setPid = (value: number): void => {
  Object.defineProperty(process, 'pid', { value, configurable: true, enumerable: true, writable: false });
};
const drain = setImmediate;

/** One run of a process (or a stand-in) at an address. */
export class SimulatedHost {
  alive = true;
  private frozen = false;
  private deferred: (() => void)[] = [];
  onKilled: (() => void)[] = [];

  constructor(
    readonly runtime: SimulationRuntime,
    readonly ip: string,
    /** Steady clocks of different processes have nothing in common. */
    readonly monotonicOffsetMs: number,
    /** The time of day is off by this. */
    readonly wallClockOffsetMs: number,
  ) {}

  run(action: () => void): void {
    if (!this.alive) return;
    if (this.frozen) this.deferred.push(action);
    else this.runtime.currentHost.run(this, action);
  }

  kill(): void {
    this.alive = false;
    this.deferred = [];
    for (const action of this.onKilled.splice(0)) action();
  }

  /** Stands still while its clocks run on. */
  freeze(ms: number): void {
    this.frozen = true;
    this.runtime.clock.after(ms, () => {
      this.frozen = false;
      for (const action of this.deferred.splice(0)) this.run(action);
    });
  }
}

interface Timer {
  cancelled: boolean;
  unref: () => Timer;
  ref: () => Timer;
}

export class SimulationRuntime {
  readonly clock = new VirtualClock();
  readonly currentHost = new AsyncLocalStorage<SimulatedHost>();
  private hosts = 0;

  createHost(ip: string, wallOffset = 0): SimulatedHost {
    return new SimulatedHost(this, ip, 1000 + 7919 * ++this.hosts, wallOffset);
  }

  /** Replaces what Node offers a process; returns what puts it back. */
  replaceNodeGlobals(network: SimulatedNetwork): () => void {
    const { setTimeout, clearTimeout, setInterval, clearInterval } = globalThis;
    const { connect, createServer } = net;
    const perfNow = performance.now.bind(performance);
    const dateNow = Date.now;
    const { pid } = process;
    setPid(SIMULATED_PID);
    const timer = (): Timer => {
      const t: Timer = { cancelled: false, unref: () => t, ref: () => t };
      return t;
    };
    const after = (ms: number, t: Timer, action: () => void): void => {
      const host = this.currentHost.getStore();
      this.clock.after(Number.isFinite(ms) ? ms : 0, () => {
        if (t.cancelled) return;
        if (host) host.run(() => (t.cancelled ? undefined : action()));
        else action();
      });
    };
    const fakes = {
      setTimeout: (callback: () => void, ms = 0) => {
        const t = timer();
        after(ms, t, callback);
        return t;
      },
      setInterval: (callback: () => void, ms = 0) => {
        const t = timer();
        const again = (): void => {
          callback();
          if (!t.cancelled) after(ms, t, again);
        };
        after(ms, t, again);
        return t;
      },
      clearTimeout: (t?: Timer) => {
        if (t) t.cancelled = true;
      },
      clearInterval: (t?: Timer) => {
        if (t) t.cancelled = true;
      },
    };
    Object.assign(globalThis, fakes);
    performance.now = () => this.clock.now + (this.currentHost.getStore()?.monotonicOffsetMs ?? 0);
    Date.now = () => EPOCH + this.clock.now + (this.currentHost.getStore()?.wallClockOffsetMs ?? 0);
    Object.assign(net, {
      connect: (address: { host: string; port: number }) =>
        network.connect(this.currentHost.getStore()!, address),
      createServer: (accept: (socket: net.Socket) => void) =>
        network.createServer(this.currentHost.getStore()!, accept),
    });
    syncBuiltinESMExports();
    return () => {
      this.currentHost.disable();
      Object.assign(globalThis, { setTimeout, clearTimeout, setInterval, clearInterval });
      performance.now = perfNow;
      Date.now = dateNow;
      setPid(pid);
      Object.assign(net, { connect, createServer });
      syncBuiltinESMExports();
    };
  }

  /** Runs events in order, and after each one whatever promises it settled. */
  async runUntil(end: number): Promise<void> {
    while (this.clock.step(end)) await new Promise((resolve) => drain(resolve));
    this.clock.now = end;
  }
}
