/**
 * For some seconds a machine's reports arrive while answers and direct commands don't reach it. Afterwards a job must
 * not wait for 90 s while that machine fits and has room, and the job's team is under its limit.
 */
import process from 'node:process';
import { fileURLToPath, URL } from 'node:url';
import { EXIT, runCase, troubleWanted } from '../lib-2/cluster.js';
import { DeafWorker } from '../lib-2/deaf-worker.js';
import { now, sleep } from '../lib-2/record.js';
import { bookingDesk, trailhead } from '../lib-2/trailhead.js';

/** `machine_deaf`, `count = 1`. Less than a lease: the worker keeps its session. */
const DEAF_S = 10.5;
/** "no job is left waiting for 90 s" */
const WAIT_LIMIT_S = 90;
const POLL_S = 5;
/** A second job of the same shape is submitted this long after the trouble. */
const SECOND_AFTER_S = 6;
const READY_TIMEOUT_MS = 15_000;
/** Only one ordinary machine of this type can be had, as of `estufa` in `lisboa` (`[[capacity]]`, `count = 1`). */
const BREED = 'elevator';
const IMAGE = { kit: 'img-01', sizeGb: 1 };
const replica = (nameId) => ({ ...bookingDesk(nameId, IMAGE), breeds: [BREED] });
const withdrawn = replica('wk-000001');
const first = replica('wk-000002');
const second = replica('wk-000003');

const started = (worker, id) => [...worker.tasks.values()].some(({ hand }) => hand === `${id}/0`);
const couldNotRun = (text) => ({ code: EXIT.couldNotRun, text });

/** The machine is up, has room for both jobs, kept its session, and its reports are answered. */
const hasRoom = (worker, leaseS) =>
  !worker.stopped && worker.shift === 1 && worker.fits(first) && now() - worker.answeredAt < leaseS * 1000;

const waitForStart = async (cluster, worker, until) => {
  let room = true;
  let nextPoll = now();
  while (now() < until) {
    if (started(worker, first.nameId) || started(worker, second.nameId)) return { ran: true, room };
    room &&= hasRoom(worker, cluster.site.workers.leaseS);
    if (now() >= nextPoll) {
      nextPoll = now() + POLL_S * 1000;
      await cluster.users.ask(first.nameId);
    }
    await sleep(100);
  }
  return { ran: started(worker, first.nameId) || started(worker, second.nameId), room };
};

const play = async (cluster) => {
  const { users, record, cloud } = cluster;
  cloud.capacity = (breed, _pasture, loaners, number) =>
    breed === BREED ? 1 - cloud.inUse(breed, loaners) : number;
  await users.submit(withdrawn, 0);
  if (!(await cluster.until(() => cloud.machines.size > 0, READY_TIMEOUT_MS)))
    return couldNotRun('no machine was rented');
  await users.abortOnce(withdrawn.nameId);
  // The second answered report carries the leader's token.
  if (!(await cluster.until(() => cluster.workers[0]?.answered >= 2, READY_TIMEOUT_MS)))
    return couldNotRun('the machine did not report in time');
  const [worker] = cluster.workers;
  if (troubleWanted) await worker.goDeaf();
  const submitted = users.submit(first, 0);
  await sleep(DEAF_S * 1000);
  if (troubleWanted) worker.hearAgain();
  if ((await submitted) !== 201) return couldNotRun('not accepted');
  const until = now() + WAIT_LIMIT_S * 1000;
  await sleep(SECOND_AFTER_S * 1000);
  await users.submit(second, 0);
  const { ran, room } = await waitForStart(cluster, worker, until);
  record.add('after the wait', { ran, room });
  const { status, body } = await users.ask(first.nameId);
  const other = await users.ask(second.nameId);
  if (ran) return { code: EXIT.held, text: 'a start reached the machine' };
  if (!room) return couldNotRun('there was no room throughout the wait');
  return {
    code: EXIT.broken,
    text:
      `${first.nameId} and ${second.nameId} waited ${WAIT_LIMIT_S} s after the trouble while ${worker.name} fit and ` +
      `had room (answers ${status} ${body?.status}, ${other.status} ${other.body?.status})`,
  };
};

await runCase(
  { ...trailhead, WorkerType: DeafWorker, leaderComes: 'first' },
  fileURLToPath(new URL('.', import.meta.url)),
  play,
);
process.exit(EXIT.couldNotRun);
