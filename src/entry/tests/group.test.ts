import * as assert from 'node:assert/strict';
import * as test from 'node:test';
import * as fixture from './fixture.js';

test.test('a late answer of a leader that was replaced does not make it leader again', async () => {
	const parts = new fixture.Fixture();
	await parts.start();
	const [a] = parts.group.members;
	const early = parts.time.mark();
	await parts.time.advance(50);
	parts.cluster.promote('b');
	await parts.time.advance(1000);
	assert.equal(parts.group.leader?.id, 'b');
	parts.group.confirm(a, early, {term: 1, index: 9});
	assert.equal(parts.group.leader?.id, 'b');
	await parts.stop();
});

test.test('a new leader ends the floors of the old one, whose log may have been cut back', async () => {
	const parts = new fixture.Fixture();
	await parts.start();
	const {reign} = parts.group;
	parts.cluster.get('a').index = 50;
	await parts.time.advance(600);
	parts.cluster.promote('b');
	await parts.time.advance(1000);
	assert.equal(parts.group.reign, reign + 1);
	assert.deepEqual(parts.group.floor(parts.time.mark(), 5000)?.position, {term: 2, index: 0});
	await parts.stop();
});

test.test('a floor counts the time for which the host was suspended', async () => {
	const parts = new fixture.Fixture();
	await parts.start();
	const now = parts.time.mark();
	assert.ok(parts.group.floor(now, 1000));
	assert.equal(parts.group.floor({...now, wallMs: now.wallMs + 5000}, 1000), undefined);
	await parts.stop();
});

test.test('a server whose registration is missing is kept for a moment and removed then', async () => {
	const parts = new fixture.Fixture();
	await parts.start();
	parts.group.miss('c');
	await parts.time.advance(2000);
	assert.ok(parts.group.members.some(({id}) => id === 'c'));
	await parts.time.advance(1000);
	assert.ok(!parts.group.members.some(({id}) => id === 'c'));
	await parts.stop();
});

test.test('a server that started again under its id is another one, and says nothing of older commits', async () => {
	const parts = new fixture.Fixture();
	await parts.start();
	await parts.time.advance(3000);
	parts.cluster.get('c').isDeaf = true;
	parts.cluster.get('c').index = -1;
	parts.group.register(parts.cluster.registration('c', {startedAt: 60_000}));
	await parts.time.advance(3000);
	assert.equal(parts.group.members.find(({id}) => id === 'c')?.isSynchronized, false);
	parts.cluster.get('c').index = parts.cluster.get('a').index;
	await parts.time.advance(3000);
	assert.equal(parts.group.members.find(({id}) => id === 'c')?.isSynchronized, true);
	await parts.stop();
});

test.test('a group without work asks nothing and keeps no connection, and knows its leader again with the next work', async () => {
	const parts = new fixture.Fixture();
	parts.group.resize({usual: 4, most: 4});
	for (const name of ['a', 'b', 'c']) {
		parts.group.register(parts.cluster.registration(name));
	}

	void parts.group.run(parts.stopped.signal);
	await parts.time.advance(1000);
	const open = (): number => parts.cluster.servers.reduce((sum, {connections}) => sum + connections.size, 0);
	assert.equal(open(), 0);
	parts.group.use();
	await parts.time.advance(200);
	assert.equal(parts.group.leader?.id, 'a');
	assert.ok(open() > 0);
	await parts.time.advance(20_000);
	assert.equal(open(), 0);
	parts.cluster.promote('b');
	parts.group.use();
	await parts.time.advance(200);
	assert.equal(parts.group.leader?.id, 'b');
	await parts.stop();
});
