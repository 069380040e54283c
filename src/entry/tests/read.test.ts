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

// Pattern: connection storm. The limit is noticed only after the read has begun to wait for the leader's position.
test.test('guards against a read that is refused for want of a read index although the leader becomes reachable in time', async () => {
	const harness = new fixture.Fixture();
	await harness.start();
	const leader = harness.cluster.get('a');
	leader.fillConnectionLimit();

	const route = harness.route({maximumAgeMs: 0});
	const reading = new read.Reader(harness.context).execute(harness.statementJob('READ 1', {route}));
	await harness.time.advance(400);
	leader.isAtLimit = false;
	const reply = await harness.runFor(400, reading);
	assert.equal(reply.refusal, null, reply.message);
	await harness.stop();
});

// Pattern: thundering herd. All callers return at once to a host that may open only its usual connections.
test.test('guards against refusals while the requests of a host that has just started queue for its few connections', async () => {
	const harness = new fixture.Fixture();
	await harness.start(['a', 'b', 'c'], 1);
	harness.group.resize({softLimit: 1, hardLimit: 4}, true);
	const route = harness.route({kind: 'primary', maximumAgeMs: 0, targetMs: 100});
	const reader = new read.Reader(harness.context);
	const reads = Array.from({length: 12}, async () => reader.execute(harness.statementJob('READ 1', {route})));
	await harness.time.advance(800);
	const replies = await Promise.all(reads);
	assert.deepEqual(replies.filter(({refusal}) => refusal !== null), []);
	await harness.stop();
});

test.test('guards against "not run" for a read that a server executed without a reply before the others refused it', async () => {
	const harness = new fixture.Fixture();
	await harness.start();
	harness.cluster.get('b').responseMode = 'answer-lost';
	harness.cluster.get('a').responseMode = 'busy';
	harness.cluster.get('c').responseMode = 'busy';
	const reply = await harness.runFor(1000, new read.Reader(harness.context).execute(harness.statementJob('READ 1')));
	assert.equal(harness.cluster.executions.length, 1);
	assert.equal(reply.refusal, 'failed');
	await harness.stop();
});

test.test('guards against "not run" for a read whose reply is on its way when the time of the read ends', async () => {
	const harness = new fixture.Fixture();
	await harness.start(['b', 'a']);
	harness.cluster.get('a').responseMode = 'busy';
	const job = harness.statementJob('READ 1');
	const reading = new read.Reader(harness.context).execute({...job, deadline: harness.time.now() + 300});
	harness.cluster.get('b').isUnresponsive = true;
	const reply = await harness.runFor(1000, reading);
	assert.equal(reply.refusal, 'failed');
	await harness.stop();
});

test.test('guards against "may have run" for a read that every server refused', async () => {
	const harness = new fixture.Fixture();
	await harness.start();
	for (const server of harness.cluster.servers) {
		server.responseMode = 'busy';
	}

	const reply = await harness.runFor(1000, new read.Reader(harness.context).execute(harness.statementJob('READ 1')));
	assert.equal(reply.refusal, 'busy');
	await harness.stop();
});

test.test('guards against a read that fails at a faulty server although another one would answer it', async () => {
	const harness = new fixture.Fixture();
	await harness.start();
	harness.cluster.get('b').responseMode = 'failed';
	const reader = new read.Reader(harness.context);
	const reply = await harness.runFor(200, reader.execute(harness.statementJob('READ 1')));
	assert.equal(reply.refusal, null);
	for (const server of harness.cluster.servers) {
		server.responseMode = 'failed';
	}

	const requests = (): number => harness.group.members.reduce((sum, server) => sum + harness.group.balancer.requests(server), 0);
	const before = requests();
	const faulty = await harness.runFor(200, reader.execute(harness.statementJob('READ 2')));
	assert.equal(faulty.refusal, 'failed');
	assert.equal(requests() - before, 2);
	await harness.stop();
});

test.test('guards against every read of a host being sent first to a server that refuses them', async () => {
	const harness = new fixture.Fixture();
	await harness.start();
	harness.cluster.get('b').responseMode = 'busy';
	const reader = new read.Reader(harness.context);
	for (let index = 0; index < 20; index++) {
		const reply = await harness.runFor(40, reader.execute(harness.statementJob(`READ ${index}`)));
		assert.equal(reply.refusal, null);
	}

	const refusing = harness.group.members.find(({id}) => id === 'b');
	assert.ok(refusing && harness.group.balancer.requests(refusing) <= 3);
	harness.cluster.get('b').responseMode = 'usual';
	for (let index = 0; index < 60; index++) {
		await harness.runFor(40, reader.execute(harness.statementJob(`READ again ${index}`)));
	}

	assert.equal(harness.cluster.executions.at(-1)?.server, 'b');
	await harness.stop();
});
