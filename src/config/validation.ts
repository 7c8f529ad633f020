/** Validates settings and reports problems in a form that operators can act on. */
import * as v from 'valibot';

/** A configuration error; the message is one line with the field, its value and the expected value. */
export class ConfigError extends Error {}

/**
 * Parses settings with the schema; throws ConfigError on the first problem. `subject` is the name of the settings as a
 * whole.
 */
export const validateSettings = <S extends v.GenericSchema>(
  schema: S,
  raw: unknown,
  subject: string,
): v.InferOutput<S> => {
  const result = v.safeParse(schema, raw);
  if (result.success) return result.output;
  const issue = result.issues[0];
  const path = v.getDotPath(issue) ?? subject;
  throw new ConfigError(
    `${path}: ${JSON.stringify(issue.input) ?? 'missing'} is not valid; expected ${issue.expected ?? issue.message}`,
  );
};
