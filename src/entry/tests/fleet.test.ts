import * as assert from 'node:assert/strict';
import * as test from 'node:test';
import * as clock from '../../core/clock.js';
import * as decisions from '../decisions.js';
import * as fleets from '../fleet.js';
import type * as placement from '../placement.js';
import * as transports from './fake-transport.js';

const places = ['west-a', 'west-b', 'east-a', 'east-b', 'south-a', 'south-b'];

/** The fleets of a deployment as each of its hosts sees it. */
function build(count: number, connectionLimit: number): fleets.Fleet[] {
	const time = new clock.Manual();
	const hosts: placement.Host[] = Array.from({length: count}, (_, index) => {
		const place = places[index % places.length] ?? '';
		return {
			name: `h${index}`, place, region: place.slice(0, -2), peer: `10.0.0.${index}:7000`, capacity: 1,
		};
	});
	return hosts.map(self => {
		const fleet = new fleets.Fleet({
			self,
			clock: time,
			transport: new transports.Transport(new transports.Network(time)),
			decisions: new decisions.Silent(),
			seeds: [],
			leaderPlace: () => undefined,
			connectionLimit: () => connectionLimit,
			serverPlaces: () => new Set(['west-a', 'east-a', 'south-a']),
			customers: () => undefined,
		});
		for (const {name, ...announcement} of hosts) {
			fleet.update(name, announcement);
		}

		return fleet;
	});
}

test.test('guards against owners without a connection while transactions hold theirs: an owner may exceed its even share', () => {
	const expected: Array<[hosts: number, connections: number, soft: number, hard: number]> = [[7, 16, 1, 5], [9, 39, 3, 9], [81, 30, 4, 10], [28, 46, 6, 16]];
	for (const [hosts, connections, softLimit, hardLimit] of expected) {
		assert.deepEqual(build(hosts, connections)[0]?.quota('ledgers'), {softLimit, hardLimit});
	}
});
