/** Requests to a peer that wait for their responses, multiplexed over one connection. */
import { encodeRequestFrame, type Frame } from './frame-codec.js';
import type { FrameWriter } from './frame-writer.js';

/** Enough for the forwarded heartbeats of a large cluster while the leader pauses for the duration of their timeout. */
export const MAX_PENDING_REQUESTS = 1024;

/** Matches responses to requests by request id. */
export class PendingRequests {
  private nextId = 1;
  private readonly completions = new Map<number, (response: unknown) => void>();

  /** Whether the limit of pending requests is reached. */
  get isFull(): boolean {
    return this.completions.size >= MAX_PENDING_REQUESTS;
  }

  /** Sends an encoded request. Resolves to the encoded response, or to null after the timeout. */
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

  /** Completes the request that a response belongs to. A response after the timeout is ignored. */
  onResponse({ requestId, response }: Frame): void {
    this.completions.get(requestId)?.(response);
  }

  /** Completes all pending requests with null, after the connection is closed. */
  failAll(): void {
    for (const complete of [...this.completions.values()]) complete(null);
  }
}
