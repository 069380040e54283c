import * as assert from 'node:assert/strict';
import * as test from 'node:test';
import * as clock from '../../../core/clock.js';
import * as fakes from '../../../core/tests/fake-server.js';
import * as pool from '../../../core/pool.js';
import type * as backend from '../../../core/backend.js';
import * as holdings from '../connections.js';

test.test('guards against metrics with a label for each of many customers, and against wrong sums', async () => {
	const time = new clock.Manual();
	const connections = new pool.Pool<backend.Connection>(new fakes.Server('a', time), time, {
		connections: 2, connectTimeoutMs: 500, hedgeAfterMs: 100, validateAfterMs: 1000, idleLimitMs: 10_000, resetTimeoutMs: 200,
	});
	const customers = Array.from({length: 200}, (_, index) => ({name: `customer${index}`, operationsPerS: 1 + index}));
	for (const {name} of customers) {
		void connections.acquire(20, {customer: name});
	}

	await time.advance(5);
	const before = holdings.summarize([connections], {customers});
	assert.equal(before.size, 11);
	assert.deepEqual(before.get('all others'), {
		open: 2, opened: 2, evicted: 0, waiting: 188,
	});
	assert.deepEqual(before.get('customer199'), {
		open: 0, opened: 0, evicted: 0, waiting: 1,
	});
	await time.advance(50);
	assert.equal(connections.waiting, 0);
});

test.test('guards against evicted connections that are not counted', async () => {
	const time = new clock.Manual();
	const connections = new pool.Pool<backend.Connection>(new fakes.Server('a', time), time, {
		connections: 1, connectTimeoutMs: 500, hedgeAfterMs: 100, validateAfterMs: 1000, idleLimitMs: 10_000, resetTimeoutMs: 200,
	});
	for (const customer of ['one', 'two', 'one', undefined]) {
		const acquired = connections.acquire(20, {customer});
		await time.advance(20);
		const outcome = await acquired;
		assert.ok('right' in outcome);
		await connections.release(outcome.right, 'clean');
	}

	const customers = [{name: 'one', operationsPerS: 1}, {name: 'two', operationsPerS: 1}];
	assert.deepEqual([...holdings.summarize([connections, connections], {customers})], [
		['one', {
			open: 0, opened: 4, evicted: 4, waiting: 0,
		}],
		['two', {
			open: 0, opened: 2, evicted: 2, waiting: 0,
		}],
		['no customer', {
			open: 2, opened: 2, evicted: 0, waiting: 0,
		}],
	]);
});
