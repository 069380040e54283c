/**
A database group of stand-in servers in one process, for tests and benchmarks.
*/
import * as record from '../core/record.js';
import * as database from './database.js';
import type * as network from './network.js';

/** Configuration of a group. */
export type Options = Partial<Pick<database.Options, 'connectionLimit' | 'slots' | 'connectMs' | 'serviceMs' | 'lagMs'>> & {
	/** Place of each server. The group has one server for each item. */
	readonly places: readonly string[];
	readonly schema: readonly string[];
	/** Network between the places; without it, servers connect directly. */
	readonly network?: network.Network;
};

const loopback = '127.0.0.1';
const serverNames = 'abcdefg';

/** A running group. Servers are named `a`, `b` and so on; `a` is the initial primary. */
export class Group {
	static async start(options: Options): Promise<Group> {
		const peers = new Map(options.places.map((_place, index) => [serverNames[index] ?? '', new Map<string, {host: string; port: number}>()]));
		const servers = new Map<string, database.Database>();
		for (const [index] of options.places.entries()) {
			const name = serverNames[index] ?? '';
			const server = await database.Database.start({
				name,
				host: loopback,
				port: 0,
				peers: peers.get(name) ?? new Map(),
				connectionLimit: options.connectionLimit ?? 16,
				slots: options.slots ?? 2,
				connectMs: options.connectMs ?? 0,
				serviceMs: options.serviceMs ?? 0,
				lagMs: options.lagMs ?? 0,
				isPrimary: index === 0,
				schema: [record.schema, ...options.schema],
				password: '',
			});
			for (const [other, [peer, peerAddresses]] of [...peers].entries()) {
				const target = {host: loopback, port: server.port};
				const port = await options.network?.createLink(options.places[other] ?? '', options.places[index] ?? '', target) ?? target.port;
				if (peer !== name) {
					peerAddresses.set(name, {host: loopback, port});
				}
			}

			servers.set(name, server);
			if (index > 0) {
				server.replicateFrom('a');
			}
		}

		return new Group(servers, options.places);
	}

	readonly servers: ReadonlyMap<string, database.Database>;
	readonly #places: readonly string[];

	private constructor(servers: ReadonlyMap<string, database.Database>, places: readonly string[]) {
		this.servers = servers;
		this.#places = places;
	}

	/** Returns the server with this name, or throws. */
	server(name: string): database.Database {
		const found = this.servers.get(name);
		if (!found) {
			throw new Error(`the group has no server ${name}`);
		}

		return found;
	}

	/** The place of the server with this name. */
	place(name: string): string {
		return this.#places[serverNames.indexOf(name)] ?? '';
	}

	/** The INI configuration of the group as service `name`. `classes` holds its class sections as INI text. */
	configuration(name: string, classes = ''): string {
		const sections = [...this.servers].map(([server, {port}], index) => [
			`[service.${name}.server.${server}]`,
			`address = ${loopback}:${port}`,
			`place = ${this.#places[index] ?? ''}`,
		].join('\n'));
		return [`[service.${name}]`, 'connections = 16', ...sections, classes].join('\n');
	}

	/** Replaces each server's address in a configuration by that of a link from `place` to the server. */
	async rewriteAddresses(configuration: string, place: string, links: network.Network): Promise<string> {
		let rewritten = configuration;
		for (const [index, {port}] of [...this.servers.values()].entries()) {
			const linkPort = await links.createLink(place, this.#places[index] ?? '', {host: loopback, port});
			rewritten = rewritten.replace(`${loopback}:${port}\n`, `${loopback}:${linkPort}\n`);
		}

		return rewritten;
	}

	stop(): void {
		for (const server of this.servers.values()) {
			server.stop();
		}
	}
}
