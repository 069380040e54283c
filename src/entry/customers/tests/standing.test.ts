import * as assert from 'node:assert/strict';
import * as test from 'node:test';
import * as budget from '../quota/budget.js';
import * as counters from '../quota/counters.js';
import * as standings from '../quota/standing.js';

const bound = {windowS: 5, overage: 0.1, slack: 20};
const customer = {
	name: 'crescent', priority: 0, operationsPerS: 100, burst: 50, keyDigests: [],
};

function host(name: string, place = name, capacity = 1): counters.Host {
	return {
		name, place, region: place.slice(0, 1), peer: '127.0.0.1:1', capacity,
	};
}

function fleet(count: number): counters.Host[] {
	return Array.from({length: count}, (_, index) => host(`h${index}`, `p${index % 6}`, index < 12 ? 1.3 : 0.3));
}

// Guards against counters in one place, whose loss would take the whole quota, and against small hosts that count.
test.test('the counters are one large host of each place', () => {
	const hosts = fleet(64);
	const names = new counters.View(hosts).counters(customer.name, budget.maxCounters);
	const chosen = hosts.filter(({name}) => names.includes(name));
	assert.equal(new Set(chosen.map(({place}) => place)).size, 6);
	assert.ok(chosen.every(({capacity}) => capacity > 1));
});

// Guards against a small fleet in which fewer hosts than counters leave a part of the quota to nobody.
test.test('the shares of the only two hosts are the whole quota', () => {
	const hosts = [host('a'), host('b')];
	const standing = new standings.Standing({self: 'a', bound});
	standing.update(hosts, 0);
	assert.deepEqual(standing.share(customer, 0), budget.share(bound, customer, 2));
});

// Guards against an order of the list that changes who counts.
test.test('hosts with the same list in another order have the same view', () => {
	const [one, other] = [new counters.View(fleet(20)), new counters.View(fleet(20).toReversed())];
	assert.equal(one.digest, other.digest);
	assert.deepEqual(one.counters('x', 6), other.counters('x', 6));
});

/** A view of hosts `a` and `b` of one place, of which the first in rank counts, and `c` of another place. */
function rankPlace(count = 1): {readonly first: counters.Host; readonly second: counters.Host} {
	const hosts = [host('a', 'p'), host('b', 'p')];
	const [name] = new counters.View(hosts).counters(customer.name, count);
	return {first: hosts.find(other => other.name === name)!, second: hosts.find(other => other.name !== name)!};
}

/** A bound so small that one host counts. */
const small = {windowS: 5, overage: 0.1, slack: 1};
const single = {...customer, burst: 2};

// Guards against two counters at the same time while the former one doesn't know the new host yet.
test.test('a new host counts only after the host whose place it takes has its view', () => {
	const {first, second} = rankPlace();
	const standing = new standings.Standing({self: first.name, bound: small});
	standing.update([first, second], 1000, true);
	assert.equal(standing.share(single, 1000), undefined);
	assert.deepEqual(standing.awaited([single], 1000), [second.name]);
	assert.equal(standing.confirm(second.name, new counters.View([second]).digest), false);
	assert.equal(standing.share(single, 1001), undefined);
	assert.equal(standing.confirm(second.name, new counters.View([first, second]).digest), true);
	assert.ok(standing.share(single, 1002));
});

// Guards against a confirmation of a view that has been replaced since.
test.test('a confirmation doesn\'t count for a later view', () => {
	const {first, second} = rankPlace();
	const standing = new standings.Standing({self: first.name, bound: small});
	standing.update([first, second], 1000, true);
	standing.confirm(second.name, new counters.View([first, second]).digest);
	standing.update([first, second, host('z', 'p', 0.1)], 1100);
	assert.equal(standing.share(single, 1100), undefined);
});

// Guards against a quota that nobody counts because the former counter is gone for good.
test.test('a new host counts once no host can have the former view any more', () => {
	const {first, second} = rankPlace();
	const standing = new standings.Standing({self: first.name, bound: small});
	standing.update([first, second], 1000, true);
	assert.equal(standing.share(single, 1000 + standings.viewLifeMs - 1), undefined);
	assert.ok(standing.share(single, 1000 + standings.viewLifeMs));
});

// Guards against a restart that leaves a share to nobody for the life of a view.
test.test('a host that was announced before it started counts at once', () => {
	const {first, second} = rankPlace();
	const standing = new standings.Standing({self: first.name, bound: small});
	standing.update([first, second], 1000);
	assert.ok(standing.share(single, 1000));
});

// Guards against a host that goes on counting after another one has taken its place.
test.test('a host whose place another one takes stops counting at once', () => {
	const {first, second} = rankPlace();
	const standing = new standings.Standing({self: second.name, bound: small});
	standing.update([second], 1000);
	assert.ok(standing.share(single, 1000));
	standing.update([first, second], 2000);
	assert.equal(standing.share(single, 2000), undefined);
});

// Guards against shares that add up to more than the quota while another counter still has the view with more of them.
test.test('a share grows only after the other counters have the view', () => {
	const standing = new standings.Standing({self: 'a', bound});
	const before = [host('a'), host('b'), host('c')];
	standing.update(before, 0);
	standing.update(before.slice(0, 2), 1000);
	assert.deepEqual(standing.share(customer, 1000), budget.share(bound, customer, 3));
	standing.confirm('b', new counters.View(before.slice(0, 2)).digest);
	assert.deepEqual(standing.share(customer, 1000 + standings.viewLifeMs), budget.share(bound, customer, 2));
});
