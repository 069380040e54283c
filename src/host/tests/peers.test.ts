import * as assert from 'node:assert/strict';
import * as test from 'node:test';
import type * as mysql from 'mysql2/promise';
import * as clock from '../../core/clock.js';
import * as deployment from '../../standin/deployment.js';

const time = new clock.System();
const places = ['puget-a', 'willamette-a', 'inland-a'];
const options: deployment.Options = {
	places,
	hosts: [...places, 'puget-a'],
	schema: ['CREATE TABLE ledger (id INTEGER PRIMARY KEY, fund VARCHAR(64), cents INTEGER)'],
	timing: 'ownerSettleMs = 300\nlinkTimeoutMs = 500\nprobeIntervalMs = 50\nstoreReturnMs = 200\ndrainLimitMs = 5000\nmemberStaleMs = 2000',
	isListed: true,
};
const allHosts = [0, 1, 2, 3];

/** A deployment of four listed hosts, three of which own the service. */
async function start(change: Partial<deployment.Options> = {}): Promise<{site: deployment.Deployment; nonOwner: number; nearOwner: number}> {
	const site = await deployment.Deployment.start({...options, ...change});
	await site.waitUntil(statuses => statuses.filter(({services}) => services.ledgers?.standing === 'owner').length === 3
		&& statuses.every(({members}) => members.length === allHosts.length), allHosts);
	const statuses = await Promise.all(allHosts.map(async index => site.status(index)));
	const nonOwner = statuses.findIndex(({services}) => services.ledgers?.standing === 'none');
	// The other host of the same place, to which the non-owner forwards first.
	return {site, nonOwner, nearOwner: nonOwner === 0 ? 3 : 0};
}

/** Inserts `count` rows, each under its own request id; returns the failures. */
async function insertRows(connection: mysql.Connection, prefix: string, count: number): Promise<string[]> {
	const failures: string[] = [];
	for (let index = 0; index < count; index++) {
		try {
			await connection.query(`/* sycamorering request=${prefix}-${index} */ INSERT INTO ledger (fund, cents) VALUES ('${prefix}-${index}', 1)`);
		} catch (error) {
			failures.push(String(error));
		}
	}

	return failures;
}

test.test('a non-owner forwards requests, and a transaction stays with one owner (guards against connections from every host to every server)', async () => {
	const {site, nonOwner, nearOwner} = await start();
	const [far, near] = [await site.connect(nonOwner), await site.connect(nearOwner)];
	await far.query('INSERT INTO ledger (fund, cents) VALUES (\'bus\', 5)');
	await far.query('BEGIN');
	await far.query('UPDATE ledger SET cents = 6');
	const [outside] = await near.query('SELECT cents FROM ledger');
	await far.query('COMMIT');
	const [after] = await far.query('SELECT cents FROM ledger');
	assert.deepEqual([outside, after], [[{cents: '5'}], [{cents: '6'}]]);
	const {services} = await site.status(nonOwner);
	assert.deepEqual(services.ledgers?.servers, []);
	await Promise.all([far.end(), near.end()]);
	await site.stop();
});

for (const end of ['caller', 'link'] as const) {
	test.test(`a forwarded transaction ends with its ${end} (guards against locks that are never released)`, async () => {
		const {site, nonOwner, nearOwner} = await start();
		const [far, near] = [await site.connect(nonOwner), await site.connect(nearOwner)];
		await far.query('BEGIN');
		await far.query('INSERT INTO ledger (fund, cents) VALUES (\'lost\', 1)');
		if (end === 'caller') {
			far.destroy();
		} else {
			far.on('error', () => undefined);
			await site.entries[nonOwner].host.stop();
		}

		const started = time.now();
		await near.query('INSERT INTO ledger (fund, cents) VALUES (\'kept\', 1)');
		assert.ok(time.now() - started < 2000);
		const [rows] = await near.query('SELECT fund FROM ledger');
		assert.deepEqual(rows, [{fund: 'kept'}]);
		far.destroy();
		await near.end();
		await site.stop();
	});
}

test.test('requests continue when the owner that executes them stops, and each runs once (guards against lost and repeated writes)', async () => {
	const {site, nonOwner, nearOwner} = await start({serviceMs: 2});
	const connections = await Promise.all(['a', 'b', 'c'].map(async () => site.connect(nonOwner)));
	const running = Promise.all(connections.map(async (connection, index) => insertRows(connection, `c${index}`, 40)));
	await time.sleep(150);
	await site.entries[nearOwner].host.stop();
	const failures = await running;
	assert.deepEqual(failures.flat(), []);
	const writes = site.writes('a');
	assert.equal(writes.length, 120);
	assert.equal(new Set(writes).size, 120);
	await Promise.all(connections.map(async connection => connection.end()));
	await site.stop();
});

