// Half of a zone hangs, as if it were cut off. Whole controllers on virtual time.
import { test } from 'node:test';
import { halfOfZone, playLeadersEnd } from './sim/hanging-machines.js';

test('half of a zone hangs with a cancelled task while leaders end one after the other', () =>
  playLeadersEnd(halfOfZone));
