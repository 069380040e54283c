/**
Model check of quotas: hosts that restart, pause, join and are cut off from each other, on clocks of different rates, under
random demand, with limits that change. No window may have more operations than the bound.
*/
import * as assert from 'node:assert/strict';
import process from 'node:process';
import * as test from 'node:test';
import * as fc from 'fast-check';
import type * as directories from '../directory.js';
import * as fleets from './fake-hosts.js';

const hostCount = 16;

function customer(name: string, operationsPerS: number, burst: number): directories.Customer {
	return {
		name, priority: 0, operationsPerS, burst, keyDigests: [],
	};
}

/** Quotas are 1.6 times the usual load. */
const loadRatio = 1.6;
const usual = new Map([['large', 40], ['medium', 5], ['small', 0.4]]);
const customers = [...usual].map(([name, perS]) => customer(name, perS * loadRatio, Math.ceil(perS)));

function load(factor: number): ReadonlyMap<string, number> {
	return new Map([...usual].map(([name, perS]) => [name, perS * factor]));
}

/** One fault or change, followed by some time. */
abstract class Event {
	readonly waitMs: number;

	constructor(waitMs: number) {
		this.waitMs = waitMs;
	}

	toString(): string {
		return `${this.describe()}, then ${this.waitMs} ms`;
	}

	abstract happen(fleet: fleets.Fleet): void;
	protected abstract describe(): string;
}

/** The hosts of an event, as one bit each. */
function choose(fleet: fleets.Fleet, bits: number): fleets.Host[] {
	return fleet.hosts.filter((_, index) => Math.floor(bits / (2 ** (index % hostCount))) % 2 === 1);
}

class Load extends Event {
	readonly #factor: number;
	readonly #forMs: number;

	constructor(waitMs: number, factor: number, forMs: number) {
		super(waitMs);
		this.#factor = factor;
		this.#forMs = forMs;
	}

	override happen(fleet: fleets.Fleet): void {
		void fleet.play(this.#forMs, load(this.#factor));
	}

	protected override describe(): string {
		return `${this.#factor} times the usual load for ${this.#forMs} ms`;
	}
}

class Cut extends Event {
	readonly #kind: 'alone' | 'group' | 'direction';
	readonly #bits: number;
	readonly #forMs: number;

	constructor(waitMs: number, kind: 'alone' | 'group' | 'direction', bits: number, forMs: number) {
		super(waitMs);
		this.#kind = kind;
		this.#bits = bits;
		this.#forMs = forMs;
	}

	override happen(fleet: fleets.Fleet): void {
		void this.#play(fleet, choose(fleet, this.#bits));
	}

	protected override describe(): string {
		return `cut ${this.#kind} of ${this.#bits.toString(2)} for ${this.#forMs} ms`;
	}

