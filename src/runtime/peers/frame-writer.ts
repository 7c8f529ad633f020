/** Writes frames to a socket, those that come close together at once. */
import type { Socket } from 'node:net';

const BATCH_DELAY_MS = 5;

/** Each write and each packet costs its processor time, so frames are gathered for a moment. */
export class FrameWriter {
  private frames: Buffer[] = [];

  constructor(private readonly socket: Socket) {}

  /** Sends it soon, unless the socket is closed by then. */
  push(frame: Buffer): void {
    this.frames.push(frame);
    if (this.frames.length > 1) return;
    setTimeout(() => {
      const batch = this.frames;
      this.frames = [];
      if (!this.socket.destroyed) this.socket.write(batch.length === 1 ? batch[0] : Buffer.concat(batch));
    }, BATCH_DELAY_MS);
  }
}
