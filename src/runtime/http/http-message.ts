/** HTTP messages as parsed, and the error for malformed ones. */

/** A request or a response. */
export interface HttpMessage {
  /** The method of a request; empty for a response. */
  method: string;
  /** The target of a request; empty for a response. */
  target: string;
  /** The status of a response; 0 for a request. */
  status: number;
  headers: Map<string, string>;
  keepAlive: boolean;
  body: Buffer;
}

/** A malformed or oversized message, with the status of the server's response. */
export class HttpError extends Error {
  constructor(
    readonly status: number,
    message: string,
  ) {
    super(message);
  }
}

const MAX_EXCERPT_LENGTH = 80;

/** The quoted start of a received text, for the message of an HttpError. */
export const excerpt = (text: string): string => JSON.stringify(text.slice(0, MAX_EXCERPT_LENGTH));
