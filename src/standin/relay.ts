/**
A TCP relay that simulates network faults: delay, data loss without a close, connections that are cut at once or after
a number of bytes, and refused connections.

`Relay.start(target, delayMs)` listens on a free port of 127.0.0.1 and forwards each connection to `target`. `far` is the
target and `near` the client that connects to the relay. `set` changes settings for the rest of the run; `silence`, `cut`
and `cutAfter` affect the connections that are open when they are called.
*/
import * as net from 'node:net';
import * as clock from '../core/clock.js';

/** Address to which connections are forwarded. */
export type Target = {readonly host: string; readonly port: number};

/** Direction of the data: to the target or to the client. */
export type Direction = 'toFar' | 'toNear';

/**
Settings that can change while the relay runs. `delayMs` is the one-way delay. Data in a silent direction is dropped, and all
data of clients for whose port `isDropped` returns true; a connection that has lost data in a direction never forwards data
in that direction again.
*/
export type Faults = {delayMs: number; isRefusing: boolean; silentDirections: readonly Direction[]; isDropped: (clientPort: number) => boolean};

export const directions: readonly Direction[] = ['toFar', 'toNear'];

type Connection = {
	readonly client: net.Socket;
	readonly server: net.Socket;
	readonly clientPort: number;
	isSilent: boolean;
	/** Directions in which data was dropped. */
	readonly lossyDirections: Set<Direction>;
	/** Bytes to forward in each direction before the connection is cut. */
	readonly remainingBytes: Record<Direction, number>;
};

/**
Time in ms from the close of one end of a silent connection until the relay closes the other, as TCP keep-alive would.
Without it, an orphaned transaction of the database stand-in would hold its write lock forever.
*/
const orphanTimeoutMs = 300;

/** Time in ms for the relay to detect that a client closed its previous connection before it opened a new one. */
const closeDetectionMs = 20;

/** A running relay. */
export class Relay {
	static async start(target: Target, delayMs = 0): Promise<Relay> {
		const relay = new Relay(target, delayMs);
		await new Promise<void>(resolve => {
			relay.#listener.listen(0, '127.0.0.1', resolve);
		});
		return relay;
	}

	readonly #target: Target;
	readonly #faults: Faults;
	readonly #clock = new clock.System();
	readonly #connections = new Set<Connection>();
	#maxOpenCount = 0;
	readonly #listener = net.createServer(client => {
		this.#accept(client);
	});

	private constructor(target: Target, delayMs: number) {
		this.#target = target;
		this.#faults = {
			delayMs, isRefusing: false, silentDirections: [], isDropped: () => false,
		};
	}

	/** The port on which the relay listens. */
	get port(): number {
		return (this.#listener.address() as net.AddressInfo).port;
	}

	/** Highest number of client connections open at the same time, excluding those that close within `closeDetectionMs`. */
	get maxOpenCount(): number {
		return this.#maxOpenCount;
	}

	/** Changes settings. `isRefusing` affects new connections only; the other settings affect open connections as well. */
	set(change: Partial<Faults>): void {
		Object.assign(this.#faults, change);
	}

	/** Drops all further data of the open connections. The close of one end reaches the other after `orphanTimeoutMs`. */
	silence(): void {
		for (const connection of this.#connections) {
			connection.isSilent = true;
		}
	}

	/** Closes the open connections. */
	cut(): void {
		for (const connection of this.#connections) {
			close(connection);
		}
	}

	/** Cuts each open connection after it has forwarded `bytes` more in one direction. */
	cutAfter(direction: Direction, bytes: number): void {
		for (const connection of this.#connections) {
			connection.remainingBytes[direction] = bytes;
		}
	}

	/** Stops listening and closes every connection. */
	stop(): void {
		this.#listener.close();
		this.cut();
	}

	#accept(client: net.Socket): void {
		if (this.#faults.isRefusing) {
			client.on('error', ignore).resetAndDestroy();
			return;
		}

		const server = net.connect(this.#target);
		const connection: Connection = {
			client, server, clientPort: client.remotePort ?? 0, isSilent: false, lossyDirections: new Set(), remainingBytes: {toFar: Number.POSITIVE_INFINITY, toNear: Number.POSITIVE_INFINITY},
		};
		this.#connections.add(connection);
		void this.#updateMaxOpen();
		this.#forward(connection, 'toFar');
		this.#forward(connection, 'toNear');
	}

	/** Forwards the data of one direction. Its order is kept when the delay changes. */
	#forward(connection: Connection, direction: Direction): void {
		const [from, to] = direction === 'toFar' ? [connection.client, connection.server] : [connection.server, connection.client];
		let lastAction = Promise.resolve();
		const enqueue = (action: () => void): void => {
			const dueAt = this.#clock.now() + this.#faults.delayMs;
			const previous = lastAction;
			lastAction = (async () => {
				await previous;
				await this.#clock.sleep(dueAt - this.#clock.now());
				action();
			})();
		};

		from.setNoDelay(true);
		from.on('error', ignore);
		from.on('data', chunk => {
			enqueue(() => {
				if (this.#faults.silentDirections.includes(direction) || this.#faults.isDropped(connection.clientPort)) {
					connection.lossyDirections.add(direction);
				}

				send(connection, direction, chunk, to);
			});
		});
		from.on('close', () => {
			if (connection.isSilent) {
				void this.#closeOrphan(connection);
			} else {
				enqueue(() => {
					close(connection);
					this.#connections.delete(connection);
				});
			}
		});
	}

	async #updateMaxOpen(): Promise<void> {
		const openConnections = [...this.#connections];
		await this.#clock.sleep(closeDetectionMs);
		this.#maxOpenCount = Math.max(this.#maxOpenCount, openConnections.filter(({client}) => !client.destroyed).length);
	}

	async #closeOrphan(connection: Connection): Promise<void> {
		await this.#clock.sleep(orphanTimeoutMs);
		close(connection);
		this.#connections.delete(connection);
	}
}

function send(connection: Connection, direction: Direction, chunk: Uint8Array, to: net.Socket): void {
	if (connection.isSilent || connection.lossyDirections.has(direction) || to.destroyed) {
		return;
	}

	const {remainingBytes} = connection;
	const part = chunk.subarray(0, remainingBytes[direction]);
	remainingBytes[direction] -= part.length;
	if (part.length === chunk.length) {
		to.write(part);
		return;
	}

	to.write(part, () => {
		close(connection);
	});
}

function close({client, server}: Connection): void {
	client.destroy();
	server.destroy();
}

function ignore(): void {
	// Errors need no handling, because a `close` event follows.
}
