/** Requests to a peer that await their responses, many at a time over one connection. */
import { encodeRequestFrame, type Frame } from './frame-codec.js';
import type { FrameWriter } from './frame-writer.js';

/** Enough for the heartbeats of a large cluster while the leader pauses for as long as a forwarded one waits. */
export const MAX_PENDING_REQUESTS = 1024;

/** Matches responses to requests by their ids. */
export class PendingRequests {
  private nextId = 1;
  private readonly completions = new Map<number, (response: unknown) => void>();

  /** So many await a response that others are not to be sent. */
  get isFull(): boolean {
    return this.completions.size >= MAX_PENDING_REQUESTS;
  }

  /** Sends a request in its encoded form; null without a response in time. */
  send(writer: FrameWriter, request: unknown, timeoutMs: number): Promise<unknown> {
    return new Promise((resolve) => {
      const requestId = this.nextId++;
      const complete = (response: unknown): void => {
        clearTimeout(timer);
        this.completions.delete(requestId);
        resolve(response);
      };
      const timer = setTimeout(() => complete(null), timeoutMs);
      this.completions.set(requestId, complete);
      writer.push(encodeRequestFrame(requestId, request));
    });
  }

  /** A response without a request, as after its time, is dropped. */
  onResponse({ requestId, response }: Frame): void {
    this.completions.get(requestId)?.(response);
  }

  /** The connection has ended: no response comes any more. */
  failAll(): void {
    for (const finish of [...this.completions.values()]) finish(null);
  }
}
