/**
Generates load on an address over the MySQL protocol for a given time: one task for each connection, which sends one
statement after another (a closed loop).
*/
import * as hdr from 'hdr-histogram-js';
import * as mysql from 'mysql2/promise';
import * as clock from '../core/clock.js';
import * as random from '../core/random.js';

export type Options = {
	readonly host: string;
	readonly port: number;
	readonly user: string;
	readonly password: string;
	readonly connections: number;
	readonly durationMs: number;
	/** Statements with their directives. May be empty where `writeShare` never selects them. */
	readonly read: string;
	readonly write: string;
	/** Fraction of statements that are writes, from 0 to 1. */
	readonly writeShare: number;
	readonly seed: number;
};

/** Results of one kind of statement. Latencies don't include the time to connect. */
export type Summary = {
	readonly statements: number;
	readonly perSecond: number;
	readonly p50Ms: number;
	readonly p90Ms: number;
	readonly p99Ms: number;
	readonly p999Ms: number;
	/** Number of failed statements by error code and number, from MySQL or from the connection. */
	readonly failures: Readonly<Record<string, number>>;
};

export type Report = {readonly durationMs: number; readonly reads: Summary; readonly writes: Summary};

type Tally = {readonly histogram: hdr.Histogram; readonly failures: Map<string, number>};

const highestLatencyUs = 60_000_000;
const statementTimeoutMs = 10_000;
const reconnectPauseMs = 50;
const percentiles = {
	p50Ms: 50, p90Ms: 90, p99Ms: 99, p999Ms: 99.9,
} as const;

/**
Runs a load to its end. Failed statements are counted and not retried; a lost connection is replaced.

@example
```
const report = await load.run({
	host: '127.0.0.1', port: 7201, user: 'secretary', password: 'secret', connections: 8, durationMs: 5000,
	read: 'SELECT 1', write: '', writeShare: 0, seed: 1,
});
console.log(report.reads.perSecond, report.reads.p99Ms);
```
*/
export async function run(options: Options): Promise<Report> {
	const time = new clock.System();
	const startedAt = time.now();
	const reads = makeTally();
	const writes = makeTally();
	await Promise.all(Array.from({length: options.connections}, async (_, index) => {
		const source = new random.Seeded(options.seed + index);
		const context = {time, end: startedAt + options.durationMs, drawIsWrite: () => source.integer(0, 999) < options.writeShare * 1000};
		await drive(options, context, reads, writes);
	}));
	const durationMs = time.now() - startedAt;
	return {durationMs, reads: summarize(reads, durationMs), writes: summarize(writes, durationMs)};
}

type Context = {readonly time: clock.Clock; readonly end: number; readonly drawIsWrite: () => boolean};

/** Sends statements on one connection until the end of the load. */
async function drive(options: Options, {time, end, drawIsWrite}: Context, reads: Tally, writes: Tally): Promise<void> {
	let connection: mysql.Connection | undefined;
	while (time.now() < end) {
		const isWrite = drawIsWrite();
		const tally = isWrite ? writes : reads;
		const attemptedAt = time.now();
		try {
			connection ??= await connect(options);
			const sentAt = time.now();
			await connection.query({sql: isWrite ? options.write : options.read, timeout: statementTimeoutMs});
			tally.histogram.recordValue(Math.min(highestLatencyUs, Math.round((time.now() - sentAt) * 1000)));
		} catch (error) {
			const {code, errno, fatal = false} = error as {code?: string; errno?: number; fatal?: boolean};
			const name = `${code ?? 'error'} ${errno ?? ''}`.trim();
			tally.failures.set(name, (tally.failures.get(name) ?? 0) + 1);
			const isLost = fatal || code === 'PROTOCOL_SEQUENCE_TIMEOUT';
			if (isLost || connection === undefined) {
				connection?.destroy();
				connection = undefined;
				await time.sleep(Math.max(0, reconnectPauseMs - (time.now() - attemptedAt)));
			}
		}
	}

	await connection?.end();
}

async function connect({host, port, user, password}: Options): Promise<mysql.Connection> {
	const connection = await mysql.createConnection({
		host, port, user, password, connectTimeout: statementTimeoutMs,
	});
	connection.on('error', () => {
		// The pending statement reports the error.
	});
	return connection;
}

function makeTally(): Tally {
	return {histogram: hdr.build({highestTrackableValue: highestLatencyUs, numberOfSignificantValueDigits: 3}), failures: new Map()};
}

function summarize({histogram, failures}: Tally, durationMs: number): Summary {
	const at = (percentile: number): number => histogram.getValueAtPercentile(percentile) / 1000;
	return {
		statements: histogram.totalCount,
		perSecond: Math.round(histogram.totalCount / durationMs * 1000),
		p50Ms: at(percentiles.p50Ms),
		p90Ms: at(percentiles.p90Ms),
		p99Ms: at(percentiles.p99Ms),
		p999Ms: at(percentiles.p999Ms),
		failures: Object.fromEntries(failures),
	};
}
