import * as v from 'valibot';
import type { Uint64 } from '../core/units.js';

export const boundedText = v.pipe(v.string(), v.minLength(1), v.maxLength(200));
export const nonNegativeNumber = v.pipe(v.number(), v.finite(), v.minValue(0));
const positiveInt = v.pipe(v.number(), v.safeInteger(), v.minValue(0));
const big = v.pipe(v.bigint(), v.minValue(0n), v.maxValue(2n ** 64n - 1n));

/** An integer under 2^64. Small ones come out as numbers whichever way they were written. */
export const uint64 = v.pipe(
  v.union([positiveInt, big]),
  v.transform((n): Uint64 => (typeof n === 'bigint' && n <= BigInt(Number.MAX_SAFE_INTEGER) ? Number(n) : n)),
);

/** An integer that we use as a plain number; beyond 2^53 it is refused knowingly. */
export const safeInteger = v.pipe(uint64, v.number('an integer below 2^53'));

/** Integers above 32 bits would be written as floats by the encoder; as bigints they stay integers. */
export const encodeUint64 = (n: Uint64): Uint64 => (typeof n === 'number' && n > 0xffffffff ? BigInt(n) : n);

export const parseWith = <S extends v.GenericSchema>(
  schema: S,
  raw: unknown,
): { ok: true; value: v.InferOutput<S> } | { ok: false; cause: string } => {
  const r = v.safeParse(schema, raw, { abortEarly: true });
  if (r.success) return { ok: true, value: r.output };
  const issue = r.issues[0];
  return {
    ok: false,
    cause: `${v.getDotPath(issue) ?? 'body'}: expected ${issue.expected ?? issue.message}`,
  };
};
