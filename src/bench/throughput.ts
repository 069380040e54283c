/**
Measures the overhead of an entry host: the same load directly at a backend server and through one entry host, alternating
within one run so that both run under the same machine conditions. Prints a table and writes `out/throughput.json`.

`node dist/bench/throughput.js [--cpu-prof]`; with `--cpu-prof` the entry host writes a CPU profile to `out/`.
*/
import * as fs from 'node:fs/promises';
import process from 'node:process';
import * as load from './load.js';
import * as processes from './processes.js';

type Mode = {
	readonly name: string;
	readonly sql: string;
	readonly isWrite: boolean;
	/** Directives that are put before the statement when it goes through the entry host. */
	readonly directives: string;
	/** Index of the backend server that gets the direct load. */
	readonly server: number;
};

type Way = 'direct' | 'through';

/** Results of one slice, the load of one mode for `sliceMs`. `processorUs` is the processor time of the entry host per statement. */
type Slice = {readonly mode: string; readonly way: Way; readonly round: number; readonly summary: load.Summary; readonly processorUs: number};

type Result = {readonly perSecond: number; readonly p50Ms: number; readonly p99Ms: number; readonly failures: number; readonly processorUs: number};

const rounds = 3;
const sliceMs = 2000;
const warmUpMs = 500;
const connections = 8;
const read = 'SELECT fund, cents FROM ledger WHERE id = 1';
const write = 'UPDATE ledger SET cents = cents + 1 WHERE id = 1';
const modes: readonly Mode[] = [
	{
		name: 'aged read', sql: read, isWrite: false, directives: '/* sycamorering class=balance age=2s */ ', server: 1,
	},
	{
		name: 'strict read', sql: read, isWrite: false, directives: '', server: 0,
	},
	{
		name: 'write', sql: write, isWrite: true, directives: '/* sycamorering class=reimbursement */ ', server: 0,
	},
	{
		name: 'idempotent write', sql: write, isWrite: true, directives: '/* sycamorering class=counter */ ', server: 0,
	},
];

/** Runs the load of one mode, directly or through the entry host. */
async function measure(site: processes.Deployment, mode: Mode, way: Way, durationMs: number): Promise<load.Summary> {
	const sql = way === 'through' ? mode.directives + mode.sql : mode.sql;
	const report = await load.run({
		...processes.account,
		password: way === 'through' ? processes.account.password : '',
		host: '127.0.0.1',
		port: way === 'through' ? site.callerPort : site.serverPorts[mode.server] ?? 0,
		connections,
		durationMs,
		read: mode.isWrite ? '' : sql,
		write: mode.isWrite ? sql : '',
		writeShare: mode.isWrite ? 1 : 0,
		seed: 1,
	});
	return mode.isWrite ? report.writes : report.reads;
}

async function measureAll(site: processes.Deployment): Promise<Slice[]> {
	const slices: Slice[] = [];
	for (let round = 0; round <= rounds; round++) {
		for (const mode of modes) {
			for (const way of round % 2 === 0 ? ['direct', 'through'] as const : ['through', 'direct'] as const) {
				await site.settle();
				const before = await site.processorMs();
				const summary = await measure(site, mode, way, round === 0 ? warmUpMs : sliceMs);
				const processorMs = await site.processorMs() - before;
				slices.push({
					mode: mode.name, way, round, summary, processorUs: processorMs * 1000 / summary.statements,
				});
			}
		}
	}

	// Round 0 warms up the JIT compiler and the connections.
	return slices.filter(({round}) => round > 0);
}

function median(values: readonly number[]): number {
	const sorted = values.toSorted((left, right) => left - right);
	return sorted[Math.floor(sorted.length / 2)] ?? Number.NaN;
}

/** Returns the medians over the rounds, and the total number of failures. */
function summarize(slices: readonly Slice[], mode: string, way: Way): Result {
	const found = slices.filter(slice => slice.mode === mode && slice.way === way);
	const at = (pick: (summary: load.Summary) => number): number => median(found.map(({summary}) => pick(summary)));
	return {
		perSecond: at(({perSecond}) => perSecond),
		p50Ms: at(({p50Ms}) => p50Ms),
		p99Ms: at(({p99Ms}) => p99Ms),
		failures: found.flatMap(({summary}) => Object.values(summary.failures)).reduce((sum, count) => sum + count, 0),
		processorUs: Math.round(median(found.map(({processorUs}) => processorUs))),
	};
}

async function main(): Promise<void> {
	const isProfiling = process.argv.includes('--cpu-prof');
	await fs.mkdir('out', {recursive: true});
	const site = await processes.Deployment.start({
		classes: {
			balance: {kind: 'read', maximumAgeMs: 2000},
			reimbursement: {kind: 'write'},
			counter: {kind: 'write', idempotent: true},
		},
		schema: [
			'CREATE TABLE ledger (id INTEGER PRIMARY KEY, fund VARCHAR(64), cents INTEGER)',
			'INSERT INTO ledger VALUES (1, \'bus\', 1250)',
		],
		hostOptions: isProfiling ? ['--cpu-prof', '--cpu-prof-dir=out'] : [],
		connections: 64,
		slots: 64,
		lagMs: 0,
	});
	let slices: Slice[];
	try {
		slices = await measureAll(site);
	} finally {
		await site.stop();
	}

	const results = modes.map(({name}) => {
		const [direct, through] = [summarize(slices, name, 'direct'), summarize(slices, name, 'through')];
		return {
			mode: name, direct, through, ratio: through.perSecond / direct.perSecond,
		};
	});
	await fs.writeFile('out/throughput.json', `${JSON.stringify({
		connections, sliceMs, rounds, results, slices,
	}, undefined, '\t')}\n`);
	console.log(`${connections} connections, median of ${rounds} rounds of ${sliceMs} ms; processor time of the entry host per statement`);
	console.table(results.map(({mode, direct, through, ratio}) => ({
		mode,
		'direct/s': direct.perSecond,
		'through/s': through.perSecond,
		ratio: Number(ratio.toFixed(3)),
		'direct p50 ms': direct.p50Ms,
		'through p50 ms': through.p50Ms,
		'direct p99 ms': direct.p99Ms,
		'through p99 ms': through.p99Ms,
		'processor us': through.processorUs,
		failures: direct.failures + through.failures,
	})));
}

await main();
