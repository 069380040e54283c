#!/usr/bin/env node
/**
The daemon of an entry host on the users' platform: `sycamorering entry` without a command line, which takes a tenth of a
second to load.
*/
import process from 'node:process';

// A hang-up that arrives while the modules are loaded would end the process.
process.on('SIGHUP', () => undefined);
const processes = await import('./process.js');
await processes.run(process.env.SYCAMORERING_SETTINGS ?? '');
