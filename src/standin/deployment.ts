/**
A whole deployment in one process, for tests and measurements: platform and database group stand-ins, and entry hosts.
*/
import * as Either from 'fp-ts/lib/Either.js';
import * as mysql from 'mysql2/promise';
import * as clock from '../core/clock.js';
import * as errors from '../core/errors.js';
import * as settings from '../core/settings.js';
import * as host from '../host/host.js';
import * as log from '../host/log.js';
import * as server from '../mysql/server.js';
import * as http from '../platform/http.js';
import * as group from './group.js';
import * as platform from './platform.js';

/** What is deployed. */
export type Options = group.Options & {
	/** Place of each entry host. */
	readonly hosts: readonly string[];
	/** Classes of service `ledgers`, as INI text. */
	readonly classes?: string;
	/** The `timing` section of each entry host, as INI text. */
	readonly timing?: string;
};

/** A running entry host and its ports. */
export type Entry = {readonly host: host.Host; readonly ports: host.Ports};

const address = '127.0.0.1';
const user = 'secretary';
const password = 'secret';
const readyPollMs = 10;
const readyLimitMs = 10_000;

/** A deployment with one service, `ledgers`, and one account. */
export class Deployment {
	static async start(options: Options): Promise<Deployment> {
		const servers = await group.Group.start(options);
		const store = new platform.Platform();
		const url = await store.start(address, 0);
		const account = `[account.${user}]\nservice = ledgers\ntenant = cascade\npasswordHash = ${server.hashPassword(password)}\n`;
		store.put('configuration', `${servers.configuration('ledgers', options.classes)}\n${account}`);
		const deployment = new Deployment(servers, store, url, options.timing ?? '');
		for (const [index, place] of options.hosts.entries()) {
			await deployment.addHost(`entry-${index + 1}`, place);
		}

		return deployment;
	}

	readonly group: group.Group;
	readonly platform: platform.Platform;
	readonly entries: Entry[] = [];
	readonly #url: string;
	readonly #timing: string;

	private constructor(servers: group.Group, store: platform.Platform, url: string, timing: string) {
		this.group = servers;
		this.platform = store;
		this.#url = url;
		this.#timing = timing;
	}

	/** Starts an entry host and waits until it is ready. */
	async addHost(name: string, place: string): Promise<Entry> {
		const parsed = settings.parseSettings([
			'[host]',
			`name = ${name}`,
			`place = ${place}`,
			`region = ${place}`,
			'[listen]',
			`caller = ${address}:0`,
			`peer = ${address}:0`,
			`http = ${address}:0`,
			'[platform]',
			`url = ${this.#url}`,
			'watchMs = 500',
			'[timing]',
			this.#timing,
		].join('\n'), `${name}.ini`);
		if (Either.isLeft(parsed)) {
			throw new Error(errors.describe(parsed.left));
		}

		const entryHost = new host.Host(parsed.right, new http.Store(parsed.right.platform), log.create('silent', {}));
		const entry = {host: entryHost, ports: await entryHost.start()};
		this.entries.push(entry);
		await waitUntilReady(entry.ports.http);
		return entry;
	}

	/** Connects a stock client to the entry host with this index. */
	async connect(index: number): Promise<mysql.Connection> {
		return mysql.createConnection({
			host: address, port: this.entries[index]?.ports.caller ?? 0, user, password,
		});
	}

	/** What ran on a server, in order, without the records of requests. */
	writes(name: string): string[] {
		return this.group.server(name).entries.flatMap(({writes}) => writes).filter(sql => !sql.includes('sycamorering_request'));
	}

	/** Stops everything. */
	async stop(): Promise<void> {
		await Promise.all(this.entries.map(async entry => entry.host.stop()));
		this.platform.stop();
		this.group.stop();
	}
}

async function waitUntilReady(port: number): Promise<void> {
	const time = new clock.System();
	const end = time.now() + readyLimitMs;
	while (time.now() < end) {
		const response = await fetch(`http://${address}:${port}/ready`);
		if (response.ok) {
			return;
		}

		await time.sleep(readyPollMs);
	}

	throw new Error(`the entry host with port ${port} did not become ready within ${readyLimitMs} ms`);
}