	async #play(fleet: fleets.Fleet, chosen: readonly fleets.Host[]): Promise<void> {
		switch (this.#kind) {
			case 'alone': {
				for (const host of chosen) {
					host.isCutFromAll = true;
				}

				await fleet.time.sleep(this.#forMs);
				for (const host of chosen) {
					host.isCutFromAll = false;
				}

				return;
			}

			case 'group': {
				for (const host of chosen) {
					host.group = 1;
				}

				await fleet.time.sleep(this.#forMs);
				for (const host of chosen) {
					host.group = 0;
				}

				return;
			}

			case 'direction': {
				for (const from of chosen) {
					for (const to of fleet.hosts.filter(other => !chosen.includes(other))) {
						void fleet.cut(from, to, this.#forMs);
					}
				}
			}
		}
	}
}

class Stop extends Event {
	readonly #kind: 'kill' | 'pause';
	readonly #bits: number;
	readonly #forMs: number;

	constructor(waitMs: number, kind: 'kill' | 'pause', bits: number, forMs: number) {
		super(waitMs);
		this.#kind = kind;
		this.#bits = bits;
		this.#forMs = forMs;
	}

	override happen(fleet: fleets.Fleet): void {
		for (const host of choose(fleet, this.#bits)) {
			void this.#play(fleet, host);
		}
	}

	protected override describe(): string {
		return `${this.#kind} of ${this.#bits.toString(2)} for ${this.#forMs} ms`;
	}

	async #play(fleet: fleets.Fleet, host: fleets.Host): Promise<void> {
		if (this.#kind === 'pause') {
			host.clock.pause(this.#forMs);
		} else {
			host.stop();
			await fleet.time.sleep(this.#forMs);
			host.start();
		}
	}
}

class Join extends Event {
	readonly #place: number;

	constructor(waitMs: number, place: number) {
		super(waitMs);
		this.#place = place;
	}

	override happen(fleet: fleets.Fleet): void {
		fleet.join(this.#place);
	}

	protected override describe(): string {
		return `a host joins in place ${this.#place}`;
	}
}

class Limits extends Event {
	readonly #factor: number;

	constructor(waitMs: number, factor: number) {
		super(waitMs);
		this.#factor = factor;
	}

	override happen(fleet: fleets.Fleet): void {
		void fleet.configure(customers.map(({name, operationsPerS, burst}) => customer(name, operationsPerS * this.#factor, burst * this.#factor)));
	}

	protected override describe(): string {
		return `quotas are ${this.#factor} times the first ones`;
	}
}

const waits = fc.integer({min: 0, max: 40}).map(count => count * 100);
const bits = fc.integer({min: 1, max: (2 ** hostCount) - 1});
const cutMs = fc.integer({min: 500, max: 12_000});
const event: fc.Arbitrary<Event> = fc.oneof(
	fc.tuple(waits, fc.constantFrom(1, 3, 7.5), cutMs).map(([waitMs, factor, forMs]) => new Load(waitMs, factor, forMs)),
	fc.tuple(waits, fc.constantFrom('alone', 'group', 'direction'), bits, cutMs).map(([waitMs, kind, chosen, forMs]) => new Cut(waitMs, kind, chosen, forMs)),
	fc.tuple(waits, fc.constantFrom('kill', 'pause'), bits, fc.integer({min: 300, max: 6000})).map(([waitMs, kind, chosen, forMs]) => new Stop(waitMs, kind, chosen, forMs)),
	fc.tuple(waits, fc.nat(5)).map(([waitMs, place]) => new Join(waitMs, place)),
	fc.tuple(waits, fc.constantFrom(0.1, 0.5, 1, 2)).map(([waitMs, factor]) => new Limits(waitMs, factor)),
);
const events = fc.array(event, {minLength: 4, maxLength: 12, size: 'max'});

/** QUOTA_SEED and QUOTA_RUNS play other and more random runs by hand. */
const seed = Number(process.env.QUOTA_SEED ?? 35);
const runCount = Number(process.env.QUOTA_RUNS ?? 10);
const parameters = {
	seed, numRuns: runCount, endOnFailure: true, includeErrorInReport: true,
};

/** Plays events under heavy load, so that the bound is reached. */
async function play(list: readonly Event[], hostSeed: number): Promise<fleets.Fleet> {
	const fleet = new fleets.Fleet(hostSeed);
	fleet.create(hostCount, customers);
	void fleet.play(60_000, load(4));
	await fleet.time.advance(4000);
	for (const next of list) {
		next.happen(fleet);
		await fleet.time.advance(next.waitMs);
	}

	await fleet.time.advance(12_000);
	return fleet;
}

// Guards against any order of such events in which all hosts together run more of a customer's operations in a window than its
// limit, its overage and the slack.
test.test('no window has more operations than the bound in random orders of faults and changes', async context => {
	let largest = 0;
	await fc.assert(fc.asyncProperty(events, fc.nat(1000), async (list, hostSeed) => {
		const fleet = await play(list, hostSeed);
		await fleet.stop();
		assert.deepEqual(fleet.violations(), []);
		largest = Math.max(largest, ...[...usual.keys()].map(name => fleet.usage(name)));
	}), parameters);
	context.diagnostic(`largest part of the bound that was used: ${largest.toFixed(2)}`);
});

/** The share of operations that were refused, by customer, as text and as a number for all. */
function describeRefusals(fleet: fleets.Fleet): {readonly text: string; readonly worst: number} {
	const shares = [...fleet.records].map(([name, {asked, refused}]) => ({name, asked, share: refused / asked}));
	return {text: shares.map(({name, asked, share}) => `${name} ${(100 * share).toFixed(2)}% of ${asked}`).join(', '), worst: Math.max(...shares.map(({share}) => share))};
}

const startMs = 6000;

/** Starts hosts, plays the usual load until buckets have filled, and discards what was counted until then. */
async function startCalm(hosts: number): Promise<fleets.Fleet> {
	const fleet = new fleets.Fleet(7);
	fleet.create(hosts, customers);
	await fleet.time.advance(startMs);
	void fleet.play(60_000, load(1));
	await fleet.time.advance(startMs);
	fleet.records.clear();
	fleet.messages = 0;
	fleet.distantMessages = 0;
	return fleet;
}

// Guards against refusals of a customer that stays below its quota, and against messages for most of the operations.
test.test('customers at their usual load are hardly ever refused', async context => {
	const fleet = await startCalm(64);
	await fleet.time.advance(30_000);
	const {text, worst} = describeRefusals(fleet);
	const asked = [...fleet.records.values()].reduce((sum, record) => sum + record.asked, 0);
	context.diagnostic(`refused below the limit: ${text}; ${(fleet.messages / asked).toFixed(2)} messages for an operation, ${(fleet.distantMessages / asked).toFixed(2)} of them between places`);
	await fleet.stop();
	assert.ok(worst < 0.005, text);
});

// Guards against a design that serves nobody while half of the hosts are gone.
test.test('customers at their usual load are served while 55% of the hosts are down for 3 s', async context => {
	const fleet = await startCalm(64);
	const killed = fleet.hosts.filter((_, index) => (index * 35) % 64 < 35);
	for (const host of killed) {
		host.stop();
	}

	await fleet.time.advance(3000);
	const down = describeRefusals(fleet);
	for (const host of killed) {
		host.start();
	}

	await fleet.time.advance(5000);
	const after = describeRefusals(fleet);
	context.diagnostic(`refused in the 3 s: ${down.text}; in these and the next 5 s: ${after.text}`);
	await fleet.stop();
	assert.ok(down.worst < 0.5, down.text);
	assert.ok(after.worst < 0.25, after.text);
});

// Guards against a quota that nobody counts while the hosts that count it are cut off.
test.test('customers at their usual load are served while 35% of the hosts are cut off for 10 s', async context => {
	const fleet = await startCalm(64);
	for (const host of fleet.hosts.filter((_, index) => (index * 23) % 64 < 22)) {
		host.isCutFromAll = true;
	}

	await fleet.time.advance(10_000);
	const {text, worst} = describeRefusals(fleet);
	context.diagnostic(`refused in the 10 s: ${text}`);
	await fleet.stop();
	assert.ok(worst < 0.25, text);
});

// Guards against a customer over its limit that costs a message for each operation, or that gets less than its limit.
test.test('a customer at 7.5 times its usual load gets its quota and costs few messages', async context => {
	const fleet = await startCalm(64);
	void fleet.play(10_000, new Map([['large', 40 * 6.5]]));
	await fleet.time.advance(10_000);
	const {admittedAt, asked} = fleet.records.get('large')!;
	const admittedPerS = admittedAt.length / 10;
	context.diagnostic(`${admittedPerS} operations a second of a quota of 64 and ${asked / 10} asked for, with ${fleet.messages / 10} messages a second, ${fleet.distantMessages / 10} of them between places`);
	await fleet.stop();
	assert.deepEqual(fleet.violations(), []);
	assert.ok(admittedPerS >= 60, `${admittedPerS} operations a second`);
	assert.ok(fleet.distantMessages < 2 * asked, `${fleet.distantMessages} messages for ${asked} operations`);
});
