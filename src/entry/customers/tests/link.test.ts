import * as assert from 'node:assert/strict';
import * as test from 'node:test';
import * as clock from '../../../core/clock.js';
import * as messages from '../../../generated/forwarding.js';
import type * as types from '../../../generated/types.js';
import * as decisions from '../../decisions.js';
import * as local from '../../local.js';
import * as peers from '../../peer.js';
import * as reporters from '../../reporter.js';
import * as responder from '../../responder.js';
import * as states from '../../tests/fake-state.js';
import * as network from '../../tests/fake-transport.js';
import type * as counters from '../quota/counters.js';
import * as quotas from '../quota/quotas.js';
import * as sources from '../quota/source.js';

const customer = {
	name: 'crescent', priority: 0, operationsPerS: 100, burst: 10, keyDigests: [],
};
const bound = {windowS: 5, overage: 0.1, slack: 20};
const time = new clock.Manual();
const log = new decisions.Silent();
const hosts: counters.Host[] = ['one', 'two'].map(name => ({
	name, place: name, region: 'west', peer: `${name}:1`, capacity: 1,
}));

function create(self: string, reach: quotas.Reach): quotas.Quotas {
	const created = new quotas.Quotas({
		self, clock: time, decisions: log, bound, reach,
	});
	created.updateHosts(hosts);
	created.updateCustomers([customer]);
	return created;
}

/** Host `two`, whose links are served by a responder. */
function listen(links: network.Network, served: quotas.Quotas | undefined): void {
	const context = {clock: time, place: 'west', decisions: log};
	links.listen('two:1', accepted => {
		const accepting = new responder.Responder(accepted, {
			executor: new local.Local(context, () => undefined),
			context,
			caches: states.caches(time, log),
			reporter: new reporters.Reporter({
				clock: time, decisions: log, hasSeenClaim: () => false, findGroup: () => undefined,
			}),
			quotas: served,
		});
		void accepting.run();
	});
}

// Guards against a message that peer and responder encode differently, or that the schema refuses.
test.test('a host leases operations from another one over a link', async () => {
	const links = new network.Network(time);
	const peer = new peers.Peer({
		name: 'two', address: 'two:1', clock: time, transport: new network.Transport(links), decisions: log,
	});
	const counter = create('two', () => undefined);
	const confirmed: Array<[string, number]> = [];
	listen(links, counter);
	await time.advance(5000);
	const source = new sources.Remote(peer, 'same region', (host, view) => {
		confirmed.push([host, view]);
	});
	const request = source.request(customer.name, 3, 500);
	await time.advance(100);
	const grant = await request as types.QuotaGrant;
	assert.equal(grant.granted, 3);
	assert.deepEqual(confirmed, [['two', grant.view]]);
	assert.ok(messages.validateEntryMessage(grant));
	assert.ok(messages.validateEntryMessage({
		kind: 'quota-request', id: 1, customer: customer.name, count: 64,
	}));
	assert.ok(!messages.validateEntryMessage({
		kind: 'quota-request', id: 1, customer: customer.name, count: -1,
	}));
});

// Guards against a host without quotas that leaves the request unanswered, so that the other one waits.
test.test('a host without quotas closes the link', async () => {
	const links = new network.Network(time);
	const peer = new peers.Peer({
		name: 'two', address: 'two:1', clock: time, transport: new network.Transport(links), decisions: log,
	});
	listen(links, undefined);
	const request = new sources.Remote(peer, 'same region', () => undefined).request(customer.name, 3, 500);
	await time.advance(100);
	assert.equal(await time.limit(request, 0), undefined);
	assert.equal(peer.isOpen, false);
});
