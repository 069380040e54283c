import * as assert from 'node:assert/strict';
import * as test from 'node:test';
import * as fc from 'fast-check';
import * as Either from 'fp-ts/lib/Either.js';
import type * as backend from '../backend.js';
import * as clock from '../clock.js';
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
	| {readonly kind: 'use'; readonly timeoutMs: number; readonly holdMs: number; readonly residue: pool.Residue; readonly end: 'keep' | 'lose'}
	| {readonly kind: 'resize'; readonly connections: number}
	| {readonly kind: 'silence'};

const stepArbitrary: fc.Arbitrary<Step> = fc.oneof(
	{
		weight: 8,
		arbitrary: fc.record({
			kind: fc.constant('use' as const),
			timeoutMs: fc.integer({min: 0, max: 800}),
			holdMs: fc.integer({min: 0, max: 1500}),
			residue: fc.constantFrom('clean' as const, 'dirty' as const),
			end: fc.constantFrom('keep' as const, 'lose' as const),
		}),
	},
	{weight: 1, arbitrary: fc.record({kind: fc.constant('resize' as const), connections: fc.integer({min: 1, max: 4})})},
	{weight: 1, arbitrary: fc.constant({kind: 'silence' as const})},
);
const connectResultArbitrary = fc.record({kind: fc.constantFrom('open' as const, 'open' as const, 'refuse' as const, 'hang' as const), delayMs: fc.integer({min: 0, max: 700})});

/** Runs steps 50 ms apart, and checks that the limit holds, that no connection has two holders, and that all waits end. */
async function run(script: readonly Step[], connectResults: readonly fakes.ConnectResult[], closeAt: number): Promise<void> {
	const {time, server, connections} = make();
	const holders = new Set<backend.Connection>();
	let ended = 0;
	let maxLimit = limits.connections;
	server.onConnect = () => connectResults[server.connectAttempts % connectResults.length] ?? {kind: 'open', delayMs: 1};
	const use = async (step: Step & {kind: 'use'}): Promise<void> => {
		const outcome = await connections.acquire(step.timeoutMs);
		if (Either.isRight(outcome)) {
			const connection = outcome.right;
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
		fc.array(stepArbitrary, {maxLength: 40}),
		fc.array(connectResultArbitrary, {minLength: 1, maxLength: 8}),
		fc.integer({min: 0, max: 80}),
		run,
	), {seed: 20_261, numRuns: 150});
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
