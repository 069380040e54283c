#!/usr/bin/env node
/**
One replica is dark, the other receives nothing for a while, so commits stall. That one is promoted; the dark one comes back
while the promotion takes effect, and acknowledges commits.
*/
import process from 'node:process';
import * as clock from '../lib/clock.js';
import * as sites from '../lib/site.js';

/** Time from the crash of one replica until the other receives nothing, and for how long that lasts. */
const deafAfterMs = 5500;
const deafMs = 6500;
/** How long the crashed replica is dark at most, and how soon after the promotion call it is back. */
const darkMs = 7000;
const returnMs = 150;

const site = new sites.Site(import.meta.dirname);
let exitCode = 2;
try {
	await site.start(3);
	site.startHeartbeats();
	for (let index = 0; index < 6; index++) {
		site.startWriter(`c${index}`, 15);
	}

	await clock.sleep(6000);
	const [, dark, deaf] = site.group.servers;
	if (site.hasTrouble) {
		site.group.crash(dark);
		const restart = () => {
			if (!dark.isRunning) {
				site.group.restart(dark, {hasLog: true});
			}
		};

		setTimeout(restart, darkMs);
		site.platform.onPromotion = () => {
			setTimeout(restart, returnMs);
		};

		await clock.sleep(deafAfterMs);
		deaf.isDeaf = true;
		site.record.tell(`server ${deaf.id} receives nothing`);
		await clock.sleep(deafMs);
		deaf.isDeaf = false;
	}

	await clock.sleep(4000);
	await site.stopClients();
	site.record.tell(`acknowledged ${site.acknowledged.size} writes`);
	exitCode = site.violations.length > 0 ? 1 : 0;
} catch (error) {
	site.record.tell(`the case could not run: ${error.stack}`);
} finally {
	site.close();
}

process.exit(exitCode);
