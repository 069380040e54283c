import * as assert from 'node:assert/strict';
import * as test from 'node:test';
import * as fixture from './fixture.js';

const address = '10.0.0.1:1097';

/** A group in which commits were made and no server leads: the leader stepped down, and the store takes no claim. */
async function startLeaderless(): Promise<fixture.Fixture> {
	const setup = new fixture.Fixture();
	await setup.start();
	await setup.startFailover();
	for (let count = 0; count < 3; count++) {
		setup.cluster.commit(setup.cluster.get('a'));
	}

	await setup.time.advance(2000);
	setup.store.state = 'down';
	setup.cluster.get('a').role = 'replica';
	await setup.time.advance(1000);
	assert.equal(setup.group.leader, undefined);
	return setup;
}

/** Starts servers again under their ids. */
function restart(setup: fixture.Fixture, ...names: readonly string[]): void {
	for (const name of names) {
		setup.group.register(setup.cluster.registration(name, {startedAt: 60_000}));
	}
}

/** Lets a server announce its end and leave. */
async function leave(setup: fixture.Fixture, name: string): Promise<void> {
	setup.group.register(setup.cluster.registration(name, {state: 'leaving'}));
	await setup.time.advance(1000);
	setup.cluster.get(name).isUnresponsive = true;
	setup.group.markMissing(name);
	await setup.time.advance(3000);
	assert.ok(!setup.group.members.some(({id}) => id === name), `${name} is still a member`);
}

/** The servers whose promotion is ordered within 8 s after the store is back. */
async function promoted(setup: fixture.Fixture): Promise<string[]> {
	assert.deepEqual(setup.authority.requests, []);
	setup.store.state = 'well';
	await setup.time.advance(8000);
	await setup.stop();
	return [...new Set(setup.authority.requests.map(({server}) => server))];
}

// Guards against a service without primary for ever: a server that arrives while no leader is known can't be compared with one.
test.test('a server that was replaced at its address with its log counts while no leader is known', async () => {
	const setup = await startLeaderless();
	await leave(setup, 'a');
	setup.cluster.replace(setup.cluster.get('a'), 'd');
	setup.group.register(setup.cluster.registration('d', {address, startedAt: 60_000}));
	const servers = await promoted(setup);
	assert.equal(servers.length, 1);
	assert.ok(setup.group.leader);
});

// Guards against the same for servers that crash and come back with their logs.
test.test('servers that restarted with their logs while no leader is known count', async () => {
	const setup = await startLeaderless();
	restart(setup, 'a', 'b');
	const servers = await promoted(setup);
	assert.equal(servers.length, 1);
	assert.ok(setup.group.leader);
});

// Guards against the same if no server is replaced: a replica restarts, and the leader steps down before the others were
// compared with it.
test.test('a service whose three servers have the same log gets a primary', async () => {
	const setup = new fixture.Fixture();
	await setup.start();
	await setup.startFailover();
	setup.cluster.commit(setup.cluster.get('a'));
	await setup.time.advance(2000);
	setup.cluster.get('a').role = 'replica';
	restart(setup, 'c');
	const servers = await promoted(setup);
	assert.equal(servers.length, 1);
	assert.ok(setup.group.leader);
});

test.test('the most advanced of the servers that restarted is promoted', async () => {
	const setup = await startLeaderless();
	setup.cluster.get('b').index++;
	restart(setup, 'a', 'b', 'c');
	assert.deepEqual(await promoted(setup), ['b']);
});

// Guards against the promotion of a server whose log was filled only in part before the leader lost its own.
test.test('no server is promoted while a log is empty and another one may have been lost', async () => {
	const setup = await startLeaderless();
	setup.cluster.get('a').index = 0;
	restart(setup, 'a', 'b');
	assert.deepEqual(await promoted(setup), []);
});

test.test('no server is promoted while a new server at the address of one that left lacks a part of its log', async () => {
	const setup = await startLeaderless();
	await leave(setup, 'a');
	setup.cluster.replace(setup.cluster.get('a'), 'd').index--;
	setup.group.register(setup.cluster.registration('d', {address, startedAt: 60_000}));
	assert.deepEqual(await promoted(setup), []);
});

