import * as assert from 'node:assert/strict';
import * as test from 'node:test';
import * as decode from '../decode.js';

const server = {
	service: 'huvo11a', address: '10.128.0.9:8080', zone: 'puget-a', version: 'v1', slots: 2, state: 'ready', coldRemainingMs: 0, dbRole: 'replica', sequence: 4, born: 1_764_000_000_000,
};

test.test('an entry of a server is decoded with its bounds', () => {
	assert.deepEqual(decode.decoders.servers('i-1', server), {
		value: {
			id: 'i-1', service: 'huvo11a', address: '10.128.0.9:8080', place: 'puget-a', slots: 2, state: 'ready', role: 'replica', startedAt: 1_764_000_000_000,
		}, fault: '',
	});
	for (const address of ['0.0.0.0:1', '255.255.255.255:65535', '10.0.0.10:10']) {
		assert.equal(decode.decoders.servers('i-1', {...server, address}).fault, '', address);
	}
});

test.test('guards against an address out of range in an entry of another writer, to which every host would connect', () => {
	for (const address of ['127.0.0.1:70000', '127.0.0.1:65536', '127.0.0.1:99999', '127.0.0.1:0', '127.0.0.1:', '127.0.0.256:80', '1.2.3:80', '1.2.3.4.5:80', '...:80', 'localhost:80', '127.0.0.1:80 ', '127.0.0.1:080']) {
		assert.match(decode.decoders.servers('i-x', {...server, address}).fault, /address/v, address);
		assert.match(decode.decoders.hosts('h-x', {
			place: 'a', region: 'r', peer: address, capacity: 1,
		}).fault, /peer/v, address);
	}
});

test.test('guards against a failover that waits for a server of which an entry of another writer names only a part', () => {
	for (const field of Object.keys(server)) {
		const rest = Object.fromEntries(Object.entries(server).filter(([name]) => name !== field));
		assert.match(decode.decoders.servers('i-x', rest).fault, new RegExp(field, 'v'), field);
	}
});

test.test('guards against numbers and texts out of range in an entry of another writer', () => {
	const odd: ReadonlyArray<Readonly<Record<string, unknown>>> = [
		{slots: Number.POSITIVE_INFINITY},
		{slots: 1e300},
		{slots: 0},
		{slots: -1},
		{slots: 1.5},
		{slots: '2'},
		{born: 1e300},
		{born: -1},
		{born: 1.5},
		{born: null},
		{sequence: 1e300},
		{sequence: -1},
		{coldRemainingMs: -1},
		{coldRemainingMs: 1e300},
		{service: ''},
		{service: 'x'.repeat(257)},
		{service: 'a\r\nb'},
		{zone: 7},
		{zone: ['a']},
		{version: {}},
		{state: 'queen'},
		{dbRole: 'queen'},
		{address: {}},
	];
	for (const change of odd) {
		assert.notEqual(decode.decoders.servers('i-x', {...server, ...change}).fault, '', JSON.stringify(change));
	}

	for (const change of [{capacity: 1e300}, {capacity: -1}, {place: ''}]) {
		assert.notEqual(decode.decoders.hosts('h-x', {
			place: 'a', region: 'r', peer: '10.0.0.1:80', capacity: 1, ...change,
		}).fault, '', JSON.stringify(change));
	}
});

test.test('guards against an object beside the configuration that is taken for it', () => {
	const content = {version: 9, routes: [], services: []};
	assert.equal(decode.decoders.configuration('main', structuredClone(content)).value?.version, 9);
	assert.equal(decode.decoders.configuration('other', structuredClone(content)).value, undefined);
});
