import * as assert from 'node:assert/strict';
import * as test from 'node:test';
import * as fc from 'fast-check';
import * as ownership from '../ownership.js';

const seed = 20_261_204;
const groups = Array.from({length: 60}, (_, index) => `service-${index}`);

function member(name: string, place: string): ownership.Member {
	return {
		name, place, address: '127.0.0.1:1', isLeaving: false,
	};
}

const hosts = fc.uniqueArray(fc.record({name: fc.nat(999), place: fc.nat(4)}), {minLength: 1, maxLength: 30, selector: ({name}) => name})
	.map(list => list.map(({name, place}) => member(`entry-${name}`, `place-${place}`)));

test.test('removing a host changes the owners of its own groups only (guards against mass reconnection at each change)', () => {
	fc.assert(fc.property(hosts, fc.nat(), (list, choice) => {
		const removed = list[choice % list.length];
		const remaining = list.filter(host => host !== removed);
		for (const group of groups) {
			const before = ownership.owners(group, list).filter(host => host !== removed);
			const after = ownership.owners(group, remaining);
			assert.ok(before.every(host => after.includes(host)));
			assert.equal(after.length, Math.min(ownership.ownerCount, remaining.length));
		}
	}), {seed, numRuns: 200});
});

test.test('the owners of a group are in different places (guards against losing all owners with one place)', () => {
	fc.assert(fc.property(hosts, list => {
		const places = new Set(list.map(({place}) => place)).size;
		for (const group of groups) {
			const owners = ownership.owners(group, list);
			assert.equal(new Set(owners.map(({place}) => place)).size, Math.min(places, owners.length));
			assert.deepEqual(ownership.owners(group, list.toReversed()), owners);
		}
	}), {seed, numRuns: 200});
});

test.test('groups are distributed over the hosts of a place (guards against one host that owns every group)', () => {
	const list = Array.from({length: 30}, (_, index) => member(`entry-${index}`, `place-${index % 3}`));
	const counts = new Map<string, number>();
	for (let index = 0; index < 1000; index++) {
		for (const {name} of ownership.owners(`service-${index}`, list)) {
			counts.set(name, (counts.get(name) ?? 0) + 1);
		}
	}

	assert.equal(counts.size, list.length);
	assert.ok(Math.max(...counts.values()) < 150, 'a host owns 150 groups or more; the average is 100');
});
