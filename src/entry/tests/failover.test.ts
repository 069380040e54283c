import * as assert from 'node:assert/strict';
import * as test from 'node:test';
import * as fixture from './fixture.js';

test.test('a silent leader is replaced by the most advanced server within 3 s', async () => {
	const parts = new fixture.Fixture();
	await parts.start();
	await parts.guard();
	parts.cluster.get('c').isDeaf = true;
	parts.cluster.commit(parts.cluster.get('a'));
	await parts.time.advance(500);
	parts.cluster.get('a').isDark = true;
	await parts.time.advance(3000);
	assert.equal(parts.group.leader?.id, 'b');
	assert.deepEqual(new Set(parts.authority.orders.map(({server}) => server)), new Set(['b']));
	await parts.stop();
});

test.test('no server is promoted while the list of a starting system is incomplete', async () => {
	const parts = new fixture.Fixture();
	void parts.failover.run(parts.stopped.signal);
	await parts.start(['b', 'c']);
	await parts.time.advance(1500);
	parts.group.register(parts.cluster.registration('a'));
	await parts.time.advance(4000);
	assert.deepEqual(parts.authority.orders, []);
	assert.deepEqual(parts.cluster.servers.map(({heldTerm}) => heldTerm), [0, 0, 0]);
	await parts.stop();
});

test.test('no server is promoted while a replica that may hold commits alone does not answer', async () => {
	const parts = new fixture.Fixture();
	await parts.start();
	await parts.guard();
	parts.cluster.get('a').isDark = true;
	parts.cluster.get('b').isDark = true;
	await parts.time.advance(5000);
	assert.deepEqual(parts.authority.orders, []);
	await parts.stop();
});

test.test('a server that began with an empty log does not stand for commits of before', async () => {
	const parts = new fixture.Fixture();
	await parts.start();
	await parts.guard();
	parts.cluster.get('c').isDeaf = true;
	parts.cluster.commit(parts.cluster.get('a'));
	await parts.time.advance(500);
	// The one replica that has the commit loses its log, and the leader crashes.
	parts.cluster.get('b').index = 0;
	parts.cluster.get('b').isDeaf = true;
	parts.group.register(parts.cluster.registration('b', {startedAt: 60_000}));
	parts.cluster.get('a').isDark = true;
	await parts.time.advance(6000);
	assert.deepEqual(parts.authority.orders, []);
	parts.cluster.get('a').isDark = false;
	await parts.time.advance(3000);
	assert.equal(parts.group.leader?.id, 'a');
	await parts.stop();
});

test.test('a stopped replica receives again after the promotion, and after one that was given up', async () => {
	const parts = new fixture.Fixture();
	await parts.start();
	await parts.guard();
	parts.cluster.get('a').isDark = true;
	await parts.time.advance(3000);
	const leader = parts.cluster.servers.find(({role}) => role === 'primary')!;
	assert.notEqual(leader.name, 'a');
	assert.ok(parts.cluster.servers.every(({heldTerm}) => heldTerm <= leader.term));
	await parts.stop();
});

test.test('a leader that is leaving hands over to a server that holds everything', async () => {
	const parts = new fixture.Fixture();
	await parts.start();
	await parts.guard();
	parts.cluster.commit(parts.cluster.get('a'));
	parts.group.register(parts.cluster.registration('a', {state: 'leaving'}));
	await parts.time.advance(2000);
	assert.equal(parts.group.leader?.id === 'b' || parts.group.leader?.id === 'c', true);
	assert.equal(parts.cluster.get(parts.group.leader!.id).index, 1);
	await parts.stop();
});

test.test('an order without an answer is repeated with the same token and server', async () => {
	const parts = new fixture.Fixture();
	await parts.start();
	await parts.guard();
	parts.authority.lost = 3;
	parts.cluster.get('a').isDark = true;
	await parts.time.advance(4000);
	assert.equal(parts.authority.orders.length, 4);
	assert.equal(new Set(parts.authority.orders.map(({server, token}) => `${server} ${token}`)).size, 1);
	await parts.stop();
});

test.test('a host does not promote while another one has claimed it', async () => {
	const parts = new fixture.Fixture();
	await parts.start();
	await parts.guard();
	parts.claims.take('ledgers', parts.store.put('claims', 'ledgers', {holder: 'entry-2', nonce: 'x'}));
	parts.cluster.get('a').isDark = true;
	await parts.time.advance(3000);
	assert.deepEqual(parts.authority.orders, []);
	await parts.stop();
});
