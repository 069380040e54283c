import * as assert from 'node:assert/strict';
import * as test from 'node:test';
import * as fc from 'fast-check';
import * as Either from 'fp-ts/lib/Either.js';
import * as clock from '../clock.js';
import * as group from '../group.js';
import * as read from '../read.js';
import * as retry from '../retry.js';
import * as routing from '../routing.js';
import * as fakes from './fake-server.js';

type Fixture = {
	readonly time: clock.Manual;
	readonly servers: readonly fakes.Server[];
	readonly owned: group.Group;
	readonly reader: read.Reader;
	readonly retries: retry.Budget;
	readonly stop: AbortController;
};

/** Starts observing a primary and two replicas, with `connections` to each for requests. */
async function start(connections = 3): Promise<Fixture> {
	const time = new clock.Manual();
	const servers = [new fakes.Server('a', time, 'primary'), new fakes.Server('b', time), new fakes.Server('c', time)];
	const owned = new group.Group({
		name: 'ledgers', place: 'puget-a', quota: connections, timing: {probeIntervalMs: 100, probeTimeoutMs: 500},
	}, servers, time);
	const retries = new retry.Budget();
	const stop = new AbortController();
	void owned.run(stop.signal);
	await time.advance(20);
	return {
		time, servers, owned, retries, stop, reader: new read.Reader(owned, new routing.Fresh(5), retries),
	};
}

function exhaustBudget(budget: retry.Budget): void {
	while (budget.tryAcquire()) {
		// Repeats until the budget is exhausted.
	}
}

/** Responds with the number in the statement, so that a test can match each answer to its request. */
function answerWithNumber(server: fakes.Server, next: () => {readonly delayMs: number; readonly isLost: boolean}): void {
	server.onStatement = async sql => {
		const {delayMs, isLost} = next();
		await server.clock.sleep(delayMs);
		return isLost ? undefined : Either.right({...fakes.completion(server.name), affectedRows: Number(sql.split(' ')[1])});
	};
}

test.test('guards against a read that waits for a slow server while another one could answer', async () => {
	const {time, servers, owned, reader, stop} = await start();
	servers[1].onStatement = async () => {
		await time.sleep(900);
		return Either.right(fakes.completion('b'));
	};

	const answer = time.limit(reader.execute(fakes.request({maximumAgeMs: 5000}), 'strict'), 260);
	await time.advance(260);
	const outcome = await answer;
	assert.ok(outcome && Either.isRight(outcome) && outcome.right.server === 'c');
	assert.equal(owned.load('b'), 1, 'a connection with an outstanding response stays in use');
	await time.advance(1000);
	assert.deepEqual([owned.load('b'), reader.counts.hedged], [0, 1]);
	stop.abort();
});

test.test('guards against a read that is retried on failing servers without retry budget', async () => {
	const {time, servers, reader, retries, stop} = await start();
	for (const server of servers) {
		server.onStatement = async () => undefined;
	}

	exhaustBudget(retries);
	const answer = time.limit(reader.execute(fakes.request({maximumAgeMs: 5000}), 'strict'), 100);
	await time.advance(100);
	const outcome = await answer;
	assert.ok(outcome && Either.isLeft(outcome) && outcome.left.kind === 'not-run' && outcome.left.step === 'admit');
	assert.equal(servers.flatMap(({executed}) => executed).length, 1);
	stop.abort();
});

test.test('guards against an answer older than the read accepts, and against a read refused because its answer was too old', async () => {
	const {time, servers, reader, retries, stop} = await start();
	for (const server of servers.slice(1)) {
		let isSlow = true;
		server.onStatement = async () => {
			await time.sleep(isSlow ? 200 : 1);
			isSlow = false;
			return Either.right(fakes.completion(server.name));
		};
	}

	exhaustBudget(retries);
	const answer = time.limit(reader.execute(fakes.request({maximumAgeMs: 150}), 'strict'), 1000);
	await time.advance(1000);
	const outcome = await answer;
	assert.ok(outcome && Either.isRight(outcome), JSON.stringify(outcome));
	assert.deepEqual([reader.counts.stale, servers.flatMap(({executed}) => executed).length], [1, 2]);
	stop.abort();
});

test.test('guards against answers to other requests, overlapping statements, overrun deadlines and retry storms under random faults', async () => {
	const behaviour = fc.record({delayMs: fc.integer({min: 0, max: 1200}), isLost: fc.boolean()});
	await fc.assert(fc.asyncProperty(
		fc.array(behaviour, {minLength: 1, maxLength: 20}),
		fc.array(fc.record({ageMs: fc.constantFrom(0, 300, 5000), deadlineMs: fc.integer({min: 1, max: 2500}), gapMs: fc.integer({min: 0, max: 60})}), {minLength: 1, maxLength: 60}),
		async (behaviours, requests) => {
			const {time, servers, owned, reader, stop} = await start(2);
			const statements: number[] = [];
			const next = () => behaviours[statements.push(time.now()) % behaviours.length];
			for (const server of servers) {
				answerWithNumber(server, next);
			}

			const ended = new Set<number>();
			const send = async (number: number, ageMs: number, deadlineMs: number): Promise<void> => {
				const sentAt = time.now();
				const outcome = await reader.execute(fakes.request({sql: `SELECT ${number}`, maximumAgeMs: ageMs, deadlineMs}), 'strict');
				ended.add(number);
				assert.ok(time.now() - sentAt <= deadlineMs + 20, `a read ended ${time.now() - sentAt} ms after it began`);
				assert.ok(Either.isLeft(outcome) || (outcome.right.kind === 'ok' && outcome.right.affectedRows === number), 'the answer belongs to another request');
			};

			for (const [number, {ageMs, deadlineMs, gapMs}] of requests.entries()) {
				void send(number, ageMs, deadlineMs);
				await time.advance(gapMs);
			}

			await time.advance(5000);
			assert.equal(ended.size, requests.length);
			for (const server of servers) {
				assert.deepEqual([server.overlaps, owned.load(server.name)], [0, 0]);
				// The quota of 2 and the control connection.
				assert.ok(server.peakConnections <= 3);
			}

			assert.ok(statements.length <= requests.length + 20 + (requests.length / 10), `${statements.length} statements for ${requests.length} reads`);
			stop.abort();
		},
	), {seed: 20_265, numRuns: 60});
});