/** Runs transactions of two rows each; returns the failures. */
async function runTransactions(connection: mysql.Connection, prefix: string, count: number): Promise<string[]> {
	const failures: string[] = [];
	for (let index = 0; index < count; index++) {
		try {
			await connection.query('BEGIN');
			await connection.query(`INSERT INTO ledger (fund, cents) VALUES ('${prefix}-${index}', 1)`);
			await connection.query(`INSERT INTO ledger (fund, cents) VALUES ('${prefix}-${index}', 2)`);
			await connection.query('COMMIT');
		} catch (error) {
			failures.push(String(error));
		}
	}

	return failures;
}

for (const kind of ['owner', 'forwarder'] as const) {
	test.test(`draining the ${kind} interrupts no request and no transaction (guards against failures at each restart)`, {timeout: 30_000}, async () => {
		const {site, nonOwner, nearOwner} = await start();
		const drained = kind === 'owner' ? nearOwner : nonOwner;
		const [inside, ...others] = await Promise.all([drained, ...allHosts.filter(index => index !== drained)].map(async index => site.connect(index)));
		const running = Promise.all(others.map(async (connection, index) => runTransactions(connection, `c${index}`, 40)));
		await inside.query('BEGIN');
		const {host, ports} = site.entries[drained];
		const done = host.drain();
		const response = await fetch(`http://127.0.0.1:${ports.http}/ready`);
		assert.equal(response.status, 503);
		await time.sleep(300);
		await inside.query('INSERT INTO ledger (fund, cents) VALUES (\'last\', 1)');
		await inside.query('COMMIT');
		await done;
		const failures = await running;
		assert.deepEqual(failures.flat(), []);
		assert.equal(site.writes('a').length, 241);
		await site.waitUntil(statuses => statuses.filter(({services}) => services.ledgers?.standing === 'owner').length === 3, allHosts.filter(index => index !== drained));
		inside.destroy();
		await Promise.all(others.map(async connection => connection.end()));
		await site.stop();
	});
}

// Guards against the end of a connection whose request has arrived but has not been read, as after a stall of the process.
test.test('a drain answers a request that has arrived before it but has not been read', {timeout: 30_000}, async () => {
	const {site, nearOwner} = await start();
	const connection = await site.connect(nearOwner);
	try {
		await connection.query('SELECT cents FROM ledger');
		// The query is written to the socket at once, and the host can't read it before it drains.
		const answered = connection.query('SELECT cents FROM ledger');
		const drained = site.entries[nearOwner].host.drain();
		const [rows] = await answered;
		assert.deepEqual(rows, []);
		await drained;
	} finally {
		connection.destroy();
		await site.stop();
	}
});

test.test('an owner without access to the store receives leaving servers and new configurations from peers (guards against new requests to a leaving server)', async () => {
	const {site, nearOwner} = await start();
	site.entries[nearOwner].store.disconnect();
	site.markServerLeaving('b');
	site.platform.put('configuration', site.configuration());
	const started = time.now();
	await site.waitUntil(([status]) => status.configurationVersion === 2
		&& (status.services.ledgers?.servers.find(({name}) => name === 'b')?.isLeaving ?? false), [nearOwner]);
	assert.ok(time.now() - started < 3000);
	await site.stop();
});

test.test('a host that starts in a store outage waits for a majority of its seeds (guards against adopting the outdated configuration of one peer)', async context => {
	const site = await deployment.Deployment.start({
		...options, hosts: places.slice(0, 2), seeds: 3, isListed: false,
	});
	context.after(async () => site.stop());
	const [old, second] = site.entries;
	await second.host.stop();
	old.store.disconnect();
	site.platform.put('configuration', site.configuration());
	await site.startHost('entry-3', 'inland-a', true);
	await time.sleep(1500);
	const {isReady, configurationVersion} = await site.status(2);
	assert.deepEqual([isReady, configurationVersion], [false, 0], 'one of two seeds is not a majority');
	await site.startHost('entry-2', 'willamette-a');
	await site.waitUntil(statuses => statuses.every(status => status.isReady && status.configurationVersion === 2), [0, 1, 2]);
});
