import * as assert from 'node:assert/strict';
import * as test from 'node:test';
import * as Either from 'fp-ts/lib/Either.js';
import type * as types from '../../generated/types.js';
import * as clock from '../../core/clock.js';
import * as random from '../../core/random.js';
import * as decisions from '../decisions.js';
import * as fleet from '../fleet.js';
import * as follower from '../follower.js';
import * as local from '../local.js';
import type * as objects from '../objects.js';
import type * as caches from '../cache.js';
import * as reporters from '../reporter.js';
import * as responder from '../responder.js';
import * as revisions from '../revision.js';
import * as synchronizer from '../synchronizer.js';
import * as fakes from './fake-cluster.js';
import * as states from './fake-state.js';
import * as network from './fake-transport.js';

const record = new decisions.Silent();

function configuration(version: number): types.Deployment {
	return {
		version, routes: [], databases: [], idleTransactionMs: 3000,
	};
}

/** One host of the region, reduced to its caches of the store's objects. */
class Host {
	readonly store: fakes.HostStore;
	readonly caches;
	readonly synchronizer: synchronizer.Synchronizer;
	readonly stopped = new AbortController();
	readonly #responders = new Set<responder.Responder>();

	constructor(name: string, index: number, region: Region) {
		const {time} = region;
		this.store = new fakes.HostStore(region.store, time);
		this.caches = states.caches(time, record);
		const hosts = new fleet.Fleet({
			self: {name, ...region.announcement(name, index)},
			clock: time,
			transport: new network.Transport(region.network),
			decisions: record,
			seeds: region.seeds,
			leaderPlace: () => undefined,
			connectionLimit: () => 1,
			serverPlaces: () => new Set<string>(),
			customers: () => undefined,
		});
		this.caches.hosts.listen(update => {
			for (const item of update.items) {
				hosts.update(item.name, item.value);
			}
		});
		const context = {clock: time, place: 'west-a', decisions: record};
		region.network.listen(addressOf(name), accepted => {
			const created = new responder.Responder(accepted, {
				executor: new local.Local(context, () => undefined), context, caches: this.caches, reporter: new reporters.Reporter({...context, hasSeenClaim: () => false, findGroup: () => undefined}),
			});
			this.#responders.add(created);
			void created.run();
		});
		this.synchronizer = new synchronizer.Synchronizer({
			caches: this.caches,
			clock: time,
			decisions: record,
			configurationMs: 3000,
			observer: excluded => hosts.observer(excluded) ?? hosts.seed(excluded),
			hasSubscribers: () => [...this.#responders].some(({isSubscribed}) => isSubscribed),
			follow: signal => {
				for (const cache of Object.values(this.caches)) {
					void new follower.Follower<objects.Kind>({
						cache: cache as caches.Cache<objects.Kind>,
						store: this.store,
						clock: time,
						random: new random.Seeded(index),
						decisions: record,
						watchMs: 1500,
						firstWatchDelayMs: 1000,
						coalesceMs: 0,
					}).run(signal);
				}
			},
		});
		void this.synchronizer.run(this.stopped.signal);
	}

	get version(): number {
		return this.caches.configuration.state?.items[0]?.value?.version ?? 0;
	}
}

/** Address for links of the host `host-N`. */
function addressOf(name: string): string {
	return `10.0.0.${name.slice('host-'.length)}:7440`;
}

class Region {
	readonly time = new clock.Manual();
	readonly store = new fakes.Objects();
	readonly network = new network.Network(this.time);
	readonly hosts: Host[] = [];
	readonly seeds: string[] = [];

	async start(count: number): Promise<void> {
		const names = Array.from({length: count}, (_, index) => `host-${index}`);
		for (const [index, name] of names.entries()) {
			this.store.put('hosts', name, this.announcement(name, index));
		}

		this.store.put('configuration', 'main', configuration(1));
		this.hosts.push(...names.map((name, index) => new Host(name, index, this)));
		await this.time.advance(8000);
	}

	announcement(name: string, index: number): types.Announcement {
		return {
			place: 'west-a', region: 'west', peer: addressOf(name), capacity: index < 2 ? 2 : 0.5,
		};
	}

	get followerCount(): number {
		return this.hosts.filter(({synchronizer: task}) => task.isFollowingStore).length;
	}

