/** Identifiers, versions and points in time. Each has its own type to prevent mix-ups. */
declare const brand: unique symbol;
type Branded<T, B extends string> = T & { readonly [brand]: B };

/** Id of a job, chosen by the user who submits it. */
export type JobId = Branded<string, 'JobId'>;
/** Id of one task of a job: the job's id, a slash and the task's index. */
export type TaskId = Branded<string, 'TaskId'>;
/** Id of a machine, assigned by the cloud provider. */
export type MachineId = Branded<string, 'MachineId'>;
/** Name of a controller node. */
export type NodeName = Branded<string, 'NodeName'>;
/** Name of a machine type of the cloud provider. */
export type MachineTypeName = Branded<string, 'MachineTypeName'>;
/** Name of an availability zone. */
export type Zone = Branded<string, 'Zone'>;
/** Name of a team, to which a quota applies. */
export type Team = Branded<string, 'Team'>;
/** Network address of a worker: host and port. */
export type Endpoint = Branded<string, 'Endpoint'>;
/** Monotonic-clock milliseconds; only meaningful within one process. */
export type MonotonicTime = Branded<number, 'MonotonicTime'>;
/** Wall-clock milliseconds since the epoch; comparable between processes within the clock error. */
export type WallTime = Branded<number, 'WallTime'>;
/** Number of a leadership, higher than those of all earlier ones; also used as the fencing token for workers. */
export type Term = Branded<number, 'Term'>;
/** Name of a segment of a job's completions in the key-value store. */
export type SegmentName = Branded<string, 'SegmentName'>;
/** Number of an attempt to run a task; the members of a gang have the same one. */
export type Attempt = Branded<number, 'Attempt'>;
/** An external counter below 2^64: a number if it is a safe integer, otherwise a bigint. `<` and `>` compare both. */
export type Uint64 = number | bigint;
/** Modification revision of a key in the key-value store, for compare-and-swap. */
export type Revision = Uint64;

/** Whether two counters are equal, in either representation. */
export const equalUint64 = (a: Uint64, b: Uint64): boolean => !(a < b) && !(a > b);

/** The id of a job's task with this index. */
export const taskId = (job: JobId, index: number): TaskId => `${job}/${index}` as TaskId;

const ATTEMPTS_PER_TERM = 2 ** 24;
/** Derives attempt numbers from the term, so that no two leaders use the same one and none has to be stored. */
export const attemptNumber = (term: Term, ordinal: number): Attempt =>
  (term * ATTEMPTS_PER_TERM + ordinal) as Attempt;
