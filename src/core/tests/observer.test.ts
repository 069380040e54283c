import * as assert from 'node:assert/strict';
import * as test from 'node:test';
import * as Either from 'fp-ts/lib/Either.js';
import * as acknowledgement from '../acknowledgement.js';
import type * as backend from '../backend.js';
import * as clock from '../clock.js';
import * as errors from '../errors.js';
import * as observer from '../observer.js';
import * as fake from './fake-group.js';

class AtConnectionLimit extends fake.Unreachable {
	override async connect(): Promise<errors.Outcome<backend.Connection>> {
		return Either.left({...errors.failure('not-run', 'connect', this.name, 'Too many connections'), code: 1040});
	}
}

async function observe(server: backend.Server, ms: number, time = new clock.Manual()): Promise<observer.Server> {
	const stopped = new AbortController();
	const observed = new observer.Server(server, time, fake.timing, () => undefined);
	void observed.run(stopped.signal);
	await time.advance(ms);
	stopped.abort();
	return observed;
}

// Guards against a failover while a healthy primary is at its connection limit.
test.test('a server that rejects a connection with a database error is alive, and one that refuses connections is not', async () => {
	const full = await observe(new AtConnectionLimit('a'), 1000);
	assert.equal(full.refusals, 0);
	assert.ok(full.lastResponseAt >= 900);
	const dead = await observe(new fake.Unreachable('a'), 1000);
	assert.ok(dead.refusals >= 2);
	assert.equal(dead.lastResponseAt, 0);
});

// Guards against connection attempts that time out being counted as refusals.
test.test('a connection attempt that times out is not a refusal', async () => {
	const time = new clock.Manual();
	const slow = await observe(new fake.Unreachable('a', time, fake.timing.probeTimeoutMs), 1000, time);
	assert.equal(slow.refusals, 0);
});

// Guards against a late response to an earlier request that hides a promotion.
test.test('a status requested earlier does not replace one requested later', async () => {
	const site = new fake.Site(1);
	await site.clock.advance(200);
	const observed = site.owner(0).group.observer.servers.get('b');
	const {status} = observed!.latest!;
	observed!.update({status: {...status, role: 'primary', term: 2}, requestedAt: 1000, receivedAt: 1000});
	observed!.update({status, requestedAt: 999, receivedAt: 1001});
	assert.equal(site.owner(0).group.observer.primary?.status.server, 'b');
	await site.stop();
});

// Guards against writes that wait until their deadline although a newer term has already made confirmation impossible.
test.test('a write whose term has been superseded is refused at once', async () => {
	const site = new fake.Site(1);
	await site.clock.advance(200);
	site.machine('b').adopt(5, 'x');
	site.machine('c').adopt(5, 'x');
	let outcome: errors.Outcome<void> | undefined;
	const confirm = async (): Promise<void> => {
		const policy = new acknowledgement.Durable(site.owner(0).clock);
		outcome = await policy.confirm(site.owner(0).group.observer, 'a', {term: 1, index: 9}, 5000);
	};

	void confirm();
	await site.clock.advance(60);
	assert.ok(outcome && Either.isLeft(outcome) && outcome.left.kind === 'outcome-unknown');
	await site.stop();
});

// Guards against reads and recovered outcomes that depend on entries which a later primary may still drop.
test.test('a primary without an entry of its own term confirms no read index', async () => {
	const site = new fake.Site(1);
	await site.clock.advance(200);
	for (const machine of site.machines.values()) {
		machine.term = 2;
	}

	const readIndex = site.owner(0).group.observer.readIndex(100);
	await site.clock.advance(200);
	assert.ok(Either.isLeft(await readIndex));
	await site.stop();
});

// Guards against reads at an isolated primary that may have been replaced by the servers that it does not reach.
test.test('a primary that no other server confirms gives no read index', async () => {
	const site = new fake.Site(1);
	await site.clock.advance(200);
	site.machine('b').stop();
	site.machine('c').stop();
	const readIndex = site.owner(0).group.observer.readIndex(100);
	await site.clock.advance(200);
	assert.ok(Either.isLeft(await readIndex));
	await site.stop();
});

// Guards against requests that, after a frozen primary has been replaced, still wait until their deadline for its response
// or for a connection to it.
test.test('connections to a replaced primary are closed, and requests waiting for one get the new primary', async () => {
	const site = new fake.Site(1);
	await site.clock.advance(200);
	const {group} = site.owner(0);
	const acquired = Array.from({length: 4}, async () => group.acquirePrimary(5000));
	await site.clock.advance(50);
	const [outcome] = await Promise.all(acquired);
	const waiting = group.acquirePrimary(5000);
	assert.ok(Either.isRight(outcome) && outcome.right.server === 'a' && outcome.right.isOpen);
	site.machine('b').adopt(2, 'x');
	site.machine('b').promote(2, 'x');
	await site.clock.advance(100);
	assert.equal(outcome.right.isOpen, false);
	const next = await waiting;
	assert.ok(Either.isRight(next) && next.right.server === 'b');
	await site.stop();
});
