/** Default teams, machine types and job for tests that don't depend on particular ones. */
import type { JobSpec } from '../../core/job-spec.js';
import type { MachineType } from '../../core/machine-info.js';
import type { TeamQuota } from '../../core/team-quota.js';
import type { JobId, Team, MachineTypeName, Zone } from '../../core/units.js';

/** One team with a guarantee and a limit, and one without. */
export const teams: TeamQuota[] = [
  { name: 'blue' as Team, guaranteedCpus: 0, maxCpus: 0, guaranteedGpus: 4, maxGpus: 20 },
  { name: 'green' as Team, guaranteedCpus: 0, maxCpus: 0, guaranteedGpus: 0, maxGpus: 0 },
];

/** Two machine types, each in two zones. */
export const types: MachineType[] = [
  {
    name: 'small' as MachineTypeName,
    cpus: 16,
    gpus: 2,
    memoryGb: 64,
    cacheGb: 60,
    fetchGbPerS: 1,
    price: 4,
    spotPrice: 1.5,
    bootS: 20,
    zones: ['east', 'west'] as Zone[],
  },
  {
    name: 'large' as MachineTypeName,
    cpus: 64,
    gpus: 8,
    memoryGb: 512,
    cacheGb: 100,
    fetchGbPerS: 1,
    price: 14,
    spotPrice: 6,
    bootS: 20,
    zones: ['east', 'west'] as Zone[],
  },
];

/** An array with a single task. A test overrides the fields that it depends on. */
export const jobSpec = (id: string, overrides: Partial<JobSpec> = {}): JobSpec => ({
  id: id as JobId,
  class: 'batch',
  team: 'green' as Team,
  kind: 'array',
  priority: 'normal',
  tasks: 1,
  cpus: 4,
  gpus: 1,
  memoryGb: 16,
  image: 'img-1',
  imageGb: 4,
  types: null,
  zone: null,
  oneZone: false,
  spread: false,
  spot: false,
  estimateS: 30,
  checkpointS: 10,
  saveS: 2,
  deadlineS: null,
  dependsOn: [],
  ...overrides,
});
