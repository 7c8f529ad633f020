/** Pieces of schemas that several protocols share, and the result of parsing outside input. */
import * as v from 'valibot';
import type { Uint64 } from '../core/units.js';

const MAX_TEXT_CHARACTERS = 200;
const MAX_UINT32 = 0xffff_ffff;
const MAX_UINT64 = 2n ** 64n - 1n;

/** Outside input as it was understood, or why it was refused. */
export type ParseResult<T> = { ok: true; value: T } | { ok: false; cause: string };

/** A name or the like; bounded, since it is kept. */
export const boundedText = v.pipe(v.string(), v.minLength(1), v.maxLength(MAX_TEXT_CHARACTERS));

/** An amount of something; fractions are allowed. */
export const nonNegativeNumber = v.pipe(v.number(), v.finite(), v.minValue(0));

const safeNumber = v.pipe(v.number(), v.safeInteger(), v.minValue(0));
const bigUint64 = v.pipe(v.bigint(), v.minValue(0n), v.maxValue(MAX_UINT64));

/** An integer under 2^64. Small ones come out as numbers whichever way they were written. */
export const uint64 = v.pipe(
  v.union([safeNumber, bigUint64]),
  v.transform((value): Uint64 =>
    typeof value === 'bigint' && value <= BigInt(Number.MAX_SAFE_INTEGER) ? Number(value) : value,
  ),
);

/** An integer that we use as a plain number; beyond 2^53 it is refused knowingly. */
export const safeInteger = v.pipe(uint64, v.number('an integer below 2^53'));

/** Integers above 32 bits would be written as floats by the encoder; as bigints they stay integers. */
export const encodeUint64 = (value: Uint64): Uint64 =>
  typeof value === 'number' && value > MAX_UINT32 ? BigInt(value) : value;

/** Parses outside input by a schema; the cause of a refusal names the first field that is wrong. */
export const parseWith = <S extends v.GenericSchema>(
  schema: S,
  raw: unknown,
): ParseResult<v.InferOutput<S>> => {
  const result = v.safeParse(schema, raw, { abortEarly: true });
  if (result.success) return { ok: true, value: result.output };
  const issue = result.issues[0];
  const field = v.getDotPath(issue) ?? 'body';
  return { ok: false, cause: `${field}: expected ${issue.expected ?? issue.message}` };
};

/** Parses what may be damaged; null where it doesn't fit the schema. */
export const parseOrNull = <S extends v.GenericSchema>(schema: S, raw: unknown): v.InferOutput<S> | null => {
  const result = parseWith(schema, raw);
  return result.ok ? result.value : null;
};
