import * as assert from 'node:assert/strict';
import * as test from 'node:test';
import * as writes from '../write.js';
import * as fixture from './fixture.js';

/** Advances the clock until the authority has received a request. */
async function awaitPromotionRequest(setup: fixture.Fixture): Promise<void> {
	for (let waitedMs = 0; setup.authority.requests.length === 0 && waitedMs < 5000; waitedMs += 10) {
		await setup.time.advance(10);
	}

	assert.equal(setup.authority.requests.length, 1);
}

test.test('an unresponsive leader is replaced by the most advanced server within 3 s', async () => {
	const setup = new fixture.Fixture();
	await setup.start();
	await setup.startFailover();
	setup.cluster.get('c').isReplicationCut = true;
	setup.cluster.commit(setup.cluster.get('a'));
	await setup.time.advance(500);
	setup.cluster.get('a').isUnresponsive = true;
	await setup.time.advance(3000);
	assert.equal(setup.group.leader?.id, 'b');
	assert.deepEqual(new Set(setup.authority.requests.map(({server}) => server)), new Set(['b']));
	await setup.stop();
});

test.test('no server is promoted while servers of a starting system are still registering', async () => {
	const setup = new fixture.Fixture();
	void setup.failover.run(setup.stopped.signal);
	await setup.start(['b', 'c']);
	await setup.time.advance(1500);
	setup.group.register(setup.cluster.registration('a'));
	await setup.time.advance(4000);
	assert.deepEqual(setup.authority.requests, []);
	assert.deepEqual(setup.cluster.servers.map(({heldTerm}) => heldTerm), [0, 0, 0]);
	await setup.stop();
});

test.test('no server is promoted while a replica that may hold the only copy of a commit does not respond', async () => {
	const setup = new fixture.Fixture();
	await setup.start();
	await setup.startFailover();
	setup.cluster.get('a').isUnresponsive = true;
	setup.cluster.get('b').isUnresponsive = true;
	await setup.time.advance(5000);
	assert.deepEqual(setup.authority.requests, []);
	await setup.stop();
});

test.test('a server that restarted with an empty log does not count as holding earlier commits', async () => {
	const setup = new fixture.Fixture();
	await setup.start();
	await setup.startFailover();
	setup.cluster.get('c').isReplicationCut = true;
	setup.cluster.commit(setup.cluster.get('a'));
	await setup.time.advance(500);
	// The only replica that has the commit loses its log, and the leader fails.
	setup.cluster.get('b').index = 0;
	setup.cluster.get('b').isReplicationCut = true;
	setup.group.register(setup.cluster.registration('b', {startedAt: 60_000}));
	setup.cluster.get('a').isUnresponsive = true;
	await setup.time.advance(6000);
	assert.deepEqual(setup.authority.requests, []);
	setup.cluster.get('a').isUnresponsive = false;
	await setup.time.advance(3000);
	assert.equal(setup.group.leader?.id, 'a');
	await setup.stop();
});

// Guards against the loss of a commit whose only other copy left with a replica that is no longer registered.
test.test('a commit that only a removed replica had received is not lost with the leader', async () => {
	const setup = new fixture.Fixture();
	await setup.start();
	await setup.startFailover();
	setup.cluster.get('c').isReplicationCut = true;
	setup.cluster.commit(setup.cluster.get('a'));
	await setup.time.advance(500);
	setup.cluster.get('b').isUnresponsive = true;
	setup.group.markMissing('b');
	await setup.time.advance(5000);
	assert.deepEqual(setup.group.members.map(({id}) => id), ['a', 'c']);
	setup.cluster.get('a').isUnresponsive = true;
	await setup.time.advance(5000);
	assert.deepEqual(setup.authority.requests, []);
	await setup.stop();
});

// Guards against a service that stays without failover after a replica was removed.
test.test('a replica that caught up after another one was removed can replace the leader', async () => {
	const setup = new fixture.Fixture();
	await setup.start();
	await setup.startFailover();
	setup.cluster.get('b').isUnresponsive = true;
	setup.group.markMissing('b');
	await setup.time.advance(8000);
	setup.cluster.get('a').isUnresponsive = true;
	await setup.time.advance(3000);
	assert.equal(setup.group.leader?.id, 'c');
	await setup.stop();
});

