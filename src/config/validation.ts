import * as v from 'valibot';

/** A configuration problem, told in one line: field, value, and what is expected. */
export class ConfigError extends Error {}

export const validateSettings = <S extends v.GenericSchema>(
  schema: S,
  raw: unknown,
  what: string,
): v.InferOutput<S> => {
  const result = v.safeParse(schema, raw);
  if (result.success) return result.output;
  const issue = result.issues[0];
  const path = v.getDotPath(issue) ?? what;
  throw new ConfigError(
    `${path}: ${JSON.stringify(issue.input) ?? 'missing'} is not valid; expected ${issue.expected ?? issue.message}`,
  );
};
