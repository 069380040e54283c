import * as assert from 'node:assert/strict';
import * as test from 'node:test';
import * as clock from '../../../core/clock.js';
import * as decisions from '../../decisions.js';
import * as counter from '../quota/counter.js';
import * as standings from '../quota/standing.js';

const bound = {windowS: 5, overage: 0.1, slack: 20};
const customer = {
	name: 'crescent', priority: 0, operationsPerS: 1, burst: 1, keyDigests: [],
};
const other = {...customer, name: 'zephyr'};

// Guards against operations that are granted at once for each addition of a customer that versions remove and add again.
test.test('a customer that is removed and added again and again stays within its bound', async () => {
	const time = new clock.Manual();
	const standing = new standings.Standing({self: 'a', bound});
	standing.update([{
		name: 'a', place: 'p', region: 'r', peer: '127.0.0.1:1', capacity: 1,
	}], time.now());
	const counted = new counter.Counter({
		clock: time, decisions: new decisions.Silent(), standing,
	});
	counted.update([other]);
	counted.update([other, customer]);
	await time.advance(10_000);
	let {granted} = counted.take(customer.name, 64);
	assert.ok(granted > 0, 'the bucket is full');
	for (let version = 0; version < 10; version++) {
		await time.advance(400);
		counted.update([other]);
		counted.update([other, customer]);
		granted += counted.take(customer.name, 64).granted;
	}

	assert.ok(granted <= ((5 + 1) * 1.1) + 20, `${granted}`);
});
