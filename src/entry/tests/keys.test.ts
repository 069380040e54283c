import * as assert from 'node:assert/strict';
import * as test from 'node:test';
import * as sites from './fake-site.js';

test.test('guards against a session that outlives the removal of its key, at the host that follows the store and at the other', async context => {
	const site = new sites.Site();
	await site.start(context);
	const clients = [await site.open(0), await site.open(1)];
	assert.deepEqual(clients.map(({answer}) => answer), ['accepted', 'accepted']);
	site.configure(['another']);
	await site.time.advance(4000);
	assert.deepEqual(clients.map(({isClosed}) => isClosed), [true, true]);
	const refused = [await site.open(0), await site.open(1)];
	assert.deepEqual(refused.map(({answer}) => answer), ['unauthorized', 'unauthorized']);
});

test.test('all hosts keep serving while the store is down, and one that is cut off from the others as well does not', async context => {
	const site = new sites.Site();
	await site.start(context);
	for (const store of site.stores) {
		store.state = 'down';
	}

	await site.time.advance(20_000);
	const served = [await site.open(0), await site.open(1)];
	assert.deepEqual(served.map(({answer}) => answer), ['accepted', 'accepted']);
	site.cutLinks();
	await site.time.advance(300);
	const refused = await site.open(1);
	assert.equal(refused.answer, 'busy');
	site.stores[1].state = 'well';
	await site.time.advance(4000);
	const again = await site.open(1);
	assert.equal(again.answer, 'accepted');
});

// Guards against a region that can't reach the store and goes on with removed keys, though its hosts reach those elsewhere.
test.test('a host whose region can\'t reach the store learns of the removal of a key from another region in time', async context => {
	const site = new sites.Site();
	site.regions.two = 'east';
	await site.start(context);
	const client = await site.open(1);
	assert.equal(client.answer, 'accepted');
	site.stores[1].state = 'down';
	await site.time.advance(30_000);
	assert.equal(client.isClosed, false);
	site.configure(['another']);
	await site.time.advance(5000);
	assert.equal(client.isClosed, true);
	const refused = await site.open(1);
	assert.equal(refused.answer, 'unauthorized');
});
