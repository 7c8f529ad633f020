// Meetings of troubles that a test plays as they are, and a variant plays with a safeguard taken out.
import { begin, type Meeting } from './meeting.js';
import type { WorkerHost } from './worker-host.js';
import type { JobId, Team, Zone } from '../../core/units.js';

const START = 10_000;
const MEETING = 50_000;

export const machines = (m: Meeting): WorkerHost[] => [...m.sim.workers.values()];

export const zoneBoundJobsLoseMachines = (m: Meeting): void => {
  m.sim.at(START, () => {
    for (const tasks of [2, 3, 5]) m.submit({ tasks, oneZone: true });
    for (const tasks of [2, 3]) m.submit({ kind: 'gang', tasks, oneZone: true });
    m.submit({ tasks: 4, zone: 'west' as Zone });
    m.submit({ tasks: 4, spread: true });
  });
  for (let i = 0; i < 4; i++)
    m.sim.at(MEETING + i * 9000, () => {
      for (const worker of machines(m)) {
        const dice = m.random();
        if (dice < 0.15) worker.hang(4000 + m.random() * 12_000);
        else if (dice < 0.3) worker.end();
      }
    });
  m.sim.at(MEETING + 12_000, () => m.sim.restart(m.sim.leader!, 5000));
};

/** With an outage of that length in between; 0: none. */
export const leadersChangeTenTimes =
  (outageMs: number) =>
  (m: Meeting): void => {
    const jobs = begin(m);
    for (let i = 0; i < 10; i++)
      m.sim.at(MEETING + i * 11_000, () => {
        if (m.sim.leader) m.sim.restart(m.sim.leader, 200 + m.random() * 4000);
      });
    if (outageMs > 0) m.sim.at(MEETING + 40_000, () => m.sim.state.outage(outageMs));
    m.sim.at(MEETING + 39_000, () => m.sim.cancel(jobs[2]));
  };

export const leaderRefusedAtTheLimit = (m: Meeting): void => {
  m.sim.at(START, () => {
    for (let i = 0; i < 8; i++) m.submit({ tasks: 3, team: 'blue' as Team }, 30_000);
  });
  for (const atMs of [40_000, 70_000]) m.sim.at(atMs, () => m.sim.refuseLeader(12_000));
};

export const zoneIsCutOff = (m: Meeting): void => {
  const jobs = begin(m);
  m.sim.at(MEETING, () => m.sim.cutZone('west', 'hold', 45_000));
  m.sim.at(MEETING + 3000, () => m.sim.cancel(jobs[1]));
  m.sim.at(MEETING + 15_000, () => m.sim.restart(m.sim.leader!, 5000));
};

/** Direct commands are held up and carried out late, while work ends, is cancelled, and the leader changes. */
export const commandsAreHeldUp = (m: Meeting): void => {
  const jobs = begin(m);
  for (let i = 0; i < 16; i++)
    m.sim.at(START + 4000 + i * 4000, () => {
      const id = m.submit({ tasks: 3 }, 7000);
      if (i % 3 === 0) m.sim.at(m.sim.now + 3000, () => m.sim.cancel(id));
    });
  m.sim.at(START + 3000, () => {
    for (const worker of machines(m)) worker.lateCommands = { share: 0.5, until: MEETING + 40_000 };
  });
  for (const atMs of [MEETING, MEETING + 20_000]) m.sim.at(atMs, () => m.sim.restart(m.sim.leader!, 3000));
  m.sim.at(MEETING + 6000, () => m.sim.cancel(jobs[3]));
};

/** Users ask at all controllers within milliseconds after a job was accepted, has ended or was cancelled. */
export const usersLookClosely = (m: Meeting): void => {
  const lookAgain = (id: JobId): void => {
    for (let i = 0; i < 12; i++) m.sim.at(m.sim.now + 3 * i, () => m.sim.users.get(id)!.repeat());
  };
  m.sim.checker.onCompleted = (id) => {
    for (const ms of [0, 40, 200, 3000]) m.sim.at(m.sim.now + ms, () => lookAgain(id));
  };
  for (let i = 0; i < 14; i++)
    m.sim.at(START + i * 5000, () => {
      const first = m.submit({ tasks: 1 + (i % 3) }, 6000);
      const second = m.submitAfter([first], { tasks: 1 }, 3000);
      m.sim.users.get(first)!.onAccepted = () => lookAgain(first);
      if (i % 3 === 0)
        m.sim.at(m.sim.now + 4000, () => {
          m.sim.cancel(first);
          for (const id of [first, second]) lookAgain(id);
        });
    });
  m.sim.at(MEETING, () => m.sim.restart(m.sim.leader!, 1000));
};