// Guards against a service that stays without failover while its replicas follow a busy leader closely.
test.test('a replica that keeps up with a busy leader replaces it soon after another one was removed', async () => {
	const setup = new fixture.Fixture();
	await setup.start();
	await setup.startFailover();
	setup.cluster.get('b').isUnresponsive = true;
	setup.group.markMissing('b');
	for (let elapsedMs = 0; elapsedMs < 3000; elapsedMs += 20) {
		setup.cluster.commit(setup.cluster.get('a'));
		await setup.time.advance(20);
	}

	setup.cluster.get('a').isUnresponsive = true;
	await setup.time.advance(3000);
	assert.equal(setup.group.leader?.id, 'c');
	await setup.stop();
});

// Guards against the loss of a commit held by a silent replica once the registration of the failed leader has expired.
test.test('no server is promoted without a silent replica after the failed leader was removed', async () => {
	const setup = new fixture.Fixture();
	await setup.start();
	await setup.startFailover();
	setup.cluster.get('c').isReplicationCut = true;
	setup.cluster.commit(setup.cluster.get('a'));
	await setup.time.advance(500);
	setup.cluster.get('a').isUnresponsive = true;
	setup.cluster.get('b').isUnresponsive = true;
	setup.group.markMissing('a');
	await setup.time.advance(8000);
	assert.deepEqual(setup.group.members.map(({id}) => id), ['b', 'c']);
	assert.deepEqual(setup.authority.requests, []);
	await setup.stop();
});

test.test('a replica paused for a promotion resumes replication afterwards', async () => {
	const setup = new fixture.Fixture();
	await setup.start();
	await setup.startFailover();
	setup.cluster.get('a').isUnresponsive = true;
	await setup.time.advance(3000);
	const primary = setup.cluster.servers.find(({role}) => role === 'primary')!;
	assert.notEqual(primary.name, 'a');
	assert.ok(setup.cluster.servers.every(({heldTerm}) => heldTerm <= primary.term));
	await setup.stop();
});

// Guards against the loss of a commit that a server acknowledges which registers while the promotion is in progress.
test.test('a server that registers during a promotion acknowledges no commit that the promoted one may lack', async () => {
	const setup = new fixture.Fixture();
	await setup.start(['a', 'b']);
	await setup.startFailover();
	setup.cluster.get('a').isIgnoringStepDown = true;
	setup.group.register(setup.cluster.registration('a', {state: 'leaving'}));
	await awaitPromotionRequest(setup);
	setup.group.register(setup.cluster.registration('c'));
	await setup.time.advance(200);
	// The target receives the entry only after the promotion, so that nothing but the pause keeps it from being acknowledged.
	setup.cluster.get('b').isReplicationCut = true;
	setup.cluster.commit(setup.cluster.get('a'));
	assert.equal(setup.cluster.get('c').index, 0);
	await setup.time.advance(1000);
	assert.equal(setup.group.leader?.id, 'b');
	await setup.stop();
});

// Guards against the loss of a commit that a paused server acknowledges after a late order or a restart ended its pause.
test.test('a server that is resumed during a promotion is paused again', async () => {
	const setup = new fixture.Fixture();
	await setup.start();
	await setup.startFailover();
	setup.cluster.get('a').isIgnoringStepDown = true;
	setup.group.register(setup.cluster.registration('a', {state: 'leaving'}));
	await awaitPromotionRequest(setup);
	const paused = setup.cluster.servers.find(({heldTerm}) => heldTerm > 0)!;
	paused.heldTerm = 0;
	await setup.time.advance(200);
	assert.equal(paused.heldTerm, 2);
	await setup.time.advance(1000);
	assert.ok(setup.cluster.servers.every(({heldTerm}) => heldTerm <= 2));
	assert.notEqual(setup.group.leader?.id, paused.name);
	await setup.stop();
});

/** Takes replica b away, then stalls the commits of leader a through c, its only replica. */
async function stallOnLastReplica(setup: fixture.Fixture): Promise<void> {
	const [a, b, c] = setup.cluster.servers;
	setup.cluster.commit(a);
	b.isUnresponsive = true;
	setup.group.markMissing('b');
	await setup.time.advance(8000);
	assert.deepEqual(setup.group.members.map(({id}) => id), ['a', 'c']);
	c.isReplicationCut = true;
	setup.group.leader?.commitSent(setup.time.now());
	assert.equal(setup.cluster.commit(a), false);
}

