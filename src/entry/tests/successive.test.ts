import * as assert from 'node:assert/strict';
import * as test from 'node:test';
import * as fleets from './fake-fleet.js';

/** Writes at all hosts for some time. */
async function write(fleet: fleets.Fleet, forMs: number): Promise<void> {
	for (let waitedMs = 0; waitedMs < forMs; waitedMs += 10) {
		fleet.write(fleet.hosts[(waitedMs / 10) % 3]);
		await fleet.time.advance(10);
	}
}

/** Advances the time until a server has been promoted. */
async function awaitPromotion(fleet: fleets.Fleet): Promise<void> {
	const term = fleet.primary?.term ?? 0;
	for (let waitedMs = 0; (fleet.primary?.term ?? 0) <= term && waitedMs < 5000; waitedMs += 10) {
		await fleet.time.advance(10);
	}
}

// Guards against an attempt in the leader's own term: the replicas have not received from the new primary yet, so their
// answers show the term before, in which an order to step down, a pause and a suspension have no effect on it.
test.test('no confirmed commit is lost when a new primary is replaced before its replicas know its term', async () => {
	const fleet = new fleets.Fleet();
	await fleet.start();
	await write(fleet, 200);
	await fleet.time.advance(1000);
	fleet.announceLeaving('a');
	await awaitPromotion(fleet);
	// All hosts have found the new primary, and no write has reached it yet.
	await fleet.time.advance(100);
	const primary = fleet.primary!;
	const [one, other] = fleet.cluster.servers.filter(server => server !== primary);
	for (const host of fleet.hosts) {
		host.paths.get(primary.name)!.isCut = true;
	}

	fleet.actions.set('order', () => {
		const target = fleet.authority.requests.at(-1)!.server;
		(target === one.name ? one : other).isReplicationCut = true;
		for (const host of fleet.hosts) {
			host.paths.get(primary.name)!.isCut = false;
		}
	});
	while (fleet.actions.size > 0) {
		await fleet.time.advance(10);
	}

	await write(fleet, 3000);
	assert.ok(fleet.confirmed.size > 20, 'writes are confirmed');
	assert.deepEqual(fleet.violations, [], fleet.journal.join('\n'));
	await fleet.stop();
});
