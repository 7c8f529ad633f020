/** HTTP/1.1 with CBOR bodies, as on the operators' protocol page: a server, and a client with kept connections. */
import { Buffer } from 'node:buffer';
import http from 'node:http';
import { clearTimeout, setTimeout } from 'node:timers';
import { URL } from 'node:url';
import { Decoder } from 'cbor-x/decode';
import { Encoder } from 'cbor-x/encode';

const encoder = new Encoder({ useRecords: false, tagUint8Array: false, variableMapSize: true });
const decoder = new Decoder({ useRecords: false, mapsAsObjects: true });
/** Values come back as they were stored: this encoder writes a number in the form in which its decoder read it. */
export const encode = (value) => Buffer.from(encoder.encode(value));

export const decode = (bytes) => {
  if (bytes.length === 0) return null;
  try {
    return decoder.decode(bytes);
  } catch {
    return undefined;
  }
};

/**
 * Starts a server on a loopback address. `handle` gets `{ method, path, query, body }` and resolves to
 * `{ status, body }`, or to null if the request shall never be answered.
 */
export const serve = (handle, port = 0) =>
  new Promise((resolve) => {
    const server = http.createServer((request, response) => {
      const chunks = [];
      request.on('data', (chunk) => chunks.push(chunk));
      request.on('end', () => {
        const url = new URL(request.url, 'http://loopback');
        const message = {
          method: request.method,
          path: url.pathname,
          query: url.searchParams,
          body: decode(Buffer.concat(chunks)),
        };
        void Promise.resolve(handle(message)).then((reply) => {
          if (reply === null || response.destroyed) return;
          const bytes = reply.body === undefined ? Buffer.alloc(0) : encode(reply.body);
          response.writeHead(reply.status, {
            'Content-Type': 'application/cbor',
            'Content-Length': bytes.length,
          });
          response.end(bytes);
        });
      });
      request.on('error', () => request.destroy());
    });
    // A connection stays open unless one side sends `Connection: close`.
    server.keepAliveTimeout = 0;
    server.headersTimeout = 0;
    server.requestTimeout = 0;
    server.listen(port, '127.0.0.1', () => {
      resolve({
        address: `127.0.0.1:${server.address().port}`,
        close: () => {
          server.close();
          server.closeAllConnections();
        },
      });
    });
  });

/** A client that keeps its connection. `send` resolves to `{ status, body }`, with status 0 if there is no response. */
export class Client {
  constructor(address) {
    this.address = address;
    this.agent = new http.Agent({ keepAlive: true, maxSockets: 1 });
  }

  send(method, path, body, timeoutMs) {
    return new Promise((resolve) => {
      const [host, port] = this.address.split(':');
      const bytes = body === null ? null : encode(body);
      const headers =
        bytes === null ? {} : { 'Content-Type': 'application/cbor', 'Content-Length': bytes.length };
      const request = http.request({ host, port, method, path, headers, agent: this.agent });
      const fail = (cause) => {
        clearTimeout(timer);
        request.destroy();
        resolve({ status: 0, body: null, cause });
      };
      const timer = setTimeout(() => fail('timeout'), timeoutMs);
      request.on('error', (error) => fail(error.message));
      request.on('response', (response) => {
        const chunks = [];
        response.on('data', (chunk) => chunks.push(chunk));
        response.on('error', (error) => fail(error.message));
        response.on('end', () => {
          clearTimeout(timer);
          resolve({ status: response.statusCode, body: decode(Buffer.concat(chunks)) });
        });
      });
      request.end(bytes ?? undefined);
    });
  }

  close() {
    this.agent.destroy();
  }
}
