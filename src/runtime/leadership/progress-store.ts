// Completions of jobs under way, kept in the state service a segment at a time.
import type { Outcome, TransactionOutcome } from '../key-value-store/key-value-store-client.js';
import type { JobId, SegmentName, Revision } from '../../core/units.js';
import * as wire from '../../wire/key-value-store.js';

type Write = (then: wire.Change[], conditions: wire.Condition[]) => Promise<TransactionOutcome>;
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
  private readonly stamps = new Map<string, Revision>();

  constructor(
    private readonly write: Write,
    private readonly read: Read,
  ) {}

  loaded(key: string, stamp: Revision): void {
    this.stamps.set(key, stamp);
  }

  /** The job is over, and its segments with it. */
  drop(job: JobId, segments: SegmentName[]): void {
    for (const segment of segments) this.stamps.delete(wire.keys.progress(job, segment));
  }

  async put(job: JobId, segment: SegmentName, bytes: Uint8Array): Promise<ProgressOutcome> {
    const key = wire.keys.progress(job, segment);
    const data = wire.progressRecordData(bytes);
    const r = await this.write([{ put: key, data }], [{ key, revision: this.stamps.get(key) ?? 0 }]);
    if (r.kind === 'ok') {
      this.stamps.set(key, r.revision);
      return { kind: 'ok' };
    }
    if (r.kind !== 'conflict') return { kind: 'retry' };
    const now = await this.read(key);
    if (now.kind === 'gone') this.stamps.delete(key);
    if (now.kind !== 'ok') return { kind: 'retry' };
    this.stamps.set(key, now.value.stamp);
    const bits = wire.parseProgressRecord(now.value.data);
    return bits === null ? { kind: 'retry' } : { kind: 'changed', bytes: Buffer.from(bits, 'base64') };
  }
}