test.test('no server is promoted while one that left has a successor at another address only', async () => {
	const setup = await startLeaderless();
	await leave(setup, 'a');
	setup.cluster.replace(setup.cluster.get('a'), 'd');
	setup.group.register(setup.cluster.registration('d', {address: '10.0.0.1:2000', startedAt: 60_000}));
	assert.deepEqual(await promoted(setup), []);
});

// Guards against the loss of a commit that only a crashed leader has, since the replica that received it lost its log.
test.test('no server is promoted while the crashed leader is gone and a replica has restarted', async () => {
	const setup = await startLeaderless();
	const a = setup.cluster.get('a');
	a.index += 5;
	a.isUnresponsive = true;
	setup.group.markMissing('a');
	restart(setup, 'b');
	await setup.time.advance(3000);
	setup.store.state = 'well';
	await setup.time.advance(5000);
	a.isUnresponsive = false;
	setup.group.register(setup.cluster.registration('a', {startedAt: 60_000}));
	assert.deepEqual(await promoted(setup), ['a']);
});

// Guards against the loss of a commit that only the new leader has: its predecessor, which had the other copy, was removed
// before the promotion, and the other replica was last compared with that predecessor.
test.test('a replica that lags behind a new leader does not replace it after the old leader was removed', async () => {
	const setup = new fixture.Fixture();
	await setup.start();
	await setup.startFailover();
	const [a, b, c] = setup.cluster.servers;
	c.isReplicationCut = true;
	setup.cluster.commit(a);
	await setup.time.advance(500);
	setup.store.state = 'down';
	a.isUnresponsive = true;
	setup.group.markMissing('a');
	await setup.time.advance(4000);
	assert.deepEqual(setup.group.members.map(({id}) => id), ['b', 'c']);
	setup.store.state = 'well';
	await setup.time.advance(3000);
	assert.equal(setup.group.leader?.id, 'b');
	b.isUnresponsive = true;
	await setup.time.advance(5000);
	assert.deepEqual([...new Set(setup.authority.requests.map(({server}) => server))], ['b']);
	b.isUnresponsive = false;
	c.isReplicationCut = false;
	await setup.time.advance(1000);
	setup.cluster.commit(b);
	await setup.time.advance(3000);
	b.isUnresponsive = true;
	await setup.time.advance(3000);
	assert.equal(setup.group.leader?.id, 'c');
	await setup.stop();
});

// Guards against a leader that can't be replaced since a replica that receives nothing has to be compared with it again.
test.test('a leader that restarts and leads on with its log has lost nothing', async () => {
	const setup = new fixture.Fixture();
	await setup.start();
	await setup.startFailover();
	const [a, , c] = setup.cluster.servers;
	c.isReplicationCut = true;
	setup.cluster.commit(a);
	setup.group.register(setup.cluster.registration('a', {startedAt: 60_000}));
	await setup.time.advance(4000);
	assert.equal(setup.group.leader?.id, 'a');
	a.isUnresponsive = true;
	await setup.time.advance(3000);
	assert.equal(setup.group.leader?.id, 'b');
	await setup.stop();
});

// Guards against a leaving leader that is not replaced in time, since a replica that doesn't matter was not compared with it.
test.test('a leaving leader is replaced by a complete replica while another one has restarted and receives nothing', async () => {
	const setup = new fixture.Fixture();
	await setup.start();
	await setup.startFailover();
	setup.cluster.commit(setup.cluster.get('a'));
	await setup.time.advance(1500);
	const c = setup.cluster.get('c');
	c.index = 0;
	c.isReplicationCut = true;
	setup.group.register(setup.cluster.registration('c', {startedAt: 60_000}));
	await setup.time.advance(2600);
	setup.group.register(setup.cluster.registration('a', {state: 'leaving'}));
	await setup.time.advance(2000);
	assert.deepEqual(setup.authority.requests.map(({server}) => server), ['b']);
	await setup.stop();
});
