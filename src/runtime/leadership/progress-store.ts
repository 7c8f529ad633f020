/** Progress of unfinished jobs, stored in segments under one key each. */
import type { JobId, SegmentName, Revision } from '../../core/units.js';
import type { Change, Condition, Item } from '../../wire/key-value-store.js';
import { keys, parseProgressRecord, progressRecordData } from '../../wire/stored-records.js';
import type { StoreOutcome, TransactionOutcome } from '../key-value-store/key-value-store-client.js';

type Write = (changes: Change[], conditions: Condition[]) => Promise<TransactionOutcome>;
type Read = (key: string) => Promise<StoreOutcome<Item>>;

/** The revision that a condition names for a key that doesn't exist. */
const ABSENT_KEY_REVISION: Revision = 0;

/** Outcome of a progress write. */
export type ProgressOutcome =
  | { kind: 'ok' }
  | { kind: 'retry' }
  /** The segment was changed by another write; its stored `bytes` must be merged before the write is retried. */
  | { kind: 'changed'; bytes: Uint8Array };

/**
 * Writes progress segments, each on the condition that its revision is that of the previous write. Guards against a
 * write whose response was lost and that is executed late: without the condition it would restore older bits, and the
 * next leader would run completed tasks again.
 */
export class ProgressStore {
  private readonly revisions = new Map<string, Revision>();

  constructor(
    private readonly writeToStore: Write,
    private readonly readFromStore: Read,
  ) {}

  /** Records the revision of a segment that was stored before the leadership. */
  recordLoaded(key: string, revision: Revision): void {
    this.revisions.set(key, revision);
  }

  /** Removes the revisions of a finished job's segments. */
  removeRevisions(job: JobId, segments: SegmentName[]): void {
    for (const segment of segments) this.revisions.delete(keys.progressSegment(job, segment));
  }

  /** Writes one segment. */
  async save(job: JobId, segment: SegmentName, bytes: Uint8Array): Promise<ProgressOutcome> {
    const key = keys.progressSegment(job, segment);
    const data = progressRecordData(bytes);
    const condition = { key, revision: this.revisions.get(key) ?? ABSENT_KEY_REVISION };
    const outcome = await this.writeToStore([{ put: key, data }], [condition]);
    if (outcome.kind === 'ok') {
      this.revisions.set(key, outcome.revision);
      return { kind: 'ok' };
    }
    return outcome.kind === 'conflict' ? this.readChangedSegment(key) : { kind: 'retry' };
  }

  private async readChangedSegment(key: string): Promise<ProgressOutcome> {
    const current = await this.readFromStore(key);
    if (current.kind === 'gone') this.revisions.delete(key);
    if (current.kind !== 'ok') return { kind: 'retry' };
    this.revisions.set(key, current.value.revision);
    const bits = parseProgressRecord(current.value.data);
    return bits === null ? { kind: 'retry' } : { kind: 'changed', bytes: Buffer.from(bits, 'base64') };
  }
}
