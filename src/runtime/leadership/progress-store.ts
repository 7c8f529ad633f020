/** Progress of jobs that are not over, kept in the store a segment at a time. */
import type { JobId, SegmentName, Revision } from '../../core/units.js';
import type { Change, Condition, Item } from '../../wire/key-value-store.js';
import { keys, parseProgressRecord, progressRecordData } from '../../wire/stored-records.js';
import type { StoreOutcome, TransactionOutcome } from '../key-value-store/key-value-store-client.js';

type Write = (changes: Change[], conditions: Condition[]) => Promise<TransactionOutcome>;
type Read = (key: string) => Promise<StoreOutcome<Item>>;

const ABSENT: Revision = 0;

/** How a write of progress ended. */
export type ProgressOutcome =
  | { kind: 'ok' }
  | { kind: 'retry' }
  /** Another write came in between; what is recorded now is to be merged before the next try. */
  | { kind: 'changed'; bytes: Uint8Array };

/**
 * Each write names the revision of the one before it. Guards against a write without an answer that is carried out late:
 * unconditional, it would put back older bits, and a next leader would run completed tasks again.
 */
export class ProgressStore {
  private readonly revisions = new Map<string, Revision>();

  constructor(
    private readonly writeToStore: Write,
    private readonly readFromStore: Read,
  ) {}

  /** A segment that was there when the leadership began. */
  recordLoaded(key: string, revision: Revision): void {
    this.revisions.set(key, revision);
  }

  /** The job is over, and its segments with it. */
  forget(job: JobId, segments: SegmentName[]): void {
    for (const segment of segments) this.revisions.delete(keys.progressSegment(job, segment));
  }

  /** Writes one segment. */
  async save(job: JobId, segment: SegmentName, bytes: Uint8Array): Promise<ProgressOutcome> {
    const key = keys.progressSegment(job, segment);
    const data = progressRecordData(bytes);
    const condition = { key, revision: this.revisions.get(key) ?? ABSENT };
    const outcome = await this.writeToStore([{ put: key, data }], [condition]);
    if (outcome.kind === 'ok') {
      this.revisions.set(key, outcome.revision);
      return { kind: 'ok' };
    }
    return outcome.kind === 'conflict' ? this.readChanged(key) : { kind: 'retry' };
  }

  private async readChanged(key: string): Promise<ProgressOutcome> {
    const current = await this.readFromStore(key);
    if (current.kind === 'gone') this.revisions.delete(key);
    if (current.kind !== 'ok') return { kind: 'retry' };
    this.revisions.set(key, current.value.revision);
    const bits = parseProgressRecord(current.value.data);
    return bits === null ? { kind: 'retry' } : { kind: 'changed', bytes: Buffer.from(bits, 'base64') };
  }
}
