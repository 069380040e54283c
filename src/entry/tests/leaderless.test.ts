import * as assert from 'node:assert/strict';
import * as test from 'node:test';
import * as fixture from './fixture.js';

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
