/**
A whole deployment in one process, for tests and measurements: platform and database group stand-ins, and entry hosts.
*/
import * as net from 'node:net';
import * as Either from 'fp-ts/lib/Either.js';
import * as mysql from 'mysql2/promise';
import * as claim from '../core/claim.js';
import * as clock from '../core/clock.js';
import * as errors from '../core/errors.js';
import * as settings from '../core/settings.js';
import type * as types from '../generated/types.js';
import * as host from '../host/host.js';
import * as log from '../host/log.js';
import * as server from '../mysql/server.js';
import * as http from '../store/http.js';
import * as store from '../store/store.js';
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
	/** What entry hosts log. */
	readonly level?: types.Level;
	/** Whether entry hosts stand on the platform's host list as soon as they run. */
	readonly isListed?: boolean;
	/** How many entry hosts are seeds: the first ones, also those that are added later. */
	readonly seeds?: number;
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

	override async watch(key: string, afterVersion: number, signal: AbortSignal, waitMs?: number): Promise<errors.Outcome<store.Entry>> {
		return Either.map((entry: store.Entry) => this.#rewrite(entry))(await this.#inner.watch(key, afterVersion, signal, waitMs));
	}

	#rewrite(entry: store.Entry): store.Entry {
		const value = entry.value.replaceAll(/(?<=^address = )\S+$/gmv, found => this.#addresses.get(found) ?? found);
		return {...entry, value};
	}
}

/** A running entry host and its ports. */
export type Entry = {readonly name: string; readonly place: string; readonly host: host.Host; readonly ports: host.Ports; readonly store: Store};

