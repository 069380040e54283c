import * as assert from 'node:assert/strict';
import * as test from 'node:test';
import * as fc from 'fast-check';
import * as Either from 'fp-ts/lib/Either.js';
import type * as backend from '../backend.js';
import * as clock from '../clock.js';
import type * as errors from '../errors.js';
import * as pool from '../pool.js';
import * as fakes from './fake-server.js';

const limits = {
	connections: 2, connectTimeoutMs: 500, hedgeAfterMs: 100, validateAfterMs: 1000, idleLimitMs: 10_000, resetTimeoutMs: 200,
};

function make(change: Partial<pool.Limits> = {}): {time: clock.Manual; server: fakes.Server; connections: pool.Pool<backend.Connection>} {
	const time = new clock.Manual();
	const server = new fakes.Server('a', time);
	return {time, server, connections: new pool.Pool(server, time, {...limits, ...change})};
}

type Step =
	| {
		readonly kind: 'use'; readonly timeoutMs: number; readonly holdMs: number; readonly residue: pool.Residue; readonly end: 'keep' | 'lose';
		readonly customer: string | undefined; readonly isInternal: boolean; readonly priority: number; readonly isTransaction: boolean;
	}
	| {readonly kind: 'resize'; readonly connections: number}
	| {readonly kind: 'silence'};

function customerOf(connection: backend.Connection): string | undefined {
	assert.ok(connection instanceof fakes.Connection);
	return connection.customer;
}

/** Steps whose requests are of one of the customers, or of none. */
function createSteps(customers: ReadonlyArray<string | undefined>): fc.Arbitrary<Step> {
	return fc.oneof(
		{
			weight: 8,
			arbitrary: fc.record({
				kind: fc.constant('use' as const),
				timeoutMs: fc.integer({min: 0, max: 800}),
				holdMs: fc.integer({min: 0, max: 1500}),
				residue: fc.constantFrom('clean' as const, 'dirty' as const),
				end: fc.constantFrom('keep' as const, 'lose' as const),
				customer: fc.constantFrom(...customers),
				priority: customers.length > 1 ? fc.integer({min: 0, max: 2}) : fc.constant(0),
				isTransaction: customers.length > 1 ? fc.boolean() : fc.constant(false),
				isInternal: customers.length > 1 ? fc.integer({min: 0, max: 5}).map(value => value === 0) : fc.constant(false),
			}),
		},
		{weight: 1, arbitrary: fc.record({kind: fc.constant('resize' as const), connections: fc.integer({min: 1, max: 4})})},
		{weight: 1, arbitrary: fc.constant({kind: 'silence' as const})},
	);
}

const connectResultArbitrary = fc.record({kind: fc.constantFrom('open' as const, 'open' as const, 'refuse' as const, 'hang' as const), delayMs: fc.integer({min: 0, max: 700})});

/**
Runs steps 50 ms apart, and checks that the limit holds, that no connection has two holders or serves two customers, and
that all waits end.
*/
async function run(script: readonly Step[], connectResults: readonly fakes.ConnectResult[], closeAt: number): Promise<void> {
	const {time, server, connections} = make();
	const holders = new Set<backend.Connection>();
	let ended = 0;
	let maxLimit = limits.connections;
	server.onConnect = () => connectResults[server.connectAttempts % connectResults.length] ?? {kind: 'open', delayMs: 1};
	const use = async (step: Step & {kind: 'use'}): Promise<void> => {
		const {customer, isInternal, priority, isTransaction} = step;
		const outcome = await connections.acquire(step.timeoutMs, {
			customer, isInternal, priority, isTransaction: isTransaction && !isInternal,
		});
		if (Either.isRight(outcome)) {
			const connection = outcome.right;
			assert.ok(isInternal || customerOf(connection) === customer, 'a connection of another customer');
			assert.ok(!holders.has(connection), 'two holders of one connection');
			holders.add(connection);
			await time.sleep(step.holdMs);
			holders.delete(connection);
			if (step.end === 'lose') {
				connection.close();
			}

			await connections.release(connection, step.residue);
		}

		ended++;
	};

	const uses = script.filter(({kind}) => kind === 'use').length;
	for (const [index, step] of script.entries()) {
		if (index === closeAt) {
			connections.close();
		}

		switch (step.kind) {
			case 'use': {
				void use(step);
				break;
			}

			case 'resize': {
				maxLimit = Math.max(maxLimit, step.connections);
				connections.resize(step.connections);
				break;
			}

			case 'silence': {
				for (const connection of server.connections) {
					connection.isUnresponsive = true;
				}
			}
		}

		await time.advance(50);
	}

	assert.ok(server.peakConnections <= maxLimit, `${server.peakConnections} connections at a limit of ${maxLimit}`);
	await time.advance(6000);
	assert.deepEqual({
		ended, waiting: connections.waiting, busy: connections.busy, overlaps: server.overlaps,
	}, {
		ended: uses, waiting: 0, busy: 0, overlaps: 0,
	});
	assert.equal(connections.open, server.open, 'the pool lost track of a connection');
}

