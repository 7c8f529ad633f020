/** An HTTP server for the simulated services, implemented from the published protocol. */
import { createServer } from 'node:net';
import type { SimulatedHost } from './simulated-host.js';
import { parseAddress } from '../../config/address.js';
import { HttpParser } from '../../runtime/http/http-parser.js';
import type { HttpMessage } from '../../runtime/http/http-message.js';
import { decode, encode } from '../../wire/cbor.js';

/** The response of a simulated service. The body is encoded as CBOR. */
export interface HttpResponse {
  status: number;
  body?: unknown;
}

/** Responds to a request from the host at `from`. Null: no response is sent. */
export type RequestHandler = (
  request: HttpMessage,
  body: unknown,
  from: string,
) => Promise<HttpResponse | null>;

const PARSER_LIMITS = { headerBytes: 8192, headerCount: 64, bodyBytes: 1 << 24 };

const encodeResponse = (response: HttpResponse): Buffer => {
  const bytes = encode(response.body ?? {});
  const head = `HTTP/1.1 ${response.status} X\r\nContent-Length: ${bytes.length}\r\n\r\n`;
  return Buffer.concat([Buffer.from(head, 'latin1'), bytes]);
};

/** Starts a server that listens on the address as a process of the host. */
export const startHttpServer = (host: SimulatedHost, address: string, handle: RequestHandler): void => {
  host.run(() => {
    createServer((socket) => {
      const from = (socket as unknown as { remoteIp: string }).remoteIp;
      const parser = new HttpParser('request', PARSER_LIMITS);
      socket.on('data', (chunk) => {
        for (const request of parser.push(chunk)) {
          const body: unknown = request.body.length > 0 ? decode(request.body) : {};
          void handle(request, body, from).then((response) => {
            if (response) socket.write(encodeResponse(response));
          });
        }
      });
      socket.on('error', () => socket.destroy());
    }).listen(parseAddress(address));
  });
};
