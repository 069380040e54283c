#!/usr/bin/env node
/**
Daemon of an entry host on the users' platform. It is `sycamorering entry` without the command line parser, which takes a
tenth of a second to load.
*/
import process from 'node:process';

// Without a listener, a SIGHUP that arrives while the modules are loading would end the process.
process.on('SIGHUP', () => undefined);
const processes = await import('./process.js');
await processes.run(process.env.SYCAMORERING_SETTINGS ?? '');
