// CBOR over HTTP/1.1, as in PROTOCOL: a small server and a small client for the stand-ins.
import http from 'node:http';
import { Buffer } from 'node:buffer';
import { setTimeout, clearTimeout } from 'node:timers';
import { Encoder, Decoder } from 'cbor-x';

const encoder = new Encoder({ useRecords: false, tagUint8Array: false, variableMapSize: true });
const decoder = new Decoder({ useRecords: false, mapsAsObjects: true });

export const encode = (value) => Buffer.from(encoder.encode(value));
export const decode = (bytes) => {
  try {
    return bytes.length === 0 ? undefined : decoder.decode(bytes);
  } catch {
    return undefined;
  }
};

/**
 * Starts an HTTP server on a free loopback port. `handle(method, target, body)` resolves to `[status, body]`, or to null
 * if the request gets no response.
 */
export const serve = (handle, host = '127.0.0.1') =>
  new Promise((resolve) => {
    const server = http.createServer({ keepAliveTimeout: 120_000 }, (request, response) => {
      const parts = [];
      request.on('error', () => undefined);
      request.on('data', (part) => parts.push(part));
      request.on('end', () => {
        void Promise.resolve(handle(request.method, request.url, decode(Buffer.concat(parts)))).then(
          (reply) => {
            if (reply === null || response.destroyed) return;
            const [status, body] = reply;
            const bytes = body === undefined ? Buffer.alloc(0) : encode(body);
            response.writeHead(status, {
              'Content-Type': 'application/cbor',
              'Content-Length': bytes.length,
            });
            response.end(bytes);
          },
        );
      });
    });
    server.listen(0, host, () => {
      const { port } = server.address();
      resolve({ port, address: `${host}:${port}`, close: () => stop(server) });
    });
  });

const stop = (server) => {
  server.close();
  server.closeAllConnections();
};

/** A client that keeps one connection to one address, like a worker or a user. */
export class Client {
  constructor(address) {
    const [host, port] = address.split(':');
    this.options = { host, port: Number(port), agent: new http.Agent({ keepAlive: true, maxSockets: 1 }) };
  }

  /** Resolves to `{status, body}`, or to null without a response within the time. `raw` is sent as it is. */
  request(method, path, body, timeoutMs, raw = null) {
    return new Promise((resolve) => {
      const bytes = raw ?? (body === undefined ? null : encode(body));
      const headers =
        bytes === null ? {} : { 'Content-Type': 'application/cbor', 'Content-Length': bytes.length };
      const request = http.request({ ...this.options, method, path, headers }, (response) => {
        const parts = [];
        response.on('data', (part) => parts.push(part));
        response.on('error', () => finish(null));
        response.on('end', () => finish({ status: response.statusCode, body: decode(Buffer.concat(parts)) }));
      });
      const timer = setTimeout(() => {
        request.destroy();
        finish(null);
      }, timeoutMs);
      const finish = (result) => {
        clearTimeout(timer);
        resolve(result);
      };
      request.on('error', () => finish(null));
      request.end(bytes ?? undefined);
    });
  }

  close() {
    this.options.agent.destroy();
  }
}
