import * as assert from 'node:assert/strict';
import * as test from 'node:test';
import * as process from 'node:process';
import * as fc from 'fast-check';
import * as position from '../../core/position.js';
import * as completeness from '../completeness.js';

function server(id: string, index: number, change: Partial<completeness.Server> = {}): completeness.Server {
	return {
		id, address: `address-${id}`, isCompared: false, answer: {role: 'replica', position: {term: 1, index}}, ...change,
	};
}

function view(change: Partial<completeness.View>): completeness.View {
	return {
		leader: 'unknown', servers: [], missing: [], departures: [], isMembershipKnown: true, ...change,
	};
}

function gapsOf(change: Partial<completeness.View>): string {
	return completeness.findGaps(view(change)).map(({id}) => id).join(' ');
}

const departure: completeness.Departure = {
	id: 'a', address: 'address-d', isPlanned: true, position: {term: 1, index: 8},
};

test.test('all replicas must have been compared with a known leader', () => {
	assert.equal(gapsOf({leader: 'known', servers: [server('b', 5, {isCompared: true}), server('c', 5, {isCompared: true})]}), '');
	assert.equal(gapsOf({leader: 'known', servers: [server('b', 5, {isCompared: true}), server('c', 5)]}), 'c');
});

test.test('one server may be the leader if none is known, but not if it was removed', () => {
	const servers = [server('b', 5, {isCompared: true}), server('c', 5, {answer: undefined})];
	assert.equal(gapsOf({servers}), '');
	assert.equal(gapsOf({leader: 'removed', servers}), 'c');
});

test.test('servers that were never compared count if all respond as replicas with a log', () => {
	assert.equal(gapsOf({servers: [server('a', 8), server('b', 5), server('c', 6)]}), '');
	assert.equal(gapsOf({servers: [server('a', 8), server('b', 5), server('c', 0)]}), 'a b c');
	assert.equal(gapsOf({servers: [server('a', 8), server('b', 5), server('c', 6, {answer: undefined})]}), 'a b c');
	assert.equal(gapsOf({servers: [server('a', 8), server('b', 5), server('c', 6, {answer: {role: 'primary', position: {term: 1, index: 6}}})]}), 'a b c');
	assert.equal(gapsOf({servers: [server('a', 8), server('b', 5), server('c', 6)], isMembershipKnown: false}), 'a b c');
});

test.test('a server that left as planned is replaced by one at its address with its log', () => {
	const replaced = {leader: 'removed', departures: [departure]} as const;
	assert.equal(gapsOf({...replaced, servers: [server('d', 8), server('b', 5)]}), '');
	assert.equal(gapsOf({...replaced, servers: [server('d', 7), server('b', 5)]}), 'd b a');
	assert.equal(gapsOf({...replaced, servers: [server('c', 8), server('b', 5)]}), 'c b a');
	assert.equal(gapsOf({...replaced, servers: [server('d', 8), server('b', 5)], departures: [{...departure, isPlanned: false}]}), 'd b a');
});

test.test('a server of the stored set is replaced by a new incarnation only', () => {
	assert.equal(gapsOf({servers: [server('a', 8), server('b', 5)], missing: ['a', 'b']}), '');
	assert.equal(gapsOf({servers: [server('a', 8), server('b', 5)], missing: ['c']}), 'a b c');
});

test.test('the text names each server and the reason', () => {
	const gaps = completeness.findGaps(view({
		leader: 'removed', servers: [server('b', 5, {answer: undefined}), server('c', 0)], missing: ['e'], departures: [departure],
	}));
	const text = completeness.describe(gaps);
	assert.match(text, /^b, c, e, a may hold acknowledged commits/v);
	assert.match(text, /b: did not respond; c: replica with an empty log, not compared .*; e: in the stored in-sync set.*; a: left as planned, and no server at address-d/v);
});

/** A commit, as text of its term and number. */
type Entry = `${number}:${number}`;

/** A server of the model. */
type ModelServer = {
	id: string;
	address: string;
	isRunning: boolean;
	role: 'primary' | 'replica';
	term: number;
	log: readonly Entry[];
	isCompared: boolean;
	isRegistered: boolean;
	/** Last end of the log that the host has seen. */
	seen: completeness.Departure['position'];
};

type Action = 'refill' | 'restart' | 'commit' | 'compare' | 'crash' | 'restart-with-log' | 'restart-without-log' | 'step-down' | 'replace' | 'remove' | 'partial-transfer' | 'promote';

const actions: readonly Action[] = ['refill', 'restart', 'commit', 'step-down', 'commit', 'commit', 'compare', 'crash', 'restart-with-log', 'restart-without-log', 'step-down', 'replace', 'remove', 'partial-transfer', 'promote', 'promote'];