// Guards against the loss of commits that the old leader acknowledges through a replica that returns during the promotion.
test.test('a replica that returns during a promotion acknowledges no commit that the promoted one lacks', async () => {
	const setup = new fixture.Fixture();
	await setup.start();
	await setup.startFailover();
	await stallOnLastReplica(setup);
	await awaitPromotionRequest(setup);
	const [a, b] = setup.cluster.servers;
	b.isUnresponsive = false;
	assert.equal(setup.cluster.commit(a), false, 'a commit was acknowledged that c lacks');
	setup.group.register(setup.cluster.registration('b'));
	await setup.time.advance(1000);
	assert.equal(setup.group.leader?.id, 'c');
	await setup.stop();
});

// Guards against the same loss at a leader that doesn't obey the order to step down.
test.test('a leader that does not step down is not replaced while a replica that disappeared may return', async () => {
	const setup = new fixture.Fixture();
	await setup.start();
	await setup.startFailover();
	setup.cluster.get('a').isIgnoringStepDown = true;
	await stallOnLastReplica(setup);
	await setup.time.advance(4000);
	assert.deepEqual(setup.authority.requests, []);
	assert.deepEqual(setup.cluster.servers.map(({heldTerm}) => heldTerm), [0, 0, 0]);
	await setup.stop();
});

// Guards against the promotion of another server while the leader only lacks a replica: the commits that wait fill the pool
// of a host, so that it could not probe the leader, and the first one that timed out counted as a long silence.
test.test('a leader whose commits wait and which refuses further connections does not count as silent', async () => {
	const setup = new fixture.Fixture();
	await setup.start();
	await setup.startFailover();
	const [a, b, c] = setup.cluster.servers;
	setup.cluster.requiresReplica = true;
	a.isIgnoringStepDown = true;
	b.isUnresponsive = true;
	setup.group.markMissing('b');
	await setup.time.advance(8000);
	c.isReplicationCut = true;
	const writer = new writes.Writer(setup.context);
	const replies = Array.from({length: 4}, async (_, index) => writer.execute(setup.statementJob(`WRITE ${index} x`, {id: `q${index}`})));
	await setup.time.advance(20);
	a.isAtLimit = true;
	await setup.time.advance(1500);
	await Promise.all(replies);
	assert.notEqual(setup.failover.reason(), 'silent');
	assert.deepEqual(setup.authority.requests, []);
	await setup.stop();
});

// Guards against commits that a leader acknowledges which was silent when it was replaced and returns before the new one leads.
test.test('a silent leader that returns during a promotion steps down', async () => {
	const setup = new fixture.Fixture();
	await setup.start();
	await setup.startFailover();
	setup.authority.isUnavailable = true;
	const a = setup.cluster.get('a');
	a.isUnresponsive = true;
	await awaitPromotionRequest(setup);
	a.isUnresponsive = false;
	await setup.time.advance(1500);
	assert.equal(a.role, 'replica');
	await setup.stop();
});

// Guards against the loss of a commit held by a replica that becomes silent after the leader has stepped down.
test.test('a replica that stops responding after the step-down is missed', async () => {
	const setup = new fixture.Fixture();
	await setup.start();
	await setup.startFailover();
	const [a, b, c] = setup.cluster.servers;
	c.isReplicationCut = true;
	assert.equal(setup.cluster.commit(a), true);
	setup.group.register(setup.cluster.registration('a', {state: 'leaving'}));
	for (let waitedMs = 0; a.role === 'primary' && waitedMs < 2000; waitedMs++) {
		await setup.time.advance(1);
	}

	b.isUnresponsive = true;
	await setup.time.advance(8000);
	assert.ok(setup.authority.requests.every(({server}) => server !== 'c'));
	assert.equal(setup.cluster.servers.find(({role}) => role === 'primary')?.name, 'a');
	await setup.stop();
});

// Guards against a failover that waits for the answer of a dead leader to an order.
test.test('a leader that fails while commits are pending is replaced within 3 s', async () => {
	const setup = new fixture.Fixture();
	await setup.start();
	await setup.startFailover();
	// The commits stall before the probes of the leader fail.
	setup.group.leader?.commitSent(setup.time.now() - 500);
	setup.cluster.get('a').isUnresponsive = true;
	await setup.time.advance(3000);
	assert.notEqual(setup.group.leader?.id, 'a');
	await setup.stop();
});

