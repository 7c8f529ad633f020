// Meetings of troubles that a test plays as they are, and a variant plays with a safeguard taken out.
import { startMixedWork, type Scenario } from './scenario.js';
import type { WorkerHost } from './worker-host.js';
import type { JobId, Team, Zone } from '../../core/units.js';

const START = 10_000;
const MEETING = 50_000;

export const workerHosts = (scenario: Scenario): WorkerHost[] => [...scenario.cluster.workers.values()];

export const zoneBoundJobsLoseMachines = (scenario: Scenario): void => {
  scenario.cluster.at(START, () => {
    for (const tasks of [2, 3, 5]) scenario.submit({ tasks, oneZone: true });
    for (const tasks of [2, 3]) scenario.submit({ kind: 'gang', tasks, oneZone: true });
    scenario.submit({ tasks: 4, zone: 'west' as Zone });
    scenario.submit({ tasks: 4, spread: true });
  });
  for (let i = 0; i < 4; i++)
    scenario.cluster.at(MEETING + i * 9000, () => {
      for (const worker of workerHosts(scenario)) {
        const dice = scenario.random();
        if (dice < 0.15) worker.hang(4000 + scenario.random() * 12_000);
        else if (dice < 0.3) worker.terminate();
      }
    });
  scenario.cluster.at(MEETING + 12_000, () => scenario.cluster.restart(scenario.cluster.leader!, 5000));
};

/** With an outage of that length in between; 0: none. */
export const leadersChangeTenTimes =
  (outageMs: number) =>
  (scenario: Scenario): void => {
    const jobs = startMixedWork(scenario);
    for (let i = 0; i < 10; i++)
      scenario.cluster.at(MEETING + i * 11_000, () => {
        if (scenario.cluster.leader)
          scenario.cluster.restart(scenario.cluster.leader, 200 + scenario.random() * 4000);
      });
    if (outageMs > 0)
      scenario.cluster.at(MEETING + 40_000, () => scenario.cluster.keyValueStore.startOutage(outageMs));
    scenario.cluster.at(MEETING + 39_000, () => scenario.cluster.cancel(jobs[2]));
  };

export const leaderRefusedAtTeamLimit = (scenario: Scenario): void => {
  scenario.cluster.at(START, () => {
    for (let i = 0; i < 8; i++) scenario.submit({ tasks: 3, team: 'blue' as Team }, 30_000);
  });
  for (const atMs of [40_000, 70_000]) scenario.cluster.at(atMs, () => scenario.cluster.refuseLeader(12_000));
};

export const partitionZoneDuringFailover = (scenario: Scenario): void => {
  const jobs = startMixedWork(scenario);
  scenario.cluster.at(MEETING, () => scenario.cluster.isolateZone('west', 'hold', 45_000));
  scenario.cluster.at(MEETING + 3000, () => scenario.cluster.cancel(jobs[1]));
  scenario.cluster.at(MEETING + 15_000, () => scenario.cluster.restart(scenario.cluster.leader!, 5000));
};

/** Direct commands are held up and carried out late, while work ends, is cancelled, and the leader changes. */
export const delayDirectCommands = (scenario: Scenario): void => {
  const jobs = startMixedWork(scenario);
  for (let i = 0; i < 16; i++)
    scenario.cluster.at(START + 4000 + i * 4000, () => {
      const id = scenario.submit({ tasks: 3 }, 7000);
      if (i % 3 === 0) scenario.cluster.at(scenario.cluster.now + 3000, () => scenario.cluster.cancel(id));
    });
  scenario.cluster.at(START + 3000, () => {
    for (const worker of workerHosts(scenario))
      worker.delayedCommands = { fraction: 0.5, until: MEETING + 40_000 };
  });
  for (const atMs of [MEETING, MEETING + 20_000])
    scenario.cluster.at(atMs, () => scenario.cluster.restart(scenario.cluster.leader!, 3000));
  scenario.cluster.at(MEETING + 6000, () => scenario.cluster.cancel(jobs[3]));
};

/** Users ask at all controllers within milliseconds after a job was accepted, has ended or was cancelled. */
export const usersQueryAllControllers = (scenario: Scenario): void => {
  const lookAgain = (id: JobId): void => {
    for (let i = 0; i < 12; i++)
      scenario.cluster.at(scenario.cluster.now + 3 * i, () =>
        scenario.cluster.users.get(id)!.queryAllControllers(),
      );
  };
  scenario.cluster.checker.onJobCompleted = (id) => {
    for (const ms of [0, 40, 200, 3000]) scenario.cluster.at(scenario.cluster.now + ms, () => lookAgain(id));
  };
  for (let i = 0; i < 14; i++)
    scenario.cluster.at(START + i * 5000, () => {
      const first = scenario.submit({ tasks: 1 + (i % 3) }, 6000);
      const second = scenario.submitAfter([first], { tasks: 1 }, 3000);
      scenario.cluster.users.get(first)!.onAccepted = () => lookAgain(first);
      if (i % 3 === 0)
        scenario.cluster.at(scenario.cluster.now + 4000, () => {
          scenario.cluster.cancel(first);
          for (const id of [first, second]) lookAgain(id);
        });
    });
  scenario.cluster.at(MEETING, () => scenario.cluster.restart(scenario.cluster.leader!, 1000));
};
