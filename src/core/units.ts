/** Identifiers, versions and points in time, each a type of its own so that they can't be mixed up. */
declare const brand: unique symbol;
type Branded<T, B extends string> = T & { readonly [brand]: B };

/** Id of a job, chosen by the user who submits it. */
export type JobId = Branded<string, 'JobId'>;
/** Id of one task of a job: the job's id, a slash and the task's index. */
export type TaskId = Branded<string, 'TaskId'>;
/** Id of a machine, given by the cloud. */
export type MachineId = Branded<string, 'MachineId'>;
/** Name of a controller node. */
export type NodeName = Branded<string, 'NodeName'>;
/** Name of a machine type of the cloud. */
export type MachineTypeName = Branded<string, 'MachineTypeName'>;
/** Name of an availability zone. */
export type Zone = Branded<string, 'Zone'>;
/** Name of a team, to which a quota applies. */
export type Team = Branded<string, 'Team'>;
/** Network address of a worker: host and port. */
export type Endpoint = Branded<string, 'Endpoint'>;
/** Monotonic-clock milliseconds; only meaningful inside one process. */
export type MonotonicTime = Branded<number, 'MonotonicTime'>;
/** Wall-clock milliseconds since the epoch; comparable between processes within the clock error. */
export type WallTime = Branded<number, 'WallTime'>;
/** Rising number of a leadership; doubles as the workers' fencing token. */
export type Term = Branded<number, 'Term'>;
/** Names a segment of a job's completions in the key-value store. */
export type SegmentName = Branded<string, 'SegmentName'>;
/** Number of one start of a task; the members of a gang start under the same one. */
export type Attempt = Branded<number, 'Attempt'>;
/** Outside counters go up to 2^64: numbers while safe, bigints beyond. `<` and `>` compare both. */
export type Uint64 = number | bigint;
/** Modification revision of a key in the key-value store, for compare-and-swap. */
export type Revision = Uint64;

/** Whether two counters are equal, whichever of the two representations each has. */
export const equalUint64 = (a: Uint64, b: Uint64): boolean => !(a < b) && !(a > b);

/** The id of a job's task with this index. */
export const taskId = (job: JobId, index: number): TaskId => `${job}/${index}` as TaskId;

const ATTEMPTS_PER_TERM = 2 ** 24;
/** Attempts derive from the term, so that no two leaders ever use the same one and none needs a write. */
export const attemptNumber = (term: Term, ordinal: number): Attempt =>
  (term * ATTEMPTS_PER_TERM + ordinal) as Attempt;
