/** Machines and machine types as the cloud describes them. */
import type { Resources } from './resources.js';
import type { Endpoint, MachineId, MachineTypeName, Zone } from './units.js';

/** What an empty machine of a type offers, and what it costs. */
export interface MachineType extends Resources {
  name: MachineTypeName;
  /** Size of the image cache. */
  cacheGb: number;
  /** Rate at which images are fetched. */
  fetchGbPerS: number;
  /** Price of an on-demand instance per hour. */
  price: number;
  /** Price of a spot instance per hour. */
  spotPrice: number;
  /** Nominal time from the request until the machine is up. */
  bootS: number;
  /** Zones where the type is offered. */
  zones: Zone[];
}

/** What identifies a machine and never changes while it exists. */
export interface MachineInfo {
  id: MachineId;
  endpoint: Endpoint;
  type: MachineTypeName;
  zone: Zone;
  /** A spot instance: the cloud may take it away after an interruption notice. */
  spot: boolean;
}

/** A machine in the cloud's list, which lags behind. */
export interface ListedMachine extends MachineInfo {
  status: 'starting' | 'running' | 'failed';
  /** Time since it was provisioned. */
  ageS: number;
}
