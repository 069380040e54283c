/**
Failover in complete deployments of stand-ins. The logs of the stand-in servers show which writes ran.
*/
import * as assert from 'node:assert/strict';
import * as test from 'node:test';
import type * as mysql from 'mysql2/promise';
import * as clock from '../../core/clock.js';
import * as deployment from '../../standin/deployment.js';
import * as network from '../../standin/network.js';

const places = ['puget-a', 'willamette-a', 'inland-a'];
const schema = ['CREATE TABLE ledger (id INTEGER PRIMARY KEY, fund VARCHAR(64))'];
const time = new clock.System();

/** Writes sequentially until `until` returns true; returns the ids of the acknowledged writes. */
async function write(connection: mysql.Connection, prefix: string, until: () => boolean, acknowledged: string[] = []): Promise<string[]> {
	for (let count = 0; !until(); count++) {
		const id = `${prefix}${count}`;
		try {
			await connection.query(`/* sycamorering request=${id} */ INSERT INTO ledger (fund) VALUES ('${id}')`);
			acknowledged.push(id);
		} catch {
			// A failed write is not acknowledged.
		}
	}

	return acknowledged;
}

function count(site: deployment.Deployment, server: string, id: string): number {
	return site.writes(server).filter(sql => sql.includes(`'${id}'`)).length;
}

async function waitFor(condition: () => boolean, limitMs: number): Promise<void> {
	const end = time.now() + limitMs;
	while (!condition() && time.now() < end) {
		await time.sleep(10);
	}

	assert.ok(condition(), 'the condition was not met in time');
}

/** The primary of the highest term; empty if it has none. */
function primaryOf(site: deployment.Deployment): string {
	const statuses = [...site.group.servers.values()].map(({status}) => status);
	const highest = Math.max(...statuses.map(({term}) => term));
	return statuses.find(({role, term}) => role === 'primary' && term === highest)?.server ?? '';
}

/** Stops the deployment after the test, even a failed one; otherwise the test process would not exit. */
function finishAfter(context: test.TestContext, site: deployment.Deployment, links: network.Network): void {
	context.after(async () => {
		await site.stop();
		links.stop();
	});
}

// Guards against writes that wait for a frozen primary, and against lost or repeated writes in a failover during an
// outage of the platform's store.
test.test('a frozen primary is replaced within 3 s while the store is down', async context => {
	const links = new network.Network(network.delays.samlag);
	const site = await deployment.Deployment.start({
		places, hosts: places, schema, lagMs: 5, isLinked: true, network: links,
	});
	finishAfter(context, site, links);
	const caller = await site.connect(1);
	await caller.query('INSERT INTO ledger (fund) VALUES (\'first\')');
	let isDone = false;
	context.after(() => {
		isDone = true;
		caller.destroy();
	});
	const acknowledged: string[] = [];
	const written = write(caller, 'w', () => isDone, acknowledged);
	await waitFor(() => acknowledged.length >= 2, 5000);
	site.platform.faults.isDown = true;
	site.group.server('a').set({isFrozen: true});
	const startedAt = time.now();
	await waitFor(() => !['', 'a'].includes(primaryOf(site)), 5000);
	const gapMs = time.now() - startedAt;
	const before = acknowledged.length;
	await waitFor(() => acknowledged.length >= before + 3, 8000);
	isDone = true;
	await written;
	const primary = primaryOf(site);
	assert.ok(gapMs < 3000, `the failover took ${gapMs} ms`);
	assert.deepEqual(acknowledged.filter(id => count(site, primary, id) !== 1), []);
	site.group.server('a').set({isFrozen: false});
	await waitFor(() => site.group.server('a').status.following === primary, 3000);
});

// Guards against acknowledgements by a primary that is isolated from its replicas and still executes writes.
test.test('an isolated primary acknowledges no writes, and its unreplicated writes are dropped', async context => {
	const links = new network.Network(network.delays.none);
	const site = await deployment.Deployment.start({
		places, hosts: places, schema, lagMs: 5, isLinked: true, network: links,
	});
	finishAfter(context, site, links);
	const [inside, outside] = [await site.connect(0), await site.connect(1)];
	context.after(() => {
		inside.destroy();
		outside.destroy();
	});
	await inside.query('INSERT INTO ledger (fund) VALUES (\'first\')');
	links.setExternalLinks('puget-a', 'silent');
	site.hub.disconnect('entry-1');
	const startedAt = time.now();
	const [cut, served] = await Promise.all([
		write(inside, 'cut', () => time.now() - startedAt > 2500),
		write(outside, 'served', () => time.now() - startedAt > 4000),
	]);
	assert.deepEqual(cut, []);
	assert.ok(served.length > 5);
	assert.equal(site.group.server('a').status.role, 'primary');
	assert.ok(count(site, 'a', 'cut0') > 0, 'the isolated primary executed no write');
	links.setExternalLinks('puget-a', 'open');
	site.hub.connect({host: 'entry-1', place: 'puget-a', promotion: name => site.entries[0]?.host.owner.promotion(name)});
	const primary = primaryOf(site);
	await waitFor(() => served.every(id => count(site, 'a', id) === 1), 5000);
	assert.notEqual(primary, 'a');
	assert.equal(count(site, 'a', 'cut0'), count(site, primary, 'cut0'));
	assert.deepEqual(served.filter(id => count(site, primary, id) !== 1), []);
});

// Guards against the replacement of a healthy but slow primary.
test.test('a primary whose responses take 300 ms is not replaced', async context => {
	const links = new network.Network({betweenPlacesMs: 150, toCallersMs: 0});
	const site = await deployment.Deployment.start({
		places, hosts: places, schema, isLinked: true, network: links,
	});
	finishAfter(context, site, links);
	await time.sleep(4000);
	assert.deepEqual([...site.group.servers.values()].map(({status}) => status.term), [1, 1, 1]);
});
