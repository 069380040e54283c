/**
Measures the cost per unit from which docs/CAPACITY.md is computed: what each observed backend server, link between hosts,
caller connection and configured service costs an entry host. Prints tables and writes `out/capacity.json`. Run with
`node --expose-gc dist/bench/capacity.js`.
*/
import * as childProcess from 'node:child_process';
import * as fs from 'node:fs/promises';
import process from 'node:process';
import * as url from 'node:url';
import * as zlib from 'node:zlib';
import * as clock from '../core/clock.js';
import * as group from '../core/group.js';
import * as settings from '../core/settings.js';
import * as client from '../mysql/client.js';
import * as messages from '../generated/messages.js';
import * as socket from '../peer/socket.js';
import * as deployment from '../standin/deployment.js';
import type * as callerProcess from './callers.js';
import type * as peers from './peers.js';
import type * as servers from './servers.js';
import * as usage from './usage.js';

const measurementMs = 10_000;
const settleMs = 2000;
const time = new clock.System();
const places = ['puget-a', 'willamette-a', 'inland-a'];

type Row = {readonly subject: string; readonly count: number} & usage.Usage;

async function fork<T>(file: string, ...parameters: string[]): Promise<{child: childProcess.ChildProcess; message: T}> {
	const child = childProcess.fork(url.fileURLToPath(new URL(file, import.meta.url)), parameters);
	const message = await new Promise<T>((resolve, reject) => {
		child.once('message', content => {
			resolve(content as T);
		});
		child.once('exit', code => {
			reject(new Error(`${file} ended with code ${code}`));
		});
	});
	return {child, message};
}

/** Measures the observation of `count` groups of three servers at the default probe interval. */
async function measureProbes(count: number): Promise<Row> {
	const {child, message} = await fork<servers.Started>('./servers.js', String(count));
	const meter = new usage.Meter(time);
	const stop = new AbortController();
	meter.recordBaseline();
	const tasks = message.ports.map(async (ports, index) => {
		const targets = ports.map((port, server) => new client.Server({
			name: 'abc'[server] ?? '', place: places[server] ?? '', host: '127.0.0.1', port, user: 'sycamorering', password: '',
		}));
		const observed = new group.Group({
			name: `group-${index}`, place: 'puget-a', quota: 3, timing: {probeIntervalMs: 500, probeTimeoutMs: 500},
		}, targets, time);
		await observed.run(stop.signal);
	});
	await time.sleep(settleMs);
	meter.begin();
	await time.sleep(measurementMs);
	const row = {subject: 'observed servers', count: count * places.length, ...meter.end()};
	stop.abort();
	child.disconnect();
	await Promise.all(tasks);
	return row;
}

/** Measures `count` idle caller connections. */
async function measureCallers(count: number): Promise<Row> {
	const site = await deployment.Deployment.start({places, hosts: ['puget-a'], schema: []});
	const meter = new usage.Meter(time);
	meter.recordBaseline();
	const port = site.entries[0]?.ports.caller ?? 0;
	const {child} = await fork<callerProcess.Connected>('./callers.js', String(port), String(count));
	await time.sleep(settleMs);
	meter.begin();
	await time.sleep(measurementMs);
	const row = {subject: 'idle callers', count, ...meter.end()};
	child.disconnect();
	await time.sleep(settleMs);
	await site.stop();
	return row;
}

/** Measures `count` links to other entry hosts that carry no messages. */
async function measureLinks(count: number): Promise<Row> {
	const {child, message} = await fork<peers.Listening>('./peers.js');
	const transport = new socket.Transport({
		clock: time, timeoutMs: 2000, isMessage: messages.validateMessage, warn(text) {
			console.error(text);
		},
	});
	const meter = new usage.Meter(time);
	meter.recordBaseline();
	const links = await Promise.all(Array.from({length: count}, async () => transport.open(message.address)));
	await time.sleep(settleMs * 2);
	meter.begin();
	await time.sleep(measurementMs);
	const row = {subject: 'idle links', count, ...meter.end()};
	for (const link of links) {
		link?.close();
	}

	child.disconnect();
	return row;
}

/** Measures the size of the configuration of `count` services and the time to parse it. */
function measureConfiguration(count: number): {services: number; bytes: number; gzipBytes: number; parseMs: number} {
	const sections = Array.from({length: count}, (_, index) => [
		`[service.service-${index}]`,
		'connections = 16',
		...places.map((place, server) => `[service.service-${index}.server.${'abc'[server] ?? ''}]\naddress = 10.${index % 250}.${Math.floor(index / 250)}.${server + 1}:3306\nplace = ${place}`),
		`[service.service-${index}.class.balance]\nkind = read\nmaximumAgeMs = 2000`,
		`[service.service-${index}.class.reimbursement]\nkind = write`,
		`[account.account-${index}]\nservice = service-${index}\ntenant = tenant-${index}\npasswordHash = ${'0123456789abcdef'.repeat(3).slice(index % 8, (index % 8) + 40)}`,
	].join('\n'));
	const text = sections.join('\n');
	const startedAt = time.now();
	settings.parseConfiguration(text, 'measured.ini');
	return {
		services: count, bytes: text.length, gzipBytes: zlib.gzipSync(text).length, parseMs: time.now() - startedAt,
	};
}

const configurations = [85, 340, 680].map(count => measureConfiguration(count));
const rows: Row[] = [];
for (const count of [2, 7, 27]) {
	rows.push(await measureProbes(count));
}

for (const count of [5, 20, 80]) {
	rows.push(await measureLinks(count));
}

for (const count of [500, 2000, 5000]) {
	rows.push(await measureCallers(count));
}

console.table(rows);
console.table(configurations);
await fs.mkdir('out', {recursive: true});
await fs.writeFile('out/capacity.json', JSON.stringify({rows, configurations}, undefined, '\t'));
process.exit(); // eslint-disable-line unicorn/no-process-exit