// Guards against orders for a server that lacks commits acknowledged since it was chosen.
test.test('a promotion is given up if another server acknowledged commits that the target lacks', async () => {
	const setup = new fixture.Fixture();
	await setup.start();
	await setup.startFailover();
	const [a, b] = setup.cluster.servers;
	a.isIgnoringStepDown = true;
	setup.authority.isUnavailable = true;
	setup.group.register(setup.cluster.registration('a', {state: 'leaving'}));
	await awaitPromotionRequest(setup);
	const target = setup.authority.requests[0].server;
	const other = target === 'b' ? setup.cluster.get('c') : b;
	setup.cluster.get(target).isReplicationCut = true;
	other.heldTerm = 0;
	assert.equal(setup.cluster.commit(a), true);
	await setup.time.advance(1500);
	setup.authority.requests.length = 0;
	setup.authority.isUnavailable = false;
	await setup.time.advance(4000);
	assert.ok(setup.group.leader && setup.group.leader.id !== target);
	assert.ok(setup.authority.requests.every(({server}) => server !== target));
	await setup.stop();
});

// Guards against the loss of all commits: an order names only the id, and the server that was chosen starts again without its log.
for (const isIgnoringStepDown of [false, true]) {
	test.test(`a server that starts again without its log is not promoted by a repeated order, ${isIgnoringStepDown ? 'beside a leader that leads on' : 'after a step-down'}`, async () => {
		const setup = new fixture.Fixture();
		await setup.start();
		await setup.startFailover();
		const a = setup.cluster.get('a');
		a.isIgnoringStepDown = isIgnoringStepDown;
		setup.cluster.commit(a);
		setup.authority.isUnavailable = true;
		setup.group.register(setup.cluster.registration('a', {state: 'leaving'}));
		await awaitPromotionRequest(setup);
		const target = setup.cluster.get(setup.authority.requests[0].server);
		target.index = 0;
		target.heldTerm = 0;
		target.isReplicationCut = true;
		await setup.time.advance(100);
		setup.group.register(setup.cluster.registration(target.name, {startedAt: 60_000}));
		await setup.time.advance(400);
		setup.authority.isUnavailable = false;
		setup.authority.requests.length = 0;
		await setup.time.advance(1500);
		assert.ok(setup.authority.requests.every(({server}) => server !== target.name));
		target.isReplicationCut = false;
		setup.cluster.commit(a);
		await setup.time.advance(6000);
		assert.ok(setup.cluster.servers.find(({role}) => role === 'primary')!.index >= 1);
		assert.ok(setup.group.leader && setup.group.leader.id !== 'a');
		assert.deepEqual(setup.cluster.servers.filter(({heldTerm, term}) => heldTerm > term), []);
		await setup.stop();
	});
}

test.test('a leaving leader is replaced by a server that has every commit', async () => {
	const setup = new fixture.Fixture();
	await setup.start();
	await setup.startFailover();
	setup.cluster.commit(setup.cluster.get('a'));
	setup.group.register(setup.cluster.registration('a', {state: 'leaving'}));
	await setup.time.advance(2000);
	assert.equal(setup.group.leader?.id === 'b' || setup.group.leader?.id === 'c', true);
	assert.equal(setup.cluster.get(setup.group.leader!.id).index, 1);
	await setup.stop();
});

test.test('a promotion request without a response is retried with the same token and server', async () => {
	const setup = new fixture.Fixture();
	await setup.start();
	await setup.startFailover();
	setup.authority.lostResponses = 3;
	setup.cluster.get('a').isUnresponsive = true;
	await setup.time.advance(4000);
	assert.equal(setup.authority.requests.length, 4);
	assert.equal(new Set(setup.authority.requests.map(({server, token}) => `${server} ${token}`)).size, 1);
	await setup.stop();
});

test.test('a host does not request a promotion while another host holds the claim', async () => {
	const setup = new fixture.Fixture();
	await setup.start();
	await setup.startFailover();
	setup.claims.update('ledgers', setup.store.put('claims', 'ledgers', {holder: 'entry-2', nonce: 'x'}));
	setup.cluster.get('a').isUnresponsive = true;
	await setup.time.advance(3000);
	assert.deepEqual(setup.authority.requests, []);
	await setup.stop();
});

test.test('guards against replicas that stay paused because the restored store has lost the claim of the host that paused them', async () => {
	const setup = new fixture.Fixture();
	await setup.start();
	await setup.startFailover();
	setup.cluster.get('c').heldTerm = 2;
	for (let second = 0; second < 32; second++) {
		setup.cluster.commit(setup.cluster.get('a'));
		await setup.time.advance(1000);
	}

	assert.equal(setup.cluster.get('c').heldTerm, 0);
	assert.deepEqual(setup.authority.requests, []);
	await setup.stop();
});

