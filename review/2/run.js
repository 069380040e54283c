#!/usr/bin/env node
/**
A replica has left as planned while the other replicas were behind. The primary goes dark, and one entry process is killed
and starts again: it knows nothing of the replica that has left.
*/
import process from 'node:process';
import * as clock from '../lib/clock.js';
import * as sites from '../lib/site.js';

/** Lag of the replicas that fall behind, for how long, and how much of that before the replica leaves. */
const lagMs = 1500;
const laggingMs = 6000;
const laggingBeforeMs = 3000;
/** Time from the end of the replica to the crash of the primary, and how long the primary is dark. */
const crashAfterMs = 300;
const darkMs = 7000;

const site = new sites.Site(import.meta.dirname);
let exitCode = 2;
try {
	await site.start(3);
	site.startHeartbeats();
	for (let index = 0; index < 4; index++) {
		site.startWriter(`c${index}`, 30);
	}

	await clock.sleep(12_000);
	const [primary, replica, leaving] = site.group.servers;
	// The release of a replica, as planned: the new server starts first, the old one drains and ends.
	const added = await site.group.add('i-0', leaving.zone, false);
	await clock.sleep(1000);
	leaving.state = 'draining';
	site.group.register(leaving);
	await clock.sleep(sites.bounds.drainMs + 1000 - laggingBeforeMs);
	const usualLagMs = replica.lagMs;
	if (site.hasTrouble) {
		site.record.tell(`servers ${replica.id} and ${added.id} are ${lagMs} ms behind`);
		replica.lagMs = lagMs;
		added.lagMs = lagMs;
		setTimeout(() => {
			replica.lagMs = usualLagMs;
			added.lagMs = usualLagMs;
		}, laggingMs);
	}

	await clock.sleep(laggingBeforeMs);
	site.group.leave(leaving);
	if (site.hasTrouble) {
		await clock.sleep(crashAfterMs);
		site.group.crash(primary);
		site.entries[0].signal('SIGKILL');
	}

	await clock.sleep(darkMs);
	if (site.hasTrouble) {
		site.group.restart(primary, {hasLog: true});
	}

	await clock.sleep(2000);
	await site.stopClients();
	site.record.tell(`acknowledged ${site.acknowledged.size} writes`);
	exitCode = site.violations.length > 0 ? 1 : 0;
} catch (error) {
	site.record.tell(`the case could not run: ${error.stack}`);
} finally {
	site.close();
}

process.exit(exitCode);
