/** One end of a connection on the simulated network, with the part of `net.Socket` that the controllers use. */
import { EventEmitter } from 'node:events';
import type { SimulatedHost } from './simulated-host.js';
import type { SimulatedNetwork } from './simulated-network.js';

/** Buffers bytes written before the connection is open and bytes received while the socket is paused. */
export class SimulatedSocket extends EventEmitter {
  destroyed = false;
  private connected = false;
  private peer: SimulatedSocket | null = null;
  private paused = false;
  private readonly unread: Buffer[] = [];
  private readonly unsent: Buffer[] = [];

  constructor(
    private readonly network: SimulatedNetwork,
    readonly host: SimulatedHost,
    /** The IP address of the other end. */
    readonly remoteIp: string,
  ) {
    super();
    host.onKilled.push(() => this.onProcessKilled());
  }

  /** Sends the bytes, or buffers them until the connection is open. */
  write(bytes: Buffer): boolean {
    if (this.destroyed) return false;
    if (!this.connected) this.unsent.push(bytes);
    else this.sendToPeer((peer) => peer.receive(Buffer.from(bytes)));
    return true;
  }

  /** Sends the last bytes and closes the connection. */
  end(bytes?: Buffer): void {
    if (bytes) this.write(bytes);
    this.sendToPeer((peer) => peer.onPeerClosed());
    this.close();
  }

  /** Closes the connection. */
  destroy(): this {
    if (this.destroyed) return this;
    if (this.connected) this.sendToPeer((peer) => peer.onPeerClosed());
    this.close();
    return this;
  }

  /** Called when the connection to `peer`, the other end, is open. Sends the buffered bytes. */
  onConnected(peer: SimulatedSocket): void {
    this.connected = true;
    this.peer = peer;
    for (const bytes of this.unsent.splice(0)) this.write(bytes);
  }

  /** Emits an error after a failed connection attempt or a reset, and closes the connection. */
  fail(code: string): void {
    this.host.run(() => {
      if (this.destroyed) return;
      this.emit('error', Object.assign(new Error(code), { code }));
      this.close();
    });
  }

  /** Stops `data` events until `resume`. */
  pause(): this {
    this.paused = true;
    return this;
  }

  /** Emits the bytes that were received while the socket was paused. */
  resume(): this {
    this.paused = false;
    if (this.unread.length > 0) this.network.runtime.clock.after(0, () => this.flush());
    return this;
  }

  /** Puts bytes back in front of the unread bytes. */
  unshift(bytes: Buffer): void {
    this.unread.unshift(bytes);
  }

  /** Has no effect here. */
  setNoDelay(): this {
    return this;
  }

  /** Has no effect here. */
  setTimeout(): this {
    return this;
  }

  private sendToPeer(action: (peer: SimulatedSocket) => void): void {
    this.network.deliver(this.host.ip, this.remoteIp, () => {
      if (this.peer) action(this.peer);
    });
  }

  private receive(bytes: Buffer): void {
    if (this.destroyed) return;
    this.unread.push(bytes);
    this.flush();
  }

  private flush(): void {
    this.host.run(() => {
      while (!this.paused && !this.destroyed && this.unread.length > 0)
        this.emit('data', this.unread.shift()!);
    });
  }

  private onPeerClosed(): void {
    this.host.run(() => this.close());
  }

  /** Resets the connection at the other end. The killed process gets no event. */
  private onProcessKilled(): void {
    if (this.destroyed) return;
    this.destroyed = true;
    if (this.connected) this.sendToPeer((peer) => peer.fail('ECONNRESET'));
  }

  private close(): void {
    if (this.destroyed) return;
    this.destroyed = true;
    this.network.runtime.clock.after(0, () => this.host.run(() => this.emit('close')));
  }
}
