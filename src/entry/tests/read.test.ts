import * as assert from 'node:assert/strict';
import * as test from 'node:test';
import * as read from '../read.js';
import * as fixture from './fixture.js';

test.test('a read with an age runs at the nearest server, on a log that holds the floor', async () => {
	const parts = new fixture.Fixture();
	await parts.start();
	const reply = await parts.after(100, new read.Reader(parts.context).execute(parts.run('READ 1')));
	assert.equal(reply.refusal, null);
	assert.deepEqual(parts.cluster.ran.map(({server}) => server), ['b']);
	await parts.stop();
});

test.test('a replica without the floor is not served from: the read goes to a server that has it', async () => {
	const parts = new fixture.Fixture();
	await parts.start();
	for (const name of ['b', 'c']) {
		parts.cluster.get(name).isDeaf = true;
	}

	parts.cluster.commit(parts.cluster.get('a'));
	await parts.time.advance(2000);
	const reply = await parts.after(200, new read.Reader(parts.context).execute(parts.run('READ 1')));
	assert.equal(reply.refusal, null);
	assert.deepEqual(parts.cluster.ran.map(({server}) => server), ['a']);
	await parts.stop();
});

test.test('a session reads its own commit although the replica has other data that is young enough', async () => {
	const parts = new fixture.Fixture();
	await parts.start();
	parts.cluster.get('b').isDeaf = true;
	parts.cluster.commit(parts.cluster.get('a'));
	const own = parts.cluster.get('a').end;
	const reply = await parts.after(200, new read.Reader(parts.context).execute(parts.run('READ 1', {own})));
	assert.equal(reply.refusal, null);
	assert.notEqual(parts.cluster.ran[0]?.server, 'b');
	await parts.stop();
});

test.test('a read of a primary route does not run at a server that was replaced without this host knowing', async () => {
	const parts = new fixture.Fixture();
	await parts.start();
	parts.cluster.promote('c');
	const route = parts.route({kind: 'primary', maximumAgeMs: 0});
	const reply = await parts.after(400, new read.Reader(parts.context).execute(parts.run('READ 1', {route})));
	assert.equal(reply.refusal, null);
	assert.deepEqual(parts.cluster.ran.map(({server}) => server), ['c']);
	await parts.stop();
});

test.test('a read is answered by another server when the first one is silent', async () => {
	const parts = new fixture.Fixture();
	await parts.start();
	parts.cluster.get('b').isDark = true;
	const reply = await parts.after(700, new read.Reader(parts.context).execute(parts.run('READ 1')));
	assert.equal(reply.refusal, null);
	await parts.stop();
});

test.test('without a young floor a read is refused early, and no server ran it', async () => {
	const parts = new fixture.Fixture();
	await parts.start();
	for (const server of parts.cluster.servers) {
		server.isDark = true;
	}

	await parts.time.advance(3000);
	const startedAt = parts.time.now();
	let refusedAt = Number.NaN;
	const execute = async (): Promise<string | null> => {
		const {refusal} = await new read.Reader(parts.context).execute(parts.run('READ 1'));
		refusedAt = parts.time.now();
		return refusal;
	};

	assert.equal(await parts.after(1000, execute()), 'busy');
	assert.ok(refusedAt - startedAt <= 125, `refused after ${refusedAt - startedAt} ms`);
	assert.deepEqual(parts.cluster.ran, []);
	await parts.stop();
});

test.test('a replica that lacked a position is not asked again at once by reads that need it', async () => {
	const parts = new fixture.Fixture();
	await parts.start();
	parts.cluster.get('b').isDeaf = true;
	parts.cluster.commit(parts.cluster.get('a'));
	const own = parts.cluster.get('a').end;
	const reader = new read.Reader(parts.context);
	await parts.after(200, reader.execute(parts.run('READ 1', {own})));
	let isAnswered = false;
	const second = (async () => {
		await reader.execute(parts.run('READ 2', {own}));
		isAnswered = true;
	})();
	// One round trip and the work; a refusal before it would take another round trip.
	await parts.time.advance(16);
	assert.equal(isAnswered, true);
	await parts.after(500, second);
	parts.cluster.get('b').isDeaf = false;
	parts.cluster.commit(parts.cluster.get('a'));
	await parts.time.advance(2000);
	await parts.after(100, reader.execute(parts.run('READ 3')));
	assert.equal(parts.cluster.ran.at(-1)?.server, 'b');
	await parts.stop();
});