test.test('guards against a broken limit, shared connections and endless waits under random faults', async () => {
	await fc.assert(fc.asyncProperty(
		fc.array(createSteps([undefined]), {maxLength: 40}),
		fc.array(connectResultArbitrary, {minLength: 1, maxLength: 8}),
		fc.integer({min: 0, max: 80}),
		run,
	), {seed: 20_261, numRuns: 150});
});

test.test('guards against a connection that serves another customer than the one it was opened for, under random faults', async () => {
	const resultArbitrary = fc.record({
		kind: fc.constantFrom('open' as const, 'open' as const, 'refuse' as const, 'hang' as const, 'at-limit' as const), delayMs: fc.integer({min: 0, max: 700}),
	});
	await fc.assert(fc.asyncProperty(
		fc.array(createSteps(['one', 'two', 'three', undefined]), {maxLength: 60}),
		fc.array(resultArbitrary, {minLength: 1, maxLength: 8}),
		fc.integer({min: 0, max: 120}),
		run,
	), {seed: 20_262, numRuns: 300});
});

test.test('guards against waiting the whole deadline for a server whose attempts hang', async () => {
	const {time, server, connections} = make();
	server.onConnect = () => ({kind: 'hang', delayMs: 0});
	const failedAt: number[] = [];
	const wait = async (): Promise<void> => {
		const outcome = await connections.acquire(5000);
		assert.ok(Either.isLeft(outcome));
		failedAt.push(time.now());
	};

	for (let index = 0; index < 20; index++) {
		void wait();
	}

	await time.advance(5000);
	assert.equal(failedAt.length, 20);
	assert.ok(Math.max(...failedAt) <= 2 * limits.connectTimeoutMs, `the last waiter failed after ${Math.max(...failedAt)} ms`);
});

test.test('guards against waiting for one slow attempt while another connection could be opened', async () => {
	const {time, server, connections} = make();
	server.onConnect = () => ({kind: server.connectAttempts === 0 ? 'hang' : 'open', delayMs: 1});
	let servedAt = Number.POSITIVE_INFINITY;
	const wait = async (): Promise<void> => {
		assert.ok(Either.isRight(await connections.acquire(5000)));
		servedAt = time.now();
	};

	void wait();
	await time.advance(300);
	assert.equal(servedAt, limits.hedgeAfterMs + 1);
});

test.test('guards against using an idle connection that no longer responds', async () => {
	const {time, server, connections} = make();
	const opened = connections.acquire(1000);
	await time.advance(10);
	const first = await opened;
	assert.ok(Either.isRight(first));
	await connections.release(first.right, 'clean');
	for (const connection of server.connections) {
		connection.isUnresponsive = true;
	}

	await time.advance(limits.validateAfterMs + 1);
	const second = connections.acquire(1000);
	await time.advance(limits.hedgeAfterMs + 1);
	const outcome = await second;
	assert.ok(Either.isRight(outcome) && outcome.right !== first.right);
});

test.test('guards against losing a connection that is assigned as its waiter times out', async () => {
	const {time, server, connections} = make({connections: 1});
	server.onConnect = () => ({kind: 'open', delayMs: 100});
	const late = connections.acquire(100);
	await time.advance(500);
	const outcome = await late;
	if (Either.isRight(outcome)) {
		await connections.release(outcome.right, 'clean');
	}

	assert.ok(Either.isRight(await connections.acquire(10)));
	assert.deepEqual([server.connectAttempts, connections.busy], [1, 1]);
});

