import * as assert from 'node:assert/strict';
import * as test from 'node:test';
import * as Either from 'fp-ts/lib/Either.js';
import type * as types from '../../generated/types.js';
import * as clock from '../../core/clock.js';
import * as errors from '../../core/errors.js';
import * as random from '../../core/random.js';
import * as decisions from '../decisions.js';
import * as deployments from '../deployment.js';
import * as follower from '../follower.js';
import type * as objects from '../objects.js';
import * as caches from '../cache.js';
import * as retentions from '../retention.js';
import * as fakes from './fake-cluster.js';
import * as states from './fake-state.js';

const storeLatencyMs = 4;

function configuration(version: number): types.Deployment {
	return {
		version, routes: [], databases: [], idleTransactionMs: 3000,
	};
}

test.test('after the store lost its history, removed objects are reported as removed', async () => {
	const time = new clock.Manual();
	const store = new fakes.Objects();
	const latest = new Map<string, objects.Item<'hosts'> | undefined>();
	const stopped = new AbortController();
	store.put('hosts', 'entry-1', {
		place: 'east', region: 'r', peer: '10.0.0.1:7440', capacity: 1,
	});
	store.put('hosts', 'entry-2', {
		place: 'east', region: 'r', peer: '10.0.0.1:7440', capacity: 1,
	});
	const record = new decisions.Silent();
	const cache = new caches.Cache<'hosts'>({
		kind: 'hosts',
		retention: new retentions.HostRetention(),
		clock: time,
		decisions: record,
		onChange(name, item) {
			latest.set(name, item);
		},
	});
	const hostFollower = new follower.Follower({
		cache, store: new fakes.HostStore(store, time), clock: time, random: new random.Seeded(1), decisions: record, watchMs: 100, firstWatchDelayMs: 0, coalesceMs: 0,
	});
	void hostFollower.run(stopped.signal);
	await time.advance(500);
	assert.ok(latest.get('entry-2'));
	store.state = 'down';
	await time.advance(500);
	assert.equal(hostFollower.isReachable, false);
	store.remove('hosts', 'entry-2');
	store.isHistoryLost = true;
	store.state = 'well';
	await time.advance(1500);
	assert.equal(hostFollower.isReachable, true);
	assert.equal(latest.get('entry-2'), undefined);
	assert.ok(latest.get('entry-1'));
	stopped.abort();
	await time.advance(1000);
});

/** A store that has lost its recent history: it lists an older revision and has none of the changes since. */
class RegressedStore extends fakes.Objects {
	readonly #time: clock.Clock;

	constructor(time: clock.Clock) {
		super();
		this.#time = time;
	}

	override async list<K extends objects.Kind>(kind: K): Promise<errors.Outcome<objects.Listing<K>>> {
		await this.#time.sleep(storeLatencyMs);
		this.calls.push(`list ${kind}`);
		return Either.right({items: [], revision: 1, unreadable: []});
	}

	override async watch<K extends objects.Kind>(kind: K, revision: number): Promise<errors.Outcome<objects.Changes<K>>> {
		await this.#time.sleep(storeLatencyMs);
		this.calls.push(`watch ${kind}`);
		return Either.right({
			changes: [], revision, isLost: true, unreadable: [],
		});
	}
}

// Pattern: retry storm. A list that the cache ignores is followed by a watch that fails at once, and by the next list.
test.test('guards against listing without a pause while the store lists a revision older than the cache', async () => {
	const time = new clock.Manual();
	const store = new RegressedStore(time);
	const {hosts: cache} = states.caches(time, new decisions.Silent());
	const stopped = new AbortController();
	cache.apply({
		from: undefined, revision: 21, items: [], gone: [],
	}, time.now());
	void new follower.Follower({
		cache, store, clock: time, random: new random.Seeded(1), decisions: new decisions.Silent(), watchMs: 100, firstWatchDelayMs: 0, coalesceMs: 0,
	}).run(stopped.signal);
	await time.advance(5000);
	stopped.abort();
	await time.advance(2000);
	assert.ok(store.calls.length > 3 && store.calls.length < 15, `${store.calls.length} calls in 5 s`);
	assert.equal(cache.revision, 21);
});

/** A store whose watches wait until they are aborted. */
class WaitingStore extends fakes.Objects {
	waiting = 0;

	override async watch<K extends objects.Kind>(kind: K, _revision: number, _waitMs?: number, signal?: AbortSignal): Promise<errors.Outcome<objects.Changes<K>>> {
		this.waiting++;
		await new Promise(resolve => {
			signal?.addEventListener('abort', resolve);
		});
		this.waiting--;
		return errors.fail('store', 'store', kind, 'the call was aborted');
	}
}

test.test('guards against a watch that holds its connection to the store after this host has stopped following it', async () => {
	const time = new clock.Manual();
	const store = new WaitingStore();
	const {hosts: cache} = states.caches(time, new decisions.Silent());
	const stopped = new AbortController();
	void new follower.Follower({
		cache, store, clock: time, random: new random.Seeded(1), decisions: new decisions.Silent(), watchMs: 20_000, firstWatchDelayMs: 0, coalesceMs: 0,
	}).run(stopped.signal);
	await time.advance(500);
	assert.equal(store.waiting, 1);
	stopped.abort();
	await time.advance(1);
	assert.equal(store.waiting, 0);
});

test.test('an older configuration never replaces a newer one', () => {
	const deployment = new deployments.Deployment(new clock.Manual(), new decisions.Silent());
	deployment.accept(configuration(7), 'store');
	deployment.accept(configuration(5), 'peer');
	assert.equal(deployment.content?.version, 7);
});
