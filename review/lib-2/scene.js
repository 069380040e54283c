/**
The scene of a script: the platform, the servers of one service, entry hosts, and the record of what was sent, answered
and run. Everything listens on loopback addresses, and all of it ends with the script.
*/
import * as fs from 'node:fs/promises';
import * as os from 'node:os';
import * as path from 'node:path';
import process from 'node:process';
import {Client} from './client.js';
import * as entry from './entry.js';
import {Group, sleep} from './group.js';
import {Platform} from './store.js';

export {sleep} from './group.js';

const service = 'ledgers';
const zones = ['zone-a', 'zone-c', 'zone-b'];
const startTimeoutMs = 15_000;
const readyPollMs = 100;
const pollMs = 5;
const silenceMs = 3600;
/** Number of statements that the record lists. */
const maxListed = 5000;
const maxRunMs = 114_000;
const startedAt = Date.now();

/** Verdicts of a script. */
export const held = () => ({code: 0, text: 'the rule held'});
export const broken = reason => ({code: 1, text: `the rule was broken: ${reason}`});
export const notRun = reason => ({code: 2, text: `the case could not run: ${reason}`});

class Scene {
	platform = new Platform();
	group = new Group(service);
	hosts = [];
	#lines = [];
	#folder;

	constructor(folder) {
		this.#folder = folder;
	}

	get record() {
		return `${this.#lines.join('\n')}\n`;
	}

	note(text) {
		this.#lines.push(`${String((Date.now() - startedAt) / 1000).padStart(7)} s  ${text}`);
	}

	async start() {
		this.group.onReport = server => {
			this.report(server);
		};

		this.platform.promote = (name, id) => name === service && this.group.promote(id);
		for (const [index, zone] of zones.entries()) {
			this.report(await this.group.add(`i-${index + 1}`, zone, index === 0 ? 'primary' : 'replica'));
		}

		this.platform.put('config', 'main', {
			version: 1,
			routes: [{
				name: 'route-1', databaseName: 'books', type: 'bounded_staleness', maxStalenessMs: 1500, timeoutMs: 3000, targetLatencyMs: 500, priority: 1, service,
			}, {
				name: 'route-2', databaseName: 'ledger', type: 'primary', timeoutMs: 800, targetLatencyMs: 300, priority: 1, service,
			}],
			services: [{name: service, maxConnections: 16, syncReplicas: 1}],
			limits: {txIdleMs: 2000},
		});
	}

	/** Writes what a server says of itself to the store. */
	report(server) {
		this.platform.put('servers', server.id, this.group.describe(server));
		this.note(`store: ${server.id} is ${server.state}, ${server.role}, started at ${server.startedAt}`);
	}

	/** Ends a server's process. Its entry in the store goes after three heartbeats of silence. */
	crash(server) {
		const {id} = server;
		this.group.crash(server);
		this.note(`${id} crashed`);
		setTimeout(() => {
			if (server.isDown || server.id !== id) {
				this.platform.remove('servers', id);
			}
		}, silenceMs);
	}

	/** Starts an entry host and waits until it is ready. */
	async startHost({name, zone}) {
		const host = await entry.prepare({
			name, zone, folder: this.#folder, store: await this.platform.listen(), seeds: this.hosts.map(({control}) => control).join(','),
		});
		this.hosts.push(host);
		await this.#launch(host);
		return host;
	}

	/** Kills the process of a host. */
	kill(host) {
		host.child.kill('SIGKILL');
		this.note(`${host.name} was killed`);
	}

	/** Starts the ended process of a host again. */
	async restart(host) {
		host.ends = [];
		host.output = '';
		await this.#launch(host);
	}

	async noteMemory(host) {
		const {now, peak} = await entry.memory(host);
		this.note(`${host.name}: memory of the process ${now} MiB, at its peak ${peak} MiB`);
	}

	/** Sends one statement in a session of its own. */
	async ask(host, id, text, timeoutMs) {
		const client = new Client();
		const opened = await Promise.race([client.open(host.front, 'books'), expire(timeoutMs, 'no answer')]);
		this.note(`${id}: session opened at ${host.name}: ${opened}`);
		this.note(`${id}: sent ${text}`);
		const late = expire(timeoutMs, {outcome: 'no answer', rows: 0, bytes: 0});
		const answer = opened.startsWith('READY') ? await Promise.race([client.query(id, text), late]) : {outcome: opened, rows: 0, bytes: 0};
		client.close();
		this.note(`${id}: answered ${answer.outcome}, ${answer.rows} rows, ${answer.bytes} bytes of rows`);
		return answer;
	}

	async #launch(host) {
		await entry.start(host);
		const deadline = Date.now() + startTimeoutMs;
		while (!await isReady(host)) {
			if (Date.now() > deadline || host.ends.length > 0) {
				throw new Error(`${host.name} did not become ready: ${host.output.slice(-500)}`);
			}

			await sleep(readyPollMs);
		}

		this.note(`${host.name} is ready`);
	}

	async stop() {
		await Promise.all(this.hosts.map(async host => entry.stop(host)));
		this.platform.close();
		this.group.close();
		const {executed} = this.group;
		for (const {id, text, server} of executed.slice(-maxListed)) {
			this.note(`${server} ran ${id} ${text}`);
		}

		this.note(`the servers ran ${executed.length} statements, of which the last ${Math.min(maxListed, executed.length)} are listed`);
	}
}

/** Plays a script, writes its record into `folder` and exits with its verdict. */
export async function run(folder, play) {
	const settings = await fs.mkdtemp(path.join(os.tmpdir(), 'review-case-'));
	const scene = new Scene(settings);
	// An error in a callback must not leave processes behind.
	process.on('uncaughtException', async error => {
		console.log(notRun(error.stack).text);
		await scene.stop();
		process.exit(2);
	});
	let verdict = notRun('it took too long');
	try {
		await scene.start();
		verdict = await Promise.race([play(scene), expire(maxRunMs, verdict)]);
	} catch (error) {
		verdict = notRun(String(error));
	}

	await scene.stop();
	scene.note(verdict.text);
	await fs.writeFile(path.join(folder, 'record.txt'), scene.record);
	await fs.rm(settings, {recursive: true});
	console.log(verdict.text);
	// Sessions and watches that are still open would keep the process alive.
	process.exit(verdict.code); // eslint-disable-line unicorn/no-process-exit
}

/** Waits until a condition holds, or for some time. */
export async function until(condition, timeoutMs) {
	const deadline = Date.now() + timeoutMs;
	while (!condition() && Date.now() < deadline) {
		await sleep(pollMs);
	}
}

async function expire(ms, value) {
	await sleep(ms);
	return value;
}

async function isReady({ready}) {
	try {
		const response = await fetch(`http://${ready}/readiness`);
		return response.status === 200;
	} catch {
		return false;
	}
}
