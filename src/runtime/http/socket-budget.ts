// One budget of sockets for all uses, derived from the platform's limit: no use can take what another needs.

/** Files of the process itself, state service (calls, watches, lease), cloud, and some to spare. */
const OWN = 80;
/** Each peer dials us, we dial it, and old connections linger behind a cut. */
const EACH_PEER = 4;
/** Connections to our internal address that are not peers'. */
export const STATUS_CONNECTIONS = 16;
const ORDERS_SHARE = 0.15;
const MOST_ORDERS = 400;
/** Connections that wait to be accepted are open sockets, too: after a restart all workers and users come at once. */
const BACKLOG_SHARE = 0.15;
const MOST_BACKLOG = 256;

export interface SocketBudget {
  /** Workers and users together, on the public address. */
  public: number;
  /** Those not accepted yet. */
  backlog: number;
  /** Connections for orders sent straight to workers. */
  directCommands: number;
}

export const socketBudget = (limit: number, peers: number): SocketBudget => {
  const left = Math.max(16, limit - OWN - STATUS_CONNECTIONS - EACH_PEER * peers);
  const orders = Math.max(4, Math.min(MOST_ORDERS, Math.floor(left * ORDERS_SHARE)));
  const backlog = Math.max(4, Math.min(MOST_BACKLOG, Math.floor(left * BACKLOG_SHARE)));
  return { public: left - orders - backlog, backlog, directCommands: orders };
};
