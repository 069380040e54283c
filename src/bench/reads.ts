/**
Measures the fraction of reads that replicas serve, for combinations of replication lag and permitted age:
`node dist/bench/reads.js [--seconds N]`. Three owners in three places reach three servers through relays with the delays
of each user's site. The table also gives the number of reads that exceeded their permitted age (`broken`), counted from
the servers' logs, and an upper bound of the fraction (`bound`): that of a router which always knows the logs of all
servers and may wait for a replica as long as the measured router.
*/
import * as fs from 'node:fs';
import process from 'node:process';
import * as Either from 'fp-ts/lib/Either.js';
import * as histograms from 'hdr-histogram-js';
import yargs from 'yargs';
import * as clock from '../core/clock.js';
import * as group from '../core/group.js';
import * as random from '../core/random.js';
import * as routing from '../core/routing.js';
import * as service from '../core/service.js';
import type * as types from '../generated/types.js';
import * as client from '../mysql/client.js';
import type * as database from '../standin/database.js';
import * as standin from '../standin/group.js';
import * as relay from '../standin/relay.js';

type User = {readonly name: string; readonly linkMs: number; readonly slots: number; readonly connections: number; readonly connectMs: number};
type Policy = 'fresh' | 'primary';
type Cell = {readonly user: User; readonly policy: Policy; readonly lagMs: number; readonly ageMs: number};
type Sample = {readonly startedAt: number; readonly endedAt: number; readonly rows: number; readonly place: string};
type Result = {
	user: string; policy: Policy; lagMs: number; ageMs: number; reads: number; failed: number; share: number; bound: number; broken: number; p50Ms: number; p99Ms: number;
};

const users: readonly User[] = [
	{
		name: 'cascade', linkMs: 8, slots: 2, connections: 16, connectMs: 12,
	},
	{
		name: 'hljod', linkMs: 20, slots: 3, connections: 40, connectMs: 30,
	},
];
const lagsMs = [0, 50, 200, 1000];
const agesMs = [0, 100, 500, 2000];
const places = ['one', 'two', 'three'];
const timing = {probeIntervalMs: 500, probeTimeoutMs: 500};
const expectedServiceMs = 5;
const serviceMs = 2;
const readsPerSecond = 50;
const writesPerSecond = 20;
const deadlineMs = 2000;
const warmUpMs = 1200;
/** Longest time that a read waits for a lagging replica to catch up. */
const maxReplicaWaitMs = 100;
/** Tolerance for the time between the arrival of a response at the reader and its recording here. */
const recordingDelayMs = 2;
const time = new clock.System();

/** Measures one cell of the table in a deployment of its own. */
class Trial {
	static async run(cell: Cell, seconds: number): Promise<Result> {
		const {user} = cell;
		const servers = await standin.Group.start({
			places, schema: ['CREATE TABLE ledger (entry INTEGER PRIMARY KEY, mark VARCHAR(64))'], lagMs: cell.lagMs, serviceMs, slots: user.slots, connectionLimit: user.connections, connectMs: user.connectMs,
		});
		const trial = new Trial(cell, servers);
		try {
			return await trial.#run(seconds);
		} finally {
			trial.#stop();
		}
	}

	readonly #cell: Cell;
	readonly #servers: standin.Group;
	readonly #relays: relay.Relay[] = [];
	readonly #owners = new Map<string, service.Service>();
	readonly #stopped = new AbortController();
	readonly #samples: Sample[] = [];
	readonly #random = new random.Seeded(1);
	#failed = 0;
	#requests = 0;

	private constructor(cell: Cell, servers: standin.Group) {
		this.#cell = cell;
		this.#servers = servers;
	}

