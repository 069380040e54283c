/**
A complete deployment in one process, for tests and benchmarks: stand-ins for the platform and a database group, and
entry hosts.
*/
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
import * as hub from './hub.js';
import type * as network from './network.js';
import * as platform from './platform.js';
import * as ports from './ports.js';
import * as relay from './relay.js';

/** Configuration of a deployment. */
export type Options = group.Options & {
	/** Place of each entry host. */
	readonly hosts: readonly string[];
	/** Class sections of service `ledgers`, as INI text. */
	readonly classes?: string;
	/** Settings of each entry host's `timing` section, as INI text. */
	readonly timing?: string;
	/** How entry hosts claim terms; `ballot` by default. */
	readonly claim?: 'ballot' | 'store';
	/** Whether entry hosts are linked as peers through `Deployment.hub`; false by default. */
	readonly isLinked?: boolean;
	/**
	One-way delay in ms from an entry host's place to a server's. If given, a relay connects each entry host with each
	server.
	*/
	readonly linkMs?: (from: string, to: string) => number;
	/** Log level of entry hosts; `silent` by default. */
	readonly level?: types.Level;
	/** Whether entry hosts are added to the platform's host list when they start. */
	readonly isListed?: boolean;
	/** Number of entry hosts that are seeds, counted from `entry-1`; includes hosts that are added later. */
	readonly seeds?: number;
};

/** The platform's store for one entry host. Replaces the servers' addresses by those of the host's relays. */
class RelayedStore extends store.Store {
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

/** A running entry host. */
export type Entry = {readonly name: string; readonly place: string; readonly host: host.Host; readonly ports: host.Ports; readonly store: Store};

/** The fields of an entry host's `/status` document that tests use. */
export type Status = {
	readonly isReady: boolean;
	readonly configurationVersion: number;
	readonly members: ReadonlyArray<{name: string; isLeaving: boolean; isLinked: boolean}>;
	readonly services: Readonly<Record<string, {owners: string[]; standing: string; servers: Array<{name: string; isLeaving: boolean; connections: number; busy: number}>}>>;
};

const loopback = '127.0.0.1';
const user = 'secretary';
const password = 'secret';
const readyPollMs = 10;
const readyTimeoutMs = 10_000;

/** The platform's store for the hosts of one place. Replaces the servers' addresses in watched configurations by links. */
class PlaceStore extends store.Store {
	readonly #store: store.Store;
	readonly #group: group.Group;
	readonly #place: string;
	readonly #network: network.Network;

