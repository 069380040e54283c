import * as assert from 'node:assert/strict';
import * as test from 'node:test';
import * as Either from 'fp-ts/lib/Either.js';
import * as clock from '../../core/clock.js';
import type * as errors from '../../core/errors.js';
import * as random from '../../core/random.js';
import * as claims from '../claims.js';
import * as decisions from '../decisions.js';
import type * as objects from '../objects.js';
import * as revisions from '../revision.js';
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
	assert.ok(Either.isRight(claimed));
	assert.deepEqual(await one.claim('ledgers'), Either.right({...claimed.right, how: 'kept from an earlier claim, store unavailable'}));
	assert.ok(Either.isLeft(await other.claim('ledgers')));
});

test.test('guards against a service that can never be claimed again because the restored store has lost its claim', async () => {
	const store = new fakes.Objects();
	const [one, other] = [make(store, 'entry-1', 1), make(store, 'entry-2', 2)];
	store.copy();
	const first = await one.claim('ledgers');
	const found = await store.read('claims', 'ledgers');
	assert.ok(Either.isRight(first) && Either.isRight(found));
	other.update('ledgers', found.right);
	store.restore();
	const second = await other.claim('ledgers');
	assert.ok(Either.isRight(second), JSON.stringify(second));
	assert.ok(second.right.token > first.right.token);
	const third = await one.claim('ledgers');
	assert.ok(Either.isLeft(third) && third.left.kind === 'conflict');
});

test.test('guards against a fencing token that the authority has seen already, when the restored store counts again', async () => {
	const store = new fakes.Objects();
	const one = make(store, 'entry-1', 1);
	const tokens: number[] = [];
	store.copy();
	for (let claim = 0; claim < 6; claim++) {
		if (claim === 3) {
			store.restore();
		}

		const outcome = await one.claim('ledgers');
		assert.ok(Either.isRight(outcome));
		tokens.push(outcome.right.token);
	}

	assert.deepEqual(tokens, tokens.toSorted((left, right) => left - right));
	assert.equal(new Set(tokens).size, tokens.length);
});

test.test('guards against a second promotion beside that of a holder whose claim the restored store has lost', async () => {
	const store = new fakes.Objects();
	const other = make(store, 'entry-2', 2);
	other.update('ledgers', store.put('claims', 'ledgers', {holder: 'entry-1', nonce: 'x'}));
	other.update('ledgers', undefined);
	assert.ok(other.isClaimedByOther('ledgers'));
	assert.ok(other.wasClaimed('ledgers'));
});

test.test('guards against a failover that waits for a claim which is listed again after a restoration', async () => {
	const store = new fakes.Objects();
	const time = new clock.Manual();
	const other = new claims.Claims({
		host: 'entry-2', store, clock: time, random: new random.Seeded(2), decisions: new decisions.Silent(),
	});
	other.update('ledgers', store.put('claims', 'ledgers', {holder: 'entry-1', nonce: 'x'}));
	await time.advance(5000);
	assert.ok(!other.isClaimedByOther('ledgers'));
	store.copy();
	store.restore();
	const listed = await store.read('claims', 'ledgers');
	assert.ok(Either.isRight(listed));
	other.update('ledgers', listed.right);
	assert.ok(!other.isClaimedByOther('ledgers'));
});

test.test('guards against a second promotion beside that of a recent holder, when the restored store has an older claim instead', async () => {
	const store = new fakes.Objects();
	const [one, other] = [make(store, 'entry-1', 1), make(store, 'entry-2', 2)];
	one.update('ledgers', store.put('claims', 'ledgers', {holder: 'entry-1', nonce: 'earlier'}));
	store.copy();
	const claimed = await other.claim('ledgers');
	assert.ok(Either.isLeft(claimed));
	const recent = await other.claim('ledgers');
	assert.ok(Either.isRight(recent));
	const found = await store.read('claims', 'ledgers');
	assert.ok(Either.isRight(found));
	one.update('ledgers', found.right);
	assert.ok(one.isClaimedByOther('ledgers'));
	store.restore();
	const listed = await store.read('claims', 'ledgers');
	assert.ok(Either.isRight(listed));
	one.update('ledgers', listed.right);
	assert.ok(one.isClaimedByOther('ledgers'));
});

