/** Server side of a peer connection. */
import type { Socket } from 'node:net';
import { parsePeerRequest, type PeerRequest } from '../../wire/peer-messages.js';
import { encodeResponseFrame, FrameReader, type Frame } from './frame-codec.js';
import { FrameWriter } from './frame-writer.js';
import { MAX_PENDING_REQUESTS } from './pending-requests.js';

/** Reads requests from the socket, and writes the encoded responses that `handle` resolves to. */
export const servePeer = (
  socket: Socket,
  handle: (request: PeerRequest) => Promise<unknown>,
  onMalformed: (cause: string) => void,
): void => {
  const reader = new FrameReader();
  const writer = new FrameWriter(socket);
  let pendingCount = 0;
  const handleFrame = ({ requestId, request: encoded }: Frame): void => {
    const request = parsePeerRequest(encoded);
    if (!request.ok) {
      onMalformed(request.cause);
      writer.push(encodeResponseFrame(requestId, null)); // so that the peer does not wait for its timeout
      return;
    }
    // Requests beyond the limit are dropped without a response, except heartbeats.
    if (pendingCount >= MAX_PENDING_REQUESTS && request.value.kind !== 'heartbeat') return;
    pendingCount++;
    void handle(request.value).then((response) => {
      pendingCount--;
      writer.push(encodeResponseFrame(requestId, response));
    });
  };
  socket.on('data', (chunk) => {
    const frames = reader.push(chunk);
    if (frames === null) socket.destroy();
    else for (const frame of frames) handleFrame(frame);
  });
  socket.on('error', () => socket.destroy());
};
