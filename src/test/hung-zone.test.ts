/** Half of a zone hangs, as if it were partitioned, in a simulated cluster. */
import { test } from 'node:test';
import { halfOfOneZone, assertConsecutiveLeaderFailuresPass } from './sim/hung-machine-scenarios.js';

test('half of a zone hangs with a cancelled task during consecutive leader failures', () =>
  assertConsecutiveLeaderFailuresPass(halfOfOneZone));
