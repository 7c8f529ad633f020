/**
 * For some seconds the cloud has no machines of one type to give. A batch of one task that is submitted afterwards must
 * start within 90 s, while two machines fit and have room, and the job's team is under its limit.
 */
import process from 'node:process';
import { fileURLToPath, URL } from 'node:url';
import { EXIT, runCase, troubleWanted } from '../lib-2/cluster.js';
import { now, sleep } from '../lib-2/record.js';
import { bookingDesk, guideVoices, trailhead } from '../lib-2/trailhead.js';

/** "no job is left waiting for 90 s" */
const WAIT_LIMIT_S = 90;
const POLL_S = 5;
/** The type of which the cloud has fewer to give until another one was rented in its place. */
const SCARCE = 'elevator';
/** As of `estufa` in `lisboa`: `count = 1`, `spot = 1`. */
const POOL = { count: 1, spot: 1 };
/** The fractions of it that are left in the trouble `capacity`, as in the site files' days. */
const SHORTAGE = { count: 0.6, spot: 0 };
/** Within "images around 3.5 GB" for `guide-voices` (`median = 3.5, p95 = 8.0`). */
const AUDIO = { kit: 'img-11', sizeGb: 2.1 };
const OTHER_AUDIO = { kit: 'img-12', sizeGb: 1 };
const LONG_RUN_S = 150;
const SHORT_RUN_S = 2;
const READY_TIMEOUT_MS = 25_000;
const desk = bookingDesk('wk-000001', { kit: 'img-01', sizeGb: 1.5 });
const batch = guideVoices('wk-000002', AUDIO);
const longBatch = guideVoices('wk-000003', OTHER_AUDIO, { breeds: [SCARCE], rideS: LONG_RUN_S });
const late = guideVoices('wk-000004', AUDIO);

const taskOf = (cluster, id) => {
  for (const worker of cluster.workers)
    for (const task of worker.tasks.values()) if (task.hand === `${id}/0`) return { worker, task };
  return null;
};
const isRunning = (cluster, id) => taskOf(cluster, id)?.task.status === 'running';
/** The first batch is over, and its image is in a machine's cache. */
const hasAudio = (cluster) =>
  !isRunning(cluster, batch.nameId) && cluster.workers.some((worker) => worker.images.has(AUDIO.kit));
/** The machines of the scarce type that can be had, the ordinary or the spot ones. */
const poolOf = (loaners, shortage) => {
  if (!shortage) return loaners ? POOL.spot : POOL.count;
  return Math.floor(loaners ? SHORTAGE.spot * POOL.spot : SHORTAGE.count * POOL.count);
};
const couldNotRun = (text) => ({ code: EXIT.couldNotRun, text });

/** The machines that fit the job and have room for it, and whose reports are answered. */
const machinesWithRoom = (cluster, job) =>
  cluster.workers.filter(
    (worker) =>
      job.breeds.includes(worker.breed.label) &&
      worker.fits(job) &&
      now() - worker.answeredAt < cluster.site.workers.leaseS * 1000,
  );

/** Resolves to whether a start of the job was received in time, and whether some machine had room throughout. */
const waitForStart = async (cluster, job, seconds) => {
  const until = now() + seconds * 1000;
  let steady = new Set(machinesWithRoom(cluster, job));
  let nextPoll = now();
  while (now() < until) {
    if (taskOf(cluster, job.nameId)) return { started: true, steady };
    const withRoom = new Set(machinesWithRoom(cluster, job));
    steady = new Set([...steady].filter((worker) => withRoom.has(worker)));
    if (now() >= nextPoll) {
      nextPoll = now() + POLL_S * 1000;
      await cluster.users.ask(job.nameId);
    }
    await sleep(100);
  }
  return { started: taskOf(cluster, job.nameId) !== null, steady };
};

const play = async (cluster) => {
  const { users, record, cloud } = cluster;
  let shortage = troubleWanted;
  cloud.capacity = (breed, _pasture, loaners, number) =>
    breed === SCARCE ? poolOf(loaners, shortage) - cloud.inUse(breed, loaners) : number;
  if (shortage) record.add('trouble begins: the cloud has fewer of this type to give', { breed: SCARCE });
  await users.submit(desk, 0);
  if (!(await cluster.until(() => cloud.machines.size > 0, READY_TIMEOUT_MS)))
    return couldNotRun('no machine was rented');
  shortage = false;
  record.add('trouble over', { breed: SCARCE });
  await users.submit(batch, SHORT_RUN_S);
  await users.submit(longBatch, LONG_RUN_S);
  const ready = () =>
    isRunning(cluster, desk.nameId) && isRunning(cluster, longBatch.nameId) && hasAudio(cluster);
  if (!(await cluster.until(ready, READY_TIMEOUT_MS)))
    return couldNotRun('the cluster was not ready in time');
  for (const worker of cluster.workers)
    record.add('machine', {
      machine: worker.name,
      breed: worker.breed.label,
      loaners: worker.loaners,
      images: [...worker.images],
      free: worker.free(),
    });
  if ((await users.submit(late, LONG_RUN_S)) !== 201) return couldNotRun('not accepted');
  const { started, steady } = await waitForStart(cluster, late, WAIT_LIMIT_S);
  const names = [...steady].map(({ name }) => name);
  record.add('after the wait', { started, roomThroughout: names });
  const { status, body } = await users.ask(late.nameId);
  if (started) return { code: EXIT.held, text: 'the job was started' };
  if (names.length === 0) return couldNotRun('no machine had room throughout the wait');
  return {
    code: EXIT.broken,
    text:
      `${late.nameId} waited ${WAIT_LIMIT_S} s while ${names.join(' and ')} fit and had room ` +
      `(answer ${status} ${body?.status})`,
  };
};

await runCase(trailhead, fileURLToPath(new URL('.', import.meta.url)), play);
process.exit(EXIT.couldNotRun);
