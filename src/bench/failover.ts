/**
Measures the write outage during a failover, with stand-ins in one process: `node dist/bench/failover.js`. A caller writes
continuously while the primary is repeatedly frozen or cut off from the network. Prints a table and writes
`out/failover.json`.
*/
import * as fs from 'node:fs/promises';
import process from 'node:process';
import * as hdr from 'hdr-histogram-js';
import type * as mysql from 'mysql2/promise';
import * as clock from '../core/clock.js';
import type * as promotion from '../core/promotion.js';
import * as random from '../core/random.js';
import * as deployment from '../standin/deployment.js';
import * as network from '../standin/network.js';

type Store = 'well' | 'slow' | 'down';
type Case = {readonly user: 'cascade' | 'samlag'; readonly policy: 'ballot' | 'store'; readonly store: Store};
type Distribution = {readonly p50: number; readonly p90: number; readonly max: number};
type Result = Case & {
	readonly failovers: number;
	readonly gapMs: Distribution;
	readonly parts: Readonly<Record<promotion.Phase, Distribution>>;
	/** Lower bound from network delays alone: a round trip each for corroboration, claim and replication to a majority, and the caller's. */
	readonly leastMs: number;
	readonly acknowledged: number;
	readonly lost: number;
	readonly doubled: number;
};

const failoversPerCase = 20;
const writerCount = 4;
/** Pause of a writer between two writes. Without it the CPU of this process, rather than the network delays, determined the durations. */
const writePauseMs = 20;
const slowStoreDelayMs = 500;
/** Length of a store outage where claims go through the store: nothing can be promoted until the store returns. */
const storeOutageMs = 3000;
const failoverTimeoutMs = 15_000;
const settleTimeoutMs = 10_000;
/** Time after which no trial starts, so that the whole command ends within 4 minutes. */
const budgetMs = 180_000;
const slowPrimaryRunMs = 20_000;
const phases = ['detection', 'corroboration', 'claim', 'promotion', 'announcement'] as const;
const places = ['place-a', 'place-b', 'place-c'];
const servers = ['a', 'b', 'c'];
const schema = ['CREATE TABLE job (id INTEGER PRIMARY KEY, name VARCHAR(64))'];
const time = new clock.System();
const source = new random.Seeded(20_260);

/** Writes from several concurrent writers, each on a connection of its own, and records when each write was acknowledged. */
class Caller {
	readonly acknowledged = new Map<string, number>();
	#isStopped = false;
	readonly #tasks: Array<Promise<void>>;

	constructor(readonly site: deployment.Deployment) {
		this.#tasks = Array.from({length: writerCount}, async (_, writer) => this.#runWriter(writer));
	}

	async stop(): Promise<void> {
		this.#isStopped = true;
		await Promise.all(this.#tasks);
	}

	/** Time of the first acknowledgement after `since`. */
	firstAcknowledgedAfter(since: number): number | undefined {
		return [...this.acknowledged.values()].find(at => at > since);
	}

	async #runWriter(writer: number): Promise<void> {
		const connection = await this.site.connect(writer % places.length);
		for (let count = 0; !this.#isStopped; count++) {
			await this.#write(connection, `${writer}-${count}`);
			await time.sleep(writePauseMs);
		}

		connection.destroy();
	}

	async #write(connection: mysql.Connection, id: string): Promise<void> {
		try {
			await connection.query(`/* sycamorering request=r${id} */ INSERT INTO job (name) VALUES ('${id}')`);
			this.acknowledged.set(id, time.now());
		} catch {
			await time.sleep(5);
		}
	}
}

function primaryOf(site: deployment.Deployment): string | undefined {
	const statuses = [...site.group.servers.values()].map(({status}) => status);
	const highest = Math.max(...statuses.map(({term}) => term));
	return statuses.find(({role, term}) => role === 'primary' && term === highest)?.server;
}

async function waitFor(condition: () => boolean, timeoutMs: number): Promise<boolean> {
	const end = time.now() + timeoutMs;
	while (!condition() && time.now() < end) {
		await time.sleep(2);
	}

	return condition();
}

/** Whether all other servers replicate from the primary. */
function isSettled(site: deployment.Deployment): boolean {
	const primary = primaryOf(site);
	return primary !== undefined && servers.every(name => name === primary || site.group.server(name).status.following === primary);
}

/** Causes one failover. Returns the write outage and the change of primary with the durations that its promoter measured. */
async function runFailover(site: deployment.Deployment, links: network.Network, caller: Caller, trial: Case & {readonly index: number}) {
	await waitFor(() => isSettled(site), settleTimeoutMs);
	await time.sleep(200 + source.integer(0, 500));
	const primary = primaryOf(site) ?? 'a';
	const place = places[servers.indexOf(primary)] ?? '';
	const isFrozen = trial.index % 2 === 0;
	const failedAt = time.now();
	site.platform.faults.isDown = trial.store === 'down';
	if (isFrozen) {
		site.group.server(primary).set({isFrozen: true});
	} else {
		links.setLinksTo(place, 'cut');
	}

	if (trial.store === 'down' && trial.policy === 'store') {
		await time.sleep(storeOutageMs);
		site.platform.faults.isDown = false;
	}

	// Acknowledgements before the promotion don't end the outage: they may be for writes that the old primary executed just before it failed.
	await waitFor(() => ![undefined, primary].includes(primaryOf(site)), failoverTimeoutMs);
	const promotedAt = time.now();
	await waitFor(() => caller.firstAcknowledgedAfter(promotedAt) !== undefined, failoverTimeoutMs);
	const gapMs = (caller.firstAcknowledgedAfter(promotedAt) ?? Number.POSITIVE_INFINITY) - failedAt;
	site.group.server(primary).set({isFrozen: false});
	links.setLinksTo(place, 'open');
	const changes = site.entries.flatMap(({host}) => host.owner.promotion('ledgers')?.lastChange ?? []);
	return {gapMs, change: changes.toSorted((left, right) => right.term - left.term)[0]};
}

