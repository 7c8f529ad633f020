/**
 * Consecutive leader failures while machines hang with a cancelled task
 * (docs/incidents/2026-12-02-rules-broken-at-production-size.md).
 */
import { assertScenarioPasses, startMixedWork, type Scenario, type ScenarioScript } from './scenario.js';
import { workerHosts } from './fault-scenarios.js';
import type { WorkerHost } from './worker-host.js';
import type { JobId } from '../../core/units.js';

const FAULTS_AT_MS = 60_000;
const HANG_MS = 70_000;
const RESTART_AFTER_MS = 4000;
/** When the second leader fails, after the first. */
const SECOND_FAILURES_MS = [24_000, 28_000, 29_500];
const HUNG_PER_ZONE = 2;
const HALF_OF_ZONE = 4;
/** Heartbeats, leases and cancellations as on a large cluster. */
const largeClusterTimings = { workers: { heartbeatIntervalS: 3, leaseS: 17, cancelS: 42 } };

/** Which machines hang, those with the cancelled job among them. */
export type HungMachineSelection = (scenario: Scenario, cancelled: JobId) => WorkerHost[];

/** So many at once that the leader does not give them up at once, but less than half of a zone. */
export const machinesInEachZone: HungMachineSelection = (scenario, cancelled) => {
  const hung = new Set(scenario.cluster.machinesOf(cancelled));
  for (const zone of ['east', 'west']) {
    const inZone = workerHosts(scenario).filter((worker) => worker.info.zone === zone);
    const left = HUNG_PER_ZONE - inZone.filter((worker) => hung.has(worker)).length;
    for (const worker of inZone.filter((each) => !hung.has(each)).slice(0, left)) hung.add(worker);
  }
  return [...hung];
};

/** Half of a zone, as if it were partitioned; the other half stays reachable. */
export const halfOfOneZone: HungMachineSelection = (scenario, cancelled) => [
  ...scenario.cluster.machinesOf(cancelled),
  ...workerHosts(scenario).slice(0, HALF_OF_ZONE),
];

/** Machines hang with a cancelled task; the leader fails, and its successor too before it has given them up. */
const leadersFailWhileMachinesHang =
  (secondMs: number, select: HungMachineSelection): ScenarioScript =>
  (scenario) => {
    const jobs = startMixedWork(scenario);
    scenario.cluster.at(FAULTS_AT_MS, () => {
      for (const worker of select(scenario, jobs[1])) worker.hang(HANG_MS);
      scenario.cluster.restart(scenario.cluster.leader!, RESTART_AFTER_MS);
      scenario.cluster.cancel(jobs[1]);
    });
    scenario.cluster.at(FAULTS_AT_MS + secondMs, () =>
      scenario.cluster.restart(scenario.cluster.leader!, RESTART_AFTER_MS),
    );
  };

/** Runs the scenario with the second failure at several times. */
export const assertConsecutiveLeaderFailuresPass = async (select: HungMachineSelection): Promise<void> => {
  for (const secondMs of SECOND_FAILURES_MS)
    await assertScenarioPasses(
      { setup: largeClusterTimings, faultsEndMs: 160_000, endMs: 400_000 },
      leadersFailWhileMachinesHang(secondMs, select),
    );
};
