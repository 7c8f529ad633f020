// Watches who holds the leader's lease, as the state service sees it, and which machines the cloud gets back from whom.
import { performance } from 'node:perf_hooks';

/** A lease that was extended within this time counts as held: it is extended several times in its 3 s. */
const HELD_MS = 2500;

/**
 * Returns `holders()`, the controllers whose lease is being extended, and `broken()`: null, or how a controller without
 * the lease returned a machine that runs a task of a job of `keptJobs`, while another one held the lease.
 */
export const watchHolder = (cluster, keptJobs) => {
  const extendedAt = new Map();
  let broken = null;
  cluster.state.onRequest = (node, method, target) => {
    const extend = /^\/leases\/(\d+)\/extend$/.exec(target);
    if (extend && cluster.state.leases.has(Number(extend[1]))) extendedAt.set(node, performance.now());
  };
  const holders = () =>
    [...extendedAt].filter(([, at]) => performance.now() - at < HELD_MS).map(([node]) => node);
  cluster.onWorker = (worker) => {
    worker.onAnswer = (node, renewed) => {
      if (renewed) Object.assign(worker, { answeredBy: node, answeredAt: cluster.now });
    };
  };
  cluster.cloud.onReturn = (node, names) => {
    const held = holders();
    for (const name of names) {
      const worker = cluster.workers.get(name);
      const tasks = keptJobs.flatMap((job) => worker?.holds(job.nameId) ?? []).map(({ hand }) => hand);
      const answered = worker?.answeredBy
        ? `last answered by ${worker.answeredBy} ${(cluster.now - worker.answeredAt).toFixed(1)} s ago`
        : 'never answered';
      cluster.note(
        `test: ${node} returns ${name}, which runs ${tasks.join(' ') || 'nothing'}, ${answered}; ` +
          `the leader's lease is extended by ${held.join(' ') || 'nobody'}`,
      );
      if (tasks.length > 0 && held.length > 0 && !held.includes(node))
        broken ??= `${node} returns ${name}, which runs ${tasks.join(' ')}, while ${held.join(' ')} holds the lease`;
    }
  };
  return { holders, broken: () => broken };
};
