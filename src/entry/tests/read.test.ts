import * as assert from 'node:assert/strict';
import * as test from 'node:test';
import * as read from '../read.js';
import * as fixture from './fixture.js';

test.test('a read of a route with a maximum age runs at the nearest server, whose log contains the required position', async () => {
	const harness = new fixture.Fixture();
	await harness.start();
	const reply = await harness.runFor(100, new read.Reader(harness.context).execute(harness.statementJob('READ 1')));
	assert.equal(reply.refusal, null);
	assert.deepEqual(harness.cluster.executions.map(({server}) => server), ['b']);
	await harness.stop();
});

test.test('a replica without the required position is not read: the read goes to a server that has it', async () => {
	const harness = new fixture.Fixture();
	await harness.start();
	for (const name of ['b', 'c']) {
		harness.cluster.get(name).isReplicationCut = true;
	}

	harness.cluster.commit(harness.cluster.get('a'));
	await harness.time.advance(2000);
	const reply = await harness.runFor(200, new read.Reader(harness.context).execute(harness.statementJob('READ 1')));
	assert.equal(reply.refusal, null);
	assert.deepEqual(harness.cluster.executions.map(({server}) => server), ['a']);
	await harness.stop();
});

test.test('a session reads its own commit although the replica satisfies the maximum age without it', async () => {
	const harness = new fixture.Fixture();
	await harness.start();
	harness.cluster.get('b').isReplicationCut = true;
	harness.cluster.commit(harness.cluster.get('a'));
	const sessionPosition = harness.cluster.get('a').end;
	const reply = await harness.runFor(200, new read.Reader(harness.context).execute(harness.statementJob('READ 1', {sessionPosition})));
	assert.equal(reply.refusal, null);
	assert.notEqual(harness.cluster.executions[0]?.server, 'b');
	await harness.stop();
});

test.test('a read of a primary route does not run at a server whose replacement this host has not detected yet', async () => {
	const harness = new fixture.Fixture();
	await harness.start();
	harness.cluster.promote('c');
	const route = harness.route({kind: 'primary', maximumAgeMs: 0});
	const reply = await harness.runFor(400, new read.Reader(harness.context).execute(harness.statementJob('READ 1', {route})));
	assert.equal(reply.refusal, null);
	assert.deepEqual(harness.cluster.executions.map(({server}) => server), ['c']);
	await harness.stop();
});

test.test('a read gets a reply from another server if the first one does not respond', async () => {
	const harness = new fixture.Fixture();
	await harness.start();
	harness.cluster.get('b').isUnresponsive = true;
	const reply = await harness.runFor(700, new read.Reader(harness.context).execute(harness.statementJob('READ 1')));
	assert.equal(reply.refusal, null);
	await harness.stop();
});

test.test('a read is refused early and not run if no position within the maximum age is known', async () => {
	const harness = new fixture.Fixture();
	await harness.start();
	for (const server of harness.cluster.servers) {
		server.isUnresponsive = true;
	}

	await harness.time.advance(3000);
	const startedAt = harness.time.now();
	let refusedAt = Number.NaN;
	const execute = async (): Promise<string | null> => {
		const {refusal} = await new read.Reader(harness.context).execute(harness.statementJob('READ 1'));
		refusedAt = harness.time.now();
		return refusal;
	};

	assert.equal(await harness.runFor(1000, execute()), 'busy');
	assert.ok(refusedAt - startedAt <= 125, `refused after ${refusedAt - startedAt} ms`);
	assert.deepEqual(harness.cluster.executions, []);
	await harness.stop();
});

test.test('a replica that lacked a position is avoided for a while by reads that need it', async () => {
	const harness = new fixture.Fixture();
	await harness.start();
	harness.cluster.get('b').isReplicationCut = true;
	harness.cluster.commit(harness.cluster.get('a'));
	const sessionPosition = harness.cluster.get('a').end;
	const reader = new read.Reader(harness.context);
	await harness.runFor(200, reader.execute(harness.statementJob('READ 1', {sessionPosition})));
	let hasReplied = false;
	const second = (async () => {
		await reader.execute(harness.statementJob('READ 2', {sessionPosition}));
		hasReplied = true;
	})();
	// One round trip and the execution. A refusal by the replica first would take another round trip.
	await harness.time.advance(16);
	assert.equal(hasReplied, true);
	await harness.runFor(500, second);
	harness.cluster.get('b').isReplicationCut = false;
	harness.cluster.commit(harness.cluster.get('a'));
	await harness.time.advance(2000);
	await harness.runFor(100, reader.execute(harness.statementJob('READ 3')));
	assert.equal(harness.cluster.executions.at(-1)?.server, 'b');
	await harness.stop();
});
