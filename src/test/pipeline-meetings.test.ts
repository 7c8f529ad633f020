// Pipelines of dependent jobs while troubles meet: whole controllers on virtual time.
import assert from 'node:assert/strict';
import { test } from 'node:test';
import { playDay, playMeeting } from './sim/meeting.js';
import { START, submitPipelines } from './sim/pipelines.js';
import type { JobId } from '../core/units.js';

const times = { quietMs: 140_000, endMs: 330_000 };

test('pipelines through a restart of the leader, an outage and late transactions', () =>
  playMeeting(times, (m) => {
    submitPipelines(m, 6);
    m.sim.at(40_000, () => m.sim.restart(m.sim.leader!, 4000));
    m.sim.at(55_000, () => m.sim.state.outage(12_000));
    m.sim.at(70_000, () => m.sim.state.lateWrites(0.2, 40_000));
  }));

test('ten changes of leader in a chain', () =>
  playMeeting({ quietMs: 180_000, endMs: 400_000 }, (m) => {
    m.sim.at(START, () => {
      let last: JobId[] = [];
      for (let i = 0; i < 12; i++) last = [m.submitAfter(last, { tasks: 2, gpus: 0, cpus: 1 }, 4000)];
    });
    for (let i = 0; i < 10; i++)
      m.sim.at(20_000 + i * 12_000, () => {
        if (m.sim.leader) m.sim.restart(m.sim.leader, 200 + m.random() * 3000);
      });
  }));

test('the leader ends between the end of a dependency and its record', () =>
  playMeeting({ ...times, seeds: [1, 2, 3, 4] }, (m) => {
    let ends = 0;
    m.sim.checker.onCompleted = () => {
      if (++ends <= 3 && m.sim.leader) m.sim.restart(m.sim.leader, 500);
    };
    submitPipelines(m, 3);
  }));

test('what it depends on is named wrongly: refused as never accepted, or malformed', async () => {
  const statuses = new Map<string, string>();
  const { broken } = await playDay(1, { quietMs: 20_000, endMs: 40_000 }, (m) => {
    m.sim.at(START, () => {
      const stranger = m.submit({ dependsOn: ['wk-999' as JobId] });
      const bad = m.submit({ dependsOn: ['no id' as JobId] });
      m.sim.at(START + 5000, () => {
        for (const id of [stranger, bad]) statuses.set(id, m.sim.users.get(id)!.status);
      });
    });
  });
  assert.deepEqual([...statuses.values()], ['422', '400']);
  assert.deepEqual(broken, []);
});
