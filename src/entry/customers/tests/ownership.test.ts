import * as assert from 'node:assert/strict';
import * as test from 'node:test';
import * as fc from 'fast-check';
import * as clock from '../../../core/clock.js';
import * as decisions from '../../decisions.js';
import * as fleet from '../../fleet.js';
import type * as placement from '../../placement.js';
import * as network from '../../tests/fake-transport.js';
import * as ownership from '../ownership.js';

const services = ['booking', 'tracking', 'matching', 'billing', 'ledgers', 'payouts'];
const places = ['west-a', 'west-b', 'mid-a', 'mid-b', 'east-a', 'east-b'];

/** Customers of the size of a large deployment, of which the first makes a quarter of all operations. */
function createCustomers(count: number): ownership.Directory {
	return {customers: Array.from({length: count}, (_, index) => ({name: `customer${index}`, operationsPerS: 240 / (index + 1)}))};
}

/** Hosts in six places of three regions, two of them large in each place. */
function createHosts(count: number): placement.Host[] {
	return Array.from({length: count}, (_, index) => {
		const place = places[index % places.length] ?? '';
		return {
			name: `host${index}`, place, region: place.split('-')[0] ?? '', peer: `10.0.${index}.1:9`, capacity: index < 12 ? 0.675 : 0.324,
		};
	});
}

/** A fleet as seen by one host. */
class View {
	readonly time = new clock.Manual();
	readonly network = new network.Network(this.time);
	readonly fleet: fleet.Fleet;

	/** Place of the leader of each service; `undefined` if it isn't known. */
	leaderPlace: string | undefined;

	constructor(self: placement.Host, hosts: readonly placement.Host[], directory: ownership.Directory | undefined, connectionLimit = 70) {
		this.fleet = new fleet.Fleet({
			self,
			clock: this.time,
			transport: new network.Transport(this.network),
			decisions: new decisions.Silent(),
			seeds: [],
			leaderPlace: () => this.leaderPlace,
			connectionLimit: () => connectionLimit,
			serverPlaces: () => new Set(['west-a', 'mid-a', 'east-a']),
			customers: () => directory,
		});
		for (const {name, ...announcement} of hosts) {
			this.fleet.update(name, announcement);
		}

		this.fleet.invalidate();
	}

	route(service: string, customer?: string): string[] {
		return this.fleet.route(service, customer).map(target => target === 'local' ? target : target.name);
	}
}

function createView(hosts: readonly placement.Host[], index: number, directory: ownership.Directory | undefined, connectionLimit?: number): View {
	const self = hosts[index];
	assert.ok(self);
	return new View(self, hosts, directory, connectionLimit);
}

test.test('guards against connections of a small customer at several hosts of a region, and of a large one at a single host', () => {
	const hosts = createHosts(64);
	const directory = createCustomers(74);
	// Hosts 24, 30 and 36 are small ones in place west-a.
	const views = [24, 30, 36].map(index => createView(hosts, index, directory));
	for (const service of services) {
		const owners = (customer: string): Set<string | undefined> => new Set(views.flatMap(view => [view.route(service, customer)[0], view.route(service, customer)[0]]));
		assert.equal(owners('customer0').size, 2);
		assert.equal(owners('customer60').size, 1);
		assert.deepEqual(views.map(view => view.route(service, 'customer60')), views.map(() => views[0]?.route(service, 'customer60')));
	}
});

test.test('guards against the customers of a service at more hosts than poll its primary today', () => {
	const hosts = createHosts(64);
	const directory = createCustomers(74);
	const names = [0, 1, 2].map(index => createView(hosts, 24 + (2 * index), directory)).flatMap(view => directory.customers.map(({name}) => view.route('ledgers', name)[0]));
	assert.equal(new Set(names).size, 6);
});

test.test('guards against small customers that all have the same owner', () => {
	const directory = createCustomers(74);
	const view = createView(createHosts(64), 24, directory);
	const owners = directory.customers.slice(10).map(({name}) => view.route('ledgers', name)[0]);
	const counts = [...new Set(owners)].map(owner => owners.filter(other => other === owner).length);
	assert.equal(counts.length, 2);
	assert.ok(Math.min(...counts) >= 0.3 * owners.length, counts.join(' '));
});

test.test('guards against an owner that forwards its own customers, and against one that runs those of another owner', () => {
	const hosts = createHosts(64);
	const directory = createCustomers(74);
	const names = [...new Set(directory.customers.map(({name}) => createView(hosts, 24, directory).route('ledgers', name)[0]))];
	const first = createView(hosts, hosts.findIndex(({name}) => name === names[0]), directory);
	const far = createView(hosts, 24, directory);
	for (const {name} of directory.customers.slice(10)) {
		const expected = far.route('ledgers', name)[0];
		assert.equal(first.route('ledgers', name)[0], expected === names[0] ? 'local' : expected);
	}
});

test.test('guards against requests that keep going to an owner that can\'t be reached', async () => {
	const hosts = createHosts(64);
	const view = createView(hosts, 24, createCustomers(74));
	const [owner, next] = view.route('ledgers', 'customer60');
	for (const target of view.fleet.route('ledgers', 'customer60')) {
		if (target !== 'local') {
			target.connect();
		}
	}

	// No host listens, so no link can be opened.
	await view.time.advance(400);
	const route = view.route('ledgers', 'customer60');
	assert.ok(!route.includes(owner ?? '') && !route.includes(next ?? ''), route.join(' '));
});

