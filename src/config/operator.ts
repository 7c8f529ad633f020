import { existsSync, readFileSync } from 'node:fs';
import * as v from 'valibot';
import { ConfigError, validateSettings } from './validation.js';

const between = (low: number, high: number, def: number) =>
  v.optional(v.pipe(v.number(), v.minValue(low), v.maxValue(high)), def);

// The HCL parser hands every block over as a list with one entry for each time it is written.
const block = <S extends v.ObjectEntries>(entries: S) =>
  v.optional(v.pipe(v.array(v.strictObject(entries)), v.minLength(1), v.maxLength(1)), [{}] as never);

const schema = v.strictObject({
  leadership: block({ lease_ms: between(500, 60_000, 3000) }),
  scaling: block({
    idle_hold_s: between(0, 3600, 15),
    capacity_retry_s: between(1, 600, 15),
    headroom: between(0, 10, 0.6),
  }),
  scheduling: block({ cycle_ms: between(20, 10_000, 200), aging_s: between(10, 600, 90) }),
});

export interface OperatorSettings {
  leaseMs: number;
  idleHoldS: number;
  capacityRetryS: number;
  headroom: number;
  cycleMs: number;
  agingS: number;
}

export const parseOperatorSettings = (raw: unknown): OperatorSettings => {
  const c = validateSettings(schema, raw, 'operator settings');
  return {
    leaseMs: c.leadership[0].lease_ms ?? 3000,
    idleHoldS: c.scaling[0].idle_hold_s ?? 15,
    capacityRetryS: c.scaling[0].capacity_retry_s ?? 15,
    headroom: c.scaling[0].headroom ?? 0.6,
    cycleMs: c.scheduling[0].cycle_ms ?? 200,
    agingS: c.scheduling[0].aging_s ?? 90,
  };
};

/** Reads what the build step made of deploy/operator.hcl; it is checked again, since files get edited. */
export const readOperatorSettings = (path: string): OperatorSettings => {
  if (!existsSync(path)) return parseOperatorSettings({});
  try {
    return parseOperatorSettings(JSON.parse(readFileSync(path, 'utf8')));
  } catch (e) {
    if (e instanceof ConfigError) throw e;
    throw new ConfigError(`${path}: not JSON; expected the output of the build step`);
  }
};
