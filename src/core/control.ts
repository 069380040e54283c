/**
Control connections for one change of primary, one to each server of the group. They are opened for the change and
closed after it, so that requests which exhaust a pool can't delay the change. They count towards the part of the
server's connection limit that no owner's quota covers.
*/
import * as Either from 'fp-ts/lib/Either.js';
import type * as backend from './backend.js';
import type * as clock from './clock.js';
import * as errors from './errors.js';

type Call<T> = (connection: backend.Connection) => Promise<errors.Outcome<T>>;

/** Connections to the servers of a group. The constructor starts to open all of them. */
export class Connections {
	readonly #servers: ReadonlyMap<string, backend.Server>;
	readonly #clock: clock.Clock;
	readonly #timeoutMs: number;
	readonly #opened = new Map<string, Promise<errors.Outcome<backend.Connection>>>();
	#isClosed = false;

	constructor(servers: ReadonlyMap<string, backend.Server>, time: clock.Clock, timeoutMs: number) {
		this.#servers = servers;
		this.#clock = time;
		this.#timeoutMs = timeoutMs;
		for (const name of servers.keys()) {
			void this.#open(name);
		}
	}

	/** Names of the servers. */
	get servers(): readonly string[] {
		return [...this.#servers.keys()];
	}

	/**
	Calls a server, reconnecting if its connection has closed.

	Errors: `not-run` if no connection could be opened; else those of the call.
	*/
	async call<T>(server: string, use: Call<T>): Promise<errors.Outcome<T>> {
		const connection = await this.#connect(server);
		return Either.isRight(connection) ? use(connection.right) : connection;
	}

	/** Whether at least `count` servers accept a connection within the timeout. */
	async reaches(count: number): Promise<boolean> {
		let connected = 0;
		const reached = new Promise<boolean>(resolve => {
			const connect = async (server: string): Promise<void> => {
				const outcome = await this.#connect(server);
				connected += Either.isRight(outcome) ? 1 : 0;
				if (connected >= count) {
					resolve(true);
				}
			};

			for (const server of this.servers) {
				void connect(server);
			}
		});
		return await this.#clock.limit(reached, this.#timeoutMs) ?? false;
	}

	/** Closes every connection, including those still being opened. */
	close(): void {
		this.#isClosed = true;
		for (const server of this.#opened.keys()) {
			void this.#close(server);
		}
	}

	async #connect(server: string): Promise<errors.Outcome<backend.Connection>> {
		const opened = await this.#opened.get(server);
		const isUsable = opened !== undefined && Either.isRight(opened) && opened.right.isOpen;
		return isUsable ? opened : this.#open(server);
	}

	async #open(name: string): Promise<errors.Outcome<backend.Connection>> {
		const server = this.#servers.get(name);
		if (!server || this.#isClosed) {
			return errors.fail('not-run', 'connect', name, 'the server is not known, or the connections of this change of primary are closed');
		}

		const opened = server.connect(this.#timeoutMs);
		this.#opened.set(name, opened);
		return opened;
	}

	async #close(server: string): Promise<void> {
		const opened = await this.#opened.get(server);
		if (opened && Either.isRight(opened)) {
			opened.right.close();
		}
	}
}
