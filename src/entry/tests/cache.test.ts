import * as assert from 'node:assert/strict';
import * as test from 'node:test';
import type * as types from '../../generated/types.js';
import * as clock from '../../core/clock.js';
import * as caches from '../cache.js';
import * as decisions from '../decisions.js';
import type * as objects from '../objects.js';
import * as retentions from '../retention.js';
import * as revisions from '../revision.js';

/** A cache, and the changes that it reports: the value of each object, or `undefined` for a removed one. */
function make<K extends objects.Kind>(kind: K, retention: retentions.Retention<K>): {cache: caches.Cache<K>; changes: Array<[string, objects.Values[K] | undefined]>} {
	const changes: Array<[string, objects.Values[K] | undefined]> = [];
	const cache = new caches.Cache<K>({
		kind,
		retention,
		clock: new clock.Manual(),
		decisions: new decisions.Silent(),
		onChange(name, item) {
			changes.push([name, item?.value]);
		},
	});
	return {cache, changes};
}

function item<V>(name: string, revision: number, value: V): {name: string; revision: number; value: V; fault: string} {
	return {
		name, revision, value, fault: '',
	};
}

function configuration(version: number): types.Deployment {
	return {
		version, routes: [], databases: [], idleTransactionMs: 3000,
	};
}

function announcement(peer: string): types.Announcement {
	return {
		place: 'east', region: 'r', peer, capacity: 1,
	};
}

function registration(startedAt: number, state: types.ServerState): types.Registration {
	return {
		id: 'i-1', service: 'ledgers', address: '10.0.0.1:1', place: 'east', slots: 2, state, role: 'replica', startedAt,
	};
}

function restored(counter: number): number {
	return revisions.combine({generation: 1, counter});
}

test.test('guards against a log that names the store as the source of what another host passed on', () => {
	const sources: string[] = [];
	const cache = new caches.Cache<'configuration'>({
		kind: 'configuration',
		retention: new retentions.ConfigurationRetention(),
		clock: new clock.Manual(),
		decisions: new decisions.Silent(),
		onChange(_name, _item, source) {
			sources.push(source);
		},
	});
	cache.apply({
		from: undefined, revision: 21, items: [item('main', 21, configuration(1))], gone: [],
	}, 0, 'entry-1');
	cache.apply({
		from: 21, revision: 22, items: [item('main', 22, configuration(2))], gone: [],
	}, 0);
	assert.deepEqual(sources, ['entry-1', 'store']);
});

test.test('guards against passing on a configuration that was replaced after the copy from which the store was restored', () => {
	const {cache, changes} = make('configuration', new retentions.ConfigurationRetention());
	const sent: Array<caches.Update<'configuration'>> = [];
	cache.apply({
		from: undefined, revision: 21, items: [item('main', 21, configuration(16))], gone: [],
	}, 0);
	cache.listen(update => {
		sent.push(update);
	});
	cache.apply({
		from: undefined, revision: restored(14), items: [item('main', restored(14), configuration(9))], gone: [],
	}, 0);
	assert.deepEqual(changes.map(([, value]) => value?.version), [16]);
	assert.deepEqual(cache.state?.items.map(({value}) => value?.version), [16]);
	assert.deepEqual(sent.map(({from, revision, items}) => [from, revision, items[0]?.value?.version]), [[undefined, restored(14), 16]]);
	cache.apply({
		from: restored(14), revision: restored(15), items: [item('main', restored(15), configuration(18))], gone: [],
	}, 0);
	assert.equal(cache.item('main')?.value?.version, 18);
});

test.test('guards against closing links to a host whose announcement the restored store has lost', () => {
	const {cache, changes} = make('hosts', new retentions.HostRetention());
	cache.apply({
		from: undefined, revision: 21, items: [item('entry-1', 12, announcement('10.0.0.1:1')), item('entry-2', 20, announcement('10.0.0.2:1'))], gone: [],
	}, 0);
	cache.apply({
		from: undefined, revision: restored(14), items: [item('entry-1', restored(12), announcement('10.0.0.9:1'))], gone: [],
	}, 0);
	assert.deepEqual(changes.slice(2), [['entry-1', announcement('10.0.0.9:1')]]);
	assert.equal(cache.item('entry-2')?.value?.peer, '10.0.0.2:1');
	cache.apply({
		from: restored(14), revision: restored(15), items: [], gone: ['entry-2'],
	}, 0);
	assert.equal(cache.item('entry-2'), undefined);
});

test.test('guards against keeping an object that its writer has to write again after a restoration', () => {
	const {cache, changes} = make('claims', new retentions.Discarding());
	cache.apply({
		from: undefined, revision: 21, items: [item('ledgers', 20, {holder: 'entry-1', nonce: 'n'})], gone: [],
	}, 0);
	cache.apply({
		from: undefined, revision: restored(14), items: [], gone: [],
	}, 0);
	assert.deepEqual(changes.slice(1), [['ledgers', undefined]]);
	assert.equal(cache.item('ledgers'), undefined);
});

test.test('guards against an object that keeps its old content because the restored store gave its revision to new content', () => {
	const {cache, changes} = make('hosts', new retentions.HostRetention());
	cache.apply({
		from: undefined, revision: 21, items: [item('entry-1', 20, announcement('10.0.0.1:1'))], gone: [],
	}, 0);
	cache.apply({
		from: undefined, revision: restored(21), items: [item('entry-1', restored(20), announcement('10.0.0.9:1'))], gone: [],
	}, 0);
	assert.deepEqual(changes.at(-1), ['entry-1', announcement('10.0.0.9:1')]);
});

test.test('guards against a restarted server that counts as synchronized because the restored store lists its earlier incarnation', () => {
	const {cache} = make('servers', new retentions.ServerRetention());
	cache.apply({
		from: undefined, revision: 21, items: [item('i-1', 20, registration(60_000, 'ready'))], gone: [],
	}, 0);
	for (const counter of [14, 15]) {
		cache.apply({
			from: undefined, revision: restored(counter), items: [item('i-1', restored(12), registration(1, 'ready'))], gone: [],
		}, 0);
		assert.equal(cache.item('i-1')?.value?.startedAt, 60_000);
	}

	// A server whose clock was set back has a lower start time; what it writes after the restoration counts.
	cache.apply({
		from: restored(15), revision: restored(16), items: [item('i-1', restored(16), registration(50_000, 'ready'))], gone: [],
	}, 0);
	assert.equal(cache.item('i-1')?.value?.startedAt, 50_000);
});

test.test('guards against new work for a leaving server because the restored store lists it as ready', () => {
	const {cache, changes} = make('servers', new retentions.ServerRetention());
	cache.apply({
		from: undefined, revision: 21, items: [item('i-1', 20, registration(1, 'leaving'))], gone: [],
	}, 0);
	cache.apply({
		from: undefined, revision: restored(14), items: [item('i-1', restored(12), registration(1, 'ready'))], gone: [],
	}, 0);
	assert.deepEqual(changes.map(([, value]) => value?.state), ['leaving']);
	cache.apply({
		from: undefined, revision: restored(18), items: [], gone: [],
	}, 0);
	assert.equal(cache.item('i-1'), undefined);
});
