// A TCP proxy on loopback that can refuse connections, like a packet filter between two nodes.
import net from 'node:net';

export class Proxy {
  constructor(target) {
    const [host, port] = target.split(':');
    this.target = { host, port: Number(port) };
    this.sockets = new Set();
  }

  start() {
    return this.listen(0);
  }

  listen(port) {
    return new Promise((resolve) => {
      this.server = net.createServer((client) => {
        const upstream = net.connect({ ...this.target, noDelay: true });
        client.setNoDelay(true);
        for (const [from, to] of [
          [client, upstream],
          [upstream, client],
        ]) {
          this.sockets.add(from);
          from.on('error', () => undefined);
          from.on('close', () => {
            this.sockets.delete(from);
            to.destroy();
          });
          from.pipe(to);
        }
      });
      this.server.listen(port, '127.0.0.1', () => {
        this.port = this.server.address().port;
        resolve(`127.0.0.1:${this.port}`);
      });
    });
  }

  /** Resets the open connections and refuses new ones. */
  refuse() {
    this.server.close();
    for (const socket of this.sockets) socket.resetAndDestroy();
  }

  /** Lets connections through again. */
  allow() {
    return this.listen(this.port);
  }

  close() {
    this.server.close();
    for (const socket of this.sockets) socket.destroy();
  }
}
