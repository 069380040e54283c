/**
Orders of events in which an order or a reply comes late, and the next primary or the hosts go by what held before it.
*/
import * as assert from 'node:assert/strict';
import * as test from 'node:test';
import type * as cluster from './fake-cluster.js';
import * as fleets from './fake-fleet.js';

const writeIntervalMs = 10;
/** Time after a claim from which its host sends no order and other hosts may claim. */
const claimEndMs = 4000;
/** Time for which hosts expect that an order may still be carried out. */
const maxOrderMs = 12_000;

/** Writes at the hosts in turn for some time, or until a condition holds. */
async function write(fleet: fleets.Fleet, forMs: number, isDone: () => boolean = () => false): Promise<void> {
	for (let waitedMs = 0; waitedMs < forMs && !isDone(); waitedMs += writeIntervalMs) {
		fleet.write(fleet.hosts[(waitedMs / writeIntervalMs) % fleet.hosts.length]);
		await fleet.time.advance(writeIntervalMs);
	}
}

function setPaths(fleet: fleets.Fleet, server: cluster.Server, isCut: boolean): void {
	for (const host of fleet.hosts) {
		host.paths.get(server.name)!.isCut = isCut;
	}
}

async function start(): Promise<fleets.Fleet> {
	const fleet = new fleets.Fleet();
	await fleet.start();
	await write(fleet, 200);
	await fleet.time.advance(1000);
	return fleet;
}

async function check(fleet: fleets.Fleet): Promise<void> {
	assert.ok(fleet.confirmed.size > 20, `writes are confirmed\n${fleet.journal.join('\n')}`);
	assert.deepEqual(fleet.violations, [], fleet.journal.join('\n'));
	await fleet.stop();
}

// Guards against a step-down that is taken as the end of all commits although another server has led since: a late order of
// an earlier claim is carried out just before the old primary is told to step down, and it answers as a replica.
test.test('no confirmed commit is lost when the server that steps down was not the latest primary', async () => {
	const fleet = await start();
	const [a, b, c] = fleet.cluster.servers;
	// An order that isn't answered, of a claim that is given up. The primary returns after that.
	fleet.authority.isHolding = true;
	setPaths(fleet, a, true);
	await fleet.until(() => fleet.authority.held.length > 0);
	const [late] = fleet.authority.held;
	const early = fleet.cluster.get(late.server);
	const target = early === b ? c : b;
	await fleet.time.advance(2000);
	setPaths(fleet, a, false);
	// The claimant reaches the primary later: it would make it step down while its claim lasts.
	const path = fleet.hosts.find(({name}) => name === late.holder)!.paths.get('a')!;
	path.isCut = true;
	await fleet.time.advance(claimEndMs - 2000);
	path.isCut = false;
	// Hosts forget an order that may still be carried out.
	await write(fleet, maxOrderMs + claimEndMs);
	await fleet.time.advance(1000);
	fleet.authority.isHolding = false;
	fleet.actions.set('fence', host => {
		fleet.authority.carryOut(late, 0);
		host.paths.get(early.name)!.isCut = true;
		target.isReplicationCut = true;
	});
	fleet.announceLeaving('a');
	await fleet.until(() => fleet.actions.size === 0);
	await write(fleet, 3000);
	assert.equal(fleet.authority.requests.findLast(({token}) => token > late.token)?.server, target.name, fleet.journal.join('\n'));
	await check(fleet);
});

// Guards against an order that is sent although an order of an earlier claim has made another server primary since the choice:
// hosts withhold only the commits of the terms before that one.
test.test('no confirmed commit is lost when an earlier order is carried out after the choice of another server', async () => {
	const fleet = await start();
	const [a, , c] = fleet.cluster.servers;
	fleet.authority.isHolding = true;
	a.isUnresponsive = true;
	await fleet.until(() => fleet.authority.held.length > 0);
	const [late] = fleet.authority.held;
	// Among equals a server that stays is chosen, so the next claimant orders the other replica.
	fleet.announceLeaving(late.server);
	const target = late.server === 'b' ? c : fleet.cluster.get('b');
	await write(fleet, 10_000, () => fleet.authority.held.some(({server}) => server === target.name));
	const newer = fleet.authority.held.find(({server}) => server === target.name);
	target.isReplicationCut = true;
	a.isUnresponsive = false;
	fleet.authority.carryOut(late, 0);
	await write(fleet, 400);
	if (newer) {
		fleet.authority.carryOut(newer);
	}

	await write(fleet, 1000);
	await check(fleet);
});

// Guards against a promotion that takes effect after the hosts confirm again what the old primary acknowledges: the platform
// has received the order in time and carries it out seconds later.
for (const answer of ['accepted', 'no answer'] as const) {
	test.test(`no confirmed commit is lost when an order is carried out after the end of the suspension: ${answer}`, async () => {
		const fleet = await start();
		const [a, b, c] = fleet.cluster.servers;
		const effectMs = claimEndMs + 800;
		fleet.authority.promotionMs = effectMs;
		fleet.authority.isHolding = answer === 'no answer';
		setPaths(fleet, a, true);
		await fleet.until(() => fleet.authority.requests.length > 0);
		const [order] = fleet.authority.requests;
		const target = order.server === 'b' ? b : c;
		target.isReplicationCut = true;
		await fleet.time.advance(2000);
		// The claimant does not reach the primary, so it can't tell it to step down.
		for (const host of fleet.hosts.filter(({name}) => name !== order.holder)) {
			host.paths.get(a.name)!.isCut = false;
		}

		await write(fleet, 2700);
		if (fleet.authority.isHolding) {
			fleet.authority.isHolding = false;
			fleet.authority.carryOut(order, 0);
		}

		// Another order for the present leader has to be settled before its commits are confirmed.
		await write(fleet, 6000);
		await check(fleet);
	});
}

// Guards against a commit that is taken for one of the next term: its reply is written after the old primary has lost the
// lead, and carries the end of its log then. A replica that no host knows of let the old primary acknowledge it.
test.test('no confirmed commit is lost when its reply is written after the loss of the lead', async () => {
	const fleet = await start();
	const [a, b, c] = fleet.cluster.servers;
	fleet.writeTimeoutMs = 4000;
	await fleet.remove(b.name);
	c.isReplicationCut = true;
	a.commitReplyDelayMs = 600;
	fleet.actions.set('order', host => {
		setPaths(fleet, a, false);
		fleet.restore(b.name, undefined);
		// The hosts whose commits wait find the new primary late.
		setPaths(fleet, c, true);
		host.paths.get(c.name)!.isCut = false;
	});
	for (const host of fleet.hosts) {
		fleet.write(host);
	}

	await fleet.time.advance(100);
	setPaths(fleet, a, true);
	await fleet.until(() => fleet.actions.size === 0);
	const claimant = fleet.hosts.find(({name}) => name === fleet.authority.requests[0].holder)!;
	await fleet.until(() => claimant.group.leader?.id === c.name);
	fleet.write(claimant);
	await fleet.time.advance(1000);
	setPaths(fleet, c, false);
	await write(fleet, 1000);
	await check(fleet);
});
