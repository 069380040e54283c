import * as assert from 'node:assert/strict';
import * as test from 'node:test';
import * as clock from '../../../core/clock.js';
import * as decisions from '../../decisions.js';
import type * as limiters from '../limiter.js';
import type * as counter from '../quota/counter.js';
import type * as counters from '../quota/counters.js';
import * as leasing from '../quota/leasing.js';
import * as sources from '../quota/source.js';

const customer = {
	name: 'crescent', priority: 0, operationsPerS: 1, burst: 1, keyDigests: [],
};

/** A counter that answers after a time, or never. */
class Fake extends sources.Source {
	override readonly name = 'two';
	override readonly distance = 'same place';
	override readonly isOpen = true;
	override readonly isUsable = true;
	answer: counter.Grant = {granted: 0, retryAfterMs: 800};
	delayMs = 1;
	requests = 0;
	readonly #time: clock.Clock;

	constructor(time: clock.Clock) {
		super();
		this.#time = time;
	}

	override connect(): void {
		// It is always open.
	}

	override async request(): Promise<counter.Grant> {
		this.requests++;
		await this.#time.sleep(this.delayMs);
		return this.answer;
	}
}

/** A counter that grants one operation for each request, or doesn't answer. */
class Granting extends sources.Source {
	override readonly isOpen = true;
	override readonly isUsable = true;
	isSilent = false;
	requests = 0;
	readonly #time: clock.Clock;

	constructor(override readonly name: string, override readonly distance: counters.Distance, time: clock.Clock) {
		super();
		this.#time = time;
	}

	override connect(): void {
		// The link is open.
	}

	override async request(_customer: string, _wanted: number, timeoutMs: number): Promise<counter.Grant | undefined> {
		this.requests++;
		await this.#time.sleep(this.isSilent ? timeoutMs : 5);
		return this.isSilent ? undefined : {granted: 1, retryAfterMs: 0};
	}
}

function create(): {readonly time: clock.Manual; readonly source: Fake; readonly limiter: leasing.Leasing} {
	const time = new clock.Manual();
	const source = new Fake(time);
	const limiter = new leasing.Leasing({
		clock: time, decisions: new decisions.Silent(), bound: {windowS: 5, overage: 0.1, slack: 20}, sources: () => [source],
	});
	return {time, source, limiter};
}

async function kindOf(pending: Promise<limiters.Admission>): Promise<limiters.Admission['kind']> {
	const {kind} = await pending;
	return kind;
}

// Guards against a message for each operation of a customer over its limit, and against a host that asks again too late.
test.test('a customer over its limit is refused without a message until an operation can be there', async () => {
	const {time, source, limiter} = create();
	for (let index = 0; index < 10; index++) {
		const admission = limiter.admit(customer);
		await time.advance(10);
		assert.equal(await kindOf(admission), 'limited');
	}

	assert.equal(source.requests, 1);
	source.answer = {granted: 1, retryAfterMs: 0};
	await time.advance(800);
	const admission = limiter.admit(customer);
	await time.advance(10);
	assert.equal(await kindOf(admission), 'admitted');
});

// Guards against hosts that remember a refusal of the former limit.
test.test('a refusal under a former limit is forgotten when the limit changes', async () => {
	const {time, source, limiter} = create();
	const refused = limiter.admit(customer);
	await time.advance(10);
	assert.equal(await kindOf(refused), 'limited');
	source.answer = {granted: 1, retryAfterMs: 0};
	const admission = limiter.admit({...customer, operationsPerS: 100});
	await time.advance(10);
	assert.equal(await kindOf(admission), 'admitted');
});

// Guards against a caller that waits for a counter which doesn't answer, and against a late answer that is lost.
test.test('a silent counter is given up after a short time, and its late answer still counts', async () => {
	const {time, source, limiter} = create();
	source.delayMs = 200;
	source.answer = {granted: 1, retryAfterMs: 0};
	const refused = limiter.admit(customer);
	await time.advance(95);
	assert.equal(await kindOf(refused), 'unknown');
	await time.advance(150);
	assert.equal(await kindOf(limiter.admit(customer)), 'admitted');
	assert.equal(source.requests, 1);
});

// Guards against a wait of 20 ms in each second, for each counter that is lost, as long as the link to it seems to be open.
test.test('operations don\'t wait again for a counter that was silent, and it is asked again once it answers', async () => {
	const time = new clock.Manual();
	const near = new Granting('near', 'same place', time);
	const far = new Granting('far', 'other region', time);
	const limiter = new leasing.Leasing({
		clock: time, decisions: new decisions.Silent(), bound: {windowS: 5, overage: 0.1, slack: 20}, sources: () => [near, far],
	});
	const measure = async (): Promise<number> => {
		const startedAt = time.now();
		let endedAt = startedAt;
		const admit = async (): Promise<void> => {
			const admission = await limiter.admit({...customer, operationsPerS: 100, burst: 50});
			assert.equal(admission.kind, 'admitted');
			endedAt = time.now();
		};

		const admitted = admit();
		await time.advance(1500);
		await admitted;
		return endedAt - startedAt;
	};

	near.isSilent = true;
	assert.equal(await measure(), 25);
	assert.deepEqual([await measure(), await measure(), await measure()], [5, 5, 5]);
	assert.equal(near.requests, 4);
	near.isSilent = false;
	await measure();
	const before = far.requests;
	assert.equal(await measure(), 5);
	assert.equal(far.requests, before, 'the nearest counter is asked first again');
});
