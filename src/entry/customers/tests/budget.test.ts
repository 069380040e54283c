import * as assert from 'node:assert/strict';
import * as test from 'node:test';
import * as fc from 'fast-check';
import * as buckets from '../quota/bucket.js';
import * as budget from '../quota/budget.js';

const bound = {windowS: 5, overage: 0.1, slack: 20};

// Guards against an implementation that grants by the call instead of by the time, or keeps more than its size.
test.test('a bucket starts empty and grants at most its rate and size', () => {
	const bucket = new buckets.Bucket({operationsPerMs: 0.01, size: 3}, 1000);
	assert.equal(bucket.take(1, 1000), 0);
	assert.equal(bucket.waitMs(1000), 100);
	assert.equal(bucket.take(5, 1099), 0);
	assert.equal(bucket.take(5, 1200), 2);
	assert.equal(bucket.take(5, 10_000), 3);
	assert.equal(bucket.take(5, 10_000), 0);
});

// Guards against a lowered limit that leaves the operations of the higher one to be spent.
test.test('a smaller size takes effect at once', () => {
	const bucket = new buckets.Bucket({operationsPerMs: 1, size: 100}, 0);
	bucket.resize({operationsPerMs: 0.001, size: 2}, 1000);
	assert.equal(bucket.take(100, 1000), 2);
	assert.equal(bucket.waitMs(1000), 1000);
});

// Guards against a clock that is set back, and one that jumps by the length of a pause.
test.test('a pause fills a bucket up to its size, and a clock that goes back adds nothing', () => {
	const bucket = new buckets.Bucket({operationsPerMs: 1, size: 5}, 0);
	assert.equal(bucket.take(10, 60_000), 5);
	assert.equal(bucket.take(10, 50_000), 0);
});

// Guards against shares that add up to more than the bound, with leases of the time before a window, clocks that are 1% too
// fast at the counter and too slow at the host that holds the lease.
test.test('the shares of all counters are within the bound of a window', () => {
	const customers = fc.record({
		name: fc.constant('c'), priority: fc.constant(0), operationsPerS: fc.double({min: 0.01, max: 2000, noNaN: true}), burst: fc.double({min: 0, max: 2000, noNaN: true}), keyDigests: fc.constant<string[]>([]),
	});
	const bounds = fc.record({windowS: fc.double({min: 1, max: 60, noNaN: true}), overage: fc.double({min: 0.01, max: 0.5, noNaN: true}), slack: fc.integer({min: 0, max: 40})});
	fc.assert(fc.property(customers, bounds, (customer, other) => {
		const counters = budget.countCounters(other, customer);
		const {operationsPerMs, size} = budget.share(other, customer, counters);
		const spanMs = (other.windowS * 1000) + (budget.leaseMs(other) * 1.01);
		const granted = counters * ((operationsPerMs * 1.01 * spanMs) + size);
		const limit = (((customer.operationsPerS * other.windowS) + customer.burst) * (1 + other.overage)) + other.slack;
		assert.ok(granted <= limit + 1e-9, `${granted} of ${limit}`);
	}), {seed: 35});
});

// Guards against shares of a small customer in which no whole operation ever fits, or only long after a restart.
test.test('each counter of a small customer can grant an operation, within 3 s of its start', () => {
	const customer = {
		name: 'c', priority: 0, operationsPerS: 0.05, burst: 1, keyDigests: [],
	};
	const limits = budget.share(bound, customer, budget.countCounters(bound, customer));
	assert.equal(budget.countCounters(bound, customer), budget.maxCounters);
	assert.ok(new buckets.Bucket(limits, 0).waitMs(0) < 3000);
});
