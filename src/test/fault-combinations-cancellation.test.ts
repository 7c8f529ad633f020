// Meetings of troubles with cancellations: named as the operators name them. Whole controllers on virtual time.
import { test } from 'node:test';
import {
  LONG_OUTAGE_MS,
  FAULTS_AT_MS,
  startMixedWork,
  cancelWhileMachinesHang,
  assertScenarioPasses,
} from './sim/scenario.js';

const times = { faultsEndMs: 140_000, endMs: 330_000 };

test('jobs are cancelled as the key-value store refuses the leader, their machines hang, then an outage', () =>
  assertScenarioPasses(times, cancelWhileMachinesHang()));

test('jobs are cancelled as the key-value store refuses the leader, and the controllers that confirmed crash, then an outage', () =>
  assertScenarioPasses(times, (m) => {
    const jobs = startMixedWork(m);
    m.cluster.at(FAULTS_AT_MS, () => {
      m.cluster.refuseLeader(14_000);
      for (const id of jobs.slice(0, 4)) m.cluster.cancel(id);
    });
    m.cluster.at(FAULTS_AT_MS + 60, () => {
      for (const p of m.cluster.controllers) if (p !== m.cluster.leader) m.cluster.restart(p, 3000);
    });
    m.cluster.at(FAULTS_AT_MS + 1000, () => m.cluster.keyValueStore.startOutage(LONG_OUTAGE_MS));
  }));

test('jobs are cancelled as the key-value store refuses the leader, their machines hang, and the leader crashes during the outage', () =>
  assertScenarioPasses(
    times,
    cancelWhileMachinesHang((m) =>
      m.cluster.at(FAULTS_AT_MS + 4000, () => m.cluster.restart(m.cluster.leader!, 5000)),
    ),
  ));

test('a leader is partitioned from key-value store and controllers, and jobs are cancelled through the new one', () =>
  assertScenarioPasses(times, (m) => {
    const jobs = startMixedWork(m);
    m.cluster.at(FAULTS_AT_MS, () => {
      const leader = m.cluster.leader!;
      m.cluster.isolateFromPeers(leader, 'hold', 50_000);
      m.cluster.isolateFromKeyValueStore(leader, 50_000);
    });
    for (const [i, atMs] of [500, 4000, 9000].entries())
      m.cluster.at(FAULTS_AT_MS + atMs, () => m.cluster.cancel(jobs[i]));
  }));

test('the leader is also isolated from its peers during an outage, and jobs were cancelled just before', () =>
  assertScenarioPasses(times, (m) => {
    const jobs = startMixedWork(m);
    m.cluster.at(FAULTS_AT_MS, () => {
      const leader = m.cluster.leader!;
      m.cluster.refuseLeader(14_000);
      m.cluster.isolateFromPeers(leader, 'refuse', 60_000);
      for (const id of jobs.slice(0, 3)) m.cluster.cancel(id);
    });
    m.cluster.at(FAULTS_AT_MS + 2000, () => m.cluster.keyValueStore.startOutage(LONG_OUTAGE_MS));
  }));
