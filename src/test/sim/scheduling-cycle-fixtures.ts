/** Helpers to run a single scheduling cycle on machines and jobs that a test creates. */
import { jobSpec, teams as defaultTeams, types } from './fixtures.js';
import { Machine } from '../../core/machine.js';
import { addResources, type Resources } from '../../core/resources.js';
import { Job, newPlacement, type Placement } from '../../core/job.js';
import { runSchedulingCycle, type CycleResult } from '../../core/scheduler/scheduling-cycle.js';
import { markWithinGuarantee } from '../../core/scheduler/guarantees.js';
import type { JobSpec } from '../../core/job-spec.js';
import type { TeamQuota } from '../../core/team-quota.js';
import type {
  Attempt,
  Endpoint,
  JobId,
  MachineId,
  MonotonicTime,
  Team,
  MachineTypeName,
  WallTime,
  Zone,
} from '../../core/units.js';

/** The time at which every cycle runs. */
export const now = 100_000 as MonotonicTime;

/** Creates a machine that is up and reconciled. */
export const makeMachine = (id: string, type: string, zone: string, spot = false): Machine => {
  const info = {
    id: id as MachineId,
    endpoint: '1.1.1.1:1' as Endpoint,
    type: type as MachineTypeName,
    zone: zone as Zone,
    spot,
  };
  const machine = new Machine(
    info,
    types.find((t) => t.name === type),
    now,
  );
  machine.contact = 'reconciled';
  return machine;
};

/** Creates a job that the leader has loaded at `now`. */
export const makeJob = (id: string, overrides: Partial<JobSpec> = {}): Job => {
  const spec = jobSpec(id, overrides);
  return new Job(spec.id, { spec, submittedAt: 0 as WallTime, cancelledAt: null }, 1, false, now);
};

/** Places a running task of the job on the machine. */
export const placeRunningTask = (machine: Machine, job: Job, index: number): Placement => {
  const placement = newPlacement(index, machine.id, (index + 1) as Attempt, now);
  placement.observed = placement.running = true;
  placement.runningSince = now;
  job.addPlacement(placement);
  machine.assign(job, placement);
  return placement;
};

/** Runs one scheduling cycle over these machines and jobs. */
export const runTestCycle = (
  machines: Machine[],
  jobs: Job[],
  teams: TeamQuota[] = defaultTeams,
): CycleResult => {
  const teamLimits = new Map(teams.map((t) => [t.name, t]));
  const byId = new Map(jobs.map((job) => [job.id, job]));
  for (const machine of machines) for (const { job } of machine.placements.values()) byId.set(job.id, job);
  markWithinGuarantee(byId.values(), teamLimits);
  const usage = new Map<Team, Resources>();
  for (const job of byId.values()) {
    const used = usage.get(job.spec.team) ?? { cpus: 0, gpus: 0, memoryGb: 0 };
    addResources(used, job.spec, job.placements.size);
    usage.set(job.spec.team, used);
  }
  return runSchedulingCycle({
    machines: new Map(machines.map((machine) => [machine.id, machine])),
    queue: jobs.filter((job) => job.pendingCount > 0),
    jobs: byId.values(),
    resourcesOf: (id: JobId) => byId.get(id)?.spec ?? null,
    usage,
    quotas: teamLimits,
    now,
    wallTime: 0 as WallTime,
    unreachableAfterMs: 5000,
    maxTasksPerJob: 40,
    maxMachineEvaluations: 200_000,
    typePenalty: () => 0,
  });
};

/** Describes the decisions of a cycle, one line each. */
export const describeDecisions = (result: CycleResult): string[] => [
  ...result.placed.map((placed) => `${placed.job.id}/${placed.index} -> ${placed.machine.id}`),
  ...result.victims.map((v) => `stop ${v.job.id}/${v.placement.index}`),
  ...result.unplaced.map((waiting) => `${waiting.job.id} waits for ${waiting.tasks}`),
];
