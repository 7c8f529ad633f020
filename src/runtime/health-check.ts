/** Health of this controller, as reported to the load balancer and to its peers. */
import { monotonicNow } from './clock.js';
import type { MachineTypeCatalog } from './cloud/machine-type-catalog.js';
import type { KeyValueStoreClient } from './key-value-store/key-value-store-client.js';
import type { PeerLink } from './peers/peer-link.js';

/** The key-value store counts as unavailable after this time without a successful response. */
const STORE_UNAVAILABLE_AFTER_MS = 2500;

/** Inputs of the health check. */
export interface HealthCheckDependencies {
  store: Pick<KeyValueStoreClient, 'lastResponseAt'>;
  links: readonly PeerLink[];
  machineTypes: Pick<MachineTypeCatalog, 'current'>;
}

/** Computes the health at each call; it keeps no state. */
export class HealthCheck {
  constructor(private readonly dependencies: HealthCheckDependencies) {}

  /** Whether the key-value store has responded recently. */
  isStoreAvailable(): boolean {
    return monotonicNow() - this.dependencies.store.lastResponseAt < STORE_UNAVAILABLE_AFTER_MS;
  }

  /**
   * Whether the load balancer should send users to this controller. A store outage that affects all controllers does
   * not count: leaving the load balancer would only delay recovery.
   */
  isHealthy(): boolean {
    const { store, links, machineTypes } = this.dependencies;
    if (machineTypes.current.length === 0) return false;
    if (this.isStoreAvailable()) return true;
    const now = monotonicNow();
    const alivePeers = links.filter((link) => link.isAlive(now));
    // Neither the store nor any peer is reachable: this controller is the isolated one, and others can serve.
    if (links.length > 0 && alivePeers.length === 0) return false;
    return store.lastResponseAt > -Infinity && !alivePeers.some((link) => link.status?.storeAvailable);
  }
}
