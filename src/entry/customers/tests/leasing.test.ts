import * as assert from 'node:assert/strict';
import * as test from 'node:test';
import * as clock from '../../../core/clock.js';
import * as decisions from '../../decisions.js';
import type * as limiters from '../limiter.js';
import type * as counter from '../quota/counter.js';
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
