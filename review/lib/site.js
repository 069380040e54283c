/**
A small deployment for a script: the platform, one database service, entry hosts as processes, and clients that write.
*/
import * as fs from 'node:fs';
import * as os from 'node:os';
import * as path from 'node:path';
import process from 'node:process';
import * as client from './client.js';
import * as clock from './clock.js';
import * as entries from './entry.js';
import * as groups from './group.js';
import * as platforms from './platform.js';
import * as records from './record.js';

/** Figures of the deployment `csf-pettycash`. */
export const bounds = {graceS: 6, configApplyMs: 3000, drainMs: 7000};
const limits = {
	connections: 16, slots: 2, workMs: 3, connectMs: 12, promoteMs: 1000,
};
const heartbeatMs = 1200;
const zones = ['puget-a', 'willamette-a', 'inland-a'];
const service = 'school-ledgers';
const route = {timeoutMs: 800, targetLatencyMs: 300};

/** The deployment. `violations` collects broken rules. */
export class Site {
	record;
	platform;
	group;
	entries = [];
	/** Ids of acknowledged writes. */
	acknowledged = new Set();
	violations = [];
	hasTrouble = process.env.TROUBLE !== '0';
	#folder;
	#timers = [];
	#requests = [];
	#isStopped = false;
	#clients = [];

	constructor(caseFolder) {
		this.record = new records.Record(caseFolder);
		this.platform = new platforms.Platform(this.record, (_service, id) => this.group.promote(id));
		this.group = new groups.Group(service, limits, this.record);
		this.#folder = fs.mkdtempSync(path.join(os.tmpdir(), 'sycamorering-review-'));
		this.group.onRegistration = server => {
			this.#register(server);
		};

		this.group.onLeft = server => {
			this.platform.remove('servers', server.id);
		};

		this.group.onPromoted = server => {
			this.#checkLog(server);
		};
	}

	/** Starts three servers and `count` entry hosts, and waits until the hosts are ready. */
	async start(count) {
		const address = await this.platform.listen();
		this.configure(1);
		for (const [index, zone] of zones.entries()) {
			await this.group.add(`i-${index + 1}`, zone, index === 0);
		}

		for (let index = 0; index < count; index++) {
			const entry = new entries.Entry(`front-${index + 1}`, this.record);
			this.entries.push(entry);
			await entry.start(this.#folder, {
				zone: zones[index % zones.length], bounds, platform: address, cloud: address, seeds: this.entries.slice(0, 3).map(({control}) => control),
			});
		}

		for (const entry of this.entries) {
			const end = clock.now() + 10_000;
			while (!await entry.isReady()) {
				if (clock.now() > end) {
					throw new Error(`${entry.name} did not become ready`);
				}

				await clock.sleep(50);
			}
		}

		this.record.tell('all entry hosts are ready');
	}

	/** Starts the heartbeats of the servers. An entry is removed after three intervals of silence. */
	startHeartbeats() {
		this.group.onStarted = server => {
			const beat = () => {
				if (server.isRunning) {
					server.lastBeatAt = clock.now();
					this.#register(server);
				}
			};

			const expire = () => {
				if (clock.now() - server.lastBeatAt >= 3 * heartbeatMs) {
					this.platform.remove('servers', server.id);
				}
			};

			beat();
			this.#timers.push(setInterval(beat, heartbeatMs), setInterval(expire, 20));
		};

		for (const server of this.group.servers) {
			this.group.onStarted(server);
		}
	}

	/** Writes a version of the configuration: one route of each type. */
	configure(version) {
		this.platform.put('config', 'main', {
			version,
			routes: [
				{type: 'primary'},
				{type: 'bounded_staleness', maxStalenessMs: 1500},
				{type: 'read_your_writes', maxStalenessMs: 2500},
			].map(kind => ({
				name: kind.type, databaseName: kind.type, priority: 1, service, ...route, ...kind,
			})),
			services: [{name: service, maxConnections: limits.connections, syncReplicas: 1}],
			limits: {txIdleMs: 3000},
		});
		this.record.write(`store: configuration ${version}`);
	}

	/** Starts a client that writes, with a pause after each write, through one of `hosts` after the other. */
	startWriter(name, pauseMs, hosts = this.entries) {
		this.#clients.push(this.#request(name, pauseMs, {hosts, database: 'primary', isWriter: true}));
	}

	/** Starts a client that reads through one of `hosts` after the other. */
	startReader(name, pauseMs, hosts = this.entries) {
		this.#clients.push(this.#request(name, pauseMs, {hosts, database: 'bounded_staleness', isWriter: false}));
	}

	/** Number of requests sent in a span of time, and of those that were served. */
	countRequests(from, to) {
		const requests = this.#requests.filter(({sentAt}) => sentAt >= from && sentAt < to);
		return {sent: requests.length, served: requests.filter(({isServed}) => isServed).length};
	}

	/** Stops the clients. */
	async stopClients() {
		this.#isStopped = true;
		await Promise.all(this.#clients);
	}

	/** Ends everything that was started. */
	close() {
		for (const entry of this.entries) {
			entry.isRestarted = false;
			entry.child?.kill('SIGKILL');
		}

		for (const timer of this.#timers) {
			clearInterval(timer);
		}

		this.group.close();
		this.platform.close();
		for (const {log, name} of this.entries) {
			this.record.write(`log of ${name}:\n${fs.readFileSync(log, 'utf8')}`);
		}

		fs.rmSync(this.#folder, {recursive: true});
	}

	violate(text) {
		this.violations.push(text);
		this.record.tell(`BROKEN: ${text}`);
	}

	#register(server) {
		if (!server.isRunning) {
			return;
		}

		this.platform.put('servers', server.id, {
			service,
			address: server.address,
			zone: server.zone,
			version: 'v1',
			slots: limits.slots,
			state: server.state,
			coldRemainingMs: 0,
			sequence: 1,
			born: server.born,
			dbRole: server.isPrimary ? 'primary' : 'replica',
		});
	}

	/** LOST: an acknowledged commit isn't in the log of the server that is promoted. */
	#checkLog(server) {
		const held = new Set(server.log.flatMap(({writes}) => writes));
		const missing = [...this.acknowledged].filter(id => !held.has(id));
		if (missing.length > 0) {
			this.violate(`LOST: ${missing.length} of ${this.acknowledged.size} acknowledged writes are not in the log of ${server.id}, which was promoted: ${missing.slice(0, 5).join(', ')} ...`);
		}
	}

	async #request(name, pauseMs, {hosts, database, isWriter}) {
		let count = 0;
		while (!this.#isStopped) {
			const entry = hosts[count % hosts.length];
			const session = new client.Session(entry.front);
			if (!await session.open(database)) {
				this.#requests.push({sentAt: clock.now(), isServed: false});
			}

			for (let step = 0; step < 10 && session.isOpen && !this.#isStopped; step++) {
				count++;
				const id = `${name}-${count}`;
				const sentAt = clock.now();
				const answer = await session.query(id, isWriter ? `WRITE ${count % 50} ${id}` : `READ ${count % 50}`);
				const isServed = answer !== undefined && answer.error === undefined;
				this.#requests.push({sentAt, isServed});
				if (isWriter && isServed) {
					this.acknowledged.add(id);
				}

				this.record.write(`client ${name}: ${id} by ${entry.name}: ${answer ? answer.error ?? `success, ${answer.signature}` : 'no answer'}`);
				await clock.sleep(pauseMs);
			}

			session.close();
			count++;
			await clock.sleep(pauseMs);
		}
	}
}
