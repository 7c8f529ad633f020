#!/usr/bin/env node
/** The entry point of the program. */
import { run } from './cli/run.js';

const code = await run(process.argv.slice(2));
if (code !== null) process.exit(code);