/** What an entry host says of itself at `/status`, as far as tests look at it. */
export type Status = {
	readonly isReady: boolean;
	readonly configurationVersion: number;
	readonly members: ReadonlyArray<{name: string; isLeaving: boolean; isLinked: boolean}>;
	readonly services: Readonly<Record<string, {owners: string[]; standing: string; servers: Array<{name: string; isLeaving: boolean; connections: number; busy: number}>}>>;
};

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

	override async watch(key: string, afterVersion: number, signal: AbortSignal, waitMs?: number): Promise<errors.Outcome<store.Entry>> {
		const outcome = await this.#store.watch(key, afterVersion, signal, waitMs);
		return key === 'configuration' && Either.isRight(outcome) && outcome.right.version > afterVersion
			? Either.right({...outcome.right, value: await this.#group.locate(outcome.right.value, this.#place, this.#network)})
			: outcome;
	}
}

/** The platform's store as one entry host reaches it, or not while it is cut off. */
export class Store extends http.Store {
	readonly #cut = new AbortController();

	/** Cuts the host off from the store for good; calls that wait fail at once. */
	cut(): void {
		this.#cut.abort();
	}

	override async watch(key: string, afterVersion: number, signal: AbortSignal, waitMs?: number): Promise<errors.Outcome<types.Entry>> {
		return super.watch(key, afterVersion, AbortSignal.any([signal, this.#cut.signal]), waitMs);
	}
}

/** A deployment with one service, `ledgers`, and one account. */
export class Deployment {
	static async start(options: Options): Promise<Deployment> {
		const servers = await group.Group.start(options);
		const store = new platform.Platform();
		const url = await store.start(address, 0);
		const seeds = await Promise.all(Array.from({length: options.seeds ?? 0}, async () => freeAddress()));
		const deployment = new Deployment(servers, {store, url}, options, seeds);
		store.put('configuration', deployment.configuration());
		await Promise.all(options.hosts.map(async (place, index) => deployment.addHost(`entry-${index + 1}`, place)));
		return deployment;
	}

	readonly group: group.Group;
	readonly platform: platform.Platform;
	/** Relays by entry host and server, for example `entry-1/a`. */
	readonly relays = new Map<string, relay.Relay>();
	readonly hub: neighbours.Hub;
	readonly #entries = new Map<number, Entry>();
	readonly #url: string;
	readonly #options: Options;
	readonly #seeds: readonly string[];
	readonly #list: {entry: types.ListedHost[]; backend: types.ListedHost[]} = {entry: [], backend: []};

	private constructor(servers: group.Group, {store: platformStandin, url}: {store: platform.Platform; url: string}, options: Options, seeds: readonly string[]) {
		this.group = servers;
		this.platform = platformStandin;
		this.hub = new neighbours.Hub(options.network);
		this.#url = url;
		this.#options = options;
		this.#seeds = seeds;
	}

	/** Entry hosts that were started, in the order of their numbers. */
	get entries(): Entry[] {
		return [...this.#entries].toSorted(([left], [right]) => left - right).map(([, entry]) => entry);
	}

	/** The configuration as INI text. */
	configuration(): string {
		const account = `[account.${user}]\nservice = ledgers\ntenant = cascade\npasswordHash = ${server.hashPassword(password)}\n`;
		return `${this.group.configuration('ledgers', this.#options.classes)}\n${account}`;
	}

	/** Starts an entry host, named `entry-` and its number, and waits until it is ready. */
	async addHost(name: string, place: string): Promise<Entry> {
		const entry = await this.startHost(name, place);
		await waitUntilReady(entry.ports.http);
		return entry;
	}

	/** Starts an entry host, cut off from the store if `isCut`. */
	async startHost(name: string, place: string, isCut = false): Promise<Entry> {
		const number = Number(name.replace('entry-', ''));
		const parsed = settings.parseSettings([
			'[host]',
			`name = ${name}`,
			`place = ${place}`,
			`region = ${place}`,
			'[listen]',
			`caller = ${address}:0`,
			`peer = ${this.#seeds[number - 1] ?? `${address}:0`}`,
			`http = ${address}:0`,
			'[platform]',
			`url = ${this.#url}`,
			'watchMs = 500',
			'[peers]',
			`seeds = ${this.#seeds.join(',')}`,
			'[timing]',
			this.#options.timing ?? '',
		].join('\n'), `${name}.ini`);
		if (Either.isLeft(parsed)) {
			throw new Error(errors.describe(parsed.left));
		}

		const api = new Store(parsed.right.platform);
		if (isCut) {
			api.cut();
		}

		const {isLinked, claim: policy, level} = this.#options;
		const entryHost = new host.Host(parsed.right, await this.#openStore(name, place, api), log.create(level ?? 'silent', {host: name}), {
			peers: isLinked ? new neighbours.Neighbours(this.hub, name, place) : undefined,
			claim: policy === 'store' ? new claim.Store(api, new clock.System()) : undefined,
		});
		this.hub.join({host: name, place, promotion: service => entryHost.owner.promotion(service)});
		const entry = {
			name, place, host: entryHost, ports: await entryHost.start(), store: api,
		};
		this.#entries.set(number, entry);
		if (this.#options.isListed) {
			this.list(name, 'live');
		}

		return entry;
	}

	/** Puts an entry host on the platform's host list, or takes it off. */
	list(name: string, state: types.HostState | 'gone'): void {
		const entry = this.entries.find(candidate => candidate.name === name);
		this.#list.entry = this.#list.entry.filter(listed => listed.name !== name);
		if (entry && state !== 'gone') {
			this.#list.entry.push({
				name, address: `${address}:${entry.ports.peer}`, place: entry.place, state,
			});
		}

		this.platform.put('hosts', JSON.stringify(this.#list));
	}

	/** Marks a backend server as leaving on the platform's host list. */
	listLeavingServer(name: string): void {
		this.#list.backend.push({
			name, address: `${address}:${this.group.server(name).port}`, place: 'any', state: 'leaving',
		});
		this.platform.put('hosts', JSON.stringify(this.#list));
	}

	/** What the entry host with this index says of itself. */
	async status(index: number): Promise<Status> {
		const response = await fetch(`http://${address}:${this.entries[index]?.ports.http ?? 0}/status`);
		return await response.json() as Status;
	}

	/** Waits until the entry hosts agree with `isReached`; fails after some seconds. */
	async until(isReached: (statuses: readonly Status[]) => boolean, indices: readonly number[]): Promise<void> {
		const time = new clock.System();
		const end = time.now() + readyLimitMs;
		let statuses: Status[] = [];
		while (time.now() < end) {
			statuses = await Promise.all(indices.map(async index => this.status(index)));
			if (isReached(statuses)) {
				return;
			}

			await time.sleep(readyPollMs);
		}

		throw new Error(`the entry hosts did not reach the wanted state: ${JSON.stringify(statuses)}`);
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

	async #openStore(name: string, place: string, api: store.Store): Promise<store.Store> {
		const addresses = new Map<string, string>();
		const {linkMs, network: links} = this.#options;
		if (links) {
			return new Located(api, this.group, place, links);
		}

		for (const [server, {port}] of linkMs ? this.group.servers : []) {
			const link = await relay.Relay.start({host: address, port}, linkMs?.(place, this.group.place(server)));
			this.relays.set(`${name}/${server}`, link);
			addresses.set(`${address}:${port}`, `${address}:${link.port}`);
		}

		return new Rewritten(api, addresses);
	}
}

/** An address that nothing listens on at present. */
async function freeAddress(): Promise<string> {
	const listener = net.createServer();
	await new Promise<void>(resolve => {
		listener.listen(0, address, resolve);
	});
	const {port} = listener.address() as net.AddressInfo;
	await new Promise(resolve => {
		listener.close(resolve);
	});
	return `${address}:${port}`;
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
