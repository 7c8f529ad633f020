#!/usr/bin/env node
/** The program's start. */
import { run } from './cli/run.js';

const code = await run(process.argv.slice(2));
if (code !== null) process.exit(code);
