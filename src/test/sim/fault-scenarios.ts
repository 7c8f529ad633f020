// Meetings of troubles that a test plays as they are, and a variant plays with a safeguard taken out.
import { startMixedWork, type Scenario } from './scenario.js';
import type { WorkerHost } from './worker-host.js';
import type { JobId, Team, Zone } from '../../core/units.js';

const START = 10_000;
const MEETING = 50_000;

export const workerHosts = (m: Scenario): WorkerHost[] => [...m.cluster.workers.values()];

export const zoneBoundJobsLoseMachines = (m: Scenario): void => {
  m.cluster.at(START, () => {
    for (const tasks of [2, 3, 5]) m.submit({ tasks, oneZone: true });
    for (const tasks of [2, 3]) m.submit({ kind: 'gang', tasks, oneZone: true });
    m.submit({ tasks: 4, zone: 'west' as Zone });
    m.submit({ tasks: 4, spread: true });
  });
  for (let i = 0; i < 4; i++)
    m.cluster.at(MEETING + i * 9000, () => {
      for (const worker of workerHosts(m)) {
        const dice = m.random();
        if (dice < 0.15) worker.hang(4000 + m.random() * 12_000);
        else if (dice < 0.3) worker.terminate();
      }
    });
  m.cluster.at(MEETING + 12_000, () => m.cluster.restart(m.cluster.leader!, 5000));
};

/** With an outage of that length in between; 0: none. */
export const leadersChangeTenTimes =
  (outageMs: number) =>
  (m: Scenario): void => {
    const jobs = startMixedWork(m);
    for (let i = 0; i < 10; i++)
      m.cluster.at(MEETING + i * 11_000, () => {
        if (m.cluster.leader) m.cluster.restart(m.cluster.leader, 200 + m.random() * 4000);
      });
    if (outageMs > 0) m.cluster.at(MEETING + 40_000, () => m.cluster.keyValueStore.startOutage(outageMs));
    m.cluster.at(MEETING + 39_000, () => m.cluster.cancel(jobs[2]));
  };

export const leaderRefusedAtTeamLimit = (m: Scenario): void => {
  m.cluster.at(START, () => {
    for (let i = 0; i < 8; i++) m.submit({ tasks: 3, team: 'blue' as Team }, 30_000);
  });
  for (const atMs of [40_000, 70_000]) m.cluster.at(atMs, () => m.cluster.refuseLeader(12_000));
};

export const partitionZoneDuringFailover = (m: Scenario): void => {
  const jobs = startMixedWork(m);
  m.cluster.at(MEETING, () => m.cluster.isolateZone('west', 'hold', 45_000));
  m.cluster.at(MEETING + 3000, () => m.cluster.cancel(jobs[1]));
  m.cluster.at(MEETING + 15_000, () => m.cluster.restart(m.cluster.leader!, 5000));
};

/** Direct commands are held up and carried out late, while work ends, is cancelled, and the leader changes. */
export const delayDirectCommands = (m: Scenario): void => {
  const jobs = startMixedWork(m);
  for (let i = 0; i < 16; i++)
    m.cluster.at(START + 4000 + i * 4000, () => {
      const id = m.submit({ tasks: 3 }, 7000);
      if (i % 3 === 0) m.cluster.at(m.cluster.now + 3000, () => m.cluster.cancel(id));
    });
  m.cluster.at(START + 3000, () => {
    for (const worker of workerHosts(m)) worker.delayedCommands = { fraction: 0.5, until: MEETING + 40_000 };
  });
  for (const atMs of [MEETING, MEETING + 20_000])
    m.cluster.at(atMs, () => m.cluster.restart(m.cluster.leader!, 3000));
  m.cluster.at(MEETING + 6000, () => m.cluster.cancel(jobs[3]));
};

/** Users ask at all controllers within milliseconds after a job was accepted, has ended or was cancelled. */
export const usersQueryAllControllers = (m: Scenario): void => {
  const lookAgain = (id: JobId): void => {
    for (let i = 0; i < 12; i++)
      m.cluster.at(m.cluster.now + 3 * i, () => m.cluster.users.get(id)!.queryAllControllers());
  };
  m.cluster.checker.onJobCompleted = (id) => {
    for (const ms of [0, 40, 200, 3000]) m.cluster.at(m.cluster.now + ms, () => lookAgain(id));
  };
  for (let i = 0; i < 14; i++)
    m.cluster.at(START + i * 5000, () => {
      const first = m.submit({ tasks: 1 + (i % 3) }, 6000);
      const second = m.submitAfter([first], { tasks: 1 }, 3000);
      m.cluster.users.get(first)!.onAccepted = () => lookAgain(first);
      if (i % 3 === 0)
        m.cluster.at(m.cluster.now + 4000, () => {
          m.cluster.cancel(first);
          for (const id of [first, second]) lookAgain(id);
        });
    });
  m.cluster.at(MEETING, () => m.cluster.restart(m.cluster.leader!, 1000));
};