test.test('guards against a waiter that stalls after a refused attempt failed another waiter', async () => {
	const {time, server, connections} = make();
	server.onConnect = () => ({kind: server.connectAttempts === 1 ? 'refuse' : 'open', delayMs: 1});
	const held = connections.acquire(5000);
	await time.advance(10);
	assert.ok(Either.isRight(await held));
	const refused = connections.acquire(5000);
	const served = connections.acquire(5000);
	await time.advance(10);
	assert.ok(Either.isLeft(await refused));
	assert.equal(connections.waiting, 0);
	assert.ok(Either.isRight(await served));
});

// Pattern: connection storm. After a power loss of all hosts the server counts the lost connections up to its limit.
test.test('guards against a reconnection attempt for each waiting request, and against refusals that use up the attempts of callers', async () => {
	const {time, server, connections} = make({connections: 1});
	const limitFreeAt = 2000;
	server.onConnect = () => ({kind: time.now() < limitFreeAt ? 'at-limit' : 'open', delayMs: 5});
	let served = 0;
	const use = async (): Promise<void> => {
		const outcome = await connections.acquire(4000, {atLimit: 'wait'});
		assert.ok(Either.isRight(outcome));
		served++;
		await connections.release(outcome.right, 'clean');
	};

	// Callers return one after the other; each arrival must not cause an attempt of its own.
	const requests: Array<Promise<void>> = [];
	for (let index = 0; index < 100; index++) {
		requests.push(use());
		await time.advance(limitFreeAt / 100);
	}

	assert.ok(connections.isBlockedByLimit);
	assert.ok(server.connectAttempts <= 2 * limitFreeAt / 100, `${server.connectAttempts} attempts`);
	await time.advance(300);
	await Promise.all(requests);
	assert.equal(served, 100);
	assert.equal(connections.isBlockedByLimit, false);
});

test.test('guards against a leader that is probed again long after the limit has freed up', async () => {
	const {time, server, connections} = make({connections: 1});
	server.onConnect = () => ({kind: time.now() < 500 ? 'at-limit' : 'open', delayMs: 5});
	let foundAt = Number.POSITIVE_INFINITY;
	const probe = async (): Promise<void> => {
		while (!Number.isFinite(foundAt)) {
			const outcome = await connections.acquire(300);
			foundAt = Either.isRight(outcome) ? time.now() : foundAt;
			await time.sleep(50);
		}
	};

	const probing = probe();
	await time.advance(1000);
	await probing;
	assert.ok(foundAt <= 700, `found after ${foundAt} ms`);
});

test.test('guards against a read that waits at a server that is at its connection limit instead of going to another one', async () => {
	const {time, server, connections} = make();
	server.onConnect = () => ({kind: 'at-limit', delayMs: 5});
	const first = connections.acquire(4000);
	await time.advance(10);
	const second = connections.acquire(4000);
	await time.advance(1);
	for (const outcome of [await first, await second]) {
		assert.ok(Either.isLeft(outcome) && outcome.left.step === 'admit');
	}

	assert.equal(server.connectAttempts, 1, 'the second request repeated a refused attempt');
});

test.test('guards against an unexpected error while a connection is opened that ends the process and leaves requests waiting', async () => {
	const {server, connections, time} = make();
	server.connect = async () => {
		throw new RangeError('port out of range');
	};

	const outcome = await connections.acquire(400);
	assert.ok(Either.isLeft(outcome));
	assert.equal(outcome.left.kind, 'not-run');
	assert.match(outcome.left.message, /port out of range/v);
	assert.equal(connections.open, 0);
	await time.advance(500);
});

/** Acquires a connection for a customer, and fails the test if there is none in time. */
async function take(time: clock.Manual, connections: pool.Pool<backend.Connection>, customer: string | undefined, timeoutMs = 10): Promise<backend.Connection> {
	const acquired = connections.acquire(timeoutMs, {customer});
	await time.advance(timeoutMs);
	const outcome = await acquired;
	assert.ok(Either.isRight(outcome));
	return outcome.right;
}

test.test('guards against an idle connection of a customer that is closed although a less recently used one could be', async () => {
	const {time, server, connections} = make({connections: 3});
	const opened = new Map<string, backend.Connection>();
	for (const customer of ['one', 'two', 'three']) {
		const connection = await take(time, connections, customer);
		opened.set(customer, connection);
		await connections.release(connection, 'clean');
	}

	await connections.release(await take(time, connections, 'one'), 'clean');
	assert.equal(server.connectAttempts, 3);
	// A poll of the proxy itself doesn't show that the customer needs its connection.
	const polled = connections.acquire(100, {isInternal: true, isPreferred: connection => connection === opened.get('two')});
	await time.advance(1);
	const poll = await polled;
	assert.ok(Either.isRight(poll) && poll.right === opened.get('two'));
	await connections.release(poll.right, 'clean');
	await connections.release(await take(time, connections, 'four'), 'clean');
	assert.deepEqual([...opened].filter(([, {isOpen}]) => !isOpen).map(([customer]) => customer), ['two']);
	assert.equal(server.peakConnections, 3);
});

