/**
Tests of failover on a fake group. The oracle checks the records that the fake servers keep.
*/
import * as assert from 'node:assert/strict';
import * as test from 'node:test';
import * as fc from 'fast-check';
import * as acknowledgement from '../acknowledgement.js';
import * as fake from './fake-group.js';

const seed = 20_260;

type Action =
	| {readonly kind: 'stop' | 'start'; readonly server: string}
	| {readonly kind: 'lose'; readonly owner: number; readonly server: string; readonly loss: fake.Loss}
	| {readonly kind: 'cut'; readonly pair: string}
	| {readonly kind: 'pause' | 'resume'; readonly owner: number}
	| {readonly kind: 'pause-at'; readonly step: fake.Step; readonly owner: number}
	| {readonly kind: 'stop-primary' | 'heal'}
	| {readonly kind: 'lose-primary'; readonly loss: fake.Loss; readonly isCut: boolean};

const server = fc.constantFrom('a', 'b', 'c');
const owner = fc.constantFrom(0, 1);
const action: fc.Arbitrary<Action> = fc.oneof(
	fc.record({kind: fc.constantFrom('stop', 'start'), server}),
	fc.record({
		kind: fc.constant('lose'), owner, server, loss: fc.constantFrom<fake.Loss>('requests', 'answers', 'none'),
	}),
	fc.record({kind: fc.constant('cut'), pair: fc.constantFrom('ab', 'bc', 'ac')}),
	fc.record({kind: fc.constantFrom('pause', 'resume'), owner}),
	fc.record({kind: fc.constant('pause-at'), step: fc.constantFrom<fake.Step>('corroboration', 'adopt', 'promote', 'follow'), owner}),
	fc.record({kind: fc.constant('heal')}),
	fc.record({kind: fc.constant('stop-primary')}),
	fc.record({kind: fc.constant('lose-primary'), loss: fc.constantFrom<fake.Loss>('requests', 'answers'), isCut: fc.boolean()}),
);
const schedule = fc.array(fc.record({action, afterMs: fc.integer({min: 20, max: 700})}), {minLength: 6, maxLength: 12});

function apply(site: fake.Site, next: Action): void {
	switch (next.kind) {
		case 'stop': {
			site.machine(next.server).stop();
			break;
		}

		case 'start': {
			site.machine(next.server).isUp = true;
			break;
		}

		case 'lose': {
			site.owner(next.owner).losses.set(next.server, next.loss);
			break;
		}

		case 'cut': {
			site.cuts.add(next.pair);
			break;
		}

		case 'pause': {
			site.owner(next.owner).pause();
			break;
		}

		case 'resume': {
			site.owner(next.owner).resume();
			break;
		}

		case 'pause-at': {
			pauseAt(site, next.step, next.owner);
			break;
		}

		case 'stop-primary': {
			site.machines.get(site.primaries[0] ?? '')?.stop();
			break;
		}

		case 'lose-primary': {
			losePrimary(site, next.loss, next.isCut);
			break;
		}

		case 'heal': {
			site.heal();
		}
	}
}

/** Cuts one owner off from the primary. With `isCut`, the other owner is cut off too, and so is one replica. */
function losePrimary(site: fake.Site, loss: fake.Loss, isCut: boolean): void {
	const [primary = ''] = site.primaries;
	site.owner(0).losses.set(primary, loss);
	if (isCut) {
		site.owner(1).losses.set(primary, loss);
		site.cuts.add(['ab', 'bc', 'ac'].find(pair => pair.includes(primary)) ?? '');
	}
}

function pauseAt(site: fake.Site, step: fake.Step, index: number): void {
	site.hooks.reached = reached => {
		if (reached === step) {
			site.owner(index).pause();
			site.hooks.reached = () => undefined;
		}
	};
}

