/**
A deployment of separate processes for measurements: stand-ins for the platform and the backend servers, and one entry
host. Child processes are started only by measurements, tests and scripts, never by the product itself.
*/
import * as childProcess from 'node:child_process';
import * as fs from 'node:fs/promises';
import * as net from 'node:net';
import * as os from 'node:os';
import * as path from 'node:path';
import process from 'node:process';
import * as url from 'node:url';
import * as mysql from 'mysql2/promise';
import * as Either from 'fp-ts/lib/Either.js';
import * as clock from '../core/clock.js';
import * as errors from '../core/errors.js';
import type * as types from '../generated/types.js';
import * as declaration from '../operator/declaration.js';
import * as print from '../operator/print.js';
import * as freePorts from '../standin/ports.js';

export type Options = {
	readonly classes: Readonly<Record<string, declaration.Class>>;
	readonly schema: readonly string[];
	/** Node.js options of the entry host's process, for example `--cpu-prof`. */
	readonly hostOptions: readonly string[];
	readonly connections: number;
	readonly slots: number;
	readonly lagMs: number;
};

const address = '127.0.0.1';
const names = ['a', 'b', 'c'] as const;
const readyTimeoutMs = 15_000;
const pollIntervalMs = 50;
const exitTimeoutMs = 5000;
const settleTimeoutMs = 10_000;
/** Unit of the processor times in `/proc` on Linux, in ms. */
const processorTickMs = 10;

export const account = {user: 'secretary', password: 'secret'} as const;

const mainFile = path.join(path.dirname(url.fileURLToPath(import.meta.url)), '..', 'cli', 'main.js');

/** A running deployment. */
export class Deployment {
	static async start(options: Options): Promise<Deployment> {
		const directory = await fs.mkdtemp(path.join(os.tmpdir(), 'sycamorering-'));
		const [platform = 0, caller = 0, http = 0, peer = 0, ...servers] = await Promise.all(Array.from({length: 7}, async () => freePorts.findFree(address)));
		const deployment = new Deployment(directory, caller, servers);
		try {
			await deployment.#start(options, {platform, http, peer});
		} catch (error) {
			await deployment.stop();
			throw error;
		}

		return deployment;
	}

	/** Caller port of the entry host. */
	readonly callerPort: number;
	/** Ports of the backend servers: the first is the primary, the second is in the same place as the entry host. */
	readonly serverPorts: readonly number[];
	readonly #directory: string;
	readonly #children: childProcess.ChildProcess[] = [];
	readonly #clock = new clock.System();
	#host: childProcess.ChildProcess | undefined;

	private constructor(directory: string, callerPort: number, serverPorts: readonly number[]) {
		this.#directory = directory;
		this.callerPort = callerPort;
		this.serverPorts = serverPorts;
	}

	/** Processor time in ms that the entry host has used; `NaN` on systems without `/proc`. */
	async processorMs(): Promise<number> {
		try {
			const text = await fs.readFile(`/proc/${this.#host?.pid ?? 0}/stat`, 'utf8');
			const fields = text.slice(text.lastIndexOf(')') + 2).split(' ');
			return (Number(fields[11]) + Number(fields[12])) * processorTickMs;
		} catch {
			return Number.NaN;
		}
	}

	/** Waits until all servers have the same log end, so that no replication work falls into the next measurement. */
	async settle(): Promise<void> {
		const connections = await Promise.all(this.serverPorts.map(async port => mysql.createConnection({host: address, port, user: 'bench'})));
		const end = this.#clock.now() + settleTimeoutMs;
		let isSettled = false;
		while (!isSettled && this.#clock.now() < end) {
			const results = await Promise.all(connections.map(async connection => connection.query<mysql.RowDataPacket[]>('CALL group_status()')));
			const indexes = results.map(([rows]) => (JSON.parse(String(rows[0]?.status)) as types.Status).last.index);
			isSettled = new Set(indexes).size === 1;
			await this.#clock.sleep(pollIntervalMs);
		}

		await Promise.all(connections.map(async connection => connection.end()));
		if (!isSettled) {
			throw new Error(`the replicas did not catch up within ${settleTimeoutMs} ms`);
		}
	}

