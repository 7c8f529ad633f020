// Cancellations that meet machines out of reach, a team's limit, or a job's end. Whole controllers on virtual time.
import { test } from 'node:test';
import { FAULTS_AT_MS, startMixedWork, cancelAtTeamLimit, assertScenarioPasses } from './sim/scenario.js';

const START = 10_000;

test('workers cannot connect to a controller, or receive no response, while their jobs are cancelled', () =>
  assertScenarioPasses({ faultsEndMs: 110_000, endMs: 330_000 }, (m) => {
    const jobs = startMixedWork(m);
    m.cluster.at(FAULTS_AT_MS, () => {
      const deaf = m.cluster.machinesOf(jobs[0]);
      const mute = m.cluster.machinesOf(jobs[3]);
      for (const w of deaf) w.worker.inboundPartitioned = true;
      for (const w of mute) w.heartbeatsDropped = true;
      m.cluster.at(FAULTS_AT_MS + 45_000, () => {
        for (const w of deaf) w.worker.inboundPartitioned = false;
        for (const w of mute) w.heartbeatsDropped = false;
      });
    });
    m.cluster.at(FAULTS_AT_MS + 1000, () => {
      for (const id of [jobs[0], jobs[3]]) m.cluster.cancel(id);
    });
    m.cluster.at(FAULTS_AT_MS + 2000, () => m.cluster.restart(m.cluster.leader!, 400));
  }));

test('a team is at its limit during a failover with unreachable machines and a cancellation', () =>
  assertScenarioPasses({ faultsEndMs: 110_000, endMs: 400_000 }, (m) => {
    cancelAtTeamLimit(m);
    m.cluster.at(FAULTS_AT_MS + 12_000, () => m.cluster.restart(m.cluster.leader!, 500));
  }));

test('a cancellation, a query or a repeated submission coincides with the end of the last task', () =>
  assertScenarioPasses({ faultsEndMs: 120_000, endMs: 160_000 }, (m) => {
    for (let i = 0; i < 30; i++)
      m.cluster.at(START + i * 2500, () => m.submit({ tasks: 1 + (i % 3) }, 6000 + 100 * i));
    m.cluster.checker.onJobCompleted = (id) => {
      const user = m.cluster.users.get(id)!;
      const n = Number(id.slice(3));
      const delayMs = 1 + ((n * 37) % 1200);
      if (n % 3 === 0) m.cluster.at(m.cluster.now + delayMs, () => m.cluster.cancel(id));
      else m.cluster.at(m.cluster.now + delayMs, () => user.queryAllControllers());
    };
  }));
