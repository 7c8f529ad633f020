/** The listeners on the public and the internal address of a controller. */
import { createServer, type Socket } from 'node:net';
import type { Address } from '../config/address.js';
import type { PeerRequest } from '../wire/peer-messages.js';
import type { HttpMessage } from './http/http-message.js';
import type { HttpReply } from './http/http-reply.js';
import { httpConnectionHandler, type HttpRequestHandler } from './http/http-server.js';
import { MAX_STATUS_CONNECTIONS, type SocketBudget } from './http/socket-budget.js';
import type { Logger } from './logger.js';
import { servePeer } from './peers/peer-server.js';
import { clientGroup } from './public-router.js';

const PUBLIC_IDLE_TIMEOUT_MS = 60_000;
const MAX_PUBLIC_BODY_BYTES = 64 * 1024;
const STATUS_IDLE_TIMEOUT_MS = 10_000;
const MAX_STATUS_BODY_BYTES = 1024;

const startServer = (
  address: Address,
  onConnection: (socket: Socket) => void,
  backlog: number,
  log: Logger,
): void => {
  const server = createServer(onConnection);
  server.on('error', (error) => {
    log.error({ cause: error.message, ...address }, 'cannot listen on address');
    process.exit(1);
  });
  server.listen({ ...address, backlog });
};

/** Starts the HTTP listener for workers, users and the load balancer. */
export const startPublicListener = (
  address: Address,
  sockets: SocketBudget,
  handler: HttpRequestHandler,
  log: Logger,
): void => {
  const limits = {
    connections: sockets.public,
    idleMs: PUBLIC_IDLE_TIMEOUT_MS,
    bodyBytes: MAX_PUBLIC_BODY_BYTES,
    clientGroup,
  };
  startServer(address, httpConnectionHandler(limits, log, handler), sockets.backlog, log);
};

/** Handlers of the requests on the internal address. */
export interface InternalHandlers {
  statusPage: (request: HttpMessage) => HttpReply;
  /** Resolves to the encoded response. */
  peerRequest: (request: PeerRequest) => Promise<unknown>;
  onMalformedPeerRequest: (cause: string) => void;
}

/**
 * The first byte of a peer frame is always 0: the length prefix is big-endian, and frames are smaller than 16 MiB. An
 * HTTP request for the status page starts with a letter.
 */
const FRAME_FIRST_BYTE = 0;

/** Starts the listener for peers and for the status page; the first byte of a connection selects the protocol. */
export const startInternalListener = (address: Address, handlers: InternalHandlers, log: Logger): void => {
  const limits = {
    connections: MAX_STATUS_CONNECTIONS,
    idleMs: STATUS_IDLE_TIMEOUT_MS,
    bodyBytes: MAX_STATUS_BODY_BYTES,
  };
  const onHttp = httpConnectionHandler(limits, log, (request, reply) => reply(handlers.statusPage(request)));
  const onConnection = (socket: Socket): void => {
    socket.on('error', () => socket.destroy());
    socket.once('data', (chunk) => {
      socket.pause();
      if (chunk[0] === FRAME_FIRST_BYTE)
        servePeer(socket, handlers.peerRequest, handlers.onMalformedPeerRequest);
      else onHttp(socket);
      socket.unshift(chunk);
      socket.resume();
    });
  };
  startServer(address, onConnection, MAX_STATUS_CONNECTIONS, log);
};
