/** Machines and machine types as described by the cloud provider. */
import type { Resources } from './resources.js';
import type { Endpoint, MachineId, MachineTypeName, Zone } from './units.js';

/** The capacity of an empty machine of a type, and its prices. */
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
  /** Nominal time from the request for a machine until it is up. */
  bootS: number;
  /** Zones where the type is offered. */
  zones: Zone[];
}

/** The identity of a machine, which doesn't change while the machine exists. */
export interface MachineInfo {
  id: MachineId;
  endpoint: Endpoint;
  type: MachineTypeName;
  zone: Zone;
  /** Whether it is a spot instance, which the cloud provider may interrupt after a notice. */
  spot: boolean;
}

/** A machine in the cloud provider's list, which may be out of date. */
export interface ListedMachine extends MachineInfo {
  status: 'starting' | 'running' | 'failed';
  /** Time since it was provisioned. */
  ageS: number;
}