type Step = {readonly action: Action; readonly pick: number; readonly amount: number};

/** Servers and one host that sees their registrations and polls them. */
class Model {
	servers: ModelServer[] = ['a', 'b', 'c'].map(id => ({
		id, address: id, isRunning: true, role: id === 'a' ? 'primary' : 'replica', term: 1, log: ['1:0'], isCompared: true, isRegistered: true, seen: {term: 1, index: 1},
	}));

	departures: completeness.Departure[] = [];
	acknowledged: readonly Entry[] = ['1:0'];
	/** Promotions of which only the second argument shows that they are safe. */
	lastLogPromotions = 0;
	promotions = 0;
	#leader: completeness.Leader = 'known';
	#hasUncountedLoss = false;
	#lastId = 0;

	get primary(): ModelServer | undefined {
		return this.servers.find(({role, isRunning}) => role === 'primary' && isRunning);
	}

	/** Returns an acknowledged commit that a promoted server lacks. */
	apply({action, pick, amount}: Step): string | undefined {
		const server = this.servers[pick % this.servers.length];
		switch (action) {
			case 'commit': {
				this.#commit(amount);
				return undefined;
			}

			case 'compare': {
				this.#compare();
				return undefined;
			}

			case 'crash': {
				server.isRunning = false;
				this.#forgetLeader();
				return undefined;
			}

			case 'restart-with-log':
			case 'restart-without-log': {
				this.#restart(server, action === 'restart-with-log');
				return undefined;
			}

			case 'restart': {
				server.isRunning = false;
				this.#forgetLeader();
				this.#restart(server, amount > 2);
				return undefined;
			}

			case 'refill': {
				server.isRunning = false;
				this.#forgetLeader();
				this.#restart(server, false);
				this.#transfer(server, amount);
				return undefined;
			}

			case 'step-down': {
				if (this.primary) {
					this.primary.role = 'replica';
					this.#forgetLeader();
				}

				return undefined;
			}

			case 'replace': {
				this.#replace(server, amount);
				return undefined;
			}

			case 'remove': {
				this.#remove(server);
				return undefined;
			}

			case 'partial-transfer': {
				this.#transfer(server, amount);
				return undefined;
			}

			case 'promote': {
				return this.#promote();
			}
		}
	}

	#commit(receivers: number): void {
		const {primary} = this;
		if (!primary) {
			return;
		}

		this.#lastId++;
		primary.log = [...primary.log, `${primary.term}:${this.#lastId}`];
		const received = this.servers.filter((server, index) => server !== primary && server.isRunning && Math.floor(receivers / (2 ** index)) % 2 === 1);
		for (const server of received) {
			server.log = primary.log;
			server.term = primary.term;
		}

