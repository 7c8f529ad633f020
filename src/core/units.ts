// Ids, versions and times are small types of their own, so that they can't be mixed up.
declare const brand: unique symbol;
type Branded<T, B extends string> = T & { readonly [brand]: B };

export type JobId = Branded<string, 'JobId'>;
export type TaskId = Branded<string, 'TaskId'>;
export type MachineId = Branded<string, 'MachineId'>;
export type NodeName = Branded<string, 'NodeName'>;
export type MachineTypeName = Branded<string, 'TypeName'>;
export type Zone = Branded<string, 'Zone'>;
export type Team = Branded<string, 'Team'>;
export type Endpoint = Branded<string, 'Endpoint'>;
/** Steady-clock milliseconds; only meaningful inside one process. */
export type MonotonicTime = Branded<number, 'Steady'>;
/** Time-of-day milliseconds; comparable between processes within the clock error. */
export type WallTime = Branded<number, 'WallTime'>;
/** Rising number of a leadership; doubles as the workers' token. */
export type Term = Branded<number, 'Term'>;
/** Names a part of a job's completions in the state service. */
export type SegmentName = Branded<string, 'SegmentName'>;
export type Attempt = Branded<number, 'Attempt'>;
/** Outside counters go up to 2^64: numbers while safe, bigints beyond. `<` and `>` compare both. */
export type Uint64 = number | bigint;
export type Revision = Uint64;

export const equalUint64 = (a: Uint64, b: Uint64): boolean => !(a < b) && !(a > b);

export const taskId = (job: JobId, index: number): TaskId => `${job}/${index}` as TaskId;

/** Attempts derive from the term, so that no two leaders ever use the same one and none needs a write. */
const ATTEMPTS_PER_TERM = 2 ** 24;
export const attemptNumber = (term: Term, n: number): Attempt => (term * ATTEMPTS_PER_TERM + n) as Attempt;