	async #run(seconds: number): Promise<Result> {
		await Promise.all(places.map(async place => this.#startOwner(place)));
		const measureFrom = time.now() + warmUpMs;
		const end = measureFrom + (seconds * 1000);
		const counts = (): Array<{replica: number; primary: number}> => [...this.#owners.values()].map(({reader}) => ({...reader.counts}));
		const countsAfterWarmUp = (async () => {
			await time.sleep(warmUpMs);
			return counts();
		})();
		await Promise.all([
			this.#repeat(writesPerSecond, end, async () => this.#write()),
			...places.map(async place => this.#repeat(readsPerSecond, end, async () => this.#read(place, measureFrom))),
		]);
		const initial = await countsAfterWarmUp;
		const served = counts().map(({replica, primary}, index) => ({replica: replica - initial[index].replica, primary: primary - initial[index].primary}));
		const total = served.reduce((sum, {replica, primary}) => sum + replica + primary, 0);
		const latency = histograms.build();
		for (const {startedAt, endedAt} of this.#samples) {
			latency.recordValue(endedAt - startedAt);
		}

		const {user, policy, lagMs, ageMs} = this.#cell;
		return {
			user: user.name,
			policy,
			lagMs,
			ageMs,
			reads: this.#samples.length,
			failed: this.#failed,
			share: round(served.reduce((sum, {replica}) => sum + replica, 0) / total),
			bound: round(this.#samples.filter(sample => this.#isServableByReplica(sample)).length / this.#samples.length),
			broken: this.#samples.filter(sample => this.#isTooOld(sample)).length,
			p50Ms: latency.getValueAtPercentile(50),
			p99Ms: latency.getValueAtPercentile(99),
		};
	}

	#stop(): void {
		this.#stopped.abort();
		for (const link of this.#relays) {
			link.stop();
		}

		this.#servers.stop();
	}

	async #startOwner(place: string): Promise<void> {
		const {user, policy} = this.#cell;
		const targets = await Promise.all([...this.#servers.servers].map(async ([name, {port}]) => {
			const link = await relay.Relay.start({host: '127.0.0.1', port}, this.#linkMs(place, this.#servers.place(name)));
			this.#relays.push(link);
			return new client.Server({
				name, place: this.#servers.place(name), host: '127.0.0.1', port: link.port, user: 'sycamorering', password: '',
			});
		}));
		const owned = new group.Group({
			name: 'ledgers', place, quota: Math.floor(user.connections / 4) - 1, timing,
		}, targets, time);
		const settings = {class: {}, server: {}} as unknown as types.Service;
		this.#owners.set(place, new service.Service(owned, settings, policy === 'fresh' ? new routing.Fresh(expectedServiceMs) : new routing.Primary()));
		void owned.run(this.#stopped.signal);
	}

	/** Starts work at random intervals, `rate` times a second on average, regardless of pending work (an open loop). */
	async #repeat(rate: number, end: number, work: () => Promise<void>): Promise<void> {
		const pending: Array<Promise<void>> = [];
		const meanMs = 1000 / rate;
		for (let due = time.now(); due < end; due += this.#random.integer(0, meanMs * 2)) {
			await time.sleep(due - time.now());
			pending.push(work());
		}

		await Promise.all(pending);
	}

	async #read(place: string, measureFrom: number): Promise<void> {
		const startedAt = time.now();
		const outcome = await this.#execute(place, 'SELECT count(*) FROM ledger', 'read', this.#cell.ageMs);
		const endedAt = time.now();
		if (startedAt < measureFrom) {
			return;
		}

		if (Either.isRight(outcome) && outcome.right.kind === 'rows') {
			this.#samples.push({
				startedAt, endedAt, rows: Number(outcome.right.rows[0]?.[0]), place,
			});
		} else {
			this.#failed++;
		}
	}

	async #write(): Promise<void> {
		await this.#execute(places[0], 'INSERT INTO ledger (mark) VALUES (\'m\')', 'write', 0);
	}

	async #execute(place: string, sql: string, kind: types.RequestKind, maximumAgeMs: number): Promise<Either.Either<unknown, types.Answer>> {
		this.#requests++;
		return this.#owners.get(place)!.execute({
			sql, kind, maximumAgeMs, session: 's', service: 'ledgers', tenant: 't', class: '', transaction: 'none', position: null, requestId: `r${this.#requests}`, deadlineMs,
		});
	}

	/** Times at which a server received the inserts into the ledger, in log order. */
	#arrivals(server: database.Database): number[] {
		return server.entries.filter(({writes}) => writes.some(sql => sql.includes('INTO ledger'))).map(({index}) => server.arrivedAt(index) ?? Number.POSITIVE_INFINITY);
	}

	#isTooOld({startedAt, endedAt, rows}: Sample): boolean {
		const {ageMs} = this.#cell;
		const since = ageMs === 0 ? startedAt : endedAt - ageMs - recordingDelayMs;
		return rows < count(this.#arrivals(this.#servers.server('a')), since);
	}

	/** Whether a replica could have answered this read within its permitted age. */
	#isServableByReplica({startedAt, place}: Sample): boolean {
		const {ageMs} = this.#cell;
		const committed = this.#arrivals(this.#servers.server('a'));
		return [...this.#servers.servers].some(([name, server]) => {
			const linkMs = this.#linkMs(place, this.#servers.place(name));
			const sentAt = startedAt + (ageMs === 0 ? maxReplicaWaitMs : 0);
			const executedAt = sentAt + linkMs + serviceMs;
			const required = count(committed, ageMs === 0 ? startedAt : executedAt + linkMs - ageMs);
			return name !== 'a' && count(this.#arrivals(server), executedAt) >= required;
		});
	}

	#linkMs(from: string, to: string): number {
		return from === to ? 0 : this.#cell.user.linkMs;
	}
}

function count(times: readonly number[], until: number): number {
	return times.filter(at => at <= until).length;
}

function round(value: number): number {
	return Math.round(value * 1000) / 1000;
}

const {seconds} = await yargs(process.argv.slice(2))
	.option('seconds', {type: 'number', default: 2.5, describe: 'Measured time for each cell, in s'})
	.strict()
	.parseAsync();
const cells = users.flatMap(user => [
	...lagsMs.flatMap(lagMs => agesMs.map(ageMs => ({
		user, policy: 'fresh' as const, lagMs, ageMs,
	}))),
	...agesMs.map(ageMs => ({
		user, policy: 'primary' as const, lagMs: 200, ageMs,
	})),
]);
const results: Result[] = [];
console.log('| user | policy | lag ms | age ms | reads | failed | share | bound | broken | p50 ms | p99 ms |\n| --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- |');
for (const cell of cells) {
	const result = await Trial.run(cell, seconds);
	results.push(result);
	console.log(`| ${Object.values(result).join(' | ')} |`);
}

fs.mkdirSync('out', {recursive: true});
fs.writeFileSync('out/reads.json', JSON.stringify(results, undefined, '\t'));
process.exitCode = results.some(({broken}) => broken > 0) ? 1 : 0;