test.test('guards against a poll that opens a connection while one of a customer is idle', async () => {
	const {time, server, connections} = make();
	await connections.release(await take(time, connections, 'one'), 'clean');
	for (const request of [{isInternal: true}, {isInternal: true, isControl: true}]) {
		const acquired = connections.acquire(100, request);
		await time.advance(10);
		const outcome = await acquired;
		assert.ok(Either.isRight(outcome) && customerOf(outcome.right) === 'one');
		await connections.release(outcome.right, 'clean');
	}

	assert.equal(server.connectAttempts, 1);
});

test.test('guards against a customer that keeps all connections while another one waits', async () => {
	const {time, server, connections} = make({connections: 4});
	const stopped = new AbortController();
	const use = async (): Promise<void> => {
		while (!stopped.signal.aborted) {
			const outcome = await connections.acquire(1000, {customer: 'large'});
			if (Either.isRight(outcome)) {
				await time.sleep(20);
				await connections.release(outcome.right, 'clean');
			}
		}
	};

	const users = Array.from({length: 20}, use);
	await time.advance(500);
	assert.equal(server.connections.filter(({isOpen, customer}) => isOpen && customer === 'large').length, 4);
	const connection = await take(time, connections, 'small', 30);
	stopped.abort();
	await time.advance(1100);
	await Promise.all(users);
	assert.equal(customerOf(connection), 'small');
});

test.test('guards against handshakes that take most of a connection\'s time when two customers share it', async () => {
	const {time, server, connections} = make({connections: 1});
	server.onConnect = () => ({kind: 'open', delayMs: 12});
	const served = new Map<string, number>();
	const stopped = new AbortController();
	const use = async (customer: string): Promise<void> => {
		while (!stopped.signal.aborted) {
			const outcome = await connections.acquire(1000, {customer});
			if (Either.isRight(outcome)) {
				await time.sleep(10);
				served.set(customer, (served.get(customer) ?? 0) + 1);
				await connections.release(outcome.right, 'clean');
			}
		}
	};

	const users = ['one', 'one', 'one', 'two', 'two', 'two'].map(async customer => use(customer));
	await time.advance(5000);
	stopped.abort();
	await time.advance(1100);
	await Promise.all(users);
	assert.ok(server.connectAttempts * 12 <= 0.15 * 5000, `${server.connectAttempts} attempts`);
	assert.ok(Math.min(...served.values()) >= 0.7 * Math.max(...served.values()), JSON.stringify([...served]));
	assert.equal(served.size, 2);
});

test.test('guards against a request that waits for the server\'s limit while an idle connection of another customer could be closed', async () => {
	const {time, server, connections} = make({connections: 4});
	server.onConnect = () => ({kind: server.open < 2 ? 'open' : 'at-limit', delayMs: 5});
	const first = await take(time, connections, 'one');
	const second = await take(time, connections, 'one');
	await connections.release(first, 'clean');
	await connections.release(second, 'clean');
	const startedAt = time.now();
	const acquired = connections.acquire(1000, {customer: 'two'});
	await time.advance(20);
	const outcome = await acquired;
	assert.ok(Either.isRight(outcome) && customerOf(outcome.right) === 'two');
	assert.ok(time.now() - startedAt <= 20);
	assert.deepEqual([first, second].filter(({isOpen}) => isOpen).length, 1);
});

test.test('guards against a read that waits at a server at its connection limit while other customers use all connections', async () => {
	const {time, server, connections} = make({connections: 4});
	server.onConnect = () => ({kind: server.open < 1 ? 'open' : 'at-limit', delayMs: 5});
	await take(time, connections, 'one');
	const acquired = connections.acquire(1000, {customer: 'two'});
	await time.advance(10);
	const outcome = await Promise.race([acquired, Promise.resolve()]);
	assert.ok(outcome && Either.isLeft(outcome) && outcome.left.step === 'admit');
});

