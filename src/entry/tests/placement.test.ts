import * as assert from 'node:assert/strict';
import * as test from 'node:test';
import * as placement from '../placement.js';

function host(name: string, place: string, capacity = 1): placement.Host {
	return {
		name, place, region: place.slice(0, -2), peer: `10.0.0.1:${7000 + name.length}`, capacity,
	};
}

function view(hosts: readonly placement.Host[], change: Partial<placement.View> = {}): placement.View {
	return {
		hosts, region: 'west', service: 'ledgers', serverPlaces: new Set(['west-a']), connectionLimit: 4, ...change,
	};
}

test.test('hosts of a small fleet use their own connections exactly when the connection limit allows one for each', () => {
	const hosts = Array.from({length: 8}, (_, index) => host(`h${index}`, 'west-a'));
	assert.equal(placement.isDirect({hosts, connectionLimit: 10}), true);
	assert.equal(placement.isDirect({hosts, connectionLimit: 9}), false);
	assert.equal(placement.isDirect({hosts: Array.from({length: 80}, (_, index) => host(`h${index}`, 'west-a')), connectionLimit: 1000}), false);
	assert.equal(placement.countOwners({hosts, connectionLimit: 10}), 8);
	assert.equal(placement.countOwners({hosts: [...hosts, host('e', 'east-a')], connectionLimit: 5}), 3);
});

test.test('small hosts and hosts in places without a server rank last, and hosts of other regions are left out', () => {
	const hosts = [
		host('small-near', 'west-a', 0.3),
		host('large-far', 'west-b', 1.3),
		host('large-near', 'west-a', 1.3),
		host('other', 'east-a', 9),
		host('small-far', 'west-b', 0.3),
	];
	assert.deepEqual(placement.rank(view(hosts)).map(({name}) => name), ['large-near', 'large-far', 'small-near', 'small-far']);
});

test.test('ranks do not depend on the order of the hosts, and services are spread over equal hosts', () => {
	const hosts = Array.from({length: 6}, (_, index) => host(`h${index}`, 'west-a'));
	const first = new Set<string | undefined>();
	for (let index = 0; index < 40; index++) {
		const service = `s${index}`;
		const names = placement.rank(view(hosts, {service})).map(({name}) => name);
		assert.deepEqual(placement.rank(view(hosts.toReversed(), {service})).map(({name}) => name), names);
		first.add(names[0]);
	}

	assert.equal(first.size, 6);
});
