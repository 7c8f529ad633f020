/** HTTP messages as the parser delivers them, and the error that it refuses them with. */

/** A request or a response. */
export interface HttpMessage {
  /** Requests: method and target. Responses: empty. */
  method: string;
  target: string;
  /** Responses: the status. Requests: 0. */
  status: number;
  headers: Map<string, string>;
  keepAlive: boolean;
  body: Buffer;
}

/** A malformed or oversized message, and the status that a server answers it with. */
export class HttpError extends Error {
  constructor(
    readonly status: number,
    message: string,
  ) {
    super(message);
  }
}
