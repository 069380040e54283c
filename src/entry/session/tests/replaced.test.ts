import * as assert from 'node:assert/strict';
import * as test from 'node:test';
import type * as callers from '../../tests/fake-caller.js';
import * as fakes from './fake-services.js';

/** A session that has written three times at a service whose servers are then replaced by ones with an empty log. */
async function loseServers(services: fakes.Services): Promise<callers.Caller> {
	await services.start();
	const client = await services.open();
	for (let index = 0; index < 3; index++) {
		assert.equal(await services.refusal(client, `WRITE ${index} a`), null);
	}

	await services.rebuild('ledgers');
	return client;
}

// Guards against reads that are refused for as long as a session lives, since no server has the log of its last commit any more.
test.test('a session whose commit is in no log of the service any more is served what the leader has', async () => {
	const services = new fakes.Services();
	const client = await loseServers(services);
	const reply = await services.request(client, 'READ 1');
	assert.equal(reply.refusal, null, reply.message);
	await services.stop();
});

// Guards against the same for read-only transactions.
test.test('a read-only transaction of such a session is opened', async () => {
	const services = new fakes.Services();
	const client = await loseServers(services);
	assert.equal(await services.refusal(client, 'BEGIN READ'), null);
	assert.equal(await services.refusal(client, 'READ 1'), null);
	await services.stop();
});

// Guards against a stale read at the present log: the position of the former one says nothing about it.
test.test('such a session reads its own commits in the present log', async () => {
	const services = new fakes.Services();
	const client = await loseServers(services);
	await services.request(client, 'READ warm');
	services.cut('ledgers');
	assert.equal(await services.refusal(client, 'WRITE 4 a'), null);
	const reply = await services.request(client, 'READ 4');
	assert.equal(reply.refusal, null, reply.message);
	assert.deepEqual([services.lastExecution('ledgers')?.server, services.lastExecution('ledgers')?.index], ['a1', 1]);
	await services.stop();
});

// Guards against giving up a position that is only unknown to a server that lost the lead without noticing.
test.test('a read that requires a commit waits for the new leader if the former one lacks it', async () => {
	const services = new fakes.Services();
	await services.start();
	const client = await services.open();
	await services.request(client, 'READ warm');
	const {cluster, group} = services.all.ledgers;
	cluster.promote('c');
	await services.time.advance(1000);
	assert.equal(group.leader?.id, 'c');
	for (const name of ['a', 'b']) {
		cluster.get(name).isReplicationCut = true;
	}

	assert.equal(await services.refusal(client, 'WRITE 1 a'), null);
	assert.equal(await services.refusal(client, 'READ 1'), null);
	assert.deepEqual([services.lastExecution('ledgers')?.server, services.lastExecution('ledgers')?.index], ['c', 1]);
	await services.stop();
});
