/** The setup of a simulated cluster, and the platform settings of its controllers. */
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
/** Maximum error of a controller's wall clock. */
export const CLOCK_ERROR_MS = 100;
const DEFAULT_SOCKET_LIMIT = 1000;
const DEFAULT_KEY_VALUE_STORE_LIMITS: KeyValueStoreLimits = {
  requestsPerS: 200,
  writesPerS: 60,
  maxValueKb: 8,
  maxTransactionChanges: 12,
};

/** The configuration of a simulated cluster. */
export interface ClusterSetup {
  seed: number;
  zones: string[];
  /** The zone of each controller. */
  controllers: string[];
  teams: TeamQuota[];
  types: MachineType[];
  /** The maximum number of machines that the cloud provider runs. */
  capacity: number;
  /** Machines that run before the first controller starts. They run in each zone of their type. */
  initialMachines?: { type: string; perZone: number };
  runMs: (job: JobId) => number;
  workers?: Partial<PlatformSettings['workers']>;
  /** Operator settings in the format that the build step writes. */
  operator?: unknown;
  /** Limits of the key-value store at the start, where they differ from the defaults. */
  keyValueStoreLimits?: Partial<KeyValueStoreLimits>;
  /** Limits that the controllers' settings contain but the key-value store enforces only from a later time. */
  announcedKeyValueStoreLimits?: Partial<KeyValueStoreLimits>;
  /** Maximum number of open sockets of a controller. With a low limit, some direct commands are never sent. */
  socketLimit?: number;
  /** The version that the controllers run at the start. Default: the current version. */
  version?: ProgramVersion;
}

/** A controller of a simulated cluster. `host` is its current process. */
export interface ControllerProcess {
  name: NodeName;
  ip: string;
  platform: PlatformSettings;
  host: SimulatedHost;
  /** The version that the controller runs. Null: the current version. */
  version: ProgramVersion | null;
}

/** The timings of the workers of this cluster. */
export const workerTimings = ({ workers }: ClusterSetup): PlatformSettings['workers'] => ({
  heartbeatIntervalS: 1.5,
  leaseS: 10,
  gangWaitS: 40,
  gangMemberLossTimeoutS: 4,
  cancelS: 40,
  ...workers,
});

/** The limits of this cluster's key-value store at the start. */
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
  processLimits: { cpuCores: 0.25, memoryMb: 146, sockets: setup.socketLimit ?? DEFAULT_SOCKET_LIMIT },
});

/** Creates the controllers of this cluster without starting them. */
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
