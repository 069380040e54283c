import * as assert from 'node:assert/strict';
import * as test from 'node:test';
import * as clock from '../../../core/clock.js';
import type * as directories from '../directory.js';
import * as accounts from '../quota/account.js';
import * as budget from '../quota/budget.js';
import * as counters from '../quota/counters.js';
import * as fleets from './fake-hosts.js';

const large: directories.Customer = {
	name: 'large', priority: 0, operationsPerS: 60, burst: 30, keyDigests: [],
};
const tiny: directories.Customer = {
	name: 'tiny', priority: 0, operationsPerS: 0.5, burst: 1, keyDigests: [],
};
/** More than the quota, at every host. */
const demand = new Map([['large', 400], ['tiny', 20]]);
const windowMs = 5000;

async function start(hosts = 12): Promise<fleets.Fleet> {
	const fleet = new fleets.Fleet(11);
	fleet.create(hosts, [large, tiny]);
	void fleet.play(60_000, demand);
	await fleet.time.advance(2 * windowMs);
	return fleet;
}

/** The counters of the large customer. */
function findCounters(fleet: fleets.Fleet): fleets.Host[] {
	const view = new counters.View(fleet.hosts.map(({announcement}) => announcement));
	return view.counters(large.name, budget.countCounters(fleets.bound, large)).map(name => fleet.find(name));
}

/** Takes what hosts grant for some time, besides what others ask of them. Returns how many operations they granted. */
async function drain(fleet: fleets.Fleet, hosts: readonly fleets.Host[], forMs: number): Promise<number> {
	let granted = 0;
	for (let waitedMs = 0; waitedMs < forMs; waitedMs += 20) {
		for (const host of hosts) {
			granted += host.process!.answer({
				kind: 'quota-request', id: 1, customer: large.name, count: 64,
			}).granted;
		}

		await fleet.time.advance(20);
	}

	return granted;
}

function countSince(fleet: fleets.Fleet, since: number): number {
	return fleet.records.get('large')!.admittedAt.filter(at => at >= since).length;
}

// Guards against an isolated counter that goes on with more than its share, or that stops for the others.
test.test('a counter that is cut off from all others grants its share and no more', async () => {
	const fleet = await start();
	const [isolated] = findCounters(fleet);
	isolated.isCutFromAll = true;
	await fleet.time.advance(1000);
	const since = fleet.time.now();
	let admitted = 0;
	const call = async (): Promise<void> => {
		const admission = await isolated.process!.limiter.admit(large);
		admitted += admission.kind === 'admitted' ? 1 : 0;
	};

	for (let index = 0; index < 200; index++) {
		void call();
		await fleet.time.advance(50);
	}

	const {operationsPerMs, size} = budget.share(fleets.bound, large, 6);
	assert.ok(admitted <= (operationsPerMs * 10_000 * 1.01) + size + 1, `${admitted} operations`);
	assert.ok(countSince(fleet, since) > 60 * 10 * 0.75, 'the others serve less than five shares of six');
	await fleet.stop();
	assert.deepEqual(fleet.violations(), []);
});

// Guards against an isolated host that holds no share and refuses as if the customer were over its limit, or waits for long.
test.test('a host that reaches no counter refuses at once, and says that it doesn\'t know', async () => {
	const fleet = await start();
	const isolated = fleet.hosts.find(host => !findCounters(fleet).includes(host))!;
	isolated.isCutFromAll = true;
	await fleet.time.advance(1000);
	const startedAt = fleet.time.now();
	const admission = isolated.process!.limiter.admit(large);
	await fleet.time.advance(150);
	const done = await fleet.time.limit(admission, 0);
	assert.equal(done?.kind, 'unknown');
	assert.ok(fleet.time.now() - startedAt <= 150);
	await fleet.stop();
});

