import * as assert from 'node:assert/strict';
import * as test from 'node:test';
import * as random from '../../../core/random.js';
import * as decisions from '../../decisions.js';
import * as balancer from '../balancer.js';
import type * as tracks from '../track.js';

class Server implements balancer.Candidate {
	isAvoided = false;
	readonly registration: {readonly place: string; readonly slots: number};
	readonly id: string;

	constructor(id: string, place: string, slots = 4) {
		this.id = id;
		this.registration = {place, slots};
	}
}

class Recorder extends decisions.Decisions {
	readonly lines: string[] = [];

	override record(name: string, {server, reason}: decisions.Fields): void {
		this.lines.push(`${name} ${String(server)} ${String(reason)}`);
	}

	override request(): void {
		// Only state changes are checked.
	}

	override ended(): void {
		// Only state changes are checked.
	}
}

/** A balancer of three servers, the first in the host's place, on a clock that the test sets. */
class Harness {
	now = 0;
	readonly near = new Server('near', 'west');
	readonly far = [new Server('far-1', 'east'), new Server('far-2', 'north')];
	readonly recorder = new Recorder();
	readonly balancer = new balancer.Balancer<Server>({
		service: 'ledgers', clock: {now: () => this.now}, random: new random.Seeded(5), decisions: this.recorder,
	});

	get servers(): readonly Server[] {
		return [this.near, ...this.far];
	}

	order(leader?: Server, servers = this.servers, purpose: 'read' | 'transaction' = 'read'): readonly Server[] {
		return this.balancer.order(servers, {place: 'west', leader, purpose});
	}

	/** Sends a request that takes `ms`. */
	send(server: Server, outcome: tracks.Outcome, ms = 20): void {
		this.balancer.started(server);
		this.now += ms;
		this.balancer.ended(server, outcome);
	}

	answer(server: Server, latencyMs = 20, count = 1): void {
		for (let index = 0; index < count; index++) {
			this.send(server, {kind: 'read', latencyMs}, latencyMs);
		}
	}

	/** Lets all servers answer, so that one can be compared with the others. */
	warmUp(): void {
		for (const server of this.servers) {
			this.answer(server, server === this.near ? 20 : 36, 5);
		}
	}

	/** Number of times that each server comes first in 100 choices. */
	firsts(leader?: Server): Record<string, number> {
		const counts: Record<string, number> = {};
		for (let index = 0; index < 100; index++) {
			const {id} = this.order(leader)[0];
			counts[id] = (counts[id] ?? 0) + 1;
		}

		return counts;
	}
}

test.test('guards against billed traffic to other places while the server of the own place has free slots', () => {
	const harness = new Harness();
	harness.warmUp();
	assert.deepEqual(harness.firsts(), {near: 100});
	harness.balancer.started(harness.near);
	harness.balancer.started(harness.near);
	assert.deepEqual(harness.firsts(), {near: 100});
});

test.test('guards against a herd: with a growing queue a growing share of the requests leaves the place', () => {
	const harness = new Harness();
	harness.warmUp();
	const shares: number[] = [];
	for (const inFlight of [2, 2, 1, 1, 6]) {
		for (let index = 0; index < inFlight; index++) {
			harness.balancer.started(harness.near);
		}

		shares.push(harness.firsts().near ?? 0);
	}

	assert.deepEqual(shares, shares.toSorted((one, other) => other - one));
	assert.equal(shares[0], 100);
	assert.ok(shares.some(share => share > 0 && share < 100), shares.join(' '));
	assert.equal(shares.at(-1), 0);
});

test.test('guards against all hosts of a place choosing the same one of two equal servers', () => {
	const harness = new Harness();
	const servers = harness.far;
	const firsts = Array.from({length: 200}, () => harness.order(undefined, servers)[0].id);
	const share = firsts.filter(id => id === 'far-1').length / firsts.length;
	assert.ok(share > 0.35 && share < 0.65, String(share));
});

test.test('guards against reads that fill the leader: of two equal servers the replica is read, and a queue at the leader moves reads earlier', () => {
	const harness = new Harness();
	harness.warmUp();
	const [first, second] = harness.far;
	assert.equal(harness.order(first, harness.far)[0], second);
	for (let index = 0; index < 4; index++) {
		harness.balancer.started(harness.near);
	}

	const asReplica = harness.firsts().near ?? 0;
	const asLeader = harness.firsts(harness.near).near ?? 0;
	assert.ok(asLeader < asReplica, `${asLeader} as leader, ${asReplica} as replica`);
});

test.test('guards against a server that refuses at once and therefore seems fast', () => {
	const harness = new Harness();
	harness.warmUp();
	for (let index = 0; index < 3; index++) {
		harness.send(harness.near, {kind: 'busy'}, 1);
	}

	assert.equal(harness.order().at(-1), harness.near);
	assert.deepEqual(harness.recorder.lines, ['server-ejected near refusing']);
});

test.test('guards against a server that fails a part of its requests and answers the rest', () => {
	const harness = new Harness();
	harness.warmUp();
	for (let index = 0; index < 10; index++) {
		harness.send(harness.near, index % 5 < 2 ? {kind: 'failed'} : {kind: 'read', latencyMs: 20});
		harness.order();
	}

	assert.equal(harness.balancer.ejected(harness.near), 'failing');
});

test.test('guards against the ejection of a server for statements that are themselves at fault', () => {
	const harness = new Harness();
	const [other] = harness.far;
	assert.ok(other);
	for (let index = 0; index < 12; index++) {
		if (index % 2 === 0) {
			harness.answer(harness.near);
		} else {
			// The next server fails the statement as well; the third one had no requests.
			harness.send(harness.near, {kind: 'failed'});
			harness.send(other, {kind: 'failed'});
		}

		harness.order();
	}

	assert.equal(harness.balancer.ejected(harness.near), undefined);
});

