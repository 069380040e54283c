/**
One entry host as a process of its own with stand-ins for the platform and the backend servers, a crowd of callers that
nobody controls, and the checks after it. The checks don't depend on the speed of the machine: the process lives, its
memory and descriptors stayed within bounds, and it answers an ordinary request.
*/
import * as assert from 'node:assert/strict';
import * as childProcess from 'node:child_process';
import * as fs from 'node:fs/promises';
import * as net from 'node:net';
import * as os from 'node:os';
import * as path from 'node:path';
import process from 'node:process';
import type * as test from 'node:test';
import * as timers from 'node:timers/promises';
import * as url from 'node:url';
import * as clock from '../../core/clock.js';
import * as randoms from '../../core/random.js';
import * as checkers from '../../soak/checker.js';
import * as contacts from '../../soak/contact.js';
import * as objects from '../../soak/object.js';
import * as platforms from '../../soak/platform.js';
import * as replicated from '../../soak/replicated.js';
import * as servers from '../../soak/server.js';
import * as site from '../../soak/site.js';
import * as freePorts from '../../standin/ports.js';
import * as unanswered from '../../soak/unanswered.js';

/** Limits of the process. The heap is far smaller than in operation, so that small crowds exhaust it. */
export type Limits = {
	/** Old generation of the heap in MB. */
	readonly heapMb: number;
	/** Setting `memory.limitMb`, which is also the bound of the resident size that the test checks. */
	readonly memoryMb: number;
	/** Setting `descriptors.limit`, which is also the limit of the operating system. */
	readonly descriptors: number;
};

export const limits: Limits = {heapMb: 56, memoryMb: 180, descriptors: 4096};

const daemonFile = path.join(path.dirname(url.fileURLToPath(import.meta.url)), '..', '..', 'cli', 'daemon.js');
const places = ['east-a', 'west-a', 'north-a'] as const;
const database = 'd';
const service = 'ledgers';
const semiSpaceMb = 4;
const pollMs = 50;
/** Time without any progress after which a crowd counts as stuck or done. */
const quietMs = 1500;
/** Longest time that a crowd goes on. It ends earlier if nothing moves any more. */
const maxCrowdMs = 20_000;
/** Time for the ordinary request, with repetitions. It only keeps a test from waiting for ever. */
const answerTimeoutMs = 60_000;
const attemptTimeoutMs = 5000;

/** Addresses of an entry host. */
type Addresses = {readonly caller: number; readonly peer: number; readonly readiness: number; readonly metrics: number};

/** An entry host and its stand-ins. */
export class System {
	/** Starts the stand-ins and the process, and waits for the first answer. */
	static async start(context: test.TestContext, changed: Partial<Limits> = {}): Promise<System> {
		const applied = {...limits, ...changed};
		const time = new clock.System();
		const source = new randoms.System();
		const stopped = new AbortController();
		const contact = new contacts.Contact(time);
		const checker = new checkers.Checker(time);
		const group = new replicated.Group(service, places, time, checker);
		const platform = new platforms.Platform(time, source, (_service, server, order) => group.promote(server, order));
		const running = group.run(stopped.signal);
		const listeners: servers.Listener[] = [];
		for (const server of group.servers) {
			const listener = new servers.Listener({
				clock: time, random: source, checker, customers: undefined, unanswered: new unanswered.Unanswered({clock: time, unplanned: contact, graceMs: 0}),
			}, {connections: 16, slots: 4, maxWorkMs: 2}, group, server);
			listeners.push(listener);
			const port = await listener.listen();
			platform.put('servers', server.id, objects.formatRegistration({
				service, address: `127.0.0.1:${port}`, place: server.place, slots: 4, state: 'ready', role: server.role, startedAt: server.startedAt,
			}));
		}

		platform.put('config', 'main', objects.formatConfiguration({
			version: 1, services: [service], connections: 16,
			routes: [{
				database, service, type: 'primary', maxAgeMs: 0, timeoutMs: 3000,
			}],
		}));
		const [caller, peer, readiness, metrics] = await Promise.all(Array.from({length: 4}, async () => freePorts.findFree(site.hostAddress)));
		const ports = {
			caller, peer, readiness, metrics,
		};
		const folder = await fs.mkdtemp(path.join(os.tmpdir(), 'sycamorering-intake-'));
		const settingsFile = path.join(folder, 'entry.ini');
		const store = await platform.listen('entry-0');
		await fs.writeFile(settingsFile, formatSettings(ports, store, applied));
		const command = `ulimit -n ${applied.descriptors}; exec "$0" --max-old-space-size=${applied.heapMb} --max-semi-space-size=${semiSpaceMb} "$1"`;
		const child = childProcess.spawn('/bin/sh', ['-c', command, process.execPath, daemonFile], {
			env: {...process.env, SYCAMORERING_SETTINGS: settingsFile}, stdio: ['ignore', 'pipe', 'pipe'],
		});
		const system = new System(child, ports, applied);
		context.after(async () => {
			system.#end();
			stopped.abort();
			for (const listener of listeners) {
				listener.close();
			}

			platform.close();
			await running;
			await fs.rm(folder, {recursive: true});
		});
		await system.answer();
		// The port for links opens some seconds after the first answer.
		while (!system.#log.includes('listen-failed') && !await isListening(system.host, ports.peer) && system.isAlive) {
			await timers.setTimeout(pollMs);
		}

		return system;
	}

	readonly ports: Addresses;
	readonly host = site.hostAddress;
	readonly #child: childProcess.ChildProcess;
	readonly #limits: Limits;
	readonly #sockets: net.Socket[] = [];
	#maxDescriptors = 0;
	#log = '';

