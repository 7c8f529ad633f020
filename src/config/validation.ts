/** Validation of settings, with problems that an operator can act on. */
import * as v from 'valibot';

/** A configuration problem, told in one line: field, value, and what is expected. */
export class ConfigError extends Error {}

/** The settings as the schema reads them; throws ConfigError on the first problem. `subject` names the whole. */
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