test.test('guards against a failover that waits for an expired claim which the restored store has in place of a later one', async () => {
	const store = new fakes.Objects();
	const time = new clock.Manual();
	const third = new claims.Claims({
		host: 'entry-3', store, clock: time, random: new random.Seeded(3), decisions: new decisions.Silent(),
	});
	third.update('ledgers', store.put('claims', 'ledgers', {holder: 'entry-1', nonce: 'earlier'}));
	store.copy();
	await time.advance(5000);
	third.update('ledgers', store.put('claims', 'ledgers', {holder: 'entry-2', nonce: 'later'}));
	await time.advance(5000);
	assert.ok(!third.isClaimedByOther('ledgers'));
	store.restore();
	const listed = await store.read('claims', 'ledgers');
	assert.ok(Either.isRight(listed));
	third.update('ledgers', listed.right);
	assert.ok(!third.isClaimedByOther('ledgers'));
});

/** A store that stops responding to one host while that host claims, just after another host's later claim became known. */
class ClosingStore extends fakes.Objects {
	onRead = (): void => undefined;

	override async read<K extends objects.Kind>(kind: K, name: string): Promise<errors.Outcome<objects.Item<K> | undefined>> {
		this.onRead();
		return super.read(kind, name);
	}
}

test.test('guards against a token kept from an earlier claim although a later claim became known during the call', async () => {
	const store = new ClosingStore();
	const one = make(store, 'entry-1', 1);
	assert.ok(Either.isRight(await one.claim('ledgers')));
	store.state = 'down';
	store.onRead = () => {
		one.update('ledgers', {
			name: 'ledgers', revision: revisions.combine({generation: 1, counter: 11}), value: {holder: 'entry-2', nonce: 'later'}, fault: '',
		});
	};

	const outcome = await one.claim('ledgers');
	assert.ok(Either.isLeft(outcome), JSON.stringify(outcome));
});

// Guards against an order for another server under the token of an order that the previous process has sent.
test.test('a host that restarts while the store is unavailable doesn\'t keep the claim of its previous process', async () => {
	const store = new fakes.Objects();
	assert.ok(Either.isRight(await make(store, 'entry-1', 1).claim('ledgers')));
	const restarted = make(store, 'entry-1', 2);
	const found = await store.read('claims', 'ledgers');
	assert.ok(Either.isRight(found));
	restarted.update('ledgers', found.right);
	store.state = 'down';
	assert.ok(Either.isLeft(await restarted.claim('ledgers')));
});

/** Reads the claim of the service as another process would. */
async function readStanding(store: fakes.Objects): Promise<claims.Standing['kind']> {
	const reader = new claims.Claims({
		host: 'entry-9', store, clock: new clock.Manual(), random: new random.Seeded(9), decisions: new decisions.Silent(), revision: () => store.revision,
	});
	const found = await store.read('claims', 'ledgers');
	assert.ok(Either.isRight(found));
	reader.update('ledgers', found.right);
	const {kind} = reader.standing('ledgers', 0);
	return kind;
}

// Guards against a start that trusts a claim which is not released, or was released before the store was restored.
test.test('earlier orders are closed without a claim or by its release, in a store that was not restored since', async () => {
	const store = new fakes.Objects();
	assert.equal(await readStanding(store), 'closed');
	const time = new clock.Manual();
	const holder = new claims.Claims({
		host: 'entry-1', store, clock: time, random: new random.Seeded(1), decisions: new decisions.Silent(),
	});
	await holder.claim('ledgers');
	assert.equal(await readStanding(store), 'open');
	assert.ok(!holder.isReleasable('ledgers'));
	await time.advance(5000);
	assert.ok(holder.isReleasable('ledgers'));
	await holder.release('ledgers');
	assert.equal(await readStanding(store), 'closed');
	store.copy();
	store.restore();
	assert.equal(await readStanding(store), 'open');
});

// Guards against an order under a claim whose release is on its way, so that a start would take it for closed.
test.test('a released claim is not kept while the store is unavailable', async () => {
	const store = new fakes.Objects();
	const one = make(store, 'entry-1', 1);
	await one.claim('ledgers');
	store.state = 'down';
	await one.release('ledgers');
	assert.ok(Either.isLeft(await one.claim('ledgers')));
});
