// Completions of jobs under way, kept in the state service a segment at a time.
import type { Outcome, TxnOutcome } from './state-client.js';
import type { JobId, SegmentName, Stamp } from '../core/units.js';
import * as wire from '../wire/state.js';

type Write = (then: wire.Change[], conditions: wire.Condition[]) => Promise<TxnOutcome>;
type Read = (key: string) => Promise<Outcome<wire.Item>>;

export type ProgressOutcome =
  | { kind: 'ok' }
  | { kind: 'retry' }
  /** Another write came in between; what is recorded now is to be taken in before the next try. */
  | { kind: 'changed'; bytes: Uint8Array };

/**
 * Each write names the stamp of the one before it. Guards against a write without an answer that is carried out late:
 * unconditional, it would put back older bits, and a next leader would run completed tasks again.
 */
export class ProgressStore {
  private readonly stamps = new Map<string, Stamp>();

  constructor(
    private readonly write: Write,
    private readonly read: Read,
  ) {}

  loaded(key: string, stamp: Stamp): void {
    this.stamps.set(key, stamp);
  }

  /** The job is over, and its segments with it. */
  drop(job: JobId, segments: SegmentName[]): void {
    for (const segment of segments) this.stamps.delete(wire.keys.progress(job, segment));
  }

  async put(job: JobId, segment: SegmentName, bytes: Uint8Array): Promise<ProgressOutcome> {
    const key = wire.keys.progress(job, segment);
    const data = wire.progressData(bytes);
    const r = await this.write([{ put: key, data }], [{ key, stamp: this.stamps.get(key) ?? 0 }]);
    if (r.kind === 'ok') {
      this.stamps.set(key, r.stamp);
      return { kind: 'ok' };
    }
    if (r.kind !== 'conflict') return { kind: 'retry' };
    const now = await this.read(key);
    if (now.kind === 'gone') this.stamps.delete(key);
    if (now.kind !== 'ok') return { kind: 'retry' };
    this.stamps.set(key, now.value.stamp);
    const bits = wire.parseProgress(now.value.data);
    return bits === null ? { kind: 'retry' } : { kind: 'changed', bytes: Buffer.from(bits, 'base64') };
  }
}