async function measure(testCase: Case, endsAt: number): Promise<Result> {
	const links = new network.Network(network.delays[testCase.user]);
	const site = await deployment.Deployment.start({
		places, hosts: places, schema, network: links, isLinked: true, claim: testCase.policy, lagMs: 1, connectMs: testCase.user === 'samlag' ? 30 : 12,
	});
	site.platform.faults.delayMs = testCase.store === 'slow' ? slowStoreDelayMs : 0;
	const caller = new Caller(site);
	const gaps: number[] = [];
	const changes: promotion.Change[] = [];
	for (let index = 0; index < failoversPerCase && time.now() < endsAt; index++) {
		const {gapMs, change} = await runFailover(site, links, caller, {...testCase, index});
		gaps.push(gapMs);
		changes.push(...change ? [change] : []);
	}

	await waitFor(() => isSettled(site), settleTimeoutMs);
	await caller.stop();
	const log = site.writes(primaryOf(site) ?? 'a').map(sql => /'(?<id>[\d\-]+)'/v.exec(sql)?.groups?.id ?? '');
	const {betweenPlacesMs, toCallersMs} = links.delays;
	const result: Result = {
		...testCase,
		failovers: gaps.length,
		gapMs: summarize(gaps),
		parts: Object.fromEntries(phases.map(phase => [phase, summarize(changes.map(({durations}) => durations[phase]))])) as Result['parts'],
		leastMs: (3 * 2 * betweenPlacesMs) + (2 * toCallersMs),
		acknowledged: caller.acknowledged.size,
		lost: [...caller.acknowledged.keys()].filter(id => !log.includes(id)).length,
		doubled: log.length - new Set(log).size,
	};
	await site.stop();
	links.stop();
	return result;
}

/** Counts promotions while each round trip between places takes 300 ms; there must be none. */
async function measureSlowPrimary(): Promise<number> {
	const links = new network.Network({betweenPlacesMs: 150, toCallersMs: 0});
	const site = await deployment.Deployment.start({
		places, hosts: places, schema, network: links, isLinked: true,
	});
	const caller = new Caller(site);
	await time.sleep(slowPrimaryRunMs);
	const promotions = Math.max(...servers.map(name => site.group.server(name).status.term)) - 1;
	await caller.stop();
	await site.stop();
	links.stop();
	return promotions;
}

function summarize(values: readonly number[]): Distribution {
	const histogram = hdr.build({highestTrackableValue: 60_000_000, numberOfSignificantValueDigits: 3});
	for (const value of values) {
		histogram.recordValue(Math.min(60_000_000, Math.round(value * 1000)));
	}

	const at = (percentile: number): number => Math.round(histogram.getValueAtPercentile(percentile) / 100) / 10;
	return {p50: at(50), p90: at(90), max: at(100)};
}

function format({p50, p90, max}: Distribution): string {
	return `${Math.round(p50)}/${Math.round(p90)}/${Math.round(max)}`;
}

function print(results: readonly Result[], slowPromotions: number): void {
	console.log('p50/p90/max in ms');
	console.table(results.map(result => ({
		user: result.user,
		policy: result.policy,
		store: result.store,
		failovers: result.failovers,
		gap: format(result.gapMs),
		...Object.fromEntries(phases.map(phase => [phase, format(result.parts[phase])])),
		least: result.leastMs,
		acknowledged: result.acknowledged,
		lost: result.lost,
		doubled: result.doubled,
	})));
	console.log(`promotions while round trips between places take 300 ms, in ${slowPrimaryRunMs / 1000} s: ${slowPromotions}`);
}

async function run(): Promise<void> {
	const endsAt = time.now() + budgetMs;
	const results: Result[] = [];
	const stores: readonly Store[] = ['well', 'slow', 'down'];
	for (const policy of ['ballot', 'store'] as const) {
		const cases = (['cascade', 'samlag'] as const).flatMap(user => stores.map(store => ({user, policy, store})));
		results.push(...await Promise.all(cases.map(async testCase => measure(testCase, endsAt))));
	}

	const slowPromotions = await measureSlowPrimary();
	print(results, slowPromotions);
	await fs.mkdir('out', {recursive: true});
	await fs.writeFile('out/failover.json', JSON.stringify({results, slowPromotions}, undefined, '\t'));
	const isFaulty = slowPromotions > 0 || results.some(({lost, doubled}) => lost + doubled > 0);
	process.exitCode = isFaulty ? 1 : 0;
}

await run();
