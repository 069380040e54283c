/**
Two whole hosts with a store, in memory except for their listeners for readiness and metrics.
*/
import type * as test from 'node:test';
import type * as types from '../../generated/types.js';
import * as clock from '../../core/clock.js';
import * as random from '../../core/random.js';
import * as caller from '../caller.js';
import * as directories from '../customers/directory.js';
import * as decisions from '../decisions.js';
import * as entry from '../entry.js';
import type * as statement from '../statement.js';
import * as cluster from './fake-cluster.js';
import * as network from './fake-transport.js';

/** A caller that opens a session and sends nothing. */
export class Caller extends caller.Caller {
	override readonly address = 'test';
	override readonly hasPendingRequest = false;
	/** How the session was answered; `undefined` before. */
	answer: 'accepted' | statement.Refusal | undefined;
	isClosed = false;
	#wake: (() => void) | undefined;

	override async open(): Promise<caller.Opening> {
		return {database: 'd', key: 'key-of-wind'};
	}

	override accept(): void {
		this.answer = 'accepted';
	}

	override reject(refusal: statement.Refusal): void {
		this.answer = refusal;
		this.isClosed = true;
	}

	override async next(): Promise<undefined> {
		await new Promise<void>(resolve => {
			this.#wake = resolve;
		});
	}

	override reply(): void {
		throw new Error('nothing was requested');
	}

	override close(): void {
		this.isClosed = true;
		this.#wake?.();
	}
}

/** A link end that listens at one address of the network of a test. */
class Transport extends network.Transport {
	readonly #network: network.Network;

	constructor(all: network.Network) {
		super(all);
		this.#network = all;
	}

	override async listen(address: string, accept: Parameters<network.Network['listen']>[1]): Promise<string> {
		this.#network.listen(address, accept);
		return address;
	}
}

/** The hosts, with what reaches them from outside. */
export class Site {
	readonly time = new clock.Manual();
	readonly store = new cluster.Objects();
	readonly network = new network.Network(this.time);
	readonly stores = ['one', 'two'].map(() => new cluster.HostStore(this.store, this.time));
	/** Regions of the hosts that are not in the region west. */
	readonly regions: Record<string, string> = {};
	readonly #accept: Array<(accepted: caller.Caller) => void> = [];
	readonly #hosts: entry.Entry[] = [];
	#version = 0;

	async start(context: test.TestContext): Promise<void> {
		for (const name of ['one', 'two']) {
			this.store.put('hosts', name, {
				place: `${this.#regionOf(name)}-a`, region: this.#regionOf(name), peer: this.#address(name), capacity: 1,
			});
		}

		this.configure(['key-of-wind']);
		for (const [index, name] of ['one', 'two'].entries()) {
			const host = new entry.Entry({
				settings: this.#settings(name),
				clock: this.time,
				random: new random.Seeded(index),
				decisions: new decisions.Silent(),
				metrics: async () => '',
				store: this.stores[index],
				authority: new cluster.Authority(new cluster.Cluster(this.time)),
				transport: new Transport(this.network),
				connect() {
					throw new Error('there are no servers');
				},
				listener: accept => {
					this.#accept.push(accept);
					return {
						listen: async () => 0,
						close() {
							// Nothing listens.
						},
					};
				},
			});
			this.#hosts.push(host);
			await host.start();
		}

		context.after(async () => {
			const drained = Promise.all(this.#hosts.map(async host => host.drain()));
			await this.time.advance(10_000);
			await drained;
		});
		await this.time.advance(8000);
	}

	configure(keys: readonly string[]): void {
		this.#version++;
		this.store.put('configuration', 'main', {
			version: this.#version,
			routes: [{
				name: 'r', database: 'd', kind: 'primary', maximumAgeMs: 0, statementTimeoutMs: 800, targetMs: 300, priority: 0, service: 'ledgers',
			}],
			databases: [{name: 'ledgers', connectionLimit: 50, synchronousReplicas: 1}],
			idleTransactionMs: 3000,
			customers: [{
				name: 'wind', priority: 0, operationsPerS: 10, burst: 5, keyDigests: keys.map(key => directories.digest(key)),
			}],
		});
	}

	async open(index: number): Promise<Caller> {
		const client = new Caller();
		this.#accept[index](client);
		await this.time.advance(1);
		return client;
	}

	/** Cuts host `two` off from host `one`. */
	cutLinks(): void {
		this.network.refuse(this.#address('one'));
		this.network.refuse(this.#address('two'));
		this.network.closeLinks();
	}

	#regionOf(name: string): string {
		return this.regions[name] ?? 'west';
	}

	#address(name: string): string {
		return `10.0.0.${name === 'one' ? 1 : 2}:7440`;
	}

	#settings(name: string): types.EntrySettings {
		const settings = {
			host: {name, place: `${this.#regionOf(name)}-a`, region: this.#regionOf(name)},
			listen: {
				caller: '127.0.0.1:0', peer: this.#address(name), readiness: '127.0.0.1:0', metrics: '127.0.0.1:0',
			},
			endpoints: {store: '127.0.0.1:1', authority: '127.0.0.1:1'},
			shutdown: {graceS: 5},
			consistency: {configurationMs: 5000},
			peers: {seeds: ''},
			processor: {share: 1, cores: 1},
			memory: {limitMb: 256},
			descriptors: {limit: 4096},
			log: {level: 'info' as const},
		};
		return settings;
	}
}
