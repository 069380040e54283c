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
