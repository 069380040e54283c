import * as assert from 'node:assert/strict';
import * as test from 'node:test';
import * as executor from '../../executor.js';
import * as limiters from '../../customers/limiter.js';
import * as sessions from '../../session.js';
import * as statement from '../../statement.js';
import * as callers from '../../tests/fake-caller.js';
import * as fixture from '../../tests/fixture.js';
import * as write from '../../write.js';
import * as fakes from './fake-services.js';

// Guards against a success whose commit no later read of the session can require, and that no failover was asked about.
test.test('a write whose reply carries no position is in doubt', async () => {
	const services = new fakes.Services();
	await services.start();
	const client = await services.open();
	await services.request(client, 'WRITE 1 a');
	services.all.ledgers.cluster.get('a').hidesPosition = true;
	assert.equal(await services.refusal(client, 'WRITE 2 b'), 'in-doubt');
	await services.stop();
});

// Guards against a host that confirms such a write for the session of another host, which may be of an earlier build.
test.test('the host that runs a write reports it as in doubt if its reply carries no position', async () => {
	const harness = new fixture.Fixture();
	await harness.start();
	harness.cluster.get('a').hidesPosition = true;
	const reply = await harness.runFor(200, new write.Writer(harness.context).execute(harness.statementJob('WRITE 1 a')));
	assert.equal(reply.refusal, 'in-doubt');
	await harness.stop();
});

// Guards against the same for a transaction.
test.test('the COMMIT of a transaction that wrote is in doubt if its reply carries no position', async () => {
	const services = new fakes.Services();
	await services.start();
	const client = await services.open();
	await services.request(client, 'BEGIN');
	await services.request(client, 'WRITE 1 a');
	services.all.ledgers.cluster.get('a').hidesPosition = true;
	assert.equal(await services.refusal(client, 'COMMIT'), 'in-doubt');
	await services.stop();
});

// Guards against doubt about what committed nothing.
test.test('a transaction that wrote nothing ends with success although the reply carries no position', async () => {
	const services = new fakes.Services();
	await services.start();
	const client = await services.open();
	await services.request(client, 'BEGIN');
	await services.request(client, 'READ 1');
	services.all.ledgers.cluster.get('a').hidesPosition = true;
	assert.equal(await services.refusal(client, 'COMMIT'), null);
	await services.stop();
});

/** Replies to each statement with success and no position, as a host of an earlier build passes on what a server replied. */
class Positionless extends executor.Executor {
	override prepare(): void {
		// Nothing to prepare.
	}

	override async run(): Promise<statement.Reply> {
		return statement.success('none');
	}

	override async begin(): Promise<statement.Reply> {
		return statement.refuse('busy', 'not needed', 'none');
	}
}

// Guards against a success without a position that another host passes on.
test.test('a write is in doubt if the host that ran it passes on no position, and a read is not', async () => {
	const services = new fakes.Services();
	await services.start();
	const client = new callers.Caller();
	void new sessions.Session(client, {
		context: services.all.ledgers.context, deployment: services.deployment, executor: new Positionless(), limiter: new limiters.Unlimited(),
	}).run();
	assert.equal(await services.refusal(client, 'WRITE 1 a'), 'in-doubt');
	assert.equal(await services.refusal(client, 'READ 1'), null);
	await services.stop();
});
