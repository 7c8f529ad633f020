/**
 * Replaces Node.js timers, clocks, `net` and the process id with simulated versions in the whole test process, so that
 * the controllers' modules run unchanged. Clocks and connections are those of the host whose code calls them.
 */
import net from 'node:net';
import { syncBuiltinESMExports } from 'node:module';
import type { SimulatedNetwork } from './simulated-network.js';
import type { SimulationRuntime } from './simulation-runtime.js';

/** Wall-clock time at the start of a simulation. */
const EPOCH_MS = 1_700_000_000_000;
/** Controllers seed their random numbers with the process id. It is fixed so that runs are reproducible. */
const SIMULATED_PID = 4711;

const setPid = (value: number): void => {
  Object.defineProperty(process, 'pid', { value, configurable: true, enumerable: true, writable: false });
};

interface Timer {
  cancelled: boolean;
  unref: () => Timer;
  ref: () => Timer;
}

const createTimer = (): Timer => {
  const timer: Timer = { cancelled: false, unref: () => timer, ref: () => timer };
  return timer;
};

const cancelTimer = (timer?: Timer): void => {
  if (timer) timer.cancelled = true;
};

/** The timer functions of Node.js on virtual time. Each callback runs as the host that set the timer. */
const simulatedTimers = (runtime: SimulationRuntime) => {
  const schedule = (ms: number, timer: Timer, callback: () => void): void => {
    const host = runtime.currentHost.getStore();
    runtime.clock.after(Number.isFinite(ms) ? ms : 0, () => {
      if (timer.cancelled) return;
      if (host) host.run(() => (timer.cancelled ? undefined : callback()));
      else callback();
    });
  };
  return {
    setTimeout: (callback: () => void, ms = 0) => {
      const timer = createTimer();
      schedule(ms, timer, callback);
      return timer;
    },
    setInterval: (callback: () => void, ms = 0) => {
      const timer = createTimer();
      const repeat = (): void => {
        callback();
        if (!timer.cancelled) schedule(ms, timer, repeat);
      };
      schedule(ms, timer, repeat);
      return timer;
    },
    clearTimeout: cancelTimer,
    clearInterval: cancelTimer,
  };
};

/** Replaces the timers, clocks, `net` functions and process id. Returns a function that restores the original ones. */
export const replaceNodeGlobals = (runtime: SimulationRuntime, network: SimulatedNetwork): (() => void) => {
  const { setTimeout, clearTimeout, setInterval, clearInterval } = globalThis;
  const { connect, createServer } = net;
  const performanceNow = performance.now.bind(performance);
  const dateNow = Date.now;
  const { pid } = process;
  setPid(SIMULATED_PID);
  Object.assign(globalThis, simulatedTimers(runtime));
  performance.now = () => runtime.clock.now + (runtime.currentHost.getStore()?.monotonicOffsetMs ?? 0);
  Date.now = () => EPOCH_MS + runtime.clock.now + (runtime.currentHost.getStore()?.wallClockOffsetMs ?? 0);
  Object.assign(net, {
    connect: (address: { host: string; port: number }) =>
      network.connect(runtime.currentHost.getStore()!, address),
    createServer: (accept: (socket: net.Socket) => void) =>
      network.createServer(runtime.currentHost.getStore()!, accept),
  });
  syncBuiltinESMExports();
  return () => {
    runtime.currentHost.disable();
    Object.assign(globalThis, { setTimeout, clearTimeout, setInterval, clearInterval });
    performance.now = performanceNow;
    Date.now = dateNow;
    setPid(pid);
    Object.assign(net, { connect, createServer });
    syncBuiltinESMExports();
  };
};
