/** Divides the platform's limit on open sockets among all uses, so that no use can exhaust the sockets of another. */

/** For the process's own files, connections to the key-value store and to the cloud provider, and a margin. */
const RESERVED_FILE_DESCRIPTORS = 80;
/** One connection in each direction, and as many that still linger after a network partition. */
const SOCKETS_PER_PEER = 4;
/** Connections to the internal address other than those of peers. */
export const MAX_STATUS_CONNECTIONS = 16;
const MIN_SHARED_SOCKETS = 16;
const DIRECT_COMMAND_FRACTION = 0.15;
const MIN_DIRECT_COMMAND_CONNECTIONS = 4;
const MAX_DIRECT_COMMAND_CONNECTIONS = 400;
/** Connections waiting to be accepted use sockets too: after a restart, all workers and users connect at once. */
const BACKLOG_FRACTION = 0.15;
const MIN_BACKLOG_CONNECTIONS = 4;
const MAX_BACKLOG_CONNECTIONS = 256;

/** Number of sockets for each use whose number varies. */
export interface SocketBudget {
  /** Connections of workers and users on the public address. */
  public: number;
  /** Connections on the public address that wait to be accepted. */
  backlog: number;
  /** Connections for direct commands to workers. */
  directCommands: number;
}

const clampedFraction = (total: number, fraction: number, min: number, max: number): number =>
  Math.max(min, Math.min(max, Math.floor(total * fraction)));

/** Returns the socket budget of a controller with `peerCount` peers. */
export const socketBudget = (limit: number, peerCount: number): SocketBudget => {
  const reserved = RESERVED_FILE_DESCRIPTORS + MAX_STATUS_CONNECTIONS + SOCKETS_PER_PEER * peerCount;
  const shared = Math.max(MIN_SHARED_SOCKETS, limit - reserved);
  const directCommands = clampedFraction(
    shared,
    DIRECT_COMMAND_FRACTION,
    MIN_DIRECT_COMMAND_CONNECTIONS,
    MAX_DIRECT_COMMAND_CONNECTIONS,
  );
  const backlog = clampedFraction(shared, BACKLOG_FRACTION, MIN_BACKLOG_CONNECTIONS, MAX_BACKLOG_CONNECTIONS);
  return { public: shared - directCommands - backlog, backlog, directCommands };
};
