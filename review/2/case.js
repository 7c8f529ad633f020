// See claim.txt. A machine fails the tasks that it starts for a while, and is sound again afterwards.
import { dirname } from 'node:path';
import { fileURLToPath } from 'node:url';
import { runCase, sleep } from '../lib/cluster.js';
import { trailhead } from '../lib/sites.js';

/** "no job is left waiting for 90 s while a machine that fits has room and its team is under its limit" */
const MAX_WAIT_S = 90;

const job = {
  nameId: 'wk-000201',
  herd: 'guide-voices',
  outfit: 'trail-ops',
  gait: 'array',
  rank: 'low',
  hands: 4,
  vcpus: 10,
  accelerators: 1,
  memGb: 54,
  kit: 'img-03',
  sizeGb: 0.2,
  breeds: null,
  pasture: null,
  oneZone: false,
  spread: false,
  loaners: true,
  rideS: 20,
  waypointS: 15,
  stowS: 5,
  dueS: null,
};

const options = {
  folder: dirname(fileURLToPath(import.meta.url)),
  site: trailhead,
  bootMs: () => 1500,
  capacity: 1,
  runS: () => 20,
};

await runCase(options, async (cluster, trouble) => {
  // At first the cloud has one machine, and only this one is faulty. Later the cloud has as many as anyone asks for.
  cluster.onWorker = (worker) => {
    if (trouble && cluster.workers.size === 1) {
      worker.sick = true;
      cluster.note(`trouble: ${worker.name} fails every task that it starts`);
    }
  };
  for (const { name } of cluster.nodes) cluster.startNode(name);
  for (const { name } of cluster.nodes) await cluster.waitUp(name);
  await cluster.submit('stable-1', job);
  await cluster.waitFor('a machine is up', () => cluster.workers.size > 0, 15);
  const tasks = () => [...cluster.workers.values()].flatMap((worker) => [...worker.tasks.values()]);
  if (trouble) {
    await cluster.waitFor('tasks failed', () => tasks().some(({ cause }) => cause === 'error'), 15);
    await sleep(1000);
    for (const worker of cluster.workers.values()) worker.sick = false;
    cluster.note('trouble over: no machine is faulty any more');
  }
  cluster.cloud.capacity = 30;
  cluster.note('the cloud has 30 machines from now on');
  const until = cluster.now + MAX_WAIT_S + 1;
  let started = null;
  let roomSince = null;
  while (cluster.now < until) {
    const reply = await cluster.user('stable-2', 'GET', `/v1/jobs/${job.nameId}`);
    if (reply?.status === 200 && reply.body.status === 'done') return null;
    started = tasks().find(({ status }) => status === 'running');
    const fitting = [...cluster.workers.values()].filter((worker) => {
      const free = worker.free();
      return worker.alive && ['vcpus', 'accelerators', 'memGb'].every((name) => job[name] <= free[name]);
    });
    if (started || fitting.length === 0) roomSince = null;
    else roomSince ??= cluster.now;
    await sleep(5000 * (0.8 + Math.random() * 0.4));
    if (roomSince !== null && cluster.now - roomSince >= MAX_WAIT_S) {
      await cluster.noteQueue(job.nameId);
      const names = fitting.map(({ name }) => name).join(' ');
      return `${job.nameId} waits for ${(cluster.now - roomSince).toFixed(0)} s while ${names} fits and has room`;
    }
  }
  return null;
});
