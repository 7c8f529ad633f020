/** Half of a zone hangs, as if it were partitioned; on whole controllers. */
import { test } from 'node:test';
import { halfOfOneZone, assertConsecutiveLeaderFailuresPass } from './sim/hung-machine-scenarios.js';

test('half of a zone hangs with a cancelled task during consecutive leader failures', () =>
  assertConsecutiveLeaderFailuresPass(halfOfOneZone));
