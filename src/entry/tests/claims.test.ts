import * as assert from 'node:assert/strict';
import * as test from 'node:test';
import * as Either from 'fp-ts/lib/Either.js';
import * as clock from '../../core/clock.js';
import * as random from '../../core/random.js';
import * as claims from '../claims.js';
import * as decisions from '../decisions.js';
import * as fakes from './fake-cluster.js';

function make(store: fakes.Objects, host: string, seed: number): claims.Claims {
	return new claims.Claims({
		host, store, clock: new clock.Manual(), random: new random.Seeded(seed), decisions: new decisions.Silent(),
	});
}

test.test('one of two concurrent claims fails with a conflict, and tokens increase', async () => {
	const store = new fakes.Objects();
	const [one, other] = [make(store, 'entry-1', 1), make(store, 'entry-2', 2)];
	const first = await one.claim('ledgers');
	const second = await other.claim('ledgers');
	assert.ok(Either.isRight(first));
	assert.ok(Either.isLeft(second));
	assert.equal(second.left.kind, 'conflict');
	const third = await other.claim('ledgers');
	assert.ok(Either.isRight(third));
	assert.ok(third.right.token > first.right.token);
});

test.test('a claim whose response was lost is recognized by reading it back', async () => {
	const store = new fakes.Objects();
	store.state = 'answers-lost';
	assert.ok(Either.isRight(await make(store, 'entry-1', 1).claim('ledgers')));
});

test.test('while the store is unavailable the last holder keeps its token and other hosts get none', async () => {
	const store = new fakes.Objects();
	const [one, other] = [make(store, 'entry-1', 1), make(store, 'entry-2', 2)];
	const claimed = await one.claim('ledgers');
	other.update('ledgers', store.put('claims', 'spare', {holder: 'entry-1', nonce: 'y'}));
	store.state = 'down';
	assert.deepEqual(await one.claim('ledgers'), claimed);
	assert.ok(Either.isLeft(await other.claim('ledgers')));
});