test.test('guards against customers that change their owner though it is still there', () => {
	const hosts = createHosts(64);
	const directory = createCustomers(74);
	const before = createView(hosts, 24, directory);
	const lost = before.route('ledgers', 'customer60')[0];
	const after = createView(hosts, 24, directory);
	after.fleet.update(lost ?? '', undefined);
	const small = directory.customers.slice(10);
	const moved = small.filter(({name}) => before.route('ledgers', name)[0] !== after.route('ledgers', name)[0] && before.route('ledgers', name)[0] !== lost);
	// The next host in rank becomes an owner and takes its part of the customers of the remaining one.
	assert.ok(moved.length <= small.length / 2, `${moved.length} of ${small.length}`);
});

test.test('guards against large customers that pile up on one host', () => {
	const sizes = new ownership.Sizes(createCustomers(74));
	for (const service of services) {
		const loads = [...ownership.loads(service, [{name: 'host0'}, {name: 'host6'}], sizes).values()];
		const total = loads.reduce((sum, load) => sum + load, 0);
		assert.ok(Math.max(...loads) <= 0.65 * total, `${service}: ${loads.join(' ')}`);
	}
});

test.test('guards against more connections over all hosts than a server accepts, also while owners restart', () => {
	fc.assert(fc.property(
		fc.integer({min: 1, max: 40}),
		fc.integer({min: 1, max: 90}),
		fc.integer({min: 8, max: 200}),
		(hostCount, customerCount, connectionLimit) => {
			const hosts = createHosts(hostCount);
			const directory = createCustomers(customerCount);
			const quotas = hosts.map((_, index) => createView(hosts, index, directory, connectionLimit).fleet.quota('ledgers'));
			const owners = quotas.filter(({retentionMs}) => retentionMs === 30_000);
			const sum = owners.reduce((total, {hardLimit}) => total + hardLimit, 0);
			assert.equal(sum, Math.floor(connectionLimit * 0.8), 'the limits of the owners add up to the budget');
			for (const place of [...places, 'elsewhere']) {
				const limits = owners.map(({hardLimit, placeLimits}) => placeLimits?.get(place) ?? hardLimit);
				assert.equal(limits.reduce((total, limit) => total + limit, 0), sum, `the limits for a server in ${place} add up to the budget`);
				assert.ok(limits.every(limit => limit >= 1));
			}

			// Servers count the connections of the previous processes while each opens its share of the reserve.
			const starting = owners.reduce((total, {startLimit = Number.NaN}) => total + startLimit, 0);
			assert.ok(sum + starting <= Math.max(connectionLimit, sum + owners.length), `${sum} + ${starting} of ${connectionLimit}`);
		},
	), {seed: 20_263, numRuns: 40});
});

test.test('guards against replicas whose connections are reserved for hosts of other regions', () => {
	const hosts = createHosts(64);
	const directory = createCustomers(74);
	const near = [0, 6].map(index => createView(hosts, index, directory).fleet.quota('ledgers').placeLimits);
	const sum = (place: string): number => near.reduce((total, limits) => total + (limits?.get(place) ?? 0), 0);
	assert.ok(sum('west-b') > 2 * sum('mid-a'), `${sum('west-b')} near, ${sum('mid-a')} far`);
});

test.test('guards against limits that don\'t follow the work that an owner has', () => {
	assert.deepEqual([...ownership.divide(56, new Map([['one', 30], ['two', 10], ['three', 0]]))], [['one', 40], ['three', 2], ['two', 14]]);
	assert.deepEqual([...ownership.divide(2, new Map([['one', 30], ['two', 10], ['three', 0]])).values()], [1, 1, 1]);
});

test.test('guards against changed limits and routes where a deployment has no customers', () => {
	const hosts = createHosts(64);
	const view = createView(hosts, 24, undefined);
	assert.deepEqual(view.fleet.quota('ledgers'), {softLimit: 9, hardLimit: 24});
	assert.equal(new Set([view.route('ledgers')[0], view.route('ledgers')[0]]).size, 2);
	assert.equal(createView(hosts.slice(0, 8), 0, undefined).fleet.isDirect('ledgers'), true);
	assert.equal(createView(hosts.slice(0, 8), 0, createCustomers(3)).fleet.isDirect('ledgers'), false);
});

test.test('guards against work for the leader that takes the way through a host of another region', () => {
	const hosts = createHosts(64);
	const directory = createCustomers(74);
	// Host 24 is in the west, and host 26 in the middle.
	const [west, mid] = [24, 26].map(index => createView(hosts, index, directory));
	assert.ok(west && mid);
	const names = (view: View, destination: 'leader' | 'any'): string[] =>
		view.fleet.route('ledgers', 'customer60', destination).map(target => target === 'local' ? target : target.name);
	const regions = (found: readonly string[]): Array<string | undefined> => found.map(name => hosts.find(host => host.name === name)?.region);
	west.leaderPlace = 'east-a';
	mid.leaderPlace = 'east-a';
	assert.deepEqual(regions(names(west, 'leader')), ['east', 'east', 'west', 'west']);
	assert.deepEqual(regions(names(west, 'any')), ['west', 'west']);
	assert.equal(names(mid, 'leader')[0], names(west, 'leader')[0], 'the customer needs connections to the leader at two hosts');
	// While no server or several claim to lead, work goes to the own region.
	west.leaderPlace = undefined;
	assert.deepEqual(names(west, 'leader'), names(west, 'any'));
});