/** Starts two concurrent writers on each owner, which write until the site is stopped. */
function startWriters(site: fake.Site): void {
	const policy = (index: number) => new acknowledgement.Durable(site.owner(index).clock);
	const run = async (index: number, writer: number): Promise<void> => {
		for (let count = 0; !site.stopped.signal.aborted; count++) {
			await site.owner(index).write(`${index}-${writer}-${count}`, policy(index));
			await site.owner(index).clock.sleep(15);
		}
	};

	for (const [index] of site.owners.entries()) {
		void run(index, 0);
		void run(index, 1);
	}
}

async function runSchedule(steps: ReadonlyArray<{readonly action: Action; readonly afterMs: number}>): Promise<fake.Site> {
	const site = new fake.Site(2, 'ballot', seed);
	await site.clock.advance(200);
	startWriters(site);
	for (const {action: next, afterMs} of steps) {
		apply(site, next);
		await site.clock.advance(afterMs);
	}

	site.hooks.reached = () => undefined;
	site.heal();
	await site.clock.advance(1500);
	return site;
}

// Guards against two primaries in a term, acknowledged writes that a failover loses, writes acknowledged for a replaced
// primary, and a group that stays without a primary after its faults have been cleared.
test.test('faults cause neither the loss of an acknowledged write nor two primaries in a term, and writes resume afterwards', async () => {
	let failovers = 0;
	await fc.assert(fc.asyncProperty(schedule, async steps => {
		const site = await runSchedule(steps);
		failovers += site.promoted.length;
		const before = site.acknowledged.length;
		await site.clock.advance(300);
		assert.deepEqual(site.violations(), []);
		assert.equal(site.primaries.length, 1);
		assert.ok(site.acknowledged.length > before, 'no write is acknowledged after every fault has been cleared');
		await site.stop();
	}), {seed, numRuns: 40});
	assert.ok(failovers > 40, `only ${failovers} failovers happened`);
});

// Guards against a promoter that continues after another owner has changed the primary, and against one that fails between
// two steps.
for (const step of ['corroboration', 'adopt', 'promote', 'follow'] as const) {
	test.test(`a promoter paused at step ${step} is replaced by another one and violates no guarantee when it resumes`, async () => {
		const site = new fake.Site(2);
		await site.clock.advance(200);
		startWriters(site);
		await site.clock.advance(300);
		pauseAt(site, step, 0);
		site.machine('a').stop();
		site.owner(1).losses.set('a', 'requests');
		await site.clock.advance(3000);
		assert.equal(site.owner(0).isPaused, true);
		assert.equal(site.primaries.length, 1);
		const acknowledgedBefore = site.acknowledged.length;
		site.heal();
		await site.clock.advance(2000);
		assert.deepEqual(site.violations(), []);
		assert.equal(site.primaries.length, 1);
		assert.ok(site.acknowledged.length > acknowledgedBefore);
		await site.stop();
	});
}

// Guards against endless contention, and against the promotion of a second server under one claim.
test.test('two concurrent promoters result in one primary that every server follows', async () => {
	for (let attempt = 0; attempt < 10; attempt++) {
		const site = new fake.Site(2, 'ballot', seed + attempt);
		await site.clock.advance(200);
		site.machine('a').stop();
		await site.clock.advance(2000);
		assert.deepEqual(site.violations(), []);
		site.heal();
		await site.clock.advance(1000);
		const [primary = ''] = site.primaries;
		const following = [...site.machines.values()].filter(({name}) => name !== primary).map(machine => machine.following);
		assert.deepEqual(following, [primary, primary]);
		await site.stop();
	}
});

// Guards against a server that is permanently cut off from the primary because it alone adopted a higher term.
test.test('a term adopted by only one server is superseded, and that server follows the primary again', async () => {
	const site = new fake.Site(1);
	await site.clock.advance(200);
	site.machine('c').adopt(7, 'a-promoter-that-died');
	await site.clock.advance(1500);
	assert.equal(site.primaries.length, 1);
	assert.ok(site.machine('c').term > 7);
	assert.notEqual(site.machine('c').following, '');
	await site.stop();
});

