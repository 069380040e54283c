/**
Measures how admission divides the connections of a group between two tenants, one of which sends ten times as many
reads as the other, with each queueing discipline. Prints a table and writes `out/admission.json`.
*/
import * as fs from 'node:fs/promises';
import process from 'node:process';
import * as Either from 'fp-ts/lib/Either.js';
import * as hdr from 'hdr-histogram-js';
import yargs from 'yargs';
import * as helpers from 'yargs/helpers';
import * as admission from '../core/admission.js';
import * as clock from '../core/clock.js';
import * as group from '../core/group.js';
import * as random from '../core/random.js';
import * as routing from '../core/routing.js';
import * as service from '../core/service.js';
import type * as types from '../generated/types.js';
import * as client from '../mysql/client.js';
import * as standin from '../standin/group.js';

/** Outcome of a request: answered, or why it was rejected. */
type Result = 'answered' | 'full' | 'expired' | 'budget' | 'other';

type Tenant = {readonly name: string; readonly perTick: number; readonly latency: hdr.Histogram; readonly results: Record<Result, number>};

const places = ['puget-a', 'willamette-a', 'inland-a'];
/** With this tick, the tenants send about 1,000 and 100 reads/s. Two replicas with 2 slots each and 10 ms per read serve 400 reads/s, so the group is overloaded. */
const tickMs = 10;
const loads = [{name: 'large', perTick: 10}, {name: 'small', perTick: 1}];
const serviceMs = 10;
const warmUpMs = 500;
const balance: types.Class = {
	kind: 'read', idempotent: true, acknowledgement: 'durable', freshness: 'strict', maximumAgeMs: 2000, deadlineMs: 1000, queueLimit: 200,
};

const disciplines: ReadonlyArray<{readonly name: string; readonly make: () => admission.Queue}> = [
	{name: 'deficit round robin', make: () => new admission.DeficitRoundRobin()},
	{name: 'first come', make: () => new admission.Fifo()},
];

/** Runs the load against a newly started group for `durationMs`. */
async function run(makeQueue: () => admission.Queue, durationMs: number): Promise<Tenant[]> {
	const time = new clock.System();
	const servers = await standin.Group.start({
		places, schema: [], serviceMs, slots: 2,
	});
	const settings: types.Service = {
		connections: 16, slots: 2, user: 'u', password: '', server: {}, class: {balance},
	};
	const targets = [...servers.servers].map(([name, {port}], index) => new client.Server({
		name, place: places[index] ?? '', host: '127.0.0.1', port, user: 'u', password: '',
	}));
	const owner = new service.Service(new group.Group({
		name: 'ledgers', place: places[0] ?? '', quota: 3, timing: {probeIntervalMs: 500, probeTimeoutMs: 500},
	}, targets, time), settings, new routing.Fresh(5), makeQueue);
	const stop = new AbortController();
	const observing = owner.group.run(stop.signal);
	await time.sleep(warmUpMs);
	const tenants = loads.map(load => ({
		...load,
		latency: hdr.build({highestTrackableValue: 60_000_000, numberOfSignificantValueDigits: 3}),
		results: {
			answered: 0, full: 0, expired: 0, budget: 0, other: 0,
		},
	}));
	await offer(owner, tenants, durationMs);
	stop.abort();
	await observing;
	servers.stop();
	return tenants;
}

/** Sends reads at a fixed rate regardless of how many are pending (an open loop), then waits for all of them. */
async function offer(owner: service.Service, tenants: readonly Tenant[], durationMs: number): Promise<void> {
	const {clock: time} = owner.group;
	const startedAt = time.now();
	const sent: Array<Promise<void>> = [];
	const source = new random.Seeded(1);
	for (let tick = 0; tick * tickMs < durationMs; tick++) {
		const batch = tenants.flatMap(tenant => Array.from({length: tenant.perTick}, () => tenant));
		// Shuffled, because a tenant that is always last in its batch would find a first-come, first-served queue full most often.
		while (batch.length > 0) {
			const [tenant] = batch.splice(source.integer(0, batch.length - 1), 1);
			sent.push(...(tenant ? [send(owner, tenant)] : []));
		}

		await time.sleep(startedAt + ((tick + 1) * tickMs) - time.now());
	}

	await Promise.all(sent);
}

async function send(owner: service.Service, tenant: Tenant): Promise<void> {
	const {clock: time} = owner.group;
	const startedAt = time.now();
	const outcome = await owner.execute({
		sql: 'SELECT 1',
		session: tenant.name,
		service: 'ledgers',
		tenant: tenant.name,
		class: 'balance',
		kind: 'read',
		transaction: 'none',
		position: null,
		maximumAgeMs: balance.maximumAgeMs,
		requestId: '',
		deadlineMs: balance.deadlineMs,
	});
	if (Either.isRight(outcome)) {
		tenant.latency.recordValue(Math.round((time.now() - startedAt) * 1000));
		tenant.results.answered++;
	} else {
		const {step, message} = outcome.left;
		tenant.results[step === 'admit' ? refusalReason(message) : 'other']++;
	}
}

function refusalReason(message: string): Result {
	if (message.includes('budget')) {
		return 'budget';
	}

	return message.includes('full') ? 'full' : 'expired';
}

async function main(): Promise<void> {
	const options = await yargs(helpers.hideBin(process.argv)).option('seconds', {
		type: 'number', default: 8, describe: 'Duration of each of the two runs, at most 10',
	}).strict().parse();
	const seconds = Math.min(10, options.seconds);
	const rows = [];
	for (const {name, make} of disciplines) {
		for (const tenant of await run(make, seconds * 1000)) {
			const {answered, ...shed} = tenant.results;
			rows.push({
				order: name,
				tenant: tenant.name,
				'offered/s': Math.round(tenant.perTick * 1000 / tickMs),
				'answered/s': Math.round(answered / seconds),
				'p50 ms': tenant.latency.getValueAtPercentile(50) / 1000,
				'p99 ms': tenant.latency.getValueAtPercentile(99) / 1000,
				...shed,
			});
		}
	}

	console.table(rows);
	await fs.mkdir('out', {recursive: true});
	await fs.writeFile('out/admission.json', `${JSON.stringify({
		seconds, serviceMs, balance, rows,
	}, undefined, '\t')}\n`);
}

await main();