test.test('guards against a failover that never comes because the restored store has lost the claim of an earlier one', async () => {
	const setup = new fixture.Fixture();
	await setup.start();
	await setup.startFailover();
	setup.store.copy();
	setup.cluster.get('a').isUnresponsive = true;
	await setup.time.advance(3000);
	const first = setup.group.leader?.id ?? '';
	assert.notEqual(first, 'a');
	setup.cluster.get('a').isUnresponsive = false;
	await setup.time.advance(5000);
	setup.store.restore();
	setup.cluster.get(first).isUnresponsive = true;
	await setup.time.advance(4000);
	assert.notEqual(setup.group.leader?.id, first);
	assert.equal(setup.authority.requests.length, 2);
	assert.ok(setup.authority.requests[1].token > setup.authority.requests[0].token);
	await setup.stop();
});

test.test('guards against orders with a token that is lower than that of a later claim, while the authority does not answer', async () => {
	const setup = new fixture.Fixture();
	await setup.start();
	await setup.startFailover();
	setup.store.copy();
	setup.authority.lostResponses = 100;
	setup.cluster.get('a').isUnresponsive = true;
	await setup.time.advance(1500);
	assert.ok(setup.authority.requests.length > 0);
	setup.store.restore();
	setup.claims.update('ledgers', setup.store.put('claims', 'ledgers', {holder: 'entry-9', nonce: 'later'}));
	await setup.time.advance(1000);
	const before = setup.authority.requests.length;
	await setup.time.advance(4000);
	assert.equal(setup.authority.requests.length, before);
	await setup.stop();
});

test.test('guards against a kept claim whose token serves another order although an earlier one may still be carried out', async () => {
	const setup = new fixture.Fixture();
	await setup.start();
	await setup.startFailover();
	setup.authority.isHolding = true;
	setup.cluster.get('a').isUnresponsive = true;
	await awaitPromotionRequest(setup);
	setup.store.state = 'down';
	await setup.time.advance(3000);
	const before = setup.authority.requests.length;
	assert.ok(setup.claims.wasClaimed('ledgers'));
	await setup.time.advance(6000);
	assert.equal(setup.authority.requests.length, before);
	await setup.stop();
});

test.test('guards against the loss of a commit held by a server that registers between the query of the servers and the pause', async () => {
	const setup = new fixture.Fixture();
	await setup.start(['a', 'b']);
	await setup.startFailover();
	setup.group.register(setup.cluster.registration('a', {state: 'leaving'}));
	const create = setup.store.create.bind(setup.store);
	setup.store.create = async (...call) => {
		setup.group.register(setup.cluster.registration('c'));
		setup.cluster.get('b').isReplicationCut = true;
		setup.cluster.commit(setup.cluster.get('a'));
		return create(...call);
	};

	await setup.time.advance(2000);
	assert.equal(setup.cluster.get('c').index, 1);
	assert.deepEqual(setup.authority.requests, []);
	await setup.stop();
});

test.test('guards against a service that stays without primary because it failed before every host started, and was then removed', async () => {
	const setup = new fixture.Fixture();
	setup.cluster.get('a').isUnresponsive = true;
	await setup.start();
	setup.group.markMissing('a');
	await setup.startFailover();
	await setup.time.advance(6000);
	assert.deepEqual(setup.group.members.map(({id}) => id), ['b', 'c']);
	assert.ok(setup.group.leader, 'no leader');
	await setup.stop();
});

test.test('guards against a replica that stays paused because the pause reached it after the promotion', async () => {
	const setup = new fixture.Fixture();
	await setup.start();
	await setup.startFailover();
	setup.cluster.get('a').isIgnoringStepDown = true;
	setup.group.register(setup.cluster.registration('a', {state: 'leaving'}));
	await awaitPromotionRequest(setup);
	const promote = setup.cluster.promote.bind(setup.cluster);
	setup.cluster.promote = name => {
		promote(name);
		const replica = setup.cluster.servers.find(({role, name: other}) => role === 'replica' && other !== 'a')!;
		replica.term = 1;
		replica.heldTerm = 2;
	};

	await setup.time.advance(1500);
	assert.deepEqual(setup.cluster.servers.map(({heldTerm}) => heldTerm), [0, 0, 0]);
	await setup.stop();
});
