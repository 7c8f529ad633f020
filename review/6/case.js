/**
 * The leader stands still for some seconds. A user asks one node about a job and cancels it at another one. Once the
 * cancellation was answered, no node may answer that user with anything older.
 */
import process from 'node:process';
import { fileURLToPath, URL } from 'node:url';
import { EXIT, runCase, troubleWanted } from '../lib-2/cluster.js';
import { now, sleep } from '../lib-2/record.js';
import { guideVoices, trailhead } from '../lib-2/trailhead.js';

/** `node_freeze` with `count = 1`, the busiest; the site files' days have it for 21.25 s and 23 s. */
const FREEZE_S = 4;
const SETTLE_MS = 200;
const CANCEL_AFTER_MS = 200;
const RUN_S = 60;
const job = guideVoices('wk-000001', { kit: 'img-11', sizeGb: 0.3 });

const isRunning = (cluster) =>
  cluster.workers.some((worker) => [...worker.tasks.values()].some(({ status }) => status === 'running'));

/** Asks, and notes when the answer came. */
const timed = async (promise) => {
  const answer = await promise;
  return { ...answer, at: now() };
};

const play = async (cluster) => {
  const { users, record, controllers, nodes } = cluster;
  if ((await users.submit(job, RUN_S)) !== 201) return { code: EXIT.couldNotRun, text: 'not accepted' };
  if (!(await cluster.until(() => isRunning(cluster), 30_000)))
    return { code: EXIT.couldNotRun, text: 'the task does not run' };
  const leader = cluster.leader();
  const [asked, cancelling] = nodes.filter(({ name }) => name !== leader);
  await users.ask(job.nameId, asked);
  if (troubleWanted) {
    controllers.signal(leader, 'SIGSTOP');
    record.add('trouble begins: the leader stands still', { node: leader });
  }
  await sleep(SETTLE_MS);
  record.add('the user asks', { node: asked.name });
  const asking = timed(users.ask(job.nameId, asked));
  await sleep(CANCEL_AFTER_MS);
  record.add('the user cancels', { node: cancelling.name });
  const cancelled = await timed(users.abortOnce(job.nameId, cancelling));
  const told = await asking;
  if (troubleWanted) {
    await sleep(FREEZE_S * 1000 - SETTLE_MS);
    controllers.signal(leader, 'SIGCONT');
    record.add('trouble over', { node: leader });
  }
  if (cancelled.status !== 200 || cancelled.body?.status !== 'withdrawn')
    return { code: EXIT.couldNotRun, text: `the cancellation was answered with ${cancelled.status}` };
  const lateMs = Math.round(told.at - cancelled.at);
  record.add('answers', { cancelled: cancelled.body, told: told.body, toldAfterMs: lateMs });
  if (told.status !== 200 || told.body?.status === 'withdrawn' || lateMs <= 0)
    return { code: EXIT.held, text: `no older answer after the cancellation was answered` };
  return {
    code: EXIT.broken,
    text: `${asked.name} answered "${told.body.status}" ${lateMs} ms after ${cancelling.name} had answered "withdrawn"`,
  };
};

await runCase(trailhead, fileURLToPath(new URL('.', import.meta.url)), play);
process.exit(EXIT.couldNotRun);
