// A plain HTTP server for the stand-ins, written from the published protocol.
import { createServer } from 'node:net';
import type { SimulatedHost } from './simulation-runtime.js';
import { parseAddress } from '../../config/address.js';
import { HttpParser } from '../../runtime/http/http-parser.js';
import type { HttpMessage } from '../../runtime/http/http-message.js';
import { decode, encode } from '../../wire/cbor.js';

export interface HttpResponse {
  status: number;
  body?: unknown;
}
export type RequestHandler = (
  request: HttpMessage,
  body: unknown,
  from: string,
) => Promise<HttpResponse | null>;

const limits = { headerBytes: 8192, headerCount: 64, bodyBytes: 1 << 24 };

/** Null: the request gets no answer. */
export const startHttpServer = (host: SimulatedHost, address: string, handle: RequestHandler): void => {
  host.run(() => {
    createServer((socket) => {
      const from = (socket as unknown as { other: string }).other;
      const parser = new HttpParser('request', limits);
      socket.on('data', (chunk) => {
        for (const request of parser.push(chunk)) {
          const body: unknown = request.body.length > 0 ? decode(request.body) : {};
          void handle(request, body, from).then((a) => {
            if (!a) return;
            const bytes = encode(a.body ?? {});
            const head = `HTTP/1.1 ${a.status} X\r\nContent-Length: ${bytes.length}\r\n\r\n`;
            socket.write(Buffer.concat([Buffer.from(head, 'latin1'), bytes]));
          });
        }
      });
      socket.on('error', () => socket.destroy());
    }).listen(parseAddress(address));
  });
};
