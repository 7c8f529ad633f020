/** The open connections of a server, bounded in number. */
import type { Socket } from 'node:net';

/** One open connection, and the group of clients that its last request belongs to. */
export interface PooledConnection {
  socket: Socket;
  group: string;
}

/** The group of a connection that has sent no request yet. */
export const UNKNOWN_GROUP = '';

/** Of the limit: above it replies end their connections, so that more peers than there are sockets take turns. */
const PRESSURE_THRESHOLD_FRACTION = 0.8;

/** Open connections, and which of them wait for a next request, in the order since when. */
export class ConnectionPool {
  private readonly open = new Set<PooledConnection>();
  private readonly idle = new Set<PooledConnection>();
  private readonly groupSizes = new Map<string, number>();

  constructor(private readonly limit: number) {}

  /** Whether so many connections are open that replies should end theirs. */
  get underPressure(): boolean {
    return this.open.size > this.limit * PRESSURE_THRESHOLD_FRACTION;
  }

  /** The number of open connections. */
  get size(): number {
    return this.open.size;
  }

  /**
   * Guards against peers that open sockets without end: the state, cloud and peer links need some too. A new
   * connection takes the place of the one that has been idle for longest, of the group that has the most.
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

  /** The connection is closed. */
  remove(connection: PooledConnection): void {
    if (!this.open.delete(connection)) return;
    this.idle.delete(connection);
    this.changeGroupSize(connection.group, -1);
  }

  /** A request of a client of this group is being handled: until its reply the connection is not evicted. */
  markBusy(connection: PooledConnection, group: string): void {
    this.idle.delete(connection);
    if (!this.open.has(connection) || group === connection.group) return;
    this.changeGroupSize(connection.group, -1);
    this.changeGroupSize(group, 1);
    connection.group = group;
  }

  /** The connection waits for its next request, or for its end. */
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
