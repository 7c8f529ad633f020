/** Checks whether a submitted job can ever run, given its team's limit and the available machine types. */
import { canBeSpread, fitsSomeType } from '../../core/scheduler/job-feasibility.js';
import { withinTeamLimit } from '../../core/scheduler/placement-constraints.js';
import type { JobSpec } from '../../core/job-spec.js';
import type { MachineType } from '../../core/machine-info.js';
import type { TeamQuota } from '../../core/team-quota.js';

/** Result of the check; `unknown` while the machine types have not been read. */
export type SubmissionCheck =
  { kind: 'runnable' } | { kind: 'unknown' } | { kind: 'never-runnable'; cause: string };

const neverRunnable = (cause: string): SubmissionCheck => ({ kind: 'never-runnable', cause });

/** Checks a job against its team's limit and all machine types. `team` is undefined if the team is unknown. */
export const checkSubmission = (
  spec: JobSpec,
  team: TeamQuota | undefined,
  types: MachineType[],
): SubmissionCheck => {
  if (!team) return neverRunnable('unknown team');
  const tasksAtOnce = spec.kind === 'array' ? 1 : spec.tasks;
  const need = { cpus: spec.cpus * tasksAtOnce, gpus: spec.gpus * tasksAtOnce, memoryGb: 0 };
  if (!withinTeamLimit(need, undefined, team)) return neverRunnable("more than the team's limit");
  if (types.length === 0) return { kind: 'unknown' };
  if (!fitsSomeType(spec, types)) return neverRunnable('a task fits no allowed machine type');
  if (!canBeSpread(spec, types)) return neverRunnable('its tasks can not be spread over the allowed zones');
  return { kind: 'runnable' };
};
