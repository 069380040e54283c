/**
Starts of a host while an earlier order may still be carried out, and in calm. In each case the primary was silent, a host
has ordered the promotion of a replica that receives nothing more, the order waits, and the primary answers again.
*/
import * as assert from 'node:assert/strict';
import * as test from 'node:test';
import * as Either from 'fp-ts/lib/Either.js';
import * as fleets from '../../tests/fake-fleet.js';

const writeIntervalMs = 10;
/** Time from the start to the time at which the order is carried out. */
const lateMs = 1500;
/** Time by which a host that can't learn of the orders has sent one of its own, which took effect. */
const orderedMs = 8000;

async function start(): Promise<fleets.Fleet> {
	const fleet = new fleets.Fleet();
	await fleet.start();
	for (const host of fleet.hosts) {
		await fleet.writeFor(200, [host]);
	}

	await fleet.time.advance(1000);
	return fleet;
}

/** A fleet in which an order waits; returns the host that sent it. */
async function holdOrder(fleet: fleets.Fleet): Promise<fleets.Host> {
	const primary = fleet.primary!;
	fleet.authority.isHolding = true;
	for (const host of fleet.hosts) {
		host.pathTo(primary.name).isCut = true;
	}

	await fleet.until(() => fleet.authority.held.length > 0);
	fleet.authority.isHolding = false;
	const [order] = fleet.authority.held;
	fleet.cluster.servers.find(({name}) => name !== order.server && name !== primary.name)!.heldTerm = 0;
	fleet.cluster.get(order.server).isReplicationCut = true;
	return fleet.hosts.find(({name}) => name === order.holder)!;
}

/** Starts a host, which reaches the primary once it has read the store; the others never do. */
async function startHost(fleet: fleets.Fleet, host: fleets.Host): Promise<void> {
	const path = host.pathTo(fleet.cluster.servers[0].name);
	path.isCut = true;
	fleet.startHost(host);
	await fleet.time.advance(200);
	path.isCut = false;
}

/** Writes at a host that has started, and has the waiting order carried out meanwhile. */
async function carryOutLate(fleet: fleets.Fleet, host: fleets.Host): Promise<void> {
	await fleet.writeFor(lateMs, [host]);
	fleet.authority.carryOut(fleet.authority.held[0], 0);
	await fleet.writeFor(orderedMs, [host]);
}

async function check(fleet: fleets.Fleet, host: fleets.Host): Promise<void> {
	assert.deepEqual(fleet.violations, [], fleet.journal.slice(-80).join('\n'));
	const before = fleet.confirmed.size;
	await fleet.writeFor(1000, [host]);
	assert.ok(fleet.confirmed.size > before, `the host confirms no writes\n${fleet.journal.slice(-80).join('\n')}`);
	await fleet.stop();
}

/** The hosts that go on while one starts, and what the store is like meanwhile. */
type Start = {
	readonly title: string;
	/** The host whose process ends, as compared with the one that sent the order. */
	readonly ended: 'claimant' | 'other';
	readonly name?: string;
	readonly isAlone?: boolean;
	readonly store?: 'down' | 'restored';
};

const starts: readonly Start[] = [
	{title: 'the host that sent an order restarts', ended: 'claimant'},
	{title: 'a host that sent no order restarts', ended: 'other'},
	{title: 'a host that is new to the fleet starts', ended: 'other', name: 'four'},
	{title: 'the host that sent an order restarts with all other hosts gone', ended: 'claimant', isAlone: true},
	{
		title: 'a new host starts with all other hosts gone', ended: 'claimant', name: 'four', isAlone: true,
	},
	{title: 'a host starts while the store is away', ended: 'claimant', store: 'down'},
	{title: 'a host starts after the store has lost the claim', ended: 'claimant', store: 'restored'},
	{
		title: 'a host starts alone after the store has lost the claim', ended: 'claimant', isAlone: true, store: 'restored',
	},
];

// Guards against a process that confirms commits after its start though an order that it doesn't know takes the lead from the
// server that acknowledged them.
for (const {title, ended, name, isAlone = false, store} of starts) {
	test.test(`no confirmed commit is lost when ${title}`, async () => {
		const fleet = await start();
		fleet.store.copy();
		const claimant = await holdOrder(fleet);
		const replaced = ended === 'claimant' ? claimant : fleet.hosts.find(host => host !== claimant)!;
		const host = fleet.replaceHost(replaced, name);
		for (const other of isAlone ? fleet.hosts.filter(running => running !== host) : []) {
			other.kill();
		}

		claimant.kill();
		fleet.store.state = store === 'down' ? 'down' : 'well';
		if (store === 'restored') {
			fleet.store.restore();
		}

		await startHost(fleet, host);
		await carryOutLate(fleet, host);
		fleet.store.state = 'well';
		await fleet.writeFor(5000, [host]);
		await check(fleet, host);
	});
}

// Guards against hosts that start together and take each other's ignorance for knowledge.
for (const isRestored of [false, true]) {
	test.test(`no confirmed commit is lost when all hosts restart${isRestored ? ' and the store has lost the claim' : ''}`, async () => {
		const fleet = await start();
		fleet.store.copy();
		await holdOrder(fleet);
		if (isRestored) {
			fleet.store.restore();
		}

		for (const host of fleet.hosts) {
			fleet.startHost(fleet.replaceHost(host));
		}

		await carryOutLate(fleet, fleet.hosts[0]);
		await check(fleet, fleet.hosts[0]);
	});
}

