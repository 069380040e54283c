import * as assert from 'node:assert/strict';
import * as test from 'node:test';
import * as write from '../write.js';
import * as fixture from './fixture.js';

test.test('a write whose answer is lost is in doubt and is not sent again', async () => {
	const parts = new fixture.Fixture();
	await parts.start();
	parts.cluster.get('a').manner = 'answer-lost';
	const reply = await parts.after(900, new write.Writer(parts.context).execute(parts.run('WRITE 1 x')));
	assert.equal(reply.refusal, 'in-doubt');
	assert.equal(parts.cluster.ran.filter(({text}) => text.startsWith('WRITE')).length, 1);
	await parts.stop();
});

test.test('a write goes to the new leader when the old one says that it was replaced', async () => {
	const parts = new fixture.Fixture();
	await parts.start();
	parts.cluster.promote('b');
	const reply = await parts.after(400, new write.Writer(parts.context).execute(parts.run('WRITE 1 x')));
	assert.equal(reply.refusal, null);
	assert.deepEqual(parts.cluster.ran.map(({server}) => server), ['b']);
	await parts.stop();
});

test.test('a write that no server took is refused as not run, with when to come back', async () => {
	const parts = new fixture.Fixture();
	await parts.start();
	parts.cluster.get('a').manner = 'busy';
	const reply = await parts.after(900, new write.Writer(parts.context).execute(parts.run('WRITE 1 x')));
	assert.equal(reply.refusal, 'busy');
	assert.match(reply.message, /retry after \d+ ms/v);
	assert.deepEqual(parts.cluster.ran, []);
	await parts.stop();
});
