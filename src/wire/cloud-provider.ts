/** The cloud provider's protocol: lists machine types and machines, creates and deletes machines. */
import * as v from 'valibot';
import type { ListedMachine, MachineType } from '../core/machine-info.js';
import type { Endpoint, MachineId, MachineTypeName, Zone } from '../core/units.js';
import { boundedText, nonNegativeNumber, parseWith } from './parsing.js';

const machineTypesResponse = v.object({
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

const machineListResponse = v.object({
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

const createdMachinesResponse = v.object({ stalls: v.array(boundedText) });

/** One page of the list of machines; `more` is true if further pages follow. */
export interface MachineListPage {
  machines: ListedMachine[];
  more: boolean;
}

/** A request to create machines. It is idempotent: a repetition with the same `requestId` creates no further machines. */
export interface CreateMachinesRequest {
  requestId: string;
  type: MachineTypeName;
  zone: Zone;
  spot: boolean;
  count: number;
}

/** Parses the list of machine types; null if malformed. */
export const parseMachineTypes = (raw: unknown): MachineType[] | null => {
  const parsed = parseWith(machineTypesResponse, raw);
  if (!parsed.ok) return null;
  return parsed.value.breeds.map((breed) => ({
    name: breed.label as MachineTypeName,
    cpus: breed.vcpus,
    gpus: breed.accelerators,
    memoryGb: breed.memGb,
    cacheGb: breed.cacheGb,
    fetchGbPerS: breed.fetchGbPerS,
    price: breed.price,
    spotPrice: breed.lowPrice,
    bootS: breed.startupS,
    zones: breed.pastures as Zone[],
  }));
};

/** Parses a page of the list of machines; null if malformed. */
export const parseMachineListPage = (raw: unknown): MachineListPage | null => {
  const parsed = parseWith(machineListResponse, raw);
  if (!parsed.ok) return null;
  const machines = parsed.value.stalls.map((stall) => ({
    id: stall.nameId as MachineId,
    endpoint: stall.endpoint as Endpoint,
    type: stall.breed as MachineTypeName,
    zone: stall.pasture as Zone,
    spot: stall.loaners,
    status: stall.status,
    ageS: stall.ageS,
  }));
  return { machines, more: parsed.value.more };
};

/** Parses the response to a scale-out request: the ids of the created machines; null if malformed. */
export const parseCreatedMachines = (raw: unknown): MachineId[] | null => {
  const parsed = parseWith(createdMachinesResponse, raw);
  return parsed.ok ? (parsed.value.stalls as MachineId[]) : null;
};

/** The body of a scale-out request. */
export const createMachinesBody = ({ requestId, type, zone, spot, count }: CreateMachinesRequest) => ({
  hire: requestId,
  breed: type,
  pasture: zone,
  loaners: spot,
  number: count,
});

/** The body of a scale-in request. */
export const deleteMachinesBody = (machines: MachineId[]) => ({ stalls: machines });

/** The request target for the page of the machine list that begins after the machine `since`; null: the first page. */
export const listMachinesTarget = (since: MachineId | null, maxMachines: number) =>
  since === null ? `/machines?most=${maxMachines}` : `/machines?since=${since}&most=${maxMachines}`;
