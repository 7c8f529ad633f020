// Leaders that end one after the other while machines hang with a cancelled task
// (docs/incidents/2026-12-02-rules-broken-at-production-size.md).
import { startMixedWork, assertScenarioPasses, type Scenario } from './scenario.js';
import { workerHosts } from './fault-scenarios.js';
import type { WorkerHost } from './worker-host.js';
import type { JobId } from '../../core/units.js';

const MEETING = 60_000;
const HANGING_IN_ZONE = 2;
const HALF_OF_ZONE = 4;
/** Reports, leases and cancellations as on a large cluster. */
const slowReports = { workers: { heartbeatIntervalS: 3, leaseS: 17, cancelS: 42 } };

export type HungMachineSelection = (scenario: Scenario, cancelled: JobId) => WorkerHost[];

/** So many at once that their silence alone is no reason to give them up, but less than half of a zone. */
export const someMachinesOfEachZone: HungMachineSelection = (scenario, cancelled) => {
  const hanging = new Set(scenario.cluster.machinesOf(cancelled));
  for (const zone of ['east', 'west']) {
    const inZone = workerHosts(scenario).filter((worker) => worker.info.zone === zone);
    const left = HANGING_IN_ZONE - inZone.filter((worker) => hanging.has(worker)).length;
    for (const worker of inZone.filter((each) => !hanging.has(each)).slice(0, left)) hanging.add(worker);
  }
  return [...hanging];
};

/** Half of a zone, as if it were cut off; the other half is heard. */
export const halfOfOneZone: HungMachineSelection = (scenario, cancelled) => [
  ...scenario.cluster.machinesOf(cancelled),
  ...workerHosts(scenario).slice(0, HALF_OF_ZONE),
];

/** Machines hang with a cancelled task; the leader ends, and its successor too before it has given them up. */
const leadersEndWhileMachinesHang =
  (secondMs: number, hanging: HungMachineSelection) =>
  (scenario: Scenario): void => {
    const jobs = startMixedWork(scenario);
    scenario.cluster.at(MEETING, () => {
      for (const worker of hanging(scenario, jobs[1])) worker.hang(70_000);
      scenario.cluster.restart(scenario.cluster.leader!, 4000);
      scenario.cluster.cancel(jobs[1]);
    });
    scenario.cluster.at(MEETING + secondMs, () => scenario.cluster.restart(scenario.cluster.leader!, 4000));
  };

export const assertConsecutiveLeaderFailuresPass = async (hanging: HungMachineSelection): Promise<void> => {
  for (const secondMs of [24_000, 28_000, 29_500])
    await assertScenarioPasses(
      { setup: slowReports, faultsEndMs: 160_000, endMs: 400_000 },
      leadersEndWhileMachinesHang(secondMs, hanging),
    );
};
