// The cloud's side: machine types, rentals, lists.
import * as v from 'valibot';
import { amount, parseWith, text } from './common.js';
import type { ListedMachine, MachineType } from '../core/types.js';
import type { Endpoint, MachineId, TypeName, Zone } from '../core/units.js';

const types = v.object({
  breeds: v.array(
    v.object({
      label: text,
      vcpus: amount,
      accelerators: amount,
      memGb: amount,
      cacheGb: amount,
      fetchGbPerS: amount,
      price: amount,
      lowPrice: amount,
      startupS: amount,
      pastures: v.array(text),
    }),
  ),
});

export const parseTypes = (raw: unknown): MachineType[] | null => {
  const r = parseWith(types, raw);
  if (!r.ok) return null;
  return r.value.breeds.map((b) => ({
    name: b.label as TypeName,
    cpus: b.vcpus,
    gpus: b.accelerators,
    memoryGb: b.memGb,
    cacheGb: b.cacheGb,
    fetchGbPerS: b.fetchGbPerS,
    price: b.price,
    spotPrice: b.lowPrice,
    bootS: b.startupS,
    zones: b.pastures as Zone[],
  }));
};

const list = v.object({
  stalls: v.array(
    v.object({
      nameId: text,
      endpoint: text,
      breed: text,
      pasture: text,
      loaners: v.boolean(),
      status: v.picklist(['starting', 'running', 'failed']),
      ageS: amount,
    }),
  ),
  more: v.boolean(),
});

export const parseMachines = (raw: unknown): { machines: ListedMachine[]; more: boolean } | null => {
  const r = parseWith(list, raw);
  if (!r.ok) return null;
  return {
    more: r.value.more,
    machines: r.value.stalls.map((m) => ({
      id: m.nameId as MachineId,
      endpoint: m.endpoint as Endpoint,
      type: m.breed as TypeName,
      zone: m.pasture as Zone,
      spot: m.loaners,
      status: m.status,
      ageS: m.ageS,
    })),
  };
};

const rented = v.object({ stalls: v.array(text) });
export const parseRented = (raw: unknown): MachineId[] | null => {
  const r = parseWith(rented, raw);
  return r.ok ? (r.value.stalls as MachineId[]) : null;
};

export interface Rental {
  request: string;
  type: TypeName;
  zone: Zone;
  spot: boolean;
  count: number;
}

export const rentBody = (r: Rental) => ({
  hire: r.request,
  breed: r.type,
  pasture: r.zone,
  loaners: r.spot,
  number: r.count,
});

export const returnBody = (machines: MachineId[]) => ({ stalls: machines });

export const listTarget = (since: MachineId | null, most: number) =>
  since === null ? `/machines?most=${most}` : `/machines?since=${since}&most=${most}`;
