import * as assert from 'node:assert/strict';
import * as test from 'node:test';
import * as fc from 'fast-check';
import * as Either from 'fp-ts/lib/Either.js';
import * as admission from '../admission.js';
import * as clock from '../clock.js';
import * as retry from '../retry.js';

type Result = {readonly tenant: string; readonly result: 'admitted' | 'refused'; readonly at: number};

type Options = {readonly tenant: string; readonly serviceMs: number; readonly deadlineMs?: number; readonly class?: string; readonly queueLimit?: number};

/** Sends one request of `tenant`, which stays in service for `serviceMs` once it is admitted. */
async function submit(time: clock.Clock, queue: admission.Admission, results: Result[], options: Options): Promise<void> {
	const {tenant, serviceMs, deadlineMs = 60_000, queueLimit = 1000} = options;
	const outcome = await queue.enter({class: options.class ?? 'balance', tenant, deadlineMs}, queueLimit);
	results.push({tenant, result: Either.isRight(outcome) ? 'admitted' : 'refused', at: time.now()});
	if (Either.isLeft(outcome)) {
		assert.deepEqual([outcome.left.kind, outcome.left.step], ['not-run', 'admit']);
	} else {
		await time.sleep(serviceMs);
		outcome.right.release();
	}
}

test.test('guards against a tenant that takes service time from other tenants by sending more or slower requests', async () => {
	await fc.assert(fc.asyncProperty(
		fc.array(fc.integer({min: 4, max: 20}), {minLength: 2, maxLength: 4}),
		fc.integer({min: 1, max: 4}),
		async (serviceTimes, limit) => {
			const time = new clock.Manual();
			const queue = new admission.Admission(time, new admission.DeficitRoundRobin(), () => limit);
			const results: Result[] = [];
			for (const [index, serviceMs] of serviceTimes.entries()) {
				// Every tenant sends more than the test serves, the first one ten times as many requests as the others.
				for (let count = 0; count < (index === 0 ? 10 : 1) * 160; count++) {
					void submit(time, queue, results, {tenant: `t${index}`, serviceMs, queueLimit: 20_000});
				}
			}

			await time.advance(300);
			const used = serviceTimes.map((serviceMs, index) => serviceMs * results.filter(({tenant}) => tenant === `t${index}`).length);
			const fair = 300 * limit / serviceTimes.length;
			// The slack covers the requests in service at the end, and the first round, in which costs are not yet known.
			const slack = 20 * (limit + 2);
			assert.ok(queue.inService <= limit);
			assert.ok(used.every(each => Math.abs(each - fair) <= slack), `service times ${used.join(', ')} with a fair share of ${fair}`);
		},
	), {seed: 20_262, numRuns: 20});
});

test.test('guards against a class whose waiting requests block another class', async () => {
	const time = new clock.Manual();
	const queue = new admission.Admission(time, new admission.DeficitRoundRobin(), () => 1);
	const results: Result[] = [];
	for (let count = 0; count < 50; count++) {
		void submit(time, queue, results, {tenant: 'cascade', serviceMs: 10, class: 'report'});
	}

	void submit(time, queue, results, {tenant: 'other', serviceMs: 10, class: 'balance'});
	await time.advance(35);
	assert.ok(results.some(({tenant}) => tenant === 'other'));
});

test.test('guards against a tenant that fills the queue so that requests of other tenants are refused', async () => {
	const time = new clock.Manual();
	const queue = new admission.Admission(time, new admission.DeficitRoundRobin(), () => 1);
	const results: Result[] = [];
	for (let count = 0; count < 40; count++) {
		void submit(time, queue, results, {tenant: count % 10 === 9 ? 'small' : 'large', serviceMs: 10, queueLimit: 8});
	}

	assert.equal(queue.waiting, 8);
	await time.advance(1000);
	const served = (tenant: string): number => results.filter(each => each.tenant === tenant && each.result === 'admitted').length;
	// The large tenant had one more request in service from the start.
	assert.deepEqual([served('small'), served('large')], [4, 5]);
});

test.test('guards against requests that wait beyond their deadline or a full queue, and against lost permits', async () => {
	await fc.assert(fc.asyncProperty(
		fc.array(fc.record({
			tenant: fc.constantFrom('a', 'b'), serviceMs: fc.integer({min: 0, max: 100}), deadlineMs: fc.integer({min: 0, max: 120}), class: fc.constantFrom('x', 'y'),
		}), {maxLength: 60}),
		fc.integer({min: 1, max: 3}),
		fc.integer({min: 0, max: 5}),
		async (requests, limit, queueLimit) => {
			const time = new clock.Manual();
			const queue = new admission.Admission(time, new admission.DeficitRoundRobin(), () => limit);
			const settled = new Set<unknown>();
			for (const request of requests) {
				const sentAt = time.now();
				const check = async (): Promise<void> => {
					const results: Result[] = [];
					const done = submit(time, queue, results, {...request, queueLimit});
					await time.sleep(request.deadlineMs);
					await time.sleep(0);
					assert.ok(results.length === 1 && results[0].at <= sentAt + request.deadlineMs, 'a request waited beyond its deadline');
					await done;
					settled.add(request);
				};

				void check();
				assert.ok(queue.inService <= limit && queue.waiting <= 2 * queueLimit);
				await time.advance(5);
			}

			await time.advance(10_000);
			const {admitted, full, expired} = queue.counts;
			assert.deepEqual([settled.size, admitted + full + expired, queue.inService, queue.waiting], [requests.length, requests.length, 0, 0]);
		},
	), {seed: 20_263, numRuns: 60});
});

test.test('guards against more retries than a tenth of the requests', () => {
	fc.assert(fc.property(fc.array(fc.nat(3), {minLength: 300, maxLength: 1000}), wanted => {
		const budget = new retry.Budget();
		let repeated = 0;
		for (const [index, count] of wanted.entries()) {
			const attempts = budget.startRequest();
			assert.ok(attempts.next(), 'the first attempt is free');
			for (let attempt = 0; attempt < count; attempt++) {
				repeated += attempts.next() ? 1 : 0;
			}

			assert.ok(repeated <= 20 + ((index + 1) / 10));
		}

		const requested = wanted.reduce((sum, count) => sum + count, 0);
		assert.ok(repeated >= Math.min(requested, wanted.length / 10), 'the budget was not used');
	}), {seed: 20_264, numRuns: 50});
});
