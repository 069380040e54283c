import * as assert from 'node:assert/strict';
import * as test from 'node:test';
import * as commits from '../commits.js';
import * as fakes from './fake-services.js';

const mayKeep = (): boolean => true;

// Guards against a position of one log that is required of another, or lost to it.
test.test('the position of a service is that of the latest commit there, whatever was committed elsewhere', () => {
	const made = new commits.Commits();
	made.record('ledgers', {term: 2, index: 7});
	made.record('orders', {term: 9, index: 1});
	made.record('ledgers', {term: 2, index: 9});
	assert.deepEqual(made.positionAt('ledgers'), {term: 2, index: 9});
	assert.deepEqual(made.positionAt('orders'), {term: 9, index: 1});
	assert.equal(made.positionAt('payments'), null);
});

// Guards against a service whose servers were replaced by ones with a shorter log, and that has its former servers again.
test.test('a commit at an earlier position does not replace one at a later position', () => {
	const made = new commits.Commits();
	made.record('ledgers', {term: 2, index: 7});
	made.record('ledgers', {term: 1, index: 30});
	assert.deepEqual(made.positionAt('ledgers'), {term: 2, index: 7});
});

// Guards against sessions that keep more with each commit, or more than the host's memory permits.
test.test('the memory grows with the services that were written to, not with the commits, and within what is permitted', () => {
	const made = new commits.Commits();
	assert.equal(made.bytes, 0);
	for (let index = 0; index < 100; index++) {
		assert.ok(made.reserve('ledgers', mayKeep));
		made.record('ledgers', {term: 1, index});
	}

	const {bytes} = made;
	assert.ok(bytes > 0);
	assert.ok(!made.reserve('orders', size => size <= bytes));
	assert.equal(made.bytes, bytes);
	assert.ok(made.reserve('orders', size => size <= 3 * bytes));
	assert.ok(made.bytes > bytes);
});

// Guards against a commit that is confirmed although the host has no memory to keep it from being forgotten.
test.test('a write whose commit could not be remembered is refused as not run', async () => {
	const services = new fakes.Services();
	await services.start();
	const client = await services.open();
	client.maxKeptBytes = 0;
	assert.equal(await services.refusal(client, 'WRITE 1 a'), 'busy');
	await services.request(client, 'BEGIN');
	assert.equal(await services.refusal(client, 'WRITE 1 a'), 'aborted');
	assert.equal(await services.refusal(client, 'COMMIT'), 'aborted');
	assert.deepEqual(services.all.ledgers.cluster.executions, []);
	client.maxKeptBytes = Number.POSITIVE_INFINITY;
	assert.equal(await services.refusal(client, 'WRITE 1 a'), null);
	assert.ok(client.keptBytes > 0);
	await services.stop();
});
