// The cloud's side: machine types, rentals, lists.
import * as v from 'valibot';
import { nonNegativeNumber, parseWith, boundedText } from './common.js';
import type { ListedMachine, MachineType } from '../core/types.js';
import type { Endpoint, MachineId, MachineTypeName, Zone } from '../core/units.js';

const types = v.object({
  breeds: v.array(
    v.object({
      label: boundedText,
      vcpus: nonNegativeNumber,
      accelerators: nonNegativeNumber,
      memGb: nonNegativeNumber,
      cacheGb: nonNegativeNumber,
      fetchGbPerS: nonNegativeNumber,
      price: nonNegativeNumber,
      lowPrice: nonNegativeNumber,
      startupS: nonNegativeNumber,
      pastures: v.array(boundedText),
    }),
  ),
});

export const parseMachineTypes = (raw: unknown): MachineType[] | null => {
  const r = parseWith(types, raw);
  if (!r.ok) return null;
  return r.value.breeds.map((b) => ({
    name: b.label as MachineTypeName,
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
      nameId: boundedText,
      endpoint: boundedText,
      breed: boundedText,
      pasture: boundedText,
      loaners: v.boolean(),
      status: v.picklist(['starting', 'running', 'failed']),
      ageS: nonNegativeNumber,
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
      type: m.breed as MachineTypeName,
      zone: m.pasture as Zone,
      spot: m.loaners,
      status: m.status,
      ageS: m.ageS,
    })),
  };
};

const rented = v.object({ stalls: v.array(boundedText) });
export const parseCreatedMachines = (raw: unknown): MachineId[] | null => {
  const r = parseWith(rented, raw);
  return r.ok ? (r.value.stalls as MachineId[]) : null;
};

export interface ScaleOutRequest {
  request: string;
  type: MachineTypeName;
  zone: Zone;
  spot: boolean;
  count: number;
}

export const createMachinesBody = (r: ScaleOutRequest) => ({
  hire: r.request,
  breed: r.type,
  pasture: r.zone,
  loaners: r.spot,
  number: r.count,
});

export const deleteMachinesBody = (machines: MachineId[]) => ({ stalls: machines });

export const listMachinesTarget = (since: MachineId | null, most: number) =>
  since === null ? `/machines?most=${most}` : `/machines?since=${since}&most=${most}`;