	constructor(platformStore: store.Store, databaseGroup: group.Group, place: string, links: network.Network) {
		super();
		this.#store = platformStore;
		this.#group = databaseGroup;
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
			? Either.right({...outcome.right, value: await this.#group.rewriteAddresses(outcome.right.value, this.#place, this.#network)})
			: outcome;
	}
}

/** An entry host's client of the platform's store, whose watches can be disconnected. */
export class Store extends http.Store {
	readonly #disconnected = new AbortController();

	/** Aborts current watches, and later ones when they start. Reads and updates still work. */
	disconnect(): void {
		this.#disconnected.abort();
	}

	override async watch(key: string, afterVersion: number, signal: AbortSignal, waitMs?: number): Promise<errors.Outcome<types.VersionedObject>> {
		return super.watch(key, afterVersion, AbortSignal.any([signal, this.#disconnected.signal]), waitMs);
	}
}

/** A deployment with one service, `ledgers`, and one account. */
export class Deployment {
	static async start(options: Options): Promise<Deployment> {
		const databaseGroup = await group.Group.start(options);
		const store = new platform.Platform();
		const url = await store.start(loopback, 0);
		const seeds = await Promise.all(Array.from({length: options.seeds ?? 0}, async () => `${loopback}:${await ports.findFree(loopback)}`));
		const deployment = new Deployment(databaseGroup, {store, url}, options, seeds);
		store.put('configuration', deployment.configuration());
		try {
			await Promise.all(options.hosts.map(async (place, index) => deployment.addHost(`entry-${index + 1}`, place)));
		} catch (error) {
			// A host that isn't ready in time would otherwise keep the test's process running for ever.
			await deployment.stop();
			throw error;
		}

		return deployment;
	}

	readonly group: group.Group;
	readonly platform: platform.Platform;
	/** Relays by entry host and server, such as `entry-1/a`. */
	readonly relays = new Map<string, relay.Relay>();
	readonly hub: hub.Hub;
	readonly #entries = new Map<number, Entry>();
	readonly #url: string;
	readonly #options: Options;
	readonly #seeds: readonly string[];
	readonly #hostList: {entry: types.ListedHost[]; backend: types.ListedHost[]} = {entry: [], backend: []};

	private constructor(databaseGroup: group.Group, {store: platformStandin, url}: {store: platform.Platform; url: string}, options: Options, seeds: readonly string[]) {
		this.group = databaseGroup;
		this.platform = platformStandin;
		this.hub = new hub.Hub(options.network);
		this.#url = url;
		this.#options = options;
		this.#seeds = seeds;
	}

	/** Started entry hosts, ordered by number. */
	get entries(): Entry[] {
		return [...this.#entries].toSorted(([left], [right]) => left - right).map(([, entry]) => entry);
	}

	/** The configuration as INI text. */
	configuration(): string {
		const account = `[account.${user}]\nservice = ledgers\ntenant = cascade\npasswordHash = ${server.hashPassword(password)}\n`;
		return `${this.group.configuration('ledgers', this.#options.classes)}\n${account}`;
	}

	/** Starts an entry host with a name like `entry-1`, and waits until it is ready. */
	async addHost(name: string, place: string): Promise<Entry> {
		const entry = await this.startHost(name, place);
		await waitUntilReady(entry.ports.http);
		return entry;
	}

	/** Starts an entry host without waiting until it is ready. With `isDisconnected`, it can't watch the store. */
	async startHost(name: string, place: string, isDisconnected = false): Promise<Entry> {
		const hostNumber = Number(name.replace('entry-', ''));
		const hostSettings = settings.parseSettings([
			'[host]',
			`name = ${name}`,
			`place = ${place}`,
			`region = ${place}`,
			'[listen]',
			`caller = ${loopback}:0`,
			`peer = ${this.#seeds[hostNumber - 1] ?? `${loopback}:0`}`,
			`http = ${loopback}:0`,
			'[platform]',
			`url = ${this.#url}`,
			'watchMs = 500',
			'[peers]',
			`seeds = ${this.#seeds.join(',')}`,
			'[timing]',
			this.#options.timing ?? '',
		].join('\n'), `${name}.ini`);
		if (Either.isLeft(hostSettings)) {
			throw new Error(errors.describe(hostSettings.left));
		}

		const platformStore = new Store(hostSettings.right.platform);
		if (isDisconnected) {
			platformStore.disconnect();
		}

		const {isLinked, claim: policy, level} = this.#options;
		const entryHost = new host.Host(hostSettings.right, await this.#openStore(name, place, platformStore), log.create(level ?? 'silent', {host: name}), {
			peers: isLinked ? new hub.Peers(this.hub, name, place) : undefined,
			claim: policy === 'store' ? new claim.Store(platformStore, new clock.System()) : undefined,
		});
		this.hub.connect({host: name, place, promotion: service => entryHost.owner.promotion(service)});
		const entry = {
			name, place, host: entryHost, ports: await entryHost.start(), store: platformStore,
		};
		this.#entries.set(hostNumber, entry);
		if (this.#options.isListed) {
			this.setHostState(name, 'live');
		}

		return entry;
	}

	/** Sets an entry host's state on the platform's host list; `gone` removes the host. */
	setHostState(name: string, state: types.HostState | 'gone'): void {
		const entry = this.entries.find(candidate => candidate.name === name);
		this.#hostList.entry = this.#hostList.entry.filter(listed => listed.name !== name);
		if (entry && state !== 'gone') {
			this.#hostList.entry.push({
				name, address: `${loopback}:${entry.ports.peer}`, place: entry.place, state,
			});
		}

		this.platform.put('hosts', JSON.stringify(this.#hostList));
	}

	/** Adds a backend server to the platform's host list as leaving. */
	markServerLeaving(name: string): void {
		this.#hostList.backend.push({
			name, address: `${loopback}:${this.group.server(name).port}`, place: 'any', state: 'leaving',
		});
		this.platform.put('hosts', JSON.stringify(this.#hostList));
	}

	/** Reads `/status` of the entry host with this index. */
	async status(index: number): Promise<Status> {
		const response = await fetch(`http://${loopback}:${this.entries[index]?.ports.http ?? 0}/status`);
		return await response.json() as Status;
	}

	/** Polls the status of the entry hosts until `predicate` holds; throws after `readyTimeoutMs`. */
	async waitUntil(predicate: (statuses: readonly Status[]) => boolean, indices: readonly number[]): Promise<void> {
		const time = new clock.System();
		const end = time.now() + readyTimeoutMs;
		let statuses: Status[] = [];
		while (time.now() < end) {
			statuses = await Promise.all(indices.map(async index => this.status(index)));
			if (predicate(statuses)) {
				return;
			}

			await time.sleep(readyPollMs);
		}

		throw new Error(`the entry hosts did not reach the expected state: ${JSON.stringify(statuses)}`);
	}

	/** Connects a `mysql2` client to the entry host with this index. */
	async connect(index: number): Promise<mysql.Connection> {
		return mysql.createConnection({
			host: loopback, port: this.entries[index]?.ports.caller ?? 0, user, password,
		});
	}

	/** Statements in a server's log, in order, without those on the table of request records. */
	writes(name: string): string[] {
		return this.group.server(name).entries.flatMap(({writes}) => writes).filter(sql => !sql.includes('sycamorering_request'));
	}

	/** Stops the entry hosts, relays, platform and database group. */
	async stop(): Promise<void> {
		await Promise.all(this.entries.map(async entry => entry.host.stop()));
		for (const link of this.relays.values()) {
			link.stop();
		}

		this.platform.stop();
		this.group.stop();
	}

	async #openStore(name: string, place: string, platformStore: store.Store): Promise<store.Store> {
		const addresses = new Map<string, string>();
		const {linkMs, network: links} = this.#options;
		if (links) {
			return new PlaceStore(platformStore, this.group, place, links);
		}

		for (const [server, {port}] of linkMs ? this.group.servers : []) {
			const link = await relay.Relay.start({host: loopback, port}, linkMs?.(place, this.group.place(server)));
			this.relays.set(`${name}/${server}`, link);
			addresses.set(`${loopback}:${port}`, `${loopback}:${link.port}`);
		}

		return new RelayedStore(platformStore, addresses);
	}
}

async function waitUntilReady(port: number): Promise<void> {
	const time = new clock.System();
	const end = time.now() + readyTimeoutMs;
	while (time.now() < end) {
		const response = await fetch(`http://${loopback}:${port}/ready`);
		if (response.ok) {
			return;
		}

		await time.sleep(readyPollMs);
	}

	throw new Error(`the entry host with port ${port} did not become ready within ${readyTimeoutMs} ms`);
}
