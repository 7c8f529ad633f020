// Meetings of two troubles, named as the operators name them. Whole controllers on virtual time.
import { test } from 'node:test';
import { startMixedWork, assertScenarioPasses, type Scenario } from './sim/scenario.js';
import { partitionZoneDuringFailover } from './sim/fault-scenarios.js';
import type { WorkerHost } from './sim/worker-host.js';

const START = 10_000;
const MEETING = 50_000;

const workers = (m: Scenario): WorkerHost[] => [...m.cluster.workers.values()];

test('a command or its response is delayed for seconds, and the machine then continues', () =>
  assertScenarioPasses({ faultsEndMs: 120_000, endMs: 260_000 }, (m) => {
    startMixedWork(m);
    for (let i = 0; i < 20; i++)
      m.cluster.at(START + i * 1500, () => {
        m.submit({ tasks: 1 + (i % 3) }, 15_000);
        // Machines hang just as the commands for them are under way.
        m.cluster.at(m.cluster.now + 100 + 40 * i, () => {
          for (const w of workers(m)) if (m.random() < 0.3) w.hang(3000 + m.random() * 5000);
        });
      });
  }));

test('a leader crashes while machines with long tasks are unreachable or behind a one-way partition', () =>
  assertScenarioPasses({ faultsEndMs: 110_000, endMs: 330_000 }, (m) => {
    const jobs = startMixedWork(m);
    m.cluster.at(MEETING, () => {
      for (const w of m.cluster.machinesOf(jobs[3])) w.hang(8000);
      const deaf = m.cluster.machinesOf(jobs[2]);
      for (const w of deaf) w.worker.inboundPartitioned = true;
      m.cluster.at(MEETING + 30_000, () => deaf.forEach((w) => (w.worker.inboundPartitioned = false)));
      m.cluster.restart(m.cluster.leader!, 5000);
    });
    m.cluster.at(MEETING + 20_000, () => m.cluster.restart(m.cluster.leader!, 300));
  }));

test('a zone with workers and a controller is partitioned for longer than lease_s', () =>
  assertScenarioPasses({ faultsEndMs: 120_000, endMs: 400_000 }, partitionZoneDuringFailover));

test('more work than capacity, urgent and not, and failovers', () =>
  assertScenarioPasses({ setup: { capacity: 16 }, faultsEndMs: 100_000, endMs: 500_000 }, (m) => {
    m.cluster.at(START, () => {
      for (let i = 0; i < 12; i++) m.submit({ tasks: 6, priority: 'low', class: 'many' }, 40_000);
      for (let i = 0; i < 6; i++)
        m.submit({ kind: 'gang', tasks: 2, priority: 'high', class: 'gangs' }, 20_000);
    });
    for (const atMs of [40_000, 60_000]) m.cluster.at(atMs, () => m.cluster.restart(m.cluster.leader!, 5000));
  }));

test('leadership moves between controllers, all crash, and one returns, also within a second', () =>
  assertScenarioPasses({ faultsEndMs: 120_000, endMs: 330_000 }, (m) => {
    const jobs = startMixedWork(m);
    for (const [i, p] of m.cluster.controllers.entries())
      m.cluster.at(MEETING + i * 900, () => m.cluster.restart(p, 200 + 100 * i));
    m.cluster.at(MEETING + 8000, () =>
      m.cluster.controllers.forEach((p, i) => m.cluster.restart(p, i === 0 ? 600 : 20_000)),
    );
    m.cluster.at(MEETING + 8200, () => m.cluster.cancel(jobs[0]));
    m.cluster.at(MEETING + 9000, () => m.cluster.restart(m.cluster.controllers[0], 100));
  }));

test('all controllers are down for longer than lease_s', () =>
  assertScenarioPasses({ faultsEndMs: 80_000, endMs: 330_000 }, (m) => {
    const jobs = startMixedWork(m);
    m.cluster.at(MEETING, () => m.cluster.cancel(jobs[0]));
    m.cluster.at(MEETING + 50, () =>
      m.cluster.controllers.forEach((p, i) => m.cluster.restart(p, 14_000 + 700 * i)),
    );
  }));

test('heartbeats are delayed until a new leader has acted, and old ones arrive after newer ones', () =>
  assertScenarioPasses({ faultsEndMs: 130_000, endMs: 330_000 }, (m) => {
    const jobs = startMixedWork(m);
    // Work comes and goes, so that an old report says something else than the newest.
    for (let i = 0; i < 40; i++)
      m.cluster.at(START + i * 2000, () => m.submit({ tasks: 1 + (i % 2), checkpointS: 0 }, 9000 + 200 * i));
    m.cluster.at(START + 5000, () => m.cluster.duplicateHeartbeats(0.5, 105_000));
    m.cluster.at(MEETING, () => {
      const ips = m.cluster.machinesOf(jobs[3]).map((w) => w.host.ip);
      const controllers = m.cluster.controllers.map((p) => p.ip);
      m.cluster.network.cut(ips, controllers, 'hold', 7000);
      m.cluster.restart(m.cluster.leader!, 4000);
    });
    m.cluster.at(MEETING + 25_000, () => {
      for (const w of workers(m)) if (m.random() < 0.2) w.hang(14_000);
      m.cluster.restart(m.cluster.leader!, 500);
    });
  }));
