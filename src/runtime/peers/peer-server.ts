/** Answers what a peer asks on its connection. */
import type { Socket } from 'node:net';
import { parsePeerRequest, type PeerRequest } from '../../wire/peer-messages.js';
import { encodeResponseFrame, FrameReader, type Frame } from './frame-codec.js';
import { FrameWriter } from './frame-writer.js';
import { MAX_PENDING_REQUESTS } from './pending-requests.js';

/** Responses are given in their encoded form. */
export const servePeer = (
  socket: Socket,
  handle: (request: PeerRequest) => Promise<unknown>,
  onMalformed: (cause: string) => void,
): void => {
  const reader = new FrameReader();
  const writer = new FrameWriter(socket);
  let pendingCount = 0;
  const respond = ({ requestId, request: encoded }: Frame): void => {
    const request = parsePeerRequest(encoded);
    if (!request.ok) {
      onMalformed(request.cause);
      writer.push(encodeResponseFrame(requestId, null)); // at once, rather than let the peer wait
      return;
    }
    // A peer that asks faster than it can be answered gets no response; its heartbeats pass.
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
    else for (const frame of frames) respond(frame);
  });
  socket.on('error', () => socket.destroy());
};