test.test('guards against transactions of one customer, or of several, that hold all connections while their callers are idle', async () => {
	const {time, server, connections} = make({connections: 4});
	const begin = async (customer: string): Promise<errors.Outcome<backend.Connection>> => connections.acquire(300, {customer, isTransaction: true});
	const begun = Promise.all(['large', 'large', 'large', 'large', 'other', 'third'].map(async customer => begin(customer)));
	await time.advance(10);
	assert.equal(connections.busy, 3);
	const statement = await take(time, connections, 'small');
	await connections.release(statement, 'clean');
	assert.ok(await take(time, connections, 'large'), 'a statement of the same customer');
	await time.advance(300);
	const outcomes = await begun;
	assert.deepEqual(outcomes.map(outcome => Either.isRight(outcome)), [true, true, false, false, true, false]);
	assert.ok(server.peakConnections <= 4);
});

test.test('guards against a transaction that waits although another one of its customer has ended', async () => {
	const {time, connections} = make({connections: 2});
	const first = connections.acquire(100, {customer: 'one', isTransaction: true});
	const second = connections.acquire(1000, {customer: 'one', isTransaction: true});
	await time.advance(10);
	const held = await first;
	assert.ok(Either.isRight(held));
	assert.equal(connections.waiting, 1);
	await connections.release(held.right, 'clean');
	await time.advance(10);
	assert.ok(Either.isRight(await second));
});

/** Lets requests of several customers use a pool for some time, and returns the number served of each. */
async function contend(connectionCount: number, users: ReadonlyArray<{readonly customer: string; readonly priority: number; readonly count: number}>): Promise<Map<string, number>> {
	const {time, server, connections} = make({connections: connectionCount});
	server.onConnect = () => ({kind: 'open', delayMs: 12});
	const served = new Map(users.map(({customer}) => [customer, 0]));
	const stopped = new AbortController();
	const use = async (customer: string, priority: number): Promise<void> => {
		while (!stopped.signal.aborted) {
			const outcome = await connections.acquire(400, {customer, priority});
			if (Either.isRight(outcome)) {
				await time.sleep(10);
				served.set(customer, (served.get(customer) ?? 0) + 1);
				await connections.release(outcome.right, 'clean');
			}
		}
	};

	const running = users.flatMap(({customer, priority, count}) => Array.from({length: count}, async () => use(customer, priority)));
	await time.advance(6000);
	stopped.abort();
	await time.advance(1000);
	await Promise.all(running);
	return served;
}

test.test('guards against a customer whose many requests reduce the share of others', async () => {
	for (const connectionCount of [1, 2, 4]) {
		const served = await contend(connectionCount, [
			{customer: 'large', priority: 1, count: 60}, {customer: 'one', priority: 1, count: 4}, {customer: 'two', priority: 1, count: 4},
		]);
		const counts = [...served.values()];
		assert.ok(Math.min(...counts) >= 0.6 * Math.max(...counts), `${connectionCount}: ${JSON.stringify([...served])}`);
	}
});

test.test('guards against priorities that don\'t count between customers or within one, and against one that starves', async () => {
	for (const {high, low} of [{high: 'one', low: 'two'}, {high: 'one', low: 'one'}]) {
		const {time, connections} = make({connections: 1});
		const order: number[] = [];
		const use = async (customer: string, priority: number): Promise<void> => {
			const outcome = await connections.acquire(20_000, {customer, priority});
			assert.ok(Either.isRight(outcome));
			order.push(priority);
			await time.sleep(150);
			await connections.release(outcome.right, 'clean');
		};

		const uses = Array.from({length: 40}, async (_, index) => use(index % 2 === 0 ? low : high, index % 2 === 0 ? 2 : 0));
		await time.advance(20_000);
		await Promise.all(uses);
		const early = order.slice(0, 16).filter(priority => priority === 2).length;
		assert.ok(early >= 1 && early <= 4, `${high} and ${low}: ${order.join(' ')}`);
	}
});

test.test('guards against a request of a higher priority that waits until the connection of another customer is due', async () => {
	const {time, connections} = make({connections: 1});
	const held = await take(time, connections, 'one');
	const next = connections.acquire(1000, {customer: 'one', priority: 2});
	const urgent = connections.acquire(1000, {customer: 'two', priority: 0});
	await connections.release(held, 'clean');
	await time.advance(10);
	const outcome = await urgent;
	assert.ok(Either.isRight(outcome));
	assert.equal(connections.waiting, 1);
	await connections.release(outcome.right, 'clean');
	await time.advance(10);
	assert.ok(Either.isRight(await next));
});