// Guards against a claim that is released, so that hosts which start trust it, while an order under it may be carried out: a
// service without callers doesn't settle it.
test.test('a claim is not released while an order is outstanding', async () => {
	const fleet = await start();
	const claimant = await holdOrder(fleet);
	const readHolder = async (): Promise<string | undefined> => {
		const found = await fleet.store.read('claims', 'ledgers');
		return Either.isRight(found) ? found.right?.value?.holder : undefined;
	};

	fleet.authority.isHolding = true;
	for (const host of fleet.hosts) {
		host.isIdle = true;
	}

	await fleet.time.advance(10_000);
	assert.equal(await readHolder(), claimant.name);
	await fleet.time.advance(10_000);
	assert.equal(await readHolder(), '');
	await fleet.stop();
});

// Guards against a process that goes by the store alone while it is away: nobody tells it of the order.
test.test('a host that starts alone while the store is away confirms no commit', async () => {
	const fleet = await start();
	const claimant = await holdOrder(fleet);
	const host = fleet.replaceHost(claimant);
	for (const other of fleet.hosts.filter(running => running !== host)) {
		other.kill();
	}

	fleet.store.state = 'down';
	await startHost(fleet, host);
	const before = fleet.confirmed.size;
	await fleet.writeFor(30_000, [host]);
	assert.equal(fleet.confirmed.size, before);
	fleet.store.state = 'well';
	await fleet.writeFor(orderedMs, [host]);
	await check(fleet, host);
});

// Guards against commits that are withheld for ever where neither the store, nor another host, nor the authority answers for
// the earlier orders.
test.test('a host that starts alone while the authority is unavailable confirms commits once no earlier order can live', async () => {
	const fleet = await start();
	const claimant = await holdOrder(fleet);
	const host = fleet.replaceHost(claimant);
	for (const other of fleet.hosts.filter(running => running !== host)) {
		other.kill();
	}

	fleet.authority.isUnavailable = true;
	await startHost(fleet, host);
	const before = fleet.confirmed.size;
	await fleet.writeFor(24_000, [host]);
	assert.equal(fleet.confirmed.size, before);
	await fleet.writeFor(14_000, [host]);
	await check(fleet, host);
});

/** What a fleet has sent to the store and the authority. */
function countCalls(fleet: fleets.Fleet): {readonly orders: number; readonly revision: number} {
	return {orders: fleet.authority.requests.length, revision: fleet.store.revision};
}

/** A fleet in which a server was promoted some time ago. */
async function startAfterPromotion(): Promise<fleets.Fleet> {
	const fleet = await start();
	const [primary] = fleet.cluster.servers;
	primary.isUnresponsive = true;
	await fleet.until(() => fleet.primary !== primary);
	primary.isUnresponsive = false;
	await fleet.time.advance(10_000);
	return fleet;
}

/** Writes until one is confirmed; returns the time that it took. */
async function awaitConfirmation(fleet: fleets.Fleet, host: fleets.Host): Promise<number> {
	const startedAt = fleet.time.now();
	const before = fleet.confirmed.size;
	for (let waitedMs = 0; fleet.confirmed.size === before && waitedMs < 10_000; waitedMs += writeIntervalMs) {
		fleet.write(host);
		await fleet.time.advance(writeIntervalMs);
	}

	return fleet.time.now() - startedAt;
}

/** Time of a start in which nothing is withheld: the read of the store, a connection, a BEGIN and a write. */
const maxCalmMs = 150;

// Guards against a price of each restart: claims stay in the store for good, and most hosts restart every day.
for (const isAlone of [false, true]) {
	test.test(`a host that restarts in calm ${isAlone ? 'with all others gone ' : ''}withholds, writes and orders nothing`, async () => {
		const fleet = await startAfterPromotion();
		const host = fleet.replaceHost(fleet.hosts[0]);
		for (const other of isAlone ? fleet.hosts.filter(running => running !== host) : []) {
			other.kill();
		}

		const before = countCalls(fleet);
		fleet.startHost(host);
		const tookMs = await awaitConfirmation(fleet, host);
		assert.ok(tookMs <= maxCalmMs, `${tookMs} ms\n${fleet.journal.slice(-40).join('\n')}`);
		await fleet.writeFor(10_000, [host]);
		assert.deepEqual(countCalls(fleet), before);
		await check(fleet, host);
	});
}

// Guards against a price of each restart where the last claim was never released, since its host ended before.
test.test('a host that restarts long after an unreleased claim withholds, writes and orders nothing while another host runs', async () => {
	const fleet = await start();
	const claimant = await holdOrder(fleet);
	fleet.authority.carryOut(fleet.authority.held[0]);
	claimant.kill();
	await fleet.time.advance(30_000);
	const host = fleet.replaceHost(claimant);
	const before = countCalls(fleet);
	fleet.startHost(host);
	const tookMs = await awaitConfirmation(fleet, host);
	assert.ok(tookMs <= maxCalmMs, `${tookMs} ms\n${fleet.journal.slice(-40).join('\n')}`);
	await fleet.writeFor(10_000, [host]);
	assert.deepEqual(countCalls(fleet), before);
	await check(fleet, host);
});

// Guards against a release from before a restoration that is taken for one of the last claim, which the store has lost.
test.test('a host doesn\'t go by a claim that was released before the store was restored', async () => {
	const fleet = await startAfterPromotion();
	fleet.store.copy();
	const claimant = await holdOrder(fleet);
	const host = fleet.replaceHost(claimant);
	for (const other of fleet.hosts.filter(running => running !== host)) {
		other.kill();
	}

	fleet.store.restore();
	fleet.startHost(host);
	await carryOutLate(fleet, host);
	await check(fleet, host);
});
