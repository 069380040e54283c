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
import * as relay from './relay.js';

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
	/**
	One-way delay in ms from an entry host's place to a server's. If given, each entry host reaches each server through
	a relay of its own.
	*/
	readonly linkMs?: (from: string, to: string) => number;
};

/** The platform's store as one entry host sees it: with the addresses of its relays in place of the servers'. */
class Rewritten extends store.Store {
	readonly #inner: store.Store;
	readonly #addresses: ReadonlyMap<string, string>;

	constructor(inner: store.Store, addresses: ReadonlyMap<string, string>) {
		super();
		this.#inner = inner;
		this.#addresses = addresses;
	}

	override async read(key: string): Promise<errors.Outcome<store.Entry>> {
		return Either.map((entry: store.Entry) => this.#rewrite(entry))(await this.#inner.read(key));
	}

	override async update(key: string, value: string, expectedVersion: number): Promise<errors.Outcome<store.Entry>> {
		return this.#inner.update(key, value, expectedVersion);
	}

	override async watch(key: string, afterVersion: number, signal: AbortSignal): Promise<errors.Outcome<store.Entry>> {
		return Either.map((entry: store.Entry) => this.#rewrite(entry))(await this.#inner.watch(key, afterVersion, signal));
	}

	#rewrite(entry: store.Entry): store.Entry {
		const value = entry.value.replaceAll(/(?<=^address = )\S+$/gmv, found => this.#addresses.get(found) ?? found);
		return {...entry, value};
	}
}

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
	/** Relays by entry host and server, for example `entry-1/a`. */
	readonly relays = new Map<string, relay.Relay>();
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

		const {isLinked, claim: policy} = this.#options;
		const entryHost = new host.Host(parsed.right, await this.#openStore(name, place, parsed.right.platform), log.create('silent', {}), {
			peers: isLinked ? new neighbours.Neighbours(this.hub, name, place) : undefined,
			claim: policy === 'store' ? new claim.Store(new http.Store(parsed.right.platform), new clock.System()) : undefined,
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
		for (const link of this.relays.values()) {
			link.stop();
		}

		this.platform.stop();
		this.group.stop();
	}

	async #openStore(name: string, place: string, options: http.Options): Promise<store.Store> {
		const addresses = new Map<string, string>();
		const {linkMs, network: links} = this.#options;
		if (links) {
			return new Located(new http.Store(options), this.group, place, links);
		}

		for (const [server, {port}] of linkMs ? this.group.servers : []) {
			const link = await relay.Relay.start({host: address, port}, linkMs?.(place, this.group.place(server)));
			this.relays.set(`${name}/${server}`, link);
			addresses.set(`${address}:${port}`, `${address}:${link.port}`);
		}

		return new Rewritten(new http.Store(options), addresses);
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