	private constructor(child: childProcess.ChildProcess, ports: Addresses, applied: Limits) {
		this.#child = child;
		this.ports = ports;
		this.#limits = applied;
		child.stdout?.on('data', chunk => {
			this.#log = (this.#log + String(chunk)).slice(-20_000);
		});
		child.stderr?.on('data', chunk => {
			this.#log = (this.#log + String(chunk)).slice(-20_000);
		});
	}

	get isAlive(): boolean {
		return this.#child.exitCode === null && this.#child.signalCode === null;
	}

	/** Opens a connection. What the host sends is taken only with `isReading`. */
	connect(port: number, isReading = false): net.Socket {
		const socket = net.connect({port, host: this.host, noDelay: true});
		socket.on('error', () => {
			// The host may refuse or close any of these connections.
		});
		if (isReading) {
			socket.resume();
		}

		this.#sockets.push(socket);
		return socket;
	}

	/** Opens a session whose replies are not read, unless with `isReading`. */
	open(isReading = false): net.Socket {
		const socket = this.connect(this.ports.caller, isReading);
		socket.write(`STARTUP ${database} k\r\n`);
		return socket;
	}

	/** Waits until the crowd's connections have stopped to send and to receive. */
	async settle(): Promise<void> {
		const startedAt = performance.now();
		let movedAt = startedAt;
		let moved = -1;
		while (this.isAlive && performance.now() - movedAt < quietMs && performance.now() - startedAt < maxCrowdMs) {
			await this.#sample();
			const sum = this.#sockets.reduce((total, socket) => total + socket.bytesWritten - socket.writableLength + socket.bytesRead, 0);
			if (sum !== moved) {
				moved = sum;
				movedAt = performance.now();
			}

			await timers.setTimeout(pollMs);
		}
	}

	/** Checks that the process lives, that memory and descriptors stayed within their bounds, and that a request is answered. */
	async check(context: test.TestContext): Promise<void> {
		await this.settle();
		assert.ok(this.isAlive, `the process ended: ${this.#log.slice(-1500)}`);
		await this.answer();
		await this.#sample();
		const residentMb = await this.#readResidentMb();
		if (process.env.INTAKE_LOG) {
			context.diagnostic(this.#log.slice(-3000));
		}

		context.diagnostic(`largest resident size ${residentMb} MB, most descriptors ${this.#maxDescriptors}`);
		assert.ok(residentMb <= this.#limits.memoryMb, `the resident size reached ${residentMb} MB`);
		assert.ok(this.#maxDescriptors <= this.#limits.descriptors, `${this.#maxDescriptors} descriptors were open`);
	}

	/** Sends one ordinary request in a session of its own, again until it is answered. */
	async answer(): Promise<void> {
		const end = performance.now() + answerTimeoutMs;
		while (performance.now() < end && this.isAlive) {
			if (await this.#attempt()) {
				return;
			}

			await timers.setTimeout(pollMs);
		}

		assert.fail(`${this.isAlive ? 'no ordinary request was answered' : 'the process ended'}: ${this.#log.slice(-1500)}`);
	}

	async #attempt(): Promise<boolean> {
		const socket = net.connect({port: this.ports.caller, host: this.host});
		let received = '';
		socket.setEncoding('latin1');
		const result = new Promise<boolean>(resolve => {
			socket.on('data', (chunk: string) => {
				received += chunk;
				if (/^COMPLETE .*\r\nREADY /mv.test(received)) {
					resolve(true);
				} else if (/^ERROR /mv.test(received)) {
					resolve(false);
				}
			});
			socket.on('error', () => {
				resolve(false);
			});
			socket.on('close', () => {
				resolve(false);
			});
		});
		socket.write(`STARTUP ${database} k\r\nQUERY q1 READ 1a4\r\n`);
		const isAnswered = await Promise.race([result, timers.setTimeout(attemptTimeoutMs, false, {ref: false})]);
		socket.destroy();
		return isAnswered;
	}

	async #sample(): Promise<void> {
		try {
			const entries = await fs.readdir(`/proc/${this.#child.pid}/fd`);
			this.#maxDescriptors = Math.max(this.#maxDescriptors, entries.length);
		} catch {
			// The process has ended, which `check` reports.
		}
	}

	/** The largest resident size so far. */
	async #readResidentMb(): Promise<number> {
		const status = await fs.readFile(`/proc/${this.#child.pid}/status`, 'utf8');
		return Math.round(Number(/^VmHWM:\s+(?<kb>\d+)/mv.exec(status)?.groups?.kb ?? Number.NaN) / 1024);
	}

	#end(): void {
		for (const socket of this.#sockets) {
			socket.destroy();
		}

		this.#child.kill('SIGKILL');
	}
}

function formatSettings(ports: Addresses, store: string, applied: Limits): string {
	return [
		'[host]',
		'name = entry-0',
		'place = east-a',
		'region = all',
		'[listen]',
		...Object.entries(ports).map(([name, port]) => `${name} = ${site.hostAddress}:${port}`),
		'[endpoints]',
		`store = ${store}`,
		`authority = ${store}`,
		'[shutdown]',
		'graceS = 3',
		'[memory]',
		`limitMb = ${applied.memoryMb}`,
		'[descriptors]',
		`limit = ${applied.descriptors}`,
	].join('\n');
}

async function isListening(host: string, port: number): Promise<boolean> {
	const socket = net.connect({host, port});
	return new Promise(resolve => {
		socket.once('connect', () => {
			socket.destroy();
			resolve(true);
		});
		socket.once('error', () => {
			resolve(false);
		});
	});
}