	async stop(): Promise<void> {
		for (const host of this.hosts) {
			host.stopped.abort();
		}

		await this.time.advance(30_000);
	}
}

test.test('one host of a region follows the store, and a new configuration reaches all hosts within 2.5 s', async () => {
	const region = new Region();
	await region.start(6);
	assert.equal(region.followerCount, 1);
	region.store.put('configuration', 'main', configuration(2));
	await region.time.advance(2500);
	assert.deepEqual(region.hosts.map(({version}) => version), [2, 2, 2, 2, 2, 2]);
	const before = region.store.calls.length;
	await region.time.advance(30_000);
	assert.ok(region.store.calls.length - before < 100, `${region.store.calls.length - before} calls`);
	await region.stop();
});

// Pattern: thundering herd. All hosts start at once, or restart after a power loss.
test.test('guards against store watches by every host of a fleet that starts at once', async () => {
	const region = new Region();
	await region.start(12);
	const watches = region.store.calls.filter(call => call.startsWith('watch '));
	const byObserver = 4 * 8000 / 1500;
	assert.ok(watches.length <= 2 * byObserver, `${watches.length} watches`);
	await region.stop();
});

test.test('when the observer fails, another host replaces it, and no change is missed', async () => {
	const region = new Region();
	await region.start(5);
	const failed = region.hosts.findIndex(({synchronizer: task}) => task.isFollowingStore);
	region.network.refuse(addressOf(`host-${failed}`));
	region.network.closeLinks();
	region.hosts[failed].stopped.abort();
	region.store.put('configuration', 'main', configuration(2));
	await region.time.advance(5000);
	assert.deepEqual(region.hosts.filter((_, index) => index !== failed).map(({version}) => version), [2, 2, 2, 2]);
	await region.time.advance(10_000);
	assert.equal(region.hosts.filter(({synchronizer: task}, index) => index !== failed && task.isFollowingStore).length, 1);
	await region.stop();
});

test.test('an observer that cannot reach the store is replaced, although the connection to it works', async () => {
	const region = new Region();
	await region.start(5);
	const unreachable = region.hosts.findIndex(({synchronizer: task}) => task.isFollowingStore);
	region.hosts[unreachable].store.state = 'down';
	region.store.put('configuration', 'main', configuration(2));
	await region.time.advance(4000);
	assert.deepEqual(region.hosts.filter((_, index) => index !== unreachable).map(({version}) => version), [2, 2, 2, 2]);
	await region.stop();
});

test.test('guards against a configuration that is not in force on every host after the store was restored from a copy', async () => {
	const region = new Region();
	await region.start(6);
	region.store.copy();
	for (let version = 2; version < 8; version++) {
		region.store.put('configuration', 'main', configuration(version));
	}

	await region.time.advance(3000);
	region.store.restore();
	region.store.put('configuration', 'main', configuration(7));
	region.store.put('configuration', 'main', configuration(9));
	await region.time.advance(3000);
	assert.deepEqual(region.hosts.map(({version}) => version), [9, 9, 9, 9, 9, 9]);
	assert.equal(region.followerCount, 1);
	await region.stop();
});

test.test('a host that cannot reach the store receives changes from the observer', async () => {
	const region = new Region();
	await region.start(5);
	const unreachable = region.hosts.findIndex(({synchronizer: task}) => !task.isFollowingStore);
	region.hosts[unreachable].store.state = 'down';
	region.store.put('configuration', 'main', configuration(2));
	await region.time.advance(2500);
	assert.equal(region.hosts[unreachable].version, 2);
	await region.stop();
});

test.test('a host that starts while the store is unavailable gets the state and the other hosts from a seed', async () => {
	const region = new Region();
	await region.start(3);
	region.store.state = 'down';
	region.seeds.push('10.0.0.99:7440', addressOf('host-1'));
	const started = new Host('host-3', 3, region);
	region.hosts.push(started);
	await region.time.advance(3000);
	assert.equal(started.version, 1);
	assert.equal(started.caches.hosts.state?.items.length, 3);
	await region.stop();
});

test.test('a cache never returns to an older revision, and rejects an update if an earlier one is missing', () => {
	const {servers} = states.caches(new clock.Manual(), record);
	const registration = new fakes.Cluster(new clock.Manual()).registration('a');
	const item = (revision: number): objects.Item<'servers'> => ({
		name: 'a', revision, value: {...registration, slots: revision}, fault: '',
	});
	assert.equal(servers.apply({
		from: 3, revision: 5, items: [item(5)], gone: [],
	}, 0), false);
	assert.equal(servers.apply({
		from: undefined, revision: 5, items: [item(5)], gone: [],
	}, 0), true);
	servers.apply({
		from: undefined, revision: 4, items: [], gone: [],
	}, 0);
	assert.equal(servers.state?.items[0]?.value?.slots, 5);
	servers.apply({
		from: 2, revision: 7, items: [], gone: ['a'],
	}, 0);
	assert.equal(servers.state?.items.length, 0);
});

test.test('guards against a host that starts after a restoration with the configuration of the copy, although the observer has a newer one', async () => {
	const region = new Region();
	await region.start(4);
	region.store.copy();
	region.store.put('configuration', 'main', configuration(7));
	await region.time.advance(3000);
	region.store.restore();
	await region.time.advance(3000);
	assert.deepEqual(region.hosts.map(({version}) => version), [7, 7, 7, 7]);
	region.hosts.push(new Host('host-4', 4, region));
	await region.time.advance(8000);
	assert.deepEqual(region.hosts.map(({version}) => version), [7, 7, 7, 7, 7]);
	await region.stop();
});

test.test('guards against a host that follows the store for as long as its list of a kind without changes is newer than the observer\'s', async () => {
	const region = new Region();
	await region.start(5);
	// The observer's watches of the kinds without changes return only after a while, so their revisions stay behind.
	for (const {store} of region.hosts) {
		store.quietKinds.add('hosts').add('claims');
	}

	await region.time.advance(1000);
	for (let version = 2; version < 6; version++) {
		region.store.put('configuration', 'main', configuration(version));
	}

	await region.time.advance(2000);
	const started = new Host('host-5', 5, region);
	started.store.quietKinds.add('hosts').add('claims');
	region.hosts.push(started);
	await region.time.advance(5000);
	assert.equal(started.synchronizer.isFollowingStore, false);
	assert.equal(region.followerCount, 1);
	region.store.put('hosts', 'host-9', region.announcement('host-9', 9));
	await region.time.advance(25_000);
	assert.ok(started.caches.hosts.item('host-9'));
	await region.stop();
});

/** Makes a host read the store like builds that don't know of restorations: its revisions are the store's own counters. */
function dropGenerations(host: Host, store: fakes.Objects): void {
	host.store.list = async <K extends objects.Kind>(kind: K) => {
		const outcome = await store.list(kind);
		return Either.map(({items, revision, ...rest}: objects.Listing<K>): objects.Listing<K> => ({
			...rest,
			items: items.map(item => ({...item, revision: revisions.split(item.revision).counter})),
			revision: revisions.split(revision).counter,
		}))(outcome);
	};
}

test.test('guards against a host that counts ignored updates of an older generation as recent state and stops following the store', async () => {
	const region = new Region();
	await region.start(3);
	const observer = region.hosts.find(({synchronizer: task}) => task.isFollowingStore)!;
	const other = region.hosts.find(host => host !== observer)!;
	dropGenerations(observer, region.store);
	region.store.copy();
	region.store.restore();
	for (const cache of Object.values(other.caches)) {
		const listing = await region.store.list<objects.Kind>(cache.kind);
		assert.ok(Either.isRight(listing));
		(cache as caches.Cache<objects.Kind>).apply({from: undefined, gone: [], ...listing.right}, region.time.now());
	}

	region.store.put('configuration', 'main', configuration(9));
	await region.time.advance(12_000);
	assert.equal(observer.version, 9);
	assert.equal(other.version, 9);
	await region.stop();
});

test.test('guards against a host that leaves a list because an entry in it, passed on by a host that checks less, is invalid', async () => {
	const region = new Region();
	await region.start(3);
	const follower = region.hosts.find(({synchronizer: task}) => task.isFollowingStore)!;
	const others = region.hosts.filter(host => host !== follower);
	const registration = {
		id: 'i-1', service: 'ledgers', address: '10.0.1.1:5432', place: 'west-a', slots: 2, state: 'ready', role: 'primary', startedAt: 1,
	} as const;
	region.store.put('servers', 'i-x', {...registration, id: 'i-x', address: '10.0.1.1:70000'});
	region.store.put('hosts', 'host-x', {...region.announcement('host-0', 0), peer: '10.0.0.1:70000'});
	region.store.put('servers', 'i-1', registration);
	await region.time.advance(3000);
	for (const host of others) {
		assert.equal(host.synchronizer.isFollowingStore, false);
		assert.equal(host.caches.servers.item('i-x')?.value, undefined);
		assert.equal(host.caches.hosts.item('host-x')?.value, undefined);
		assert.deepEqual(host.caches.servers.item('i-1')?.value, registration);
	}

	await region.stop();
});
