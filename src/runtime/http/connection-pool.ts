/** Bounded pool of a server's open connections. */
import type { Socket } from 'node:net';

/** An open connection, and the client group of its last request. */
export interface PooledConnection {
  socket: Socket;
  group: string;
}

/** The group of a connection that has not sent a request yet. */
export const UNKNOWN_GROUP = '';

/**
 * Fraction of the limit above which the server closes connections after each reply, so that more clients than there are
 * sockets can take turns.
 */
const PRESSURE_THRESHOLD_FRACTION = 0.8;

/** Tracks the open connections, and the idle ones in the order in which they became idle. */
export class ConnectionPool {
  private readonly open = new Set<PooledConnection>();
  private readonly idle = new Set<PooledConnection>();
  private readonly groupSizes = new Map<string, number>();

  constructor(private readonly limit: number) {}

  /** Whether the server should close connections after replies. */
  get underPressure(): boolean {
    return this.open.size > this.limit * PRESSURE_THRESHOLD_FRACTION;
  }

  /** The number of open connections. */
  get size(): number {
    return this.open.size;
  }

  /**
   * Adds a connection. At the limit it replaces the longest idle connection of the largest group that has idle ones;
   * without idle connections the new one is rejected. The limit keeps clients from using up the sockets that the
   * connections to the key-value store, the cloud provider and the peers need.
   */
  tryAdd(connection: PooledConnection): boolean {
    if (this.open.size >= this.limit) {
      const evicted = this.evictionCandidate();
      if (!evicted) return false;
      this.remove(evicted);
      evicted.socket.destroy();
    }
    this.open.add(connection);
    this.idle.add(connection);
    this.changeGroupSize(connection.group, 1);
    return true;
  }

  /** Removes a closed connection. */
  remove(connection: PooledConnection): void {
    if (!this.open.delete(connection)) return;
    this.idle.delete(connection);
    this.changeGroupSize(connection.group, -1);
  }

  /** Marks the connection as handling a request of this client group. It is not evicted until the reply is sent. */
  markBusy(connection: PooledConnection, group: string): void {
    this.idle.delete(connection);
    if (!this.open.has(connection) || group === connection.group) return;
    this.changeGroupSize(connection.group, -1);
    this.changeGroupSize(group, 1);
    connection.group = group;
  }

  /** Marks the connection as waiting for its next request, or for the client to close it. */
  markIdle(connection: PooledConnection): void {
    if (this.open.has(connection)) this.idle.add(connection);
  }

  private changeGroupSize(group: string, change: number): void {
    this.groupSizes.set(group, (this.groupSizes.get(group) ?? 0) + change);
  }

  private evictionCandidate(): PooledConnection | null {
    let candidate: PooledConnection | null = null;
    for (const connection of this.idle) {
      if (candidate && this.groupSizes.get(connection.group)! <= this.groupSizes.get(candidate.group)!)
        continue;
      candidate = connection;
    }
    return candidate;
  }
}
