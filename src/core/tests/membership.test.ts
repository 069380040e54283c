import * as assert from 'node:assert/strict';
import * as test from 'node:test';
import type * as types from '../../generated/types.js';
import * as clock from '../clock.js';
import * as membership from '../membership.js';

function make(): {members: membership.Members; time: clock.Manual} {
	const time = new clock.Manual();
	const members = new membership.Members({self: {name: 'self', place: 'a'}, hasSeeds: false, staleMs: 15_000}, time);
	return {members, time};
}

function list(...names: string[]): types.HostList {
	return {
		entry: names.map(name => ({
			name, address: '127.0.0.1:1', place: 'a', state: 'live',
		})),
		backend: [],
	};
}

function hello(host: string, change: Partial<types.Hello> = {}): types.Hello {
	return {
		kind: 'hello', host, place: 'a', address: '127.0.0.1:1', configurationVersion: 0, hostsVersion: 0, leaving: false, unreachable: [], ...change,
	};
}

const names = (hosts: readonly membership.Member[]): string[] => hosts.map(({name}) => name).toSorted();

test.test('a host that is alone is the only candidate (guards against a single host that owns no group)', () => {
	const {members} = make();
	assert.deepEqual(names(members.candidates()), ['self']);
	assert.equal(members.isAlone, true);
	members.markLeaving();
	assert.deepEqual(names(members.candidates()), ['self']);
});

test.test('a host is leaving if either its own hello or the list reports it (guards against ownership by a draining host)', () => {
	const {members} = make();
	members.applyList(list('self', 'x', 'y'), true);
	members.receiveHello(hello('x', {leaving: true}));
	assert.deepEqual(names(members.candidates()), ['self', 'y']);
	members.markUnreachable('x');
	assert.deepEqual(names(members.candidates()), ['self', 'y']);
	const marked = list('self', 'x', 'y');
	marked.entry[2].state = 'leaving';
	members.receiveHello(hello('y'));
	members.applyList(marked, true);
	assert.deepEqual(names(members.candidates()), ['self']);
});

test.test('a listed host is gone only if its link is down and two peers report it unreachable (guards against an isolated host that becomes owner of every group)', () => {
	const {members} = make();
	members.applyList(list('self', 'x', 'y', 'z'), true);
	members.markUnreachable('x');
	members.receiveHello(hello('y', {unreachable: ['x']}));
	assert.ok(names(members.candidates()).includes('x'));
	members.receiveHello(hello('z', {unreachable: ['x']}));
	assert.ok(!names(members.candidates()).includes('x'));
	members.receiveHello(hello('x'));
	assert.ok(names(members.candidates()).includes('x'));
});

test.test('an unlisted peer is a candidate only while the list is stale (guards against views that differ until the list is updated)', async () => {
	const {members, time} = make();
	members.applyList(list('self', 'x'), true);
	members.receiveHello(hello('new'));
	assert.deepEqual(names(members.candidates()), ['self', 'x']);
	await time.advance(15_001);
	assert.deepEqual(names(members.candidates()), ['new', 'self', 'x']);
	members.markUnreachable('new');
	assert.deepEqual(names(members.candidates()), ['self', 'x']);
});
