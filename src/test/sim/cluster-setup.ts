/** What a simulated cluster consists of, and the settings that the platform hands its controllers. */
import type { ProgramVersion } from './production-version.js';
import type { SimulatedHost } from './simulated-host.js';
import type { SimulationRuntime } from './simulation-runtime.js';
import type { KeyValueStoreLimits, PlatformSettings } from '../../config/platform.js';
import type { MachineType } from '../../core/machine-info.js';
import type { TeamQuota } from '../../core/team-quota.js';
import type { JobId, NodeName, Zone } from '../../core/units.js';

/** The address of the simulated key-value store. */
export const KEY_VALUE_STORE_IP = '10.2.0.1';
/** The address of the simulated cloud provider. */
export const CLOUD_PROVIDER_IP = '10.2.0.2';
/** Wall clocks of controllers are off by at most this. */
export const CLOCK_ERROR_MS = 100;
const DEFAULT_SOCKET_LIMIT = 1000;
const DEFAULT_KEY_VALUE_STORE_LIMITS: KeyValueStoreLimits = {
  requestsPerS: 200,
  writesPerS: 60,
  maxValueKb: 8,
  maxTransactionChanges: 12,
};

/** What a test asks of a simulated cluster. */
export interface ClusterSetup {
  seed: number;
  zones: string[];
  /** The zone of each controller. */
  controllers: string[];
  teams: TeamQuota[];
  types: MachineType[];
  /** How many machines the cloud provider has. */
  capacity: number;
  /** Machines that run before the first controller starts, in each zone of their type. */
  initialMachines?: { type: string; perZone: number };
  runMs: (job: JobId) => number;
  workers?: Partial<PlatformSettings['workers']>;
  /** Operators' settings, as the build step writes them. */
  operator?: unknown;
  /** What the key-value store accepts at the start, where it differs from the default. */
  keyValueStoreLimits?: Partial<KeyValueStoreLimits>;
  /** Limits that it will have later, as the settings announce them. */
  announcedKeyValueStoreLimits?: Partial<KeyValueStoreLimits>;
  /** Sockets that a controller may have open; few make direct commands that are never sent. */
  socketLimit?: number;
  /** The version that the controllers run at the start; else the present one. */
  version?: ProgramVersion;
}

/** A controller of a simulated cluster; `host` is its present run. */
export interface ControllerProcess {
  name: NodeName;
  ip: string;
  platform: PlatformSettings;
  host: SimulatedHost;
  /** Null: the present version. */
  version: ProgramVersion | null;
}

/** The intervals and limits that the workers of this cluster keep. */
export const workerTimings = ({ workers }: ClusterSetup): PlatformSettings['workers'] => ({
  heartbeatIntervalS: 1.5,
  leaseS: 10,
  gangWaitS: 40,
  gangPeerS: 4,
  cancelS: 40,
  ...workers,
});

/** What the key-value store of this cluster accepts at the start. */
export const keyValueStoreLimits = (setup: ClusterSetup): KeyValueStoreLimits => ({
  ...DEFAULT_KEY_VALUE_STORE_LIMITS,
  ...setup.keyValueStoreLimits,
});

const controllerName = (index: number): NodeName => `stable-${index}` as NodeName;
const controllerIp = (index: number): string => `10.0.0.${index + 1}`;

const platformSettings = (setup: ClusterSetup, index: number): PlatformSettings => ({
  name: controllerName(index),
  zone: setup.controllers[index] as Zone,
  publicAddress: { host: controllerIp(index), port: 8080 },
  internalAddress: { host: controllerIp(index), port: 8081 },
  peers: setup.controllers
    .map((zone, peer) => ({
      name: controllerName(peer),
      zone: zone as Zone,
      address: { host: controllerIp(peer), port: 8081 },
    }))
    .filter((_peer, peerIndex) => peerIndex !== index),
  cloudProvider: { host: CLOUD_PROVIDER_IP, port: 8443 },
  keyValueStore: { host: KEY_VALUE_STORE_IP, port: 2379 },
  zones: setup.zones as Zone[],
  clockErrorMs: CLOCK_ERROR_MS,
  teams: setup.teams,
  objectives: [],
  workers: workerTimings(setup),
  keyValueStoreLimits: keyValueStoreLimits(setup),
  cloudProviderLimits: { requestsPerS: 6, listLagS: 4 },
  processLimits: { cpu: 0.25, memoryMb: 146, sockets: setup.socketLimit ?? DEFAULT_SOCKET_LIMIT },
});

/** The controllers of this cluster, none of them started yet. */
export const createControllerProcesses = (
  setup: ClusterSetup,
  runtime: SimulationRuntime,
): ControllerProcess[] =>
  setup.controllers.map((_zone, index) => ({
    name: controllerName(index),
    ip: controllerIp(index),
    platform: platformSettings(setup, index),
    host: runtime.createHost(controllerIp(index)),
    version: setup.version ?? null,
  }));
