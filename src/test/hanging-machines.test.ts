// Cancelled tasks on machines that hang while leaders end one after the other. Whole controllers on virtual time.
import { test } from 'node:test';
import { playLeadersEnd, someOfEachZone } from './sim/hanging-machines.js';

test('leaders that end one after the other do not leave a cancelled task on machines that hang', () =>
  playLeadersEnd(someOfEachZone));