test.test('guards against a new connection for a customer with its share while one without any waits', async () => {
	const {time, connections} = make({connections: 2});
	await take(time, connections, 'large');
	await take(time, connections, 'large');
	void connections.acquire(1000, {customer: 'large'});
	const waiting = connections.acquire(1000, {customer: 'small'});
	connections.resize(3);
	await time.advance(10);
	const outcome = await Promise.race([waiting, Promise.resolve()]);
	assert.ok(outcome && Either.isRight(outcome));
	await time.advance(1000);
});

// Pattern: connection storm. After a stop of all hosts each of them asks for more connections until the lost ones are gone.
test.test('guards against a host with connections that asks a server at its limit for more ten times a second', async () => {
	const {time, server, connections} = make({connections: 6});
	server.onConnect = () => ({kind: server.connectAttempts > 2 && time.now() < 3000 ? 'at-limit' : 'open', delayMs: 5});
	let served = 0;
	const caller = async (): Promise<void> => {
		while (time.now() < 4000) {
			const outcome = await connections.acquire(1000);
			if (Either.isRight(outcome)) {
				await time.sleep(30);
				await connections.release(outcome.right, 'clean');
				served++;
			}
		}
	};

	const callers = Array.from({length: 10}, async () => caller());
	await time.advance(2900);
	// Six at the start, of which two succeed, and one each 300 ms.
	assert.ok(server.connectAttempts <= 6 + 10, `${server.connectAttempts} attempts`);
	assert.ok(served > 100, `${served} requests served by two connections`);
	await time.advance(500);
	assert.equal(connections.open, 6);
	await time.advance(2000);
	await Promise.all(callers);
});

test.test('guards against a customer that waits for another attempt because a poll got the failure of the first one', async () => {
	const {time, server, connections} = make({connections: 2});
	await take(time, connections, 'one');
	server.onConnect = () => ({kind: 'hang', delayMs: 0});
	const waiting = connections.acquire(5000, {customer: 'one'});
	await time.advance(10);
	void connections.acquire(5000, {isInternal: true, isControl: true});
	await time.advance(limits.connectTimeoutMs - 9);
	const outcome = await Promise.race([waiting, Promise.resolve()]);
	assert.ok(outcome && Either.isLeft(outcome));
	await time.advance(6000);
});

test.test('guards against a handshake for almost every request when all customers that wait have their share', async () => {
	const {time, server, connections} = make({connections: 5});
	server.onConnect = () => ({kind: 'open', delayMs: 12});
	let served = 0;
	const stopped = new AbortController();
	const use = async (customer: string): Promise<void> => {
		while (!stopped.signal.aborted) {
			const outcome = await connections.acquire(1000, {customer});
			if (Either.isRight(outcome)) {
				await time.sleep(10);
				served++;
				await connections.release(outcome.right, 'clean');
			}
		}
	};

	// A share is one connection, so that two connections are above the shares.
	const users = ['one', 'two', 'three'].flatMap(customer => Array.from({length: 5}, async () => use(customer)));
	await time.advance(5000);
	stopped.abort();
	await time.advance(1100);
	await Promise.all(users);
	assert.ok(server.connectAttempts * 12 <= 0.15 * 5000 * 5, `${server.connectAttempts} attempts for ${served} requests`);
});

test.test('guards against a connection that is given up for another customer which doesn\'t get it while the server is at its limit', async () => {
	const {time, server, connections} = make({connections: 4});
	server.onConnect = () => ({kind: server.open < 1 ? 'open' : 'at-limit', delayMs: 5});
	const first = await take(time, connections, 'one');
	await time.advance(200);
	const other = connections.acquire(1000, {customer: 'two', atLimit: 'wait'});
	const next = connections.acquire(1000, {customer: 'one', atLimit: 'wait'});
	// The server has refused the attempt for the other customer.
	await time.advance(10);
	const startedAt = time.now();
	await connections.release(first, 'clean');
	await time.advance(10);
	const outcome = await Promise.race([other, Promise.resolve()]);
	assert.ok(outcome && Either.isRight(outcome) && customerOf(outcome.right) === 'two');
	assert.ok(time.now() - startedAt <= 10);
	await connections.release(outcome.right, 'clean');
	await time.advance(1000);
	await next;
});
