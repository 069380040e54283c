import * as assert from 'node:assert/strict';
import * as test from 'node:test';
import * as write from '../write.js';
import * as fixture from './fixture.js';

test.test('a write whose reply is lost is in doubt and is not sent again', async () => {
	const harness = new fixture.Fixture();
	await harness.start();
	harness.cluster.get('a').responseMode = 'answer-lost';
	const reply = await harness.runFor(900, new write.Writer(harness.context).execute(harness.statementJob('WRITE 1 x')));
	assert.equal(reply.refusal, 'in-doubt');
	assert.equal(harness.cluster.executions.filter(({text}) => text.startsWith('WRITE')).length, 1);
	await harness.stop();
});

test.test('a write goes to the new leader after the old one refuses it as read-only', async () => {
	const harness = new fixture.Fixture();
	await harness.start();
	harness.cluster.promote('b');
	const reply = await harness.runFor(400, new write.Writer(harness.context).execute(harness.statementJob('WRITE 1 x')));
	assert.equal(reply.refusal, null);
	assert.deepEqual(harness.cluster.executions.map(({server}) => server), ['b']);
	await harness.stop();
});

test.test('a write that no server accepted is refused as not run, with a retry delay', async () => {
	const harness = new fixture.Fixture();
	await harness.start();
	harness.cluster.get('a').responseMode = 'busy';
	const reply = await harness.runFor(900, new write.Writer(harness.context).execute(harness.statementJob('WRITE 1 x')));
	assert.equal(reply.refusal, 'busy');
	assert.match(reply.message, /retry after \d+ ms/v);
	assert.deepEqual(harness.cluster.executions, []);
	await harness.stop();
});

// Pattern: connection storm. Lost connections of all hosts fill the limit for longer than a request may usually wait.
test.test('guards against a write that is refused while the connection limit is about to free up within its deadline', async () => {
	const harness = new fixture.Fixture();
	await harness.start();
	const leader = harness.cluster.get('a');
	leader.fillConnectionLimit();

	const waiting = new write.Writer(harness.context).execute(harness.statementJob('WRITE 1 x'));
	await harness.time.advance(500);
	leader.isAtLimit = false;
	const reply = await harness.runFor(300, waiting);
	assert.equal(reply.refusal, null, reply.message);
	await harness.stop();
});

test.test('guards against a write that keeps waiting at a connection limit until its deadline has passed', async () => {
	const harness = new fixture.Fixture();
	await harness.start();
	harness.cluster.get('a').fillConnectionLimit();

	const job = harness.statementJob('WRITE 1 x');
	const reply = await harness.runFor(job.deadline - harness.time.now(), new write.Writer(harness.context).execute(job));
	assert.equal(reply.refusal, 'busy');
	assert.match(reply.message, /retry after \d+ ms/v);
	await harness.stop();
});

test.test('guards against a write that is sent to a busy leader every few milliseconds', async () => {
	const harness = new fixture.Fixture();
	await harness.start();
	harness.cluster.get('a').responseMode = 'busy';
	const reply = await harness.runFor(1000, new write.Writer(harness.context).execute(harness.statementJob('WRITE 1')));
	assert.equal(reply.refusal, 'busy');
	const leader = harness.group.members.find(({id}) => id === 'a');
	const attempts = leader ? harness.group.balancer.requests(leader) : 0;
	assert.ok(attempts >= 4 && attempts <= 10, `${attempts} attempts`);
	await harness.stop();
});
