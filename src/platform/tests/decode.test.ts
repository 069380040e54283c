import * as assert from 'node:assert/strict';
import * as buffer from 'node:buffer';
import * as test from 'node:test';
import * as directories from '../../entry/customers/directory.js';
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

const tenant = {
	name: 'wind', apiKeys: ['key-of-wind'], priority: 1, perS: 50, burstSize: 20,
};

/** Decodes a configuration with entries of customers. */
function decodeTenants(...tenants: unknown[]): ReturnType<typeof decode.decoders.configuration> {
	return decode.decoders.configuration('main', structuredClone({
		version: 9, routes: [], services: [], tenants,
	}));
}

function names(decoded: ReturnType<typeof decode.decoders.configuration>): string[] | undefined {
	return decoded.value?.customers?.map(({name}) => name);
}

test.test('the entry of a customer is decoded, with digests in place of its keys', () => {
	const {value, omitted} = decodeTenants({...tenant, priority: undefined, comment: 'x'});
	assert.deepEqual([value?.customers, omitted], [[{
		name: 'wind', priority: 0, operationsPerS: 50, burst: 20, keyDigests: [directories.digest('key-of-wind')],
	}], []]);
});

// Guards against an invalid entry that ends the service of the others, or that serves anybody.
test.test('an invalid entry of a customer is left out with one reason without a key, and the others hold', () => {
	const secret = 'secret-of-tide';
	const tide = {...tenant, name: 'tide', apiKeys: [secret]};
	const invalid: unknown[] = [
		{...tide, perS: 0},
		{...tide, perS: -1},
		{...tide, perS: Number.POSITIVE_INFINITY},
		{...tide, perS: '5'},
		{...tide, burstSize: 0},
		{...tide, burstSize: null},
		{...tide, priority: 'first'},
		{...tide, name: ''},
		{...tide, name: 'a b'},
		{...tide, name: 'a\r\nSTARTUP'},
		{...tide, name: 'Ā'},
		{...tide, name: 7},
		{...tide, name: 'x'.repeat(257)},
		{...tide, name: 'sycamorering'},
		{...tide, apiKeys: []},
		{...tide, apiKeys: ['']},
		{...tide, apiKeys: [`${secret} x`]},
		{...tide, apiKeys: [`${secret}${'x'.repeat(5000)}`]},
		{...tide, apiKeys: secret},
		{...tide, apiKeys: [7, null]},
		...Object.keys(tide).filter(field => field !== 'priority').map(field => Object.fromEntries(Object.entries(tide).filter(([name]) => name !== field))),
		null,
		secret,
		[secret],
		{},
	];
	for (const entry of invalid) {
		const decoded = decodeTenants(entry, tenant);
		assert.deepEqual([names(decoded), decoded.omitted?.length], [['wind'], 1], JSON.stringify(entry));
		assert.equal(decoded.omitted?.[0].includes(secret), false, decoded.omitted?.[0]);
	}
});

test.test('an unusable key is left out alone', () => {
	const {value, omitted} = decodeTenants({...tenant, apiKeys: ['', 'good', 'a b', 'good', 7]});
	assert.deepEqual(value?.customers?.[0].keyDigests, [directories.digest('good')]);
	assert.deepEqual(omitted, ['customer "wind": 3 of its keys are empty, longer than 4096 bytes, not text, or contain white space']);
});

test.test('a key that two customers hold serves neither, also if one of the entries is invalid', () => {
	const decoded = decodeTenants({...tenant, apiKeys: ['a', 'b']}, {...tenant, name: 'tide', apiKeys: ['b', 'c']}, {
		...tenant, name: 'moor', apiKeys: ['c', 'a'], perS: 0,
	});
	assert.deepEqual(decoded.value?.customers?.map(({keyDigests}) => keyDigests), [[], []]);
	assert.equal(decoded.omitted?.length, 3);
});

test.test('of two entries of one name the first holds', () => {
	const decoded = decodeTenants(tenant, {...tenant, apiKeys: ['b'], perS: 7});
	assert.deepEqual([names(decoded), decoded.value?.customers?.[0].operationsPerS, decoded.omitted?.length], [['wind'], 50, 1]);
});

test.test('if all entries are invalid there are customers, but none is served', () => {
	assert.deepEqual(names(decodeTenants({}, null)), []);
	assert.deepEqual(names(decodeTenants()), []);
	for (const tenants of [null, {}, 'none']) {
		// The last version stays in force.
		assert.match(decode.decoders.configuration('main', {
			version: 9, routes: [], services: [], tenants,
		}).fault, /tenants/v);
	}

	const absent = decode.decoders.configuration('main', {version: 9, routes: [], services: []});
	assert.deepEqual([absent.value && 'customers' in absent.value, absent.omitted], [false, []]);
});

// Guards against a digest of truncated characters, under which another key than the customer's would be valid.
test.test('a key beyond ASCII is digested in the bytes in which callers send it', () => {
	const {value} = decodeTenants({...tenant, apiKeys: ['šbc']});
	const [keyDigest] = value?.customers?.[0].keyDigests ?? [];
	assert.equal(keyDigest, directories.digest(buffer.Buffer.from('šbc').toString('latin1')));
	assert.notEqual(keyDigest, directories.digest('abc'));
});
