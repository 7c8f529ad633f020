// Completions of jobs under way, kept in the state service a segment at a time.
import type { StoreOutcome, TransactionOutcome } from '../key-value-store/key-value-store-client.js';
import type { JobId, SegmentName, Revision } from '../../core/units.js';
import * as wire from '../../wire/key-value-store.js';

type Write = (then: wire.Change[], conditions: wire.Condition[]) => Promise<TransactionOutcome>;
type Read = (key: string) => Promise<StoreOutcome<wire.Item>>;

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
  private readonly revisions = new Map<string, Revision>();

  constructor(
    private readonly writeToStore: Write,
    private readonly read: Read,
  ) {}

  recordLoaded(key: string, stamp: Revision): void {
    this.revisions.set(key, stamp);
  }

  /** The job is over, and its segments with it. */
  forget(job: JobId, segments: SegmentName[]): void {
    for (const segment of segments) this.revisions.delete(wire.keys.progress(job, segment));
  }

  async save(job: JobId, segment: SegmentName, bytes: Uint8Array): Promise<ProgressOutcome> {
    const key = wire.keys.progress(job, segment);
    const data = wire.progressRecordData(bytes);
    const r = await this.writeToStore(
      [{ put: key, data }],
      [{ key, revision: this.revisions.get(key) ?? 0 }],
    );
    if (r.kind === 'ok') {
      this.revisions.set(key, r.revision);
      return { kind: 'ok' };
    }
    if (r.kind !== 'conflict') return { kind: 'retry' };
    const now = await this.read(key);
    if (now.kind === 'gone') this.revisions.delete(key);
    if (now.kind !== 'ok') return { kind: 'retry' };
    this.revisions.set(key, now.value.revision);
    const bits = wire.parseProgressRecord(now.value.data);
    return bits === null ? { kind: 'retry' } : { kind: 'changed', bytes: Buffer.from(bits, 'base64') };
  }
}
