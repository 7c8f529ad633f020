/** The operators' own settings (deploy/operator.hcl), each with its bounds and its default. */
import { existsSync, readFileSync } from 'node:fs';
import * as v from 'valibot';
import { ConfigError, validateSettings } from './validation.js';

/** What operators may tune. */
export interface OperatorSettings {
  leaderLeaseMs: number;
  idleHoldS: number;
  capacityRetryS: number;
  headroom: number;
  schedulingCycleMs: number;
  agingS: number;
}

const numberBetween = (min: number, max: number, defaultValue: number) =>
  v.optional(v.pipe(v.number(), v.minValue(min), v.maxValue(max)), defaultValue);

/**
 * The HCL parser hands every block over as a list with one entry for each time it is written. A block left out is read
 * as an empty one, and so takes the defaults of its fields.
 */
const block = <S extends v.ObjectEntries>(entries: S) =>
  v.optional(
    v.pipe(v.array(v.strictObject(entries)), v.minLength(1), v.maxLength(1)),
    // The default is input to the schema, which fills in the fields; its type doesn't say so.
    [{}] as never,
  );

const fileSchema = v.strictObject({
  leadership: block({ lease_ms: numberBetween(500, 60_000, 3000) }),
  scaling: block({
    idle_hold_s: numberBetween(0, 3600, 15),
    capacity_retry_s: numberBetween(1, 600, 15),
    headroom: numberBetween(0, 10, 0.6),
  }),
  scheduling: block({ cycle_ms: numberBetween(20, 10_000, 200), aging_s: numberBetween(10, 600, 90) }),
});

/** Reads what the HCL parser made of the file; throws ConfigError. */
export const parseOperatorSettings = (raw: unknown): OperatorSettings => {
  const { leadership, scaling, scheduling } = validateSettings(fileSchema, raw, 'operator settings');
  return {
    leaderLeaseMs: leadership[0].lease_ms,
    idleHoldS: scaling[0].idle_hold_s,
    capacityRetryS: scaling[0].capacity_retry_s,
    headroom: scaling[0].headroom,
    schedulingCycleMs: scheduling[0].cycle_ms,
    agingS: scheduling[0].aging_s,
  };
};

/** Reads what the build step made of deploy/operator.hcl; it is checked again, since files get edited. */
export const readOperatorSettings = (path: string): OperatorSettings => {
  if (!existsSync(path)) return parseOperatorSettings({});
  try {
    return parseOperatorSettings(JSON.parse(readFileSync(path, 'utf8')));
  } catch (error) {
    if (error instanceof ConfigError) throw error;
    throw new ConfigError(`${path}: not JSON; expected the output of the build step`);
  }
};
