// More meetings of two troubles, around changes of leader, named as the operators name them. Whole controllers on virtual time.
import { test } from 'node:test';
import { startMixedWork, assertScenarioPasses } from './sim/scenario.js';
import { leaderRefusedAtTeamLimit, workerHosts, zoneBoundJobsLoseMachines } from './sim/fault-scenarios.js';

const START = 10_000;
const MEETING = 50_000;

test('single-zone jobs, arrays included, lose machines', () =>
  assertScenarioPasses({ faultsEndMs: 120_000, endMs: 500_000 }, zoneBoundJobsLoseMachines));

test('tasks of small jobs end far apart across a failover', () =>
  assertScenarioPasses({ faultsEndMs: 120_000, endMs: 330_000 }, (m) => {
    m.cluster.at(START, () => {
      for (let i = 0; i < 8; i++) {
        m.submit({ tasks: 2 + (i % 2) }, 30_000 + 2000 * i);
        m.submit({ kind: 'gang', tasks: 2 + (i % 2) }, 30_000 + 2000 * i);
      }
    });
    // Some tasks end just then, others later: their machines are not heard for a while.
    for (const atMs of [44_000, 52_000]) {
      m.cluster.at(atMs - 1000, () => {
        for (const w of workerHosts(m)) if (m.random() < 0.4) w.hang(6000);
      });
      m.cluster.at(atMs, () => m.cluster.restart(m.cluster.leader!, 3000));
    }
  }));

test('a transaction without a response is executed late, after newer ones of the same controller', () =>
  assertScenarioPasses({ faultsEndMs: 130_000, endMs: 330_000 }, (m) => {
    m.cluster.at(START - 5000, () => m.cluster.keyValueStore.delayTransactions(0.3, 100_000));
    for (let i = 0; i < 25; i++) {
      m.cluster.at(START + i * 3000, () => {
        const id = m.submit({ tasks: 1 + (i % 4) }, 10_000 + 1000 * (i % 7));
        if (i % 5 === 0) m.cluster.at(m.cluster.now + 9000, () => m.cluster.cancel(id));
      });
    }
    m.cluster.at(MEETING, () => m.cluster.restart(m.cluster.leader!, 3000));
    m.cluster.at(MEETING + 20_000, () => m.cluster.restart(m.cluster.leader!, 500));
  }));

test('the key-value store refuses the leader while a team is at its limit and work is pending', () =>
  assertScenarioPasses({ faultsEndMs: 120_000, endMs: 500_000 }, leaderRefusedAtTeamLimit));

test('a controller loses key-value store and peers, not its workers', () =>
  assertScenarioPasses({ faultsEndMs: 130_000, endMs: 400_000 }, (m) => {
    const jobs = startMixedWork(m);
    m.cluster.at(MEETING, () => {
      const p = m.cluster.controllers.find((q) => q !== m.cluster.leader)!;
      m.cluster.isolateFromKeyValueStore(p, 60_000);
      m.cluster.isolateFromPeers(p, 'hold', 60_000);
    });
    m.cluster.at(MEETING + 5000, () => m.cluster.cancel(jobs[3]));
    m.cluster.at(MEETING + 20_000, () => m.cluster.restart(m.cluster.leader!, 300));
  }));