test.test('guards against more than one request at a time to an ejected server before it has recovered', () => {
	const harness = new Harness();
	harness.warmUp();
	harness.send(harness.near, {kind: 'silent'});
	assert.equal(harness.order().at(-1), harness.near);
	harness.now += 1300;
	assert.equal(harness.order(undefined, harness.servers, 'transaction').at(-1), harness.near);
	assert.equal(harness.order()[0], harness.near);
	harness.balancer.started(harness.near);
	assert.equal(harness.order().at(-1), harness.near);
	harness.balancer.ended(harness.near, {kind: 'read', latencyMs: 20});
	for (let trial = 0; trial < 4; trial++) {
		assert.equal(harness.order()[0], harness.near);
		harness.answer(harness.near);
	}

	assert.equal(harness.balancer.ejected(harness.near), undefined);
	assert.deepEqual(harness.recorder.lines, ['server-ejected near silent', 'server-readmitted near silent']);
	assert.deepEqual(harness.firsts(), {near: 100});
});

test.test('guards against trials in quick succession at a server that stays down, and at one that flaps', () => {
	const harness = new Harness();
	harness.warmUp();
	harness.send(harness.near, {kind: 'silent'});
	harness.order();
	let trials = 0;
	for (const end = harness.now + 60_000; harness.now < end; harness.now += 10) {
		if (harness.order()[0] === harness.near) {
			trials++;
			harness.send(harness.near, {kind: 'silent'});
		}
	}

	// Backoffs of 1, 2, 4 and then 8 s, each varied by a quarter.
	assert.ok(trials >= 6 && trials <= 14, String(trials));
});

test.test('guards against a server that is known to be down being tried by a caller\'s request', () => {
	const harness = new Harness();
	harness.warmUp();
	harness.send(harness.near, {kind: 'silent'});
	harness.order();
	harness.near.isAvoided = true;
	harness.now += 20_000;
	assert.notEqual(harness.order()[0], harness.near);
});

test.test('guards against the ejection of all servers: only differences count, and at most half of the servers come last', () => {
	const harness = new Harness();
	for (let index = 0; index < 20; index++) {
		for (const server of harness.servers) {
			harness.send(server, {kind: 'busy'}, 1);
			harness.order();
		}
	}

	assert.deepEqual(harness.servers.filter(server => harness.balancer.ejected(server)), []);
	const other = new Harness();
	other.warmUp();
	const [worst] = other.far;
	assert.ok(worst);
	for (const [server, count] of [[other.near, 4], [worst, 12]] as const) {
		for (let index = 0; index < count; index++) {
			other.send(server, {kind: 'failed'}, 1);
		}
	}

	// Both are ejected, but only the one that fails more comes last.
	assert.deepEqual(other.order().map(({id}) => id), ['near', 'far-2', 'far-1']);
	assert.equal(other.balancer.ejected(other.near), 'failing');
	assert.equal(other.balancer.ejected(worst), 'failing');
	const alone = new Server('alone', 'west');
	for (let index = 0; index < 10; index++) {
		other.send(alone, {kind: 'failed'});
	}

	assert.deepEqual(other.order(undefined, [alone]), [alone]);
	assert.equal(other.balancer.ejected(alone), undefined);
});

test.test('guards against a slow server that keeps its share, and one that is not used again once it is fast', () => {
	const harness = new Harness();
	harness.warmUp();
	harness.answer(harness.near, 160, 8);
	harness.now += 100;
	assert.equal(harness.order()[0].registration.place === 'west', false);
	assert.equal(harness.balancer.ejected(harness.near), 'slow');
	for (let index = 0; index < 500; index++) {
		const [first] = harness.order();
		harness.answer(first, first === harness.near ? 20 : 36);
	}

	assert.equal(harness.balancer.ejected(harness.near), undefined);
	assert.deepEqual(harness.firsts(), {near: 100});
});

test.test('guards against the readmission of a slow leader by its writes, whose latency shows nothing', () => {
	const harness = new Harness();
	harness.warmUp();
	harness.answer(harness.near, 160, 8);
	harness.order();
	assert.equal(harness.balancer.ejected(harness.near), 'slow');
	harness.now += 1300;
	for (let index = 0; index < 10; index++) {
		harness.send(harness.near, {kind: 'write'});
	}

	assert.equal(harness.balancer.ejected(harness.near), 'slow');
});

test.test('guards against implausible registrations and latencies shifting traffic', () => {
	const harness = new Harness();
	const servers = [0, -4, Number.NaN, 1e9, 2.5].map((slots, index) => new Server(`s${index}`, 'west', slots));
	servers.push(new Server('usual', 'west', 4));
	for (const server of servers) {
		harness.answer(server, 20, 3);
		harness.send(server, {kind: 'read', latencyMs: -50});
		harness.send(server, {kind: 'read', latencyMs: Number.NaN});
		harness.send(server, {kind: 'read', latencyMs: 1e12});
	}

	const firsts = new Map<string, number>();
	for (let index = 0; index < 600; index++) {
		const {id} = harness.order(undefined, servers)[0];
		firsts.set(id, (firsts.get(id) ?? 0) + 1);
	}

	assert.ok(servers.every(({id}) => (firsts.get(id) ?? 0) > 40 && firsts.get(id)! < 200), [...firsts].join(' '));
});

test.test('guards against requests in progress that are counted for good after a cancelled attempt', () => {
	const harness = new Harness();
	harness.warmUp();
	for (let index = 0; index < 50; index++) {
		harness.send(harness.near, {kind: 'none'}, 0);
	}

	assert.deepEqual(harness.firsts(), {near: 100});
	assert.equal(harness.balancer.requests(harness.near), 55);
});
