import * as assert from 'node:assert/strict';
import * as test from 'node:test';
import * as clock from '../../core/clock.js';
import * as confirmation from '../confirmation.js';

const waitMs = 500;

function make(isIsolated = false): {time: clock.Manual; confirmations: confirmation.Confirmations} {
	const time = new clock.Manual();
	const confirmations = new confirmation.Confirmations({clock: time, isIsolated: () => isIsolated});
	confirmations.recordLeader('a', 1);
	return {time, confirmations};
}

test.test('a commit is confirmed at once while no failover is known', async () => {
	const {confirmations} = make();
	assert.equal(await confirmations.confirm({server: 'a', logEnd: {term: 1, index: 5}}, waitMs), true);
});

// Guards against the loss of a commit whose reply a stopped process reads together with, or before, news of a failover.
test.test('a commit whose reply is read after its timeout is in doubt', async () => {
	const {confirmations} = make();
	assert.equal(await confirmations.confirm({server: 'a', logEnd: {term: 1, index: 5}}, 0), false);
});

// Guards against the loss of commits that a leader acknowledges while its successor is chosen, seen by hosts through the
// claim in the store, through a message of the claimant, or through neither.
for (const [name, begin, end, isConfirmed] of [
	['a claim without news', 'claim', 'none', false],
	['a claim that needs no suspension', 'claim', 'released', true],
	['a suspension', 'suspend', 'none', false],
	['a suspension under which nothing was ordered', 'suspend', 'released', true],
	['a suspension whose commits the next leader has', 'suspend', 'kept', true],
	['a suspension whose commits the next leader may lack', 'suspend', 'discarded', false],
	['a suspension that ends with a new leader', 'suspend', 'leader', false],
] as const) {
	test.test(`a commit that is acknowledged during ${name} is ${isConfirmed ? 'confirmed' : 'in doubt'}`, async () => {
		const {time, confirmations} = make();
		if (begin === 'claim') {
			confirmations.recordClaim(7);
		} else {
			confirmations.apply(7, {kind: 'nobody', term: 2});
		}

		let result: boolean | undefined;
		const confirming = async (): Promise<void> => {
			result = await confirmations.confirm({server: 'a', logEnd: {term: 1, index: 5}}, waitMs);
		};

		void confirming();
		await time.advance(100);
		assert.equal(result, undefined);
		assert.equal(confirmations.withheld, 1);
		if (end === 'leader') {
			confirmations.apply(7, {
				kind: 'ordered', server: 'b', term: 2, fate: 'discarded',
			});
			confirmations.recordLeader('b', 2);
		} else if (end === 'released') {
			confirmations.release(7);
		} else if (end !== 'none') {
			confirmations.apply(7, {
				kind: 'ordered', server: 'b', term: 2, fate: end,
			});
		}

		await time.advance(waitMs);
		assert.equal(result, isConfirmed);
	});
}

test.test('a claim that was announced before the store shows it withholds nothing', async () => {
	const {confirmations} = make();
	confirmations.release(7);
	confirmations.recordClaim(7);
	assert.equal(await confirmations.confirm({server: 'a', logEnd: {term: 1, index: 5}}, waitMs), true);
});

test.test('commits of the next leader are confirmed while those of its predecessor are discarded', async () => {
	const {confirmations} = make();
	confirmations.apply(7, {kind: 'nobody', term: 2});
	confirmations.apply(7, {
		kind: 'ordered', server: 'b', term: 2, fate: 'discarded',
	});
	assert.equal(await confirmations.confirm({server: 'a', logEnd: {term: 1, index: 5}}, waitMs), false);
	assert.equal(await confirmations.confirm({server: 'b', logEnd: {term: 2, index: 6}}, waitMs), true);
});

// Guards against writes that stay in doubt after a claimant has ended without a word.
test.test('a suspension without news ends when other hosts may claim again', async () => {
	const {time, confirmations} = make();
	confirmations.apply(7, {kind: 'nobody', term: 2});
	await time.advance(4100);
	assert.equal(await confirmations.confirm({server: 'a', logEnd: {term: 1, index: 5}}, waitMs), true);
});

test.test('an isolated host confirms nothing', async () => {
	const {time, confirmations} = make(true);
	const confirming = confirmations.confirm({server: 'a', logEnd: {term: 1, index: 5}}, waitMs);
	await time.advance(waitMs + 100);
	assert.equal(await confirming, false);
});

// Guards against the loss of commits of a server that leads by an order of an earlier attempt, while another one is ordered.
test.test('commits of a server other than the ordered one are withheld in any term, and discarded once the ordered one leads', async () => {
	const {time, confirmations} = make();
	confirmations.apply(7, {kind: 'nobody', term: 2});
	confirmations.apply(7, {
		kind: 'ordered', server: 'b', term: 2, fate: 'kept',
	});
	confirmations.recordLeader('c', 2);
	const confirming = confirmations.confirm({server: 'c', logEnd: {term: 2, index: 6}}, waitMs);
	await time.advance(100);
	confirmations.recordLeader('b', 3);
	await time.advance(10);
	assert.equal(await confirming, false);
	assert.equal(await confirmations.confirm({server: 'b', logEnd: {term: 3, index: 6}}, waitMs), true);
	assert.equal(await confirmations.confirm({server: 'a', logEnd: {term: 1, index: 5}}, waitMs), true);
});

// Guards against the loss of commits of the old leader when an order takes effect after a suspension would have ended.
test.test('an order that may still be carried out withholds the commits of the present leader until a newer one is settled', async () => {
	const {time, confirmations} = make();
	confirmations.apply(7, {kind: 'nobody', term: 2});
	confirmations.apply(7, {
		kind: 'ordered', server: 'b', term: 2, fate: 'discarded',
	});
	await time.advance(5000);
	assert.ok(confirmations.isUnsettled);
	assert.equal(await confirmations.confirm({server: 'a', logEnd: {term: 1, index: 5}}, waitMs), false);
	confirmations.apply(8, {kind: 'nobody', term: 2});
	confirmations.apply(8, {kind: 'settled', server: 'a'});
	assert.ok(!confirmations.isUnsettled);
	assert.equal(await confirmations.confirm({server: 'a', logEnd: {term: 1, index: 5}}, waitMs), true);
});

// Guards against the loss of a commit whose reply shows the next term, since its server had lost the lead before it replied.
test.test('a reply of the old leader that carries the term of the next one is not confirmed', async () => {
	const {confirmations} = make();
	confirmations.apply(7, {
		kind: 'ordered', server: 'b', term: 2, fate: 'discarded',
	});
	confirmations.recordLeader('b', 2);
	assert.equal(await confirmations.confirm({server: 'a', logEnd: {term: 2, index: 5}}, waitMs), false);
});
