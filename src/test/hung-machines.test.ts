/** Cancelled tasks on machines that hang during consecutive leader failures, in a simulated cluster. */
import { test } from 'node:test';
import { assertConsecutiveLeaderFailuresPass, machinesInEachZone } from './sim/hung-machine-scenarios.js';

test('consecutive leader failures leave no cancelled task on hung machines', () =>
  assertConsecutiveLeaderFailuresPass(machinesInEachZone));
