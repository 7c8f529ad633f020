/** One budget of sockets for all uses, derived from the platform's limit: no use can take what another needs. */

/** Files of the process itself, key-value store (calls, watches, lease), cloud, and some to spare. */
const RESERVED_FILE_DESCRIPTORS = 80;
/** Each peer dials us, we dial it, and old connections linger behind a cut. */
const SOCKETS_PER_PEER = 4;
/** Connections to our internal address that are not peers'. */
export const MAX_STATUS_CONNECTIONS = 16;
const MIN_SHARED_SOCKETS = 16;
const DIRECT_COMMAND_FRACTION = 0.15;
const MIN_DIRECT_COMMANDS = 4;
const MAX_DIRECT_COMMANDS = 400;
/** Connections that wait to be accepted are open sockets, too: after a restart all workers and users come at once. */
const BACKLOG_FRACTION = 0.15;
const MIN_BACKLOG = 4;
const MAX_BACKLOG = 256;

/** Sockets for each use that has a changing number of them. */
export interface SocketBudget {
  /** Workers and users together, on the public address. */
  public: number;
  /** Those not accepted yet. */
  backlog: number;
  /** Connections for direct commands to workers. */
  directCommands: number;
}

const clampedFraction = (total: number, fraction: number, min: number, max: number): number =>
  Math.max(min, Math.min(max, Math.floor(total * fraction)));

/** Divides the platform's limit on sockets for a controller with this many peers. */
export const socketBudget = (limit: number, peerCount: number): SocketBudget => {
  const reserved = RESERVED_FILE_DESCRIPTORS + MAX_STATUS_CONNECTIONS + SOCKETS_PER_PEER * peerCount;
  const shared = Math.max(MIN_SHARED_SOCKETS, limit - reserved);
  const directCommands = clampedFraction(
    shared,
    DIRECT_COMMAND_FRACTION,
    MIN_DIRECT_COMMANDS,
    MAX_DIRECT_COMMANDS,
  );
  const backlog = clampedFraction(shared, BACKLOG_FRACTION, MIN_BACKLOG, MAX_BACKLOG);
  return { public: shared - directCommands - backlog, backlog, directCommands };
};
