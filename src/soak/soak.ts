/**
A randomized soak: entry hosts as processes under faults that overlap, with the promises checked throughout. After the
faults, every route must be served again.
*/
import type * as random from '../core/random.js';
import * as randoms from '../core/random.js';
import * as faults from './fault.js';
import * as sites from './site.js';

/** How one seed went. */
export type Report = {
	readonly seed: number;
	readonly size: sites.Size;
	/** What happened, with times in s since callers came. */
	readonly events: readonly string[];
	readonly faults: readonly string[];
	readonly served: number;
	readonly attempts: number;
	readonly acknowledged: number;
	readonly runs: number;
	readonly logs: ReadonlyMap<string, readonly string[]>;
};

/** Time in ms from the start of the processes until callers come, and at the end without faults. */
const leadMs = 3000;
const calmMs = 10_000;
/** The last part of the calm time, in which each caller must be served. */
const servedMs = 4000;
/** Bounds in ms of the time between two faults and of their length. */
const mostGapMs = 1500;
const longestMs = 4000;

/** Runs one seed with faults for `ms`. */
export async function run(seed: number, ms: number): Promise<Report> {
	const source = new randoms.Seeded(seed);
	const size = drawSize(source);
	const site = new sites.Site(size, source);
	const events: string[] = [];
	await site.start();
	await site.time.sleep(leadMs);
	site.open();
	const startedAt = site.time.now();
	const tasks: Array<Promise<void>> = [];
	while (site.time.now() - startedAt < ms) {
		const fault = faults.draw(source, size);
		const lengthMs = source.integer(100, longestMs);
		events.push(`${((site.time.now() - startedAt) / 1000).toFixed(2)} ${fault.text} for ${lengthMs} ms`);
		tasks.push((async () => {
			fault.begin(site);
			await site.time.sleep(lengthMs);
			fault.end(site);
		})());
		await site.time.sleep(source.integer(0, mostGapMs));
	}

	await Promise.all(tasks);
	await site.time.sleep(calmMs);
	const unserved = site.callers.filter(({served}) => (served.at(-1) ?? 0) < site.time.now() - servedMs).length;
	await site.stop();
	return {
		seed,
		size,
		events,
		faults: [...site.judge.faults, ...site.exits, ...(unserved > 0 ? [`recovery: ${unserved} of ${size.callers} callers are not served again`] : [])],
		served: site.servedSince(startedAt),
		attempts: site.callers.reduce((sum, {attempts}) => sum + attempts, 0),
		acknowledged: site.judge.acknowledged,
		runs: site.judge.runs,
		logs: site.logs,
	};
}

/** Few connections make hosts work for each other; many let each work directly. */
function drawSize(source: random.Source): sites.Size {
	const hosts = source.integer(3, 6);
	return {
		hosts, groups: source.integer(1, 2), connections: source.integer(0, 1) === 0 ? hosts : 24, callers: 18,
	};
}