// Guards against a new counter beside the old one, which is cut off from it and doesn't know that it has been replaced.
test.test('a new host doesn\'t count beside a counter that is cut off and doesn\'t know it', async () => {
	const fleet = await start();
	const before = findCounters(fleet);
	let joined = 0;
	while (findCounters(fleet).every(host => before.includes(host)) && joined < 20) {
		// The hosts that it may replace are cut off before it joins.
		for (const host of before) {
			host.isCutFromAll = true;
		}

		fleet.join(joined);
		joined++;
		await fleet.time.advance(10);
	}

	const added = findCounters(fleet).filter(host => !before.includes(host));
	assert.ok(added.length > 0, 'no new host is a counter');
	assert.equal(await drain(fleet, added, 10_000), 0);
	for (const host of before) {
		host.isCutFromAll = false;
	}

	assert.ok(await drain(fleet, added, 4000) > 0, 'a new counter doesn\'t count after the cut');
	await fleet.stop();
	assert.deepEqual(fleet.violations(), []);
});

// Guards against counters that grant a full bucket after each restart.
test.test('counters that restart without state every second stay within the bound', async () => {
	const fleet = await start();
	for (let round = 0; round < 10; round++) {
		for (const host of findCounters(fleet)) {
			host.stop();
			host.start();
		}

		await fleet.time.advance(1000);
	}

	await fleet.stop();
	assert.deepEqual(fleet.violations(), []);
});

// Guards against a lower limit that waits for the end of a lease or of a full bucket.
test.test('a lowered limit holds in the window after it is in force everywhere', async () => {
	const fleet = await start();
	const lowered = {...large, operationsPerS: 6, burst: 3};
	const configured = fleet.configure([lowered, tiny]);
	await fleet.time.advance(3000);
	await configured;
	const since = fleet.versions[1].everywhereSince + windowMs;
	await fleet.time.advance(15_000);
	await fleet.stop();
	assert.deepEqual(fleet.violations(), []);
	assert.ok(countSince(fleet, since) > 0, 'nothing is admitted any more');
});

// Guards against hosts that remember a refusal of the former limit.
test.test('a raised limit is granted at once', async () => {
	const fleet = await start();
	const raised = {...large, operationsPerS: 300};
	const configured = fleet.configure([raised, tiny]);
	await fleet.time.advance(2000);
	await configured;
	const since = fleet.time.now();
	await fleet.time.advance(2000);
	assert.ok(countSince(fleet, since) > 2 * 300 * 0.85, `${countSince(fleet, since)} operations in 2 s`);
	await fleet.stop();
});

// Guards against a counter that grants what it would have granted during a pause, and against leases that outlast one.
test.test('counters that were paused and resume stay within the bound', async () => {
	const fleet = await start();
	for (const [index, host] of findCounters(fleet).entries()) {
		host.clock.pause(3000 + (index * 700));
	}

	await fleet.time.advance(15_000);
	await fleet.stop();
	assert.deepEqual(fleet.violations(), []);
});

// Guards against leased operations that are spent after a pause of the host, in another window than they were granted in.
test.test('leased operations expire, also when an operation that didn\'t run is returned late', async () => {
	const time = new clock.Manual();
	const account = new accounts.Account(budget.leaseMs(fleets.bound));
	account.add(2, time.mark());
	const token = account.take(time.mark())!;
	await time.advance(490);
	account.restore(token);
	assert.ok(account.take(time.mark()));
	account.restore(token);
	await time.advance(10);
	assert.equal(account.take(time.mark()), undefined);
});

// Guards against shares that add up to more than the bound while two groups of hosts can't reach each other.
test.test('two groups that are cut from each other stay within the bound together', async () => {
	const fleet = await start();
	for (const [index, host] of fleet.hosts.entries()) {
		host.group = index % 2;
	}

	await fleet.time.advance(10_000);
	for (const host of fleet.hosts) {
		host.group = 0;
	}

	await fleet.time.advance(5000);
	await fleet.stop();
	assert.deepEqual(fleet.violations(), []);
});

// Guards against two counters after requests of one arrive and its answers don't, or the other way round.
test.test('a link that is cut in one direction costs operations and grants none twice', async () => {
	const fleet = await start();
	for (const counter of findCounters(fleet)) {
		for (const host of fleet.hosts) {
			void fleet.cut(counter, host, 8000);
		}
	}

	await fleet.time.advance(12_000);
	await fleet.stop();
	assert.deepEqual(fleet.violations(), []);
});
