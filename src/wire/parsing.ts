/** Schema parts that several protocols share, and functions that parse untrusted input with a schema. */
import * as v from 'valibot';
import type { Uint64 } from '../core/units.js';

const MAX_TEXT_CHARACTERS = 200;
const MAX_UINT32 = 0xffff_ffff;
const MAX_UINT64 = 2n ** 64n - 1n;

/** The parsed value, or the reason why the input was rejected. */
export type ParseResult<T> = { ok: true; value: T } | { ok: false; cause: string };

/** Non-empty text such as a name. Its length is bounded because the text is kept in memory. */
export const boundedText = v.pipe(v.string(), v.minLength(1), v.maxLength(MAX_TEXT_CHARACTERS));

/** A finite amount; fractions are allowed. */
export const nonNegativeNumber = v.pipe(v.number(), v.finite(), v.minValue(0));

const safeNonNegativeNumber = v.pipe(v.number(), v.safeInteger(), v.minValue(0));
const bigUint64 = v.pipe(v.bigint(), v.minValue(0n), v.maxValue(MAX_UINT64));

/** An integer below 2^64. Values up to 2^53 - 1 are returned as numbers, also when they were decoded as bigints. */
export const uint64 = v.pipe(
  v.union([safeNonNegativeNumber, bigUint64]),
  v.transform((value): Uint64 =>
    typeof value === 'bigint' && value <= BigInt(Number.MAX_SAFE_INTEGER) ? Number(value) : value,
  ),
);

/**
 * An integer that is used as a number; values from 2^53 on are rejected because a number can't represent them exactly.
 */
export const safeInteger = v.pipe(uint64, v.number('an integer below 2^53'));

/** Converts integers above 32 bits to bigints: the encoder would write such numbers as floats. */
export const encodeUint64 = (value: Uint64): Uint64 =>
  typeof value === 'number' && value > MAX_UINT32 ? BigInt(value) : value;

/** Parses untrusted input with a schema; on failure `cause` names the first invalid field and what was expected. */
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

/** Parses untrusted input with a schema; null if it doesn't match. */
export const parseOrNull = <S extends v.GenericSchema>(schema: S, raw: unknown): v.InferOutput<S> | null => {
  const result = parseWith(schema, raw);
  return result.ok ? result.value : null;
};
