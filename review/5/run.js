#!/usr/bin/env node
/**
Another writer leaves an entry of kind `servers` whose address can't be read.
*/
import process from 'node:process';
import * as clock from '../lib/clock.js';
import * as sites from '../lib/site.js';

/** Number of ends of a process on one machine, and of such machines, at which the day counts as a fault. */
const endsPerMachine = 3;
const machineCount = 2;
const watchedMs = 12_000;

const site = new sites.Site(import.meta.dirname);
let exitCode = 2;
try {
	await site.start(3);
	for (let index = 0; index < 4; index++) {
		site.startWriter(`c${index}`, 30);
	}

	await clock.sleep(3000);
	const countBefore = site.acknowledged.size;
	if (site.hasTrouble) {
		site.platform.put('servers', 'i-x', {
			service: 'school-ledgers', address: '127.0.0.1:70000', zone: 'puget-a', version: 'v1', slots: 2, state: 'ready', coldRemainingMs: 0, sequence: 1, born: Date.now(), dbRole: 'replica',
		});
		site.record.tell('another writer has written the entry i-x with the address 127.0.0.1:70000');
	}

	await clock.sleep(watchedMs);
	await site.stopClients();
	const ends = site.entries.map(entry => entry.exits.filter(({signal}) => signal === null).length);
	site.record.tell(`${site.acknowledged.size - countBefore} writes were acknowledged in ${watchedMs} ms; ends of their own by host: ${ends.join(', ')}`);
	if (ends.filter(count => count >= endsPerMachine).length >= machineCount) {
		site.violate(`Fault: processes of ${ends.length} hosts ended by themselves ${ends.join(', ')} times`);
	}

	exitCode = site.violations.length > 0 ? 1 : 0;
	exitCode = countBefore === 0 ? 2 : exitCode;
} catch (error) {
	site.record.tell(`the case could not run: ${error.stack}`);
} finally {
	site.close();
}

process.exit(exitCode);
