// Cancelled tasks on machines that hang while leaders end one after the other. Whole controllers on virtual time.
import { test } from 'node:test';
import { assertConsecutiveLeaderFailuresPass, someMachinesOfEachZone } from './sim/hung-machine-scenarios.js';

test('consecutive leader failures leave no cancelled task on hung machines', () =>
  assertConsecutiveLeaderFailuresPass(someMachinesOfEachZone));
