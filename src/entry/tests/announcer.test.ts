import * as assert from 'node:assert/strict';
import * as test from 'node:test';
import * as Either from 'fp-ts/lib/Either.js';
import type * as types from '../../generated/types.js';
import * as clock from '../../core/clock.js';
import * as random from '../../core/random.js';
import * as announcer from '../announcer.js';
import type * as caches from '../cache.js';
import * as decisions from '../decisions.js';
import * as fakes from './fake-cluster.js';
import * as states from './fake-state.js';

const announcement: types.Announcement = {
	place: 'west-a', region: 'west', peer: '10.0.0.1:7440', capacity: 1,
};

/** A store that counts the calls of the announcer. */
class CountingStore extends fakes.Objects {
	writes = 0;

	override async create(...call: Parameters<fakes.Objects['create']>): Promise<never> {
		this.writes++;
		return await super.create(...call) as never;
	}

	override async replace(...call: Parameters<fakes.Objects['replace']>): Promise<never> {
		this.writes++;
		return await super.replace(...call) as never;
	}
}

/** Runs the announcer of `entry-1` against a store whose list arrives after `listedAfterMs`. */
async function run(store: CountingStore, listedAfterMs: number): Promise<void> {
	const time = new clock.Manual();
	const {hosts} = states.caches(time, new decisions.Silent());
	const stopped = new AbortController();
	void new announcer.Announcer({
		name: 'entry-1', announcement, store, hosts, clock: time, random: new random.Seeded(1), decisions: new decisions.Silent(),
	}).run(stopped.signal);
	await time.advance(listedAfterMs);
	const listing = await store.list('hosts');
	if ('right' in listing) {
		hosts.apply({from: undefined, gone: [], ...listing.right}, time.now());
	}

	await time.advance(3000);
	stopped.abort();
}

// Pattern: thundering herd. Every host of a fleet restarts at once and finds its announcement in the list of hosts.
test.test('guards against store calls by a restarted host whose announcement has not changed', async () => {
	const store = new CountingStore();
	store.put('hosts', 'entry-1', announcement);
	await run(store, 100);
	assert.equal(store.writes, 0);
});

test.test('guards against a host that is not announced, because it is new, has another address or gets no list', async () => {
	const empty = new CountingStore();
	await run(empty, 100);
	assert.equal((await empty.read('hosts', 'entry-1') as {right?: {value?: unknown}}).right?.value, announcement);
	const moved = new CountingStore();
	moved.put('hosts', 'entry-1', {...announcement, peer: '10.0.0.9:7440'});
	await run(moved, 100);
	assert.deepEqual((await moved.read('hosts', 'entry-1') as {right?: {value?: unknown}}).right?.value, announcement);
	const unlisted = new CountingStore();
	await run(unlisted, 5000);
	assert.equal(unlisted.writes, 1);
});

/** Applies the store's list of hosts to a host's cache, as its follower does. */
async function follow(store: CountingStore, hosts: caches.Cache<'hosts'>, time: clock.Manual): Promise<void> {
	const listing = await store.list('hosts');
	assert.ok(Either.isRight(listing));
	hosts.apply({from: undefined, gone: [], ...listing.right}, time.now());
}

test.test('guards against a host that others no longer know because the restored store has lost its announcement', async () => {
	const time = new clock.Manual();
	const store = new CountingStore();
	const {hosts} = states.caches(time, new decisions.Silent());
	const stopped = new AbortController();
	store.copy();
	void new announcer.Announcer({
		name: 'entry-1', announcement, store, hosts, clock: time, random: new random.Seeded(1), decisions: new decisions.Silent(),
	}).run(stopped.signal);
	await follow(store, hosts, time);
	await time.advance(2000);
	await follow(store, hosts, time);
	await time.advance(10_000);
	assert.equal(store.writes, 1);
	store.restore();
	await follow(store, hosts, time);
	await time.advance(2000);
	const found = await store.read('hosts', 'entry-1');
	assert.ok(Either.isRight(found));
	assert.deepEqual(found.right?.value, announcement);
	await follow(store, hosts, time);
	await time.advance(10_000);
	assert.equal(store.writes, 2);
	stopped.abort();
	await time.advance(1000);
});
