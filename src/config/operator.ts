/** The operator settings (deploy/operator.hcl) with their bounds and defaults. */
import { existsSync, readFileSync } from 'node:fs';
import * as v from 'valibot';
import { ConfigError, validateSettings } from './validation.js';

/** The settings that operators can tune. */
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
 * A block that may occur once. The HCL parser returns a list with one entry for each occurrence of the block. A missing
 * block is parsed as an empty one, so its fields get their defaults.
 */
const block = <S extends v.ObjectEntries>(entries: S) =>
  v.optional(
    v.pipe(v.array(v.strictObject(entries)), v.minLength(1), v.maxLength(1)),
    // valibot parses this default with the schema, which adds the fields' defaults. The cast is necessary because
    // TypeScript cannot check the default while `entries` is generic.
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

/** Validates the output of the HCL parser; throws ConfigError. */
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

/**
 * Reads the output of the build step for deploy/operator.hcl and validates it again, since the file may have been
 * edited.
 */
export const readOperatorSettings = (path: string): OperatorSettings => {
  if (!existsSync(path)) return parseOperatorSettings({});
  try {
    return parseOperatorSettings(JSON.parse(readFileSync(path, 'utf8')));
  } catch (error) {
    if (error instanceof ConfigError) throw error;
    throw new ConfigError(`${path}: not JSON; expected the output of the build step`);
  }
};
