/**
Connections to one backend server, bounded by the owner's share. A connection serves one holder at a time.
*/
import * as Either from 'fp-ts/lib/Either.js';
import type * as backend from './backend.js';
import type * as clock from './clock.js';
import * as errors from './errors.js';

/** Limits of a pool. Times in ms. */
export type Limits = {
	/** Most connections, open or being opened. */
	connections: number;
	readonly connectTimeoutMs: number;
	/** An idle connection older than this is closed instead of being used, since it may have gone silent. */
	readonly idleLimitMs: number;
	readonly resetTimeoutMs: number;
};

/** What a holder leaves on a connection: nothing, or state that must be reset. */
export type Residue = 'clean' | 'dirty';

type Idle = {readonly connection: backend.Connection; readonly since: number};
type Waiter = (outcome: errors.Outcome<backend.Connection>) => void;

/** A pool of connections to one server. */
export class Pool {
	readonly server: backend.Server;
	readonly #clock: clock.Clock;
	readonly #limits: Limits;
	readonly #held = new Set<backend.Connection>();
	#idle: Idle[] = [];
	#waiters: Waiter[] = [];
	#opening = 0;
	#isClosed = false;

	constructor(server: backend.Server, time: clock.Clock, limits: Limits) {
		this.server = server;
		this.#clock = time;
		this.#limits = limits;
	}

	/** Connections in use. */
	get busy(): number {
		return this.#held.size;
	}

	/** Requests that wait for a connection. */
	get waiting(): number {
		return this.#waiters.length;
	}

	/** Connections that are open or being opened. */
	get open(): number {
		return this.#held.size + this.#idle.length + this.#opening;
	}

	/**
	Takes a connection, opening one if the limit allows, else waiting for one. The holder must give it to `release`.

	Errors: `not-run`, when none could be had.

	@example
	```
	const outcome = await pool.acquire(500);
	```
	*/
	async acquire(timeoutMs: number): Promise<errors.Outcome<backend.Connection>> {
		if (this.#isClosed) {
			return errors.fail('not-run', 'connect', this.server.name, 'the pool is closed');
		}

		const idle = this.#takeIdle();
		if (idle) {
			return Either.right(idle);
		}

		return this.#wait(timeoutMs);
	}

	/** Gives a connection back. One that is dirty is reset before anybody else gets it. */
	async release(connection: backend.Connection, residue: Residue): Promise<void> {
		if (residue === 'dirty' && connection.isOpen) {
			const outcome = await connection.reset(this.#limits.resetTimeoutMs);
			if (Either.isLeft(outcome)) {
				connection.close();
			}
		}

		this.#held.delete(connection);
		this.#offer(connection);
		this.#fill();
	}

	/** Changes the limit; connections above it close as they become idle. */
	resize(connections: number): void {
		this.#limits.connections = connections;
		while (this.#idle.length > 0 && this.open > connections) {
			this.#idle.shift()?.connection.close();
		}

		this.#fill();
	}

	/** Closes every connection and fails whoever waits for one, since the server has been replaced. */
	interrupt(): void {
		for (const waiter of this.#waiters) {
			waiter(errors.fail('not-run', 'connect', this.server.name, 'the server has been replaced'));
		}

		for (const connection of [...this.#held, ...this.#idle.map(idle => idle.connection)]) {
			connection.close();
		}
	}

	/** Closes idle connections and refuses further holders. Connections in use close when they are released. */
	close(): void {
		this.#isClosed = true;
		for (const {connection} of this.#idle) {
			connection.close();
		}

		this.#idle = [];
		for (const waiter of this.#waiters) {
			waiter(errors.fail('not-run', 'connect', this.server.name, 'the pool is closed'));
		}
	}

	#takeIdle(): backend.Connection | undefined {
		for (let idle = this.#idle.pop(); idle; idle = this.#idle.pop()) {
			const isFresh = this.#clock.now() - idle.since <= this.#limits.idleLimitMs;
			if (idle.connection.isOpen && isFresh) {
				this.#held.add(idle.connection);
				return idle.connection;
			}

			idle.connection.close();
		}

		return undefined;
	}

	async #wait(timeoutMs: number): Promise<errors.Outcome<backend.Connection>> {
		const expired = new AbortController();
		return new Promise(resolve => {
			const waiter: Waiter = outcome => {
				this.#waiters = this.#waiters.filter(other => other !== waiter);
				expired.abort();
				resolve(outcome);
			};

			const expire = async (): Promise<void> => {
				await this.#clock.sleep(timeoutMs, expired.signal);
				waiter(errors.fail('not-run', 'connect', this.server.name, `no free connection within ${Math.round(timeoutMs)} ms`));
			};

			this.#waiters.push(waiter);
			void expire();
			this.#fill();
		});
	}

	/** Opens connections for those who wait, as far as the limit allows. */
	#fill(): void {
		while (!this.#isClosed && this.#waiters.length > this.#opening && this.open < this.#limits.connections) {
			void this.#openOne();
		}
	}

	async #openOne(): Promise<void> {
		this.#opening++;
		const outcome = await this.server.connect(this.#limits.connectTimeoutMs);
		this.#opening--;
		if (Either.isRight(outcome) && outcome.right.isOpen) {
			this.#offer(outcome.right);
		} else {
			// Whoever waits longest learns of it and can try another server.
			this.#waiters[0]?.(Either.isLeft(outcome) ? outcome : errors.fail('not-run', 'connect', this.server.name, 'the connection was closed as it opened'));
		}

		this.#fill();
	}

	#offer(connection: backend.Connection): void {
		if (!connection.isOpen || this.#isClosed || this.open >= this.#limits.connections) {
			connection.close();
			return;
		}

		const waiter = this.#waiters[0];
		if (waiter) {
			this.#held.add(connection);
			waiter(Either.right(connection));
		} else {
			this.#idle.push({connection, since: this.#clock.now()});
		}
	}
}
