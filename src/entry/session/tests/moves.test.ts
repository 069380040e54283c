import * as assert from 'node:assert/strict';
import * as test from 'node:test';
import type * as types from '../../../generated/types.js';
import type * as callers from '../../tests/fake-caller.js';
import * as fakes from './fake-services.js';

/** A session that has written to ledgers, whose replicas receive nothing, and to orders, and whose route leads to ledgers again. */
async function writeAtBoth(services: fakes.Services): Promise<callers.Caller> {
	await services.start();
	const client = await services.open();
	await services.request(client, 'READ warm');
	services.cut('ledgers');
	await services.request(client, 'WRITE 1 a');
	services.lead('none');
	services.lead('orders');
	await services.request(client, 'WRITE 2 b');
	services.lead('none');
	services.lead('ledgers');
	return client;
}

// Guards against review case 11: the position of a commit is forgotten when the session commits at another service.
test.test('a session reads its own commit after its route has moved to another service, where it wrote, and come back', async () => {
	const services = new fakes.Services();
	const client = await writeAtBoth(services);
	const reply = await services.request(client, 'READ 1');
	assert.equal(reply.refusal, null, reply.message);
	assert.deepEqual([services.lastExecution('ledgers')?.server, services.lastExecution('ledgers')?.index], ['a', 1]);
	await services.stop();
});

// Guards against the same in a transaction: its minimum position is that of its BEGIN.
test.test('a read-only transaction includes the commit of the session from before its route moved', async () => {
	const services = new fakes.Services();
	const client = await writeAtBoth(services);
	assert.equal(await services.refusal(client, 'BEGIN READ'), null);
	await services.request(client, 'READ 1');
	assert.equal(services.lastExecution('ledgers')?.index, 1);
	await services.stop();
});

// Guards against a commit that counts for the service of the version in force, and not for that of its transaction.
test.test('the commit of a transaction that was opened before its route moved is read where it was made', async () => {
	const services = new fakes.Services();
	await services.start();
	const client = await services.open();
	await services.request(client, 'READ warm');
	services.cut('ledgers');
	await services.request(client, 'BEGIN');
	await services.request(client, 'WRITE 1 a');
	services.lead('orders');
	assert.equal(await services.refusal(client, 'COMMIT'), null);
	await services.request(client, 'WRITE 2 b');
	services.lead('ledgers');
	await services.request(client, 'READ 1');
	assert.equal(services.lastExecution('ledgers')?.server, 'a');
	await services.stop();
});

const kinds: readonly types.RouteKind[] = ['primary', 'aged', 'session'];

for (const kind of kinds) {
	// Guards against a promise that depends on the kind of the route at the time of the commit.
	test.test(`a commit on a route of kind ${kind} is read when the route has kind session`, async () => {
		const services = new fakes.Services();
		await services.start(kind);
		const client = await services.open();
		await services.request(client, 'READ warm');
		services.cut('ledgers');
		await services.request(client, 'WRITE 1 a');
		services.lead('orders', 'primary');
		await services.request(client, 'WRITE 2 b');
		services.lead('ledgers', 'session');
		await services.request(client, 'READ 1');
		assert.equal(services.lastExecution('ledgers')?.index, 1);
		await services.stop();
	});
}

// Guards against a position that is required of another service's log, whose servers would refuse every read for lack of it.
test.test('the position of a commit is not required at another service', async () => {
	const services = new fakes.Services();
	await services.start();
	const client = await services.open();
	for (let index = 0; index < 3; index++) {
		await services.request(client, `WRITE ${index} a`);
	}

	services.lead('orders');
	assert.equal(await services.refusal(client, 'READ 1'), null);
	assert.equal(services.lastExecution('orders')?.index, 0);
	await services.stop();
});
