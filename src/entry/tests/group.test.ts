import * as assert from 'node:assert/strict';
import * as test from 'node:test';
import * as fixture from './fixture.js';

test.test('a late reply from a replaced leader does not make it leader again', async () => {
	const setup = new fixture.Fixture();
	await setup.start();
	const [a] = setup.group.members;
	const beforePromotion = setup.time.mark();
	await setup.time.advance(50);
	setup.cluster.promote('b');
	await setup.time.advance(1000);
	assert.equal(setup.group.leader?.id, 'b');
	setup.group.confirmLeader(a, beforePromotion, {term: 1, index: 9});
	assert.equal(setup.group.leader?.id, 'b');
	await setup.stop();
});

test.test('a new leader invalidates the read indexes of the old one, whose log may have been truncated', async () => {
	const setup = new fixture.Fixture();
	await setup.start();
	const {leaderEpoch} = setup.group;
	setup.cluster.get('a').index = 50;
	await setup.time.advance(600);
	setup.cluster.promote('b');
	await setup.time.advance(1000);
	assert.equal(setup.group.leaderEpoch, leaderEpoch + 1);
	assert.deepEqual(setup.group.readIndex(setup.time.mark(), 5000)?.position, {term: 2, index: 0});
	await setup.stop();
});

test.test('the age of a read index includes the time for which the host was suspended', async () => {
	const setup = new fixture.Fixture();
	await setup.start();
	const now = setup.time.mark();
	assert.ok(setup.group.readIndex(now, 1000));
	assert.equal(setup.group.readIndex({...now, wallMs: now.wallMs + 5000}, 1000), undefined);
	await setup.stop();
});

test.test('a server whose registration is missing is removed only after the grace period', async () => {
	const setup = new fixture.Fixture();
	await setup.start();
	setup.group.markMissing('c');
	await setup.time.advance(2000);
	assert.ok(setup.group.members.some(({id}) => id === 'c'));
	await setup.time.advance(1000);
	assert.ok(!setup.group.members.some(({id}) => id === 'c'));
	await setup.stop();
});

test.test('a server restarted under the same id is not assumed to hold earlier commits until its log has caught up', async () => {
	const setup = new fixture.Fixture();
	await setup.start();
	await setup.time.advance(3000);
	setup.cluster.get('c').isReplicationCut = true;
	setup.cluster.get('c').index = -1;
	setup.group.register(setup.cluster.registration('c', {startedAt: 60_000}));
	await setup.time.advance(3000);
	assert.equal(setup.group.members.find(({id}) => id === 'c')?.isSynchronized, false);
	setup.cluster.get('c').index = setup.cluster.get('a').index;
	await setup.time.advance(3000);
	assert.equal(setup.group.members.find(({id}) => id === 'c')?.isSynchronized, true);
	await setup.stop();
});

test.test('an idle group sends no polls and keeps no connections, and finds its leader when work resumes', async () => {
	const setup = new fixture.Fixture();
	setup.group.resize({softLimit: 4, hardLimit: 4});
	for (const name of ['a', 'b', 'c']) {
		setup.group.register(setup.cluster.registration(name));
	}

	void setup.group.run(setup.stopped.signal);
	await setup.time.advance(1000);
	const openConnections = (): number => setup.cluster.servers.reduce((sum, {connections}) => sum + connections.size, 0);
	assert.equal(openConnections(), 0);
	setup.group.touch();
	await setup.time.advance(200);
	assert.equal(setup.group.leader?.id, 'a');
	assert.ok(openConnections() > 0);
	await setup.time.advance(20_000);
	assert.equal(openConnections(), 0);
	setup.cluster.promote('b');
	setup.group.touch();
	await setup.time.advance(200);
	assert.equal(setup.group.leader?.id, 'b');
	await setup.stop();
});
