#!/usr/bin/env node
/**
A promotion call gets no answer and is carried out seconds later. Meanwhile the store is down and the new primary crashes:
the host that holds the last claim uses its token again for another server, so the late call passes the fence.
*/
import process from 'node:process';
import * as clock from '../lib/clock.js';
import * as sites from '../lib/site.js';

/** Time from the call without an answer until it is carried out. */
const lateMs = 7000;
/** Times from the report that the primary drains. */
const storeOutageAtMs = 2500;
const crashAtMs = 3000;
const restartAtMs = 5000;
const storeBackAtMs = 6000;
/** Replication lag of the server that crashed: above the mean of 20 ms, below the maximum of 120 ms. */
const lagMs = 100;

const site = new sites.Site(import.meta.dirname);
let exitCode = 2;
try {
	await site.start(3);
	for (let index = 0; index < 4; index++) {
		site.startWriter(`c${index}`, 30);
	}

	await clock.sleep(5000);
	// The release of the primary, as planned: the new server starts first, the old one drains.
	await site.group.add('i-4', 'puget-a', false);
	await clock.sleep(5000);
	const {primary} = site.group;
	if (site.hasTrouble) {
		site.platform.lateMs = lateMs;
		site.platform.promotions = 'late';
		site.platform.onPromotion = () => {
			site.platform.onPromotion = () => undefined;
			site.platform.promotions = 'ok';
		};
	}

	const startedAt = clock.now();
	const at = async ms => clock.sleep(startedAt + ms - clock.now());
	primary.state = 'draining';
	site.group.register(primary);
	const isReplaced = await clock.until(() => !primary.isPrimary, 5000);
	if (site.hasTrouble) {
		const successor = site.group.primary;
		await at(storeOutageAtMs);
		site.platform.isStoreDown = true;
		site.record.tell('the store is down');
		await at(crashAtMs);
		site.group.crash(successor);
		await at(restartAtMs);
		successor.lagMs = lagMs;
		site.group.restart(successor, {hasLog: true});
		await at(storeBackAtMs);
		site.platform.isStoreDown = false;
		site.record.tell('the store is back');
	}

	await at(10_000);
	await site.stopClients();
	site.record.tell(`acknowledged ${site.acknowledged.size} writes; the primary was ${isReplaced ? '' : 'not '}replaced`);
	exitCode = isReplaced ? 0 : 2;
	exitCode = site.violations.length > 0 ? 1 : exitCode;
} catch (error) {
	site.record.tell(`the case could not run: ${error.stack}`);
} finally {
	site.close();
}

process.exit(exitCode);