	/** Ends all processes of the deployment. */
	async stop(): Promise<void> {
		const running = this.#children.filter(child => child.exitCode === null && child.signalCode === null);
		const ended = running.map(async child => new Promise<void>(resolve => {
			child.once('exit', () => {
				resolve();
			});
			child.kill('SIGTERM');
		}));
		await this.#clock.limit(Promise.all(ended), exitTimeoutMs);
		for (const child of running.filter(({exitCode, signalCode}) => exitCode === null && signalCode === null)) {
			child.kill('SIGKILL');
		}

		await fs.rm(this.#directory, {recursive: true, force: true});
	}

	async #start(options: Options, ports: {platform: number; http: number; peer: number}): Promise<void> {
		const site = path.join(this.#directory, 'site.ini');
		const settings = path.join(this.#directory, 'entry-1.ini');
		await fs.writeFile(site, this.#configuration(options));
		await fs.writeFile(settings, [
			'[host]\nname = entry-1\nplace = place-b\nregion = r',
			`[listen]\ncaller = ${address}:${this.callerPort}\npeer = ${address}:${ports.peer}\nhttp = ${address}:${ports.http}`,
			`[platform]\nurl = http://${address}:${ports.platform}/`,
			'[log]\nlevel = error\n',
		].join('\n'));
		this.#spawn([], 'standin', 'platform', '--listen', `${address}:${ports.platform}`, '--configuration', site);
		for (const [index, name] of names.entries()) {
			const peers = names.flatMap((other, peerIndex) => other === name ? [] : ['--peer', `${other}=${address}:${this.serverPorts[peerIndex]}`]);
			const limits = ['--connections', String(options.connections), '--slots', String(options.slots), '--lagMs', String(options.lagMs)];
			const schema = options.schema.flatMap(sql => ['--schema', sql]);
			this.#spawn([], 'standin', 'server', '--name', name, '--primary', 'a', '--listen', `${address}:${this.serverPorts[index]}`, ...limits, ...schema, ...peers);
		}

		this.#host = this.#spawn(options.hostOptions, 'host', '--settings', settings);
		await this.#waitUntilListening();
		await this.#waitUntilReady(ports.http);
	}

	#configuration({classes, connections, slots}: Options): string {
		const site = new declaration.Site();
		const group = site.service('ledgers', {connections, slots});
		for (const [index, name] of names.entries()) {
			group.server(name, {address: `${address}:${this.serverPorts[index]}`, place: `place-${name}`});
		}

		for (const [name, content] of Object.entries(classes)) {
			group.class(name, content);
		}

		site.account(account.user, {service: 'ledgers', tenant: 'cascade', password: account.password});
		const text = print.print(site.data);
		if (Either.isLeft(text)) {
			throw new Error(errors.describe(text.left));
		}

		return text.right;
	}

	#spawn(nodeOptions: readonly string[], ...parameters: string[]): childProcess.ChildProcess {
		const child = childProcess.spawn(process.execPath, [...nodeOptions, mainFile, ...parameters], {stdio: ['ignore', 'ignore', 'ignore']});
		this.#children.push(child);
		return child;
	}

	/** Waits until all backend servers listen. The entry host may report ready before that. */
	async #waitUntilListening(): Promise<void> {
		const end = this.#clock.now() + readyTimeoutMs;
		for (const port of this.serverPorts) {
			while (!await isListening(port)) {
				if (this.#clock.now() > end) {
					throw new Error(`a backend server did not listen within ${readyTimeoutMs} ms`);
				}

				await this.#clock.sleep(pollIntervalMs);
			}
		}
	}

	async #waitUntilReady(port: number): Promise<void> {
		const end = this.#clock.now() + readyTimeoutMs;
		while (this.#clock.now() < end) {
			try {
				const response = await fetch(`http://${address}:${port}/ready`);
				if (response.ok) {
					return;
				}
			} catch {
				// The entry host doesn't listen yet.
			}

			await this.#clock.sleep(pollIntervalMs);
		}

		throw new Error(`the entry host did not become ready within ${readyTimeoutMs} ms`);
	}
}

async function isListening(port: number): Promise<boolean> {
	const socket = net.connect(port, address);
	const isOpen = await new Promise<boolean>(resolve => {
		socket.once('connect', () => {
			resolve(true);
		});
		socket.once('error', () => {
			resolve(false);
		});
	});
	socket.destroy();
	return isOpen;
}
