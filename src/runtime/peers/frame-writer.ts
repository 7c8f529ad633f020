/** Writes frames to a socket in batches. */
import type { Socket } from 'node:net';

const BATCH_DELAY_MS = 5;

/** Collects frames for a few milliseconds, because each write and each packet costs CPU time. */
export class FrameWriter {
  private frames: Buffer[] = [];

  constructor(private readonly socket: Socket) {}

  /** Queues a frame for the next batch. The batch is dropped if the socket is closed by then. */
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
