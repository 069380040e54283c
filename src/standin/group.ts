/**
A database group of stand-in servers in one process, for tests and measurements.
*/
import * as record from '../core/record.js';
import * as database from './database.js';
import type * as network from './network.js';

/** How the servers behave, and where they are. */
export type Options = Partial<Pick<database.Options, 'connectionLimit' | 'slots' | 'connectMs' | 'serviceMs' | 'lagMs'>> & {
	/** Place of each server; their number is the size of the group. */
	readonly places: readonly string[];
	readonly schema: readonly string[];
	/** Links between the places; without it they have no delay. */
	readonly network?: network.Network;
};

const host = '127.0.0.1';
const names = 'abcdefg';

/** A running group. The first server, `a`, is primary at the start. */
export class Group {
	static async start(options: Options): Promise<Group> {
		const peers = new Map(options.places.map((_place, index) => [names[index] ?? '', new Map<string, {host: string; port: number}>()]));
		const servers = new Map<string, database.Database>();
		for (const [index] of options.places.entries()) {
			const name = names[index] ?? '';
			const started = await database.Database.start({
				name,
				host,
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
			for (const [other, [peer, known]] of [...peers].entries()) {
				const target = {host, port: started.port};
				const port = await options.network?.link(options.places[other] ?? '', options.places[index] ?? '', target) ?? target.port;
				if (peer !== name) {
					known.set(name, {host, port});
				}
			}

			servers.set(name, started);
			if (index > 0) {
				started.replicateFrom('a');
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

	/** A server by its name. */
	server(name: string): database.Database {
		const found = this.servers.get(name);
		if (!found) {
			throw new Error(`the group has no server ${name}`);
		}

		return found;
	}

	/** Place of a server. */
	place(name: string): string {
		return this.#places[names.indexOf(name)] ?? '';
	}

	/** The configuration of the group as service `name`, with the classes in `classes` as INI text. */
	configuration(name: string, classes = ''): string {
		const sections = [...this.servers].map(([server, {port}], index) => [
			`[service.${name}.server.${server}]`,
			`address = ${host}:${port}`,
			`place = ${this.#places[index] ?? ''}`,
		].join('\n'));
		return [`[service.${name}]`, 'connections = 16', ...sections, classes].join('\n');
	}

	/** A configuration as the hosts of `place` see it: each server's address is that of the link to it. */
	async locate(configuration: string, place: string, links: network.Network): Promise<string> {
		let text = configuration;
		for (const [index, {port}] of [...this.servers.values()].entries()) {
			const linked = await links.link(place, this.#places[index] ?? '', {host, port});
			text = text.replace(`${host}:${port}\n`, `${host}:${linked}\n`);
		}

		return text;
	}

	/** Stops every server. */
	stop(): void {
		for (const server of this.servers.values()) {
			server.stop();
		}
	}
}
