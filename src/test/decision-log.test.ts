/** Log entries from which an operator can follow each attempt of a task, and the cause of its end. */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import { FETCH_MS, LeaderHarness } from './sim/leader-harness.js';

const RUN_MS = 1000;

test('a task can be followed through the log by job, task, attempt and machine', () => {
  const harness = new LeaderHarness(1, RUN_MS);
  const worker = harness.workers[0];
  const job = harness.submit('wk-1', { tasks: 2, gpus: 5 });
  const direct = harness.tickWithCommands(worker);
  harness.onCommandsExecuted(direct, harness.executeCommands(worker, direct));
  harness.advance(FETCH_MS + RUN_MS);
  for (let i = 0; i < 8; i++) {
    harness.exchangeHeartbeat(worker);
    harness.saveProgress(harness.tick());
  }
  const { attempt } = direct.commands[0];
  const lines = harness.logEntries
    .filter(({ fields }) => fields['job'] === job && fields['task'] === 0 && fields['attempt'] === attempt)
    .map(({ text, fields }) => {
      assert.equal(fields['machine'], worker.info.id);
      assert.equal(fields['term'], 3);
      const details = [fields['op'], fields['via'], fields['cause']].filter(
        (part) => typeof part === 'string',
      );
      return [text, ...details].join(' ');
    });
  // The leader does not drop the attempt, because a late duplicate of the direct command would start the task again.
  assert.deepEqual(lines, [
    'task placed',
    'command sent start direct',
    'task completed',
    'placement released exited',
  ]);
});

test('the members of a gang are logged with the attempt that they share', () => {
  const harness = new LeaderHarness(2, RUN_MS);
  const job = harness.submit('wk-1', { kind: 'gang', tasks: 2, gpus: 8 });
  const effects = harness.tick();
  const started = effects
    .flatMap((effect) => (effect.kind === 'send-direct-commands' ? effect.commands : []))
    .map((command) => command.attempt);
  const placed = harness.logEntries.filter(
    ({ text, fields }) => text === 'task placed' && fields['job'] === job,
  );
  assert.equal(new Set(started).size, 1);
  assert.deepEqual(
    placed.map(({ fields }) => fields['attempt']),
    started,
  );
});
