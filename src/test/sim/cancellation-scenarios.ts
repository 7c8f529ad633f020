/** Scenarios in which jobs are cancelled while the leader is refused, machines hang or a team is at its limit. */
import { WORK_STARTS_AT_MS, startMixedWork, type Scenario, type ScenarioScript } from './scenario.js';
import type { JobId, Team } from '../../core/units.js';

/** The time at which the faults of these scenarios start. */
export const FAULTS_AT_MS = 60_000;
/** Exceeds cancel_s of the simulated workers, which is 40 s. */
export const LONG_OUTAGE_MS = 57_000;

/**
 * The key-value store refuses the leader, and at the same time jobs are cancelled and their machines hang. An outage
 * starts one second later.
 */
export const cancelWhileMachinesHang =
  (additionalScript: ScenarioScript = () => undefined): ScenarioScript =>
  (scenario) => {
    const jobs = startMixedWork(scenario);
    scenario.cluster.at(FAULTS_AT_MS, () => {
      scenario.cluster.refuseLeader(14_000);
      for (const id of jobs.slice(0, 3)) {
        for (const workerHost of scenario.cluster.machinesOf(id)) workerHost.hang(60_000);
        scenario.cluster.cancel(id);
      }
    });
    scenario.cluster.at(FAULTS_AT_MS + 1000, () =>
      scenario.cluster.keyValueStore.startOutage(LONG_OUTAGE_MS),
    );
    additionalScript(scenario);
  };

/** A job of a team at its limit is cancelled while machines hang and the leader restarts. */
export const cancelAtTeamLimit = (scenario: Scenario): void => {
  const jobs: JobId[] = [];
  const blue = { team: 'blue' as Team };
  scenario.cluster.at(WORK_STARTS_AT_MS, () => {
    for (let i = 0; i < 2; i++) jobs.push(scenario.submit({ ...blue, tasks: 4 }, 90_000));
  });
  scenario.cluster.at(FAULTS_AT_MS, () => {
    // The leader delays fencing when this many machines are unreachable at the same time.
    for (const workerHost of scenario.cluster.machinesOf(jobs[0])) workerHost.hang(25_000);
    for (const workerHost of [...scenario.cluster.workers.values()].slice(0, 4)) workerHost.hang(25_000);
    scenario.cluster.restart(scenario.cluster.leader!, 5000);
    scenario.cluster.cancel(jobs[0]);
  });
  scenario.cluster.at(FAULTS_AT_MS + 5000, () => scenario.submit({ ...blue, tasks: 6 }, 30_000));
};

/**
 * The key-value store refuses the leader, and jobs are cancelled. An outage that exceeds cancel_s starts `gapMs` after
 * the refusal.
 */
export const leaderRefusedThenOutage =
  (gapMs: number): ScenarioScript =>
  (scenario) => {
    const jobs = startMixedWork(scenario);
    scenario.cluster.at(FAULTS_AT_MS, () => scenario.cluster.refuseLeader(14_000));
    for (const atMs of [0, 200, 900])
      scenario.cluster.at(FAULTS_AT_MS + atMs, () => scenario.cluster.cancel(jobs[atMs % 7]));
    scenario.cluster.at(FAULTS_AT_MS + gapMs, () =>
      scenario.cluster.keyValueStore.startOutage(LONG_OUTAGE_MS),
    );
  };