// Guards against a promotion with the grants of a minority, whose logs may lack acknowledged writes.
test.test('a claim that only a minority grants promotes no server', async () => {
	const site = new fake.Site(1);
	await site.clock.advance(200);
	site.machine('a').stop();
	site.hooks.reached = step => {
		if (step === 'adopt') {
			site.owner(0).losses.set('c', 'answers');
		}
	};

	await site.clock.advance(1000);
	assert.deepEqual(site.promoted, []);
	site.hooks.reached = () => undefined;
	site.owner(0).losses.clear();
	await site.clock.advance(1000);
	assert.equal(site.primaries.length, 1);
	await site.stop();
});

// Guards against claims from the minority side of a partition, which would repeatedly raise the term of its servers.
test.test('an owner that reaches no majority claims no term', async () => {
	const site = new fake.Site(1);
	await site.clock.advance(200);
	site.owner(0).losses.set('a', 'requests').set('b', 'answers');
	await site.clock.advance(3000);
	assert.deepEqual([...site.machines.values()].map(({term}) => term), [1, 1, 1]);
	await site.stop();
});

// Guards against a promotion caused by a pause of the entry host rather than of the primary.
test.test('an owner that was paused does not suspect a primary that responds', async () => {
	const site = new fake.Site(2);
	await site.clock.advance(200);
	for (let index = 0; index < 5; index++) {
		site.owner(0).pause();
		site.owner(1).pause();
		await site.clock.advance(2000);
		site.owner(0).resume();
		site.owner(1).resume();
		await site.clock.advance(500);
	}

	assert.deepEqual(site.promoted, []);
	await site.stop();
});

// Guards against the loss of acknowledged writes when a former primary returns with a longer log of an older term.
test.test('a former primary that returns with a longer log of an older term drops its extra entries', async () => {
	const site = new fake.Site(1);
	await site.clock.advance(200);
	for (const id of ['x', 'y', 'z']) {
		site.machine('a').append(id);
	}

	site.machine('a').stop();
	await site.clock.advance(1500);
	startWriters(site);
	await site.clock.advance(200);
	site.heal();
	await site.clock.advance(1000);
	const [primary = ''] = site.primaries;
	assert.notEqual(primary, 'a');
	assert.equal(site.machine('a').log.some(({id}) => id === 'x'), false);
	assert.deepEqual(site.violations(), []);
	await site.stop();
});

// Guards against a group that stays without a primary if the promoted server fails before any server has followed it.
test.test('a promoted server that fails at once is replaced', async () => {
	const site = new fake.Site(2);
	await site.clock.advance(200);
	site.machine('a').stop();
	site.hooks.reached = step => {
		if (step === 'follow') {
			site.machine(site.promoted[0].server).stop();
			site.machine('a').isUp = true;
			site.hooks.reached = () => undefined;
		}
	};

	await site.clock.advance(3000);
	assert.ok(site.promoted.length >= 2);
	assert.equal(site.primaries.length, 1);
	assert.deepEqual(site.violations(), []);
	await site.stop();
});

// Guards against a planned move that loses writes, and against a primary that stays on a server that is leaving.
test.test('the primary is moved off a leaving server without losing a write', async () => {
	const site = new fake.Site(2);
	await site.clock.advance(200);
	startWriters(site);
	await site.clock.advance(300);
	site.machine('a').isLeaving = true;
	await site.clock.advance(1500);
	const [primary = 'a'] = site.primaries;
	assert.notEqual(primary, 'a');
	assert.deepEqual(site.violations(), []);
	await site.stop();
});

// Guards against a claim through the store that fails only because the response to its update was lost.
test.test('a claim through the store recovers from a lost response, and no term is claimed while the store is down', async () => {
	const site = new fake.Site(1, 'store');
	await site.clock.advance(200);
	site.machine('a').stop();
	await site.clock.advance(1500);
	assert.deepEqual([site.machine('b').term, site.machine('c').term], [1, 1]);
	site.store.isDown = false;
	site.store.isLosingResponses = true;
	await site.clock.advance(1500);
	assert.equal(site.primaries.length, 1);
	assert.equal(site.promoted.length, 1);
	await site.stop();
});
