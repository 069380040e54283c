#!/usr/bin/env node
/**
A replica has been replaced as planned. Later all entry processes are killed at the moment at which the primary is lost for
good. Both remaining servers have every commit and answer.
*/
import process from 'node:process';
import * as clock from '../lib/clock.js';
import * as sites from '../lib/site.js';

/** Time from the start of the first servers to that of the new one. */
const releaseAtMs = 14_000;
const drainMs = 7000;
/** Time from the end of the processes to their new start. */
const downMs = 1000;
const recoveryMs = 12_000;
const watchedMs = 10_000;

const site = new sites.Site(import.meta.dirname);
let exitCode = 2;
try {
	await site.start(3);
	site.startHeartbeats();
	for (let index = 0; index < 4; index++) {
		site.startWriter(`w${index}`, 50);
		site.startReader(`r${index}`, 50);
	}

	await clock.sleep(releaseAtMs);
	// The release of a replica, as planned: the new server starts first, the old one drains and ends.
	const [primary, , old] = site.group.servers;
	await site.group.add('i-4', old.zone, false);
	await clock.sleep(3000);
	old.state = 'draining';
	site.group.register(old);
	await clock.sleep(drainMs + 1000);
	site.group.leave(old);
	await clock.sleep(5000);
	const before = site.countRequests(clock.now() - 5000, clock.now());
	site.record.tell(`before the fault: ${before.served} of ${before.sent} requests were served`);
	if (site.hasTrouble) {
		site.configure(2);
		for (const entry of site.entries) {
			entry.isRestarted = false;
			entry.signal('SIGKILL');
		}

		site.group.crash(primary);
		await clock.sleep(downMs);
		for (const entry of site.entries) {
			entry.isRestarted = true;
			entry.spawn();
		}
	}

	const backAt = clock.now();
	await clock.sleep(recoveryMs + watchedMs);
	await site.stopClients();
	const after = site.countRequests(backAt + recoveryMs, backAt + recoveryMs + watchedMs);
	site.record.tell(`later than ${recoveryMs} ms after the machines were back: ${after.served} of ${after.sent} requests were served`);
	for (const server of site.group.servers.filter(({isRunning}) => isRunning)) {
		site.record.tell(`server ${server.id} is running, ${server.isPrimary ? 'primary' : 'replica'}, log ${server.positionText}`);
	}

	if (before.served * 4 >= before.sent && after.served * 4 < after.sent) {
		site.violate(`RECOVER: ${after.served} of ${after.sent} requests were served`);
	}

	exitCode = site.violations.length > 0 ? 1 : 0;
	exitCode = before.served * 4 < before.sent ? 2 : exitCode;
} catch (error) {
	site.record.tell(`the case could not run: ${error.stack}`);
} finally {
	site.close();
}

process.exit(exitCode);