		if (received.length > 0) {
			// An acknowledgement covers all entries before it.
			this.acknowledged = primary.log;
		}
	}

	/** The host polls the servers and compares those that respond with the leader, if there is one. */
	#compare(): void {
		const {primary} = this;
		if (primary?.isRegistered) {
			this.#findLeader(primary);
		}

		for (const server of this.servers.filter(({isRunning, isRegistered}) => isRunning && isRegistered)) {
			server.seen = endOf(server);
			server.isCompared ||= primary?.isRegistered === true && server.term === primary.term && server.log.length >= primary.log.length;
		}
	}

	#restart(server: ModelServer, hasLog: boolean): void {
		if (!server.isRunning) {
			const isNewest = server.term === Math.max(...this.servers.map(({term}) => term));
			const isLeader = server.role === 'primary' && isNewest && hasLog && !this.primary;
			Object.assign(server, {
				isRunning: true, isRegistered: true, role: isLeader ? 'primary' : 'replica', isCompared: false,
			});
			if (!hasLog) {
				Object.assign(server, {log: [], term: 0});
			}

			this.departures = this.departures.filter(({id}) => id !== server.id);
			this.#loseLog(server);
		}
	}

	/** A server leaves as planned, and a new one starts at its address with its log. */
	#replace(server: ModelServer, amount: number): void {
		if (!server.isRunning || !server.isRegistered) {
			return;
		}

		this.#lastId++;
		this.departures.push({
			id: server.id, address: server.address, isPlanned: true, position: server.seen,
		});
		this.#losePlace(server);
		this.servers = this.servers.filter(other => other !== server);
		// Now and then another server gets the address, and the log is gone; or the new server starts later.
		const hasLog = amount > 0;
		const isLate = amount % 2 === 1;
		this.servers.push({
			...server,
			id: `s${this.#lastId}`,
			role: 'replica',
			isCompared: false,
			log: hasLog ? server.log : [],
			term: hasLog ? server.term : 0,
			seen: undefined,
			isRunning: !isLate,
			isRegistered: !isLate,
		});
	}

	/** The registration of a server that has crashed ends. */
	#remove(server: ModelServer): void {
		if (!server.isRunning && server.isRegistered) {
			server.isRegistered = false;
			this.departures.push({
				id: server.id, address: server.address, isPlanned: false, position: server.seen,
			});
			this.#losePlace(server);
		}
	}

	#transfer(server: ModelServer, amount: number): void {
		const {primary} = this;
		if (primary && server !== primary && server.isRunning) {
			const isPrefix = server.log.every((id, index) => id === primary.log[index]);
			server.log = isPrefix && server.log.length >= amount ? primary.log.slice(0, server.log.length) : primary.log.slice(0, amount);
			server.term = primary.term;
		}
	}

	#promote(): string | undefined {
		if (this.#leader === 'known') {
			return undefined;
		}

		const registered = this.servers.filter(({isRegistered}) => isRegistered);
		const seen: completeness.View = {
			leader: this.#leader, missing: [], departures: this.departures, isMembershipKnown: true, servers: registered.map(server => ({
				id: server.id, address: server.address, isCompared: server.isCompared, answer: server.isRunning ? {role: server.role, position: endOf(server)} : undefined,
			})),
		};
		const target = registered.filter(({isRunning}) => isRunning).toSorted((one, other) => position.compare(endOf(other), endOf(one)))[0];
		if (!target || completeness.findGaps(seen).length > 0) {
			return undefined;
		}

		this.promotions++;
		this.lastLogPromotions += completeness.findGaps({...seen, isMembershipKnown: false}).length > 0 ? 1 : 0;
		const term = Math.max(...this.servers.map(server => server.term)) + 1;
		const lost = this.acknowledged.find(id => !target.log.includes(id));
		for (const server of this.servers) {
			server.role = server === target ? 'primary' : 'replica';
		}

		target.term = term;
		this.#findLeader(target);
		return lost;
	}

	/** As `Group.#setLeader` does. */
	#findLeader(leader: ModelServer): void {
		this.departures = [];
		if (this.#leader !== 'known') {
			this.#leader = 'known';
			for (const server of this.servers.filter(other => this.#hasUncountedLoss && other !== leader)) {
				server.isCompared = false;
			}

			this.#hasUncountedLoss = false;
		}
	}

	/** As `Group.#recordLostLog` does: the log of a server that may be the leader takes no commit along. */
	#loseLog(lost: ModelServer): void {
		if (this.#leader === 'unknown') {
			this.#hasUncountedLoss = true;
			return;
		}

		for (const server of this.servers.filter(other => other !== lost)) {
			server.isCompared = false;
		}
	}

	/** As `Group.#removeMissing` does. */
	#losePlace(removed: ModelServer): void {
		const isKnownLeader = this.#leader === 'known' && removed === this.primary;
		if (isKnownLeader || this.#leader === 'unknown') {
			this.#leader = 'removed';
			this.#hasUncountedLoss = true;
		} else {
			this.#loseLog(removed);
		}
	}

	/** The host knows the leader until it doesn't respond or has stepped down. */
	#forgetLeader(): void {
		if (this.#leader === 'known' && !this.primary) {
			this.#leader = 'unknown';
		}
	}
}

/** The term of a position is that of the last entry; a server without a log has none. */
function endOf({log}: ModelServer): completeness.Answer['position'] {
	return {term: Number(log.at(-1)?.split(':')[0] ?? 0), index: log.length};
}

const steps = fc.array(fc.record({action: fc.constantFrom(...actions), pick: fc.nat(3), amount: fc.nat(7)}), {minLength: 4, maxLength: 40});

// Guards against a rule that lets a server lead which lacks an acknowledged commit, after crashes, restarts with and without
// logs, replacements and removals in any order.
test.test('no server that lacks an acknowledged commit may be promoted', () => {
	let promotions = 0;
	let lastLogPromotions = 0;
	fc.assert(fc.property(steps, list => {
		const model = new Model();
		for (const step of list) {
			assert.equal(model.apply(step), undefined, 'the promoted server lacks a commit');
		}

		promotions += model.promotions;
		lastLogPromotions += model.lastLogPromotions;
	}), {numRuns: Number(process.env.COMPLETENESS_RUNS ?? 10_000), seed: Number(process.env.COMPLETENESS_SEED ?? 35)});
	assert.ok(promotions > 100 && lastLogPromotions > 10, `${promotions} promotions, ${lastLogPromotions} by the log of the last leader`);
});
