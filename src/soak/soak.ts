/**
A randomized soak test: runs entry hosts as processes under overlapping faults and checks the consistency guarantees
throughout. After the faults, every caller must be served again.
*/
import type * as random from '../core/random.js';
import * as randoms from '../core/random.js';
import * as loads from './load.js';
import * as plans from './plan.js';
import * as sites from './site.js';

/** Results of one seed. */
export type Report = {
	readonly seed: number;
	readonly size: sites.Size;
	/** Injected faults, with their times in s since the callers started. */
	readonly events: readonly string[];
	readonly violations: readonly string[];
	readonly served: number;
	readonly attempts: number;
	readonly acknowledged: number;
	readonly executions: number;
	readonly promotions: number;
	/** Number of sessions that showed the configuration of a host. */
	readonly probes: number;
	/** Number of those for which the bound of time held. */
	readonly boundProbes: number;
	/** Number of requests whose connection ended without an answer. */
	readonly unanswered: number;
	/** Number of those to which the promise about planned work applied. */
	readonly boundUnanswered: number;
	/** Number of requests that were sent to a host while it shut down. */
	readonly sentAtShutdown: number;
	readonly logs: ReadonlyMap<string, readonly string[]>;
};

export type Options = {
	/** Time for which faults are injected. */
	readonly faultsMs: number;
	readonly plan?: plans.Kind;
	/** Program of the hosts. */
	readonly daemon?: sites.Daemon;
};

/** Time between the start of the host processes and that of the callers. */
const startupMs = 3000;
const maxFirstWriteMs = 20_000;
const firstWritePollMs = 100;
/** Time without faults at the end. */
const recoveryMs = 10_000;
/** The last part of the recovery time, in which each caller must be served. */
const servedWindowMs = 4000;

/** Runs one seed. */
export async function run(seed: number, {faultsMs, plan: planKind = 'mixed', daemon = 'compiled'}: Options): Promise<Report> {
	const source = new randoms.Seeded(seed);
	const size = plans.adapt(planKind, drawSize(source));
	const demand = plans.drawLoad(planKind, seed);
	const load = demand && new loads.Load(demand);
	const plan = plans.create(planKind, {seed, source, size});
	const site = new sites.Site(size, source, {daemon, load});
	const events: string[] = [];
	await site.start();
	await site.time.sleep(startupMs);
	site.startCallers();
	load?.start();
	if (planKind === 'promotions') {
		await awaitAcknowledged(site);
	}

	const startedAt = site.time.now();
	const tasks: Array<Promise<void>> = [];
	while (site.time.now() - startedAt < faultsMs) {
		const {fault, durationMs} = plan.next();
		events.push(`${((site.time.now() - startedAt) / 1000).toFixed(2)} ${fault.text} for ${durationMs} ms`);
		tasks.push(site.inject(fault, durationMs));
		await site.time.sleep(plan.drawGapMs());
	}

	await Promise.all(tasks);
	load?.stop();
	await site.time.sleep(recoveryMs);
	const unrecovered = findUnrecovered(site);
	await site.stop();
	const promotions = site.checker.promotions.map(({at, text}) => `${((at - startedAt) / 1000).toFixed(2)} ${text}`);
	return {
		seed,
		size,
		events: [...events, ...promotions].toSorted((one, other) => Number.parseFloat(one) - Number.parseFloat(other)),
		violations: [...site.violations, ...unrecovered],
		served: site.servedSince(startedAt),
		attempts: site.callers.reduce((sum, {attempts}) => sum + attempts, 0),
		acknowledged: site.checker.acknowledged,
		executions: site.checker.executions,
		promotions: promotions.length,
		probes: site.configurations.answers,
		boundProbes: site.configurations.boundAnswers,
		unanswered: site.unanswered.count,
		boundUnanswered: site.unanswered.boundCount,
		sentAtShutdown: site.unanswered.sentAtShutdown,
		logs: site.logs,
	};
}

/** Waits until a write of each group was acknowledged: while no host has found a primary, faults of promotions show nothing. */
async function awaitAcknowledged(site: sites.Site): Promise<void> {
	const deadline = site.time.now() + maxFirstWriteMs;
	while (site.time.now() < deadline && !site.groups.every(({name}) => site.checker.lastAcknowledgedAt(name) > 0)) {
		await site.time.sleep(firstWritePollMs);
	}
}

/** Describes what has not recovered from the faults. */
function findUnrecovered(site: sites.Site): string[] {
	const unserved = site.callers.filter(({servedAt}) => (servedAt.at(-1) ?? 0) < site.time.now() - servedWindowMs);
	return [
		...(unserved.length > 0 ? [`recovery: ${unserved.length} of ${site.callers.length} callers were not served again after the faults`] : []),
		...site.unlistedHosts.map(name => `recovery: ${name} is missing in the store's list of hosts after the faults`),
	];
}

/** Draws the size of a deployment. With as many connections as hosts, hosts forward requests to each other; with 24, each uses connections of its own. */
function drawSize(source: random.Source): sites.Size {
	const hosts = source.integer(3, 6);
	return {
		hosts, groups: source.integer(1, 2), connections: source.integer(0, 1) === 0 ? hosts : 24, callers: 18, hasQuickCallers: false, slots: 4, maxWorkMs: 8, customers: 0, movingRoutes: 0,
	};
}
