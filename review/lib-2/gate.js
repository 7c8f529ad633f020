/**
 * The way to a worker's address, as a process of its own: it passes connections on to the worker. While it is stopped
 * and its queue of connections is full, connections to the address hang, without any error.
 */
import { connect, createServer } from 'node:net';
import process from 'node:process';

const BACKLOG = 1;
const [host, port] = process.argv[2].split(':');

const server = createServer((socket) => {
  const upstream = connect({ host, port: Number(port) });
  for (const [from, to] of [
    [socket, upstream],
    [upstream, socket],
  ]) {
    from.pipe(to);
    from.on('error', () => to.destroy());
    from.on('close', () => to.destroy());
  }
});
server.listen({ host: '127.0.0.1', port: 0, backlog: BACKLOG }, () => {
  process.stdout.write(`${server.address().port}\n`);
});
process.stdin.on('end', () => process.exit(0));
process.stdin.resume();
