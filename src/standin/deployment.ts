/**
A whole deployment in one process, for tests and measurements: platform and database group stand-ins, and entry hosts.
*/
import * as Either from 'fp-ts/lib/Either.js';
import * as mysql from 'mysql2/promise';
import * as claim from '../core/claim.js';
import * as clock from '../core/clock.js';
import * as errors from '../core/errors.js';
import * as settings from '../core/settings.js';
import * as host from '../host/host.js';
import * as log from '../host/log.js';
import * as server from '../mysql/server.js';
import * as http from '../platform/http.js';
import * as store from '../platform/store.js';
import * as group from './group.js';
import * as neighbours from './neighbours.js';
import type * as network from './network.js';
import * as platform from './platform.js';

/** What is deployed. */
export type Options = group.Options & {
	/** Place of each entry host. */
	readonly hosts: readonly string[];
	/** Classes of service `ledgers`, as INI text. */
	readonly classes?: string;
	/** The `timing` section of each entry host, as INI text. */
	readonly timing?: string;
	/** How the entry hosts claim terms; `ballot` by default. */
	readonly claim?: 'ballot' | 'store';
	/** Whether the entry hosts hear each other; false by default. */
	readonly isLinked?: boolean;
};

/** A running entry host and its ports. */
export type Entry = {readonly host: host.Host; readonly ports: host.Ports};

const address = '127.0.0.1';
const user = 'secretary';
const password = 'secret';
const readyPollMs = 10;
const readyLimitMs = 10_000;

/** The store as the hosts of one place see it: the configuration names the links to the servers. */
class Located extends store.Store {
	readonly #store: store.Store;
	readonly #group: group.Group;
	readonly #place: string;
	readonly #network: network.Network;

	constructor(platformStore: store.Store, servers: group.Group, place: string, links: network.Network) {
		super();
		this.#store = platformStore;
		this.#group = servers;
		this.#place = place;
		this.#network = links;
	}

	override async read(key: string): Promise<errors.Outcome<store.Entry>> {
		return this.#store.read(key);
	}

	override async update(key: string, value: string, expectedVersion: number): Promise<errors.Outcome<store.Entry>> {
		return this.#store.update(key, value, expectedVersion);
	}

	override async watch(key: string, afterVersion: number, signal: AbortSignal): Promise<errors.Outcome<store.Entry>> {
		const outcome = await this.#store.watch(key, afterVersion, signal);
		return key === 'configuration' && Either.isRight(outcome) && outcome.right.version > afterVersion
			? Either.right({...outcome.right, value: await this.#group.locate(outcome.right.value, this.#place, this.#network)})
			: outcome;
	}
}

/** A deployment with one service, `ledgers`, and one account. */
export class Deployment {
	static async start(options: Options): Promise<Deployment> {
		const servers = await group.Group.start(options);
		const platformStandin = new platform.Platform();
		const url = await platformStandin.start(address, 0);
		const account = `[account.${user}]\nservice = ledgers\ntenant = cascade\npasswordHash = ${server.hashPassword(password)}\n`;
		platformStandin.put('configuration', `${servers.configuration('ledgers', options.classes)}\n${account}`);
		const deployment = new Deployment(servers, platformStandin, url, options);
		for (const [index, place] of options.hosts.entries()) {
			await deployment.addHost(`entry-${index + 1}`, place);
		}

		return deployment;
	}

	readonly group: group.Group;
	readonly platform: platform.Platform;
	readonly entries: Entry[] = [];
	readonly hub: neighbours.Hub;
	readonly #url: string;
	readonly #options: Options;

	private constructor(servers: group.Group, platformStandin: platform.Platform, url: string, options: Options) {
		this.group = servers;
		this.platform = platformStandin;
		this.hub = new neighbours.Hub(options.network);
		this.#url = url;
		this.#options = options;
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
			this.#options.timing ?? '',
		].join('\n'), `${name}.ini`);
		if (Either.isLeft(parsed)) {
			throw new Error(errors.describe(parsed.left));
		}

		const {isLinked, network: links, claim: policy} = this.#options;
		const api = new http.Store(parsed.right.platform);
		const entryHost = new host.Host(parsed.right, links ? new Located(api, this.group, place, links) : api, log.create('silent', {}), {
			peers: isLinked ? new neighbours.Neighbours(this.hub, name, place) : undefined,
			claim: policy === 'store' ? new claim.Store(api, new clock.System()) : undefined,
		});
		this.hub.join({host: name, place, promotion: service => entryHost.owner.promotion(service)});
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
