/** Whether this controller can serve, for its load balancer and its peers. */
import { monotonicNow } from './clock.js';
import type { MachineTypeCatalog } from './cloud/machine-type-catalog.js';
import type { KeyValueStoreClient } from './key-value-store/key-value-store-client.js';
import type { PeerLink } from './peers/peer-link.js';

/** Without an answer of the store for so long it counts as unavailable. */
const STORE_UNAVAILABLE_AFTER_MS = 2500;

/** What health depends on. */
export interface HealthCheckDependencies {
  store: Pick<KeyValueStoreClient, 'lastResponseAt'>;
  links: readonly PeerLink[];
  machineTypes: Pick<MachineTypeCatalog, 'current'>;
}

/** Derived anew at each question. */
export class HealthCheck {
  constructor(private readonly dependencies: HealthCheckDependencies) {}

  /** The key-value store answered lately. */
  isStoreAvailable(): boolean {
    return monotonicNow() - this.dependencies.store.lastResponseAt < STORE_UNAVAILABLE_AFTER_MS;
  }

  /** While the store is down for everybody, leaving the load balancer would only delay the return. */
  isHealthy(): boolean {
    const { store, links, machineTypes } = this.dependencies;
    if (machineTypes.current.length === 0) return false;
    if (this.isStoreAvailable()) return true;
    const now = monotonicNow();
    const alivePeers = links.filter((link) => link.isAlive(now));
    // Cut off from the store and from every peer: it is this controller that is cut off, and others can serve.
    if (links.length > 0 && alivePeers.length === 0) return false;
    return store.lastResponseAt > -Infinity && !alivePeers.some((link) => link.status?.storeAvailable);
  }
}
