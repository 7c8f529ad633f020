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
/** Delays of the second leader's failure after the first one. */
const SECOND_FAILURE_DELAYS_MS = [24_000, 28_000, 29_500];
const HUNG_MACHINES_PER_ZONE = 2;
const HALF_ZONE_MACHINE_COUNT = 4;
/** Heartbeat interval, lease time and cancellation limit of a large cluster. */
const largeClusterTimings = { workers: { heartbeatIntervalS: 3, leaseS: 17, cancelS: 42 } };

/** Selects the machines that hang, including those that run the cancelled job. */
export type HungMachineSelection = (scenario: Scenario, cancelledJob: JobId) => WorkerHost[];

/**
 * Selects enough machines that the leader delays fencing them, but less than half of a zone's machines.
 */
export const machinesInEachZone: HungMachineSelection = (scenario, cancelledJob) => {
  const machinesToHang = new Set(scenario.cluster.machinesOf(cancelledJob));
  for (const zone of ['east', 'west']) {
    const zoneWorkers = workerHosts(scenario).filter((worker) => worker.info.zone === zone);
    const missing =
      HUNG_MACHINES_PER_ZONE - zoneWorkers.filter((worker) => machinesToHang.has(worker)).length;
    for (const worker of zoneWorkers.filter((each) => !machinesToHang.has(each)).slice(0, missing))
      machinesToHang.add(worker);
  }
  return [...machinesToHang];
};

/** Selects half of a zone's machines, as in a partition. The other half stays reachable. */
export const halfOfOneZone: HungMachineSelection = (scenario, cancelledJob) => [
  ...scenario.cluster.machinesOf(cancelledJob),
  ...workerHosts(scenario).slice(0, HALF_ZONE_MACHINE_COUNT),
];

/** Machines hang with a cancelled task. The leader fails, and its successor fails before it has fenced them. */
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

/** Runs the scenario with several delays of the second failure. */
export const assertConsecutiveLeaderFailuresPass = async (select: HungMachineSelection): Promise<void> => {
  for (const secondMs of SECOND_FAILURE_DELAYS_MS)
    await assertScenarioPasses(
      { setup: largeClusterTimings, faultsEndMs: 160_000, endMs: 400_000 },
      leadersFailWhileMachinesHang(secondMs, select),
    );
};
