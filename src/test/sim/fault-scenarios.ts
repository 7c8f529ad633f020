/** Fault scenarios that are shared by a regular test and a mutation test, which disables a safeguard. */
import { WORK_STARTS_AT_MS, startMixedWork, type Scenario, type ScenarioScript } from './scenario.js';
import type { WorkerHost } from './worker-host.js';
import type { JobId, Team, Zone } from '../../core/units.js';

/** The time at which the faults of these scenarios start. */
export const EARLY_FAULTS_AT_MS = 50_000;

/** All machines that are up. */
export const workerHosts = (scenario: Scenario): WorkerHost[] => [...scenario.cluster.workers.values()];

/** Machines hang or end while single-zone jobs run on them, and the leader restarts. */
export const zoneBoundJobsLoseMachines = (scenario: Scenario): void => {
  scenario.cluster.at(WORK_STARTS_AT_MS, () => {
    for (const tasks of [2, 3, 5]) scenario.submit({ tasks, oneZone: true });
    for (const tasks of [2, 3]) scenario.submit({ kind: 'gang', tasks, oneZone: true });
    scenario.submit({ tasks: 4, zone: 'west' as Zone });
    scenario.submit({ tasks: 4, spread: true });
  });
  for (let i = 0; i < 4; i++)
    scenario.cluster.at(EARLY_FAULTS_AT_MS + i * 9000, () => {
      for (const worker of workerHosts(scenario)) {
        const draw = scenario.random();
        if (draw < 0.15) worker.hang(4000 + scenario.random() * 12_000);
        else if (draw < 0.3) worker.terminate();
      }
    });
  scenario.cluster.at(EARLY_FAULTS_AT_MS + 12_000, () =>
    scenario.cluster.restart(scenario.cluster.leader!, 5000),
  );
};

/** Ten failovers, with a key-value store outage of `outageMs` in between. 0: no outage. */
export const leadersChangeTenTimes =
  (outageMs: number): ScenarioScript =>
  (scenario) => {
    const jobs = startMixedWork(scenario);
    for (let i = 0; i < 10; i++)
      scenario.cluster.at(EARLY_FAULTS_AT_MS + i * 11_000, () => {
        if (scenario.cluster.leader)
          scenario.cluster.restart(scenario.cluster.leader, 200 + scenario.random() * 4000);
      });
    if (outageMs > 0)
      scenario.cluster.at(EARLY_FAULTS_AT_MS + 40_000, () =>
        scenario.cluster.keyValueStore.startOutage(outageMs),
      );
    scenario.cluster.at(EARLY_FAULTS_AT_MS + 39_000, () => scenario.cluster.cancel(jobs[2]));
  };

/** The key-value store refuses the leader twice while a team is at its limit. */
export const leaderRefusedAtTeamLimit = (scenario: Scenario): void => {
  scenario.cluster.at(WORK_STARTS_AT_MS, () => {
    for (let i = 0; i < 8; i++) scenario.submit({ tasks: 3, team: 'blue' as Team }, 30_000);
  });
  for (const atMs of [40_000, 70_000]) scenario.cluster.at(atMs, () => scenario.cluster.refuseLeader(12_000));
};

/** A job is cancelled and the leader restarts while a zone is partitioned. */
export const partitionZoneDuringFailover = (scenario: Scenario): void => {
  const jobs = startMixedWork(scenario);
  scenario.cluster.at(EARLY_FAULTS_AT_MS, () => scenario.cluster.isolateZone('west', 'hold', 45_000));
  scenario.cluster.at(EARLY_FAULTS_AT_MS + 3000, () => scenario.cluster.cancel(jobs[1]));
  scenario.cluster.at(EARLY_FAULTS_AT_MS + 15_000, () =>
    scenario.cluster.restart(scenario.cluster.leader!, 5000),
  );
};

/** Direct commands are executed late while jobs end or are cancelled and the leader changes. */
export const delayDirectCommands = (scenario: Scenario): void => {
  const jobs = startMixedWork(scenario);
  for (let i = 0; i < 16; i++)
    scenario.cluster.at(WORK_STARTS_AT_MS + 4000 + i * 4000, () => {
      const id = scenario.submit({ tasks: 3 }, 7000);
      if (i % 3 === 0) scenario.cluster.at(scenario.cluster.now + 3000, () => scenario.cluster.cancel(id));
    });
  scenario.cluster.at(WORK_STARTS_AT_MS + 3000, () => {
    for (const worker of workerHosts(scenario))
      worker.delayedCommands = { fraction: 0.5, until: EARLY_FAULTS_AT_MS + 40_000 };
  });
  for (const atMs of [EARLY_FAULTS_AT_MS, EARLY_FAULTS_AT_MS + 20_000])
    scenario.cluster.at(atMs, () => scenario.cluster.restart(scenario.cluster.leader!, 3000));
  scenario.cluster.at(EARLY_FAULTS_AT_MS + 6000, () => scenario.cluster.cancel(jobs[3]));
};

/** Users query all controllers repeatedly, directly after a job was accepted, completed or cancelled. */
export const usersQueryAllControllers = (scenario: Scenario): void => {
  const queryRepeatedly = (id: JobId): void => {
    for (let i = 0; i < 12; i++)
      scenario.cluster.at(scenario.cluster.now + 3 * i, () =>
        scenario.cluster.users.get(id)!.queryAllControllers(),
      );
  };
  scenario.cluster.checker.onJobCompleted = (id) => {
    for (const ms of [0, 40, 200, 3000])
      scenario.cluster.at(scenario.cluster.now + ms, () => queryRepeatedly(id));
  };
  for (let i = 0; i < 14; i++)
    scenario.cluster.at(WORK_STARTS_AT_MS + i * 5000, () => {
      const first = scenario.submit({ tasks: 1 + (i % 3) }, 6000);
      const second = scenario.submitAfter([first], { tasks: 1 }, 3000);
      scenario.cluster.users.get(first)!.onAccepted = () => queryRepeatedly(first);
      if (i % 3 === 0)
        scenario.cluster.at(scenario.cluster.now + 4000, () => {
          scenario.cluster.cancel(first);
          for (const id of [first, second]) queryRepeatedly(id);
        });
    });
  scenario.cluster.at(EARLY_FAULTS_AT_MS, () => scenario.cluster.restart(scenario.cluster.leader!, 1000));
};
