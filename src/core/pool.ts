/**
Connections to one backend server, bounded by the owner's share. A connection serves one holder at a time.
*/
import * as Either from 'fp-ts/lib/Either.js';
import type * as clock from './clock.js';
import type * as connections from './connection.js';
import * as errors from './errors.js';

/** Limits of a pool. Times in ms. */
export type Limits = {
	/** Most connections, open or being opened. */
	readonly connections: number;
	readonly connectTimeoutMs: number;
	/** When a connection is neither opened nor checked by then, another one is opened beside it. */
	readonly hedgeAfterMs: number;
	/** A connection that was idle for longer is checked before its next use, since it may have gone silent. */
	readonly trustMs: number;
	/** A connection that was idle for longer is closed instead of being checked. */
	readonly idleLimitMs: number;
	readonly resetTimeoutMs: number;
};

/** What a holder leaves on a connection: nothing, or state that must be reset. */
export type Residue = 'clean' | 'dirty';

type Idle<C> = {readonly connection: C; readonly since: number};
type Waiter<C> = {
	readonly since: number;
	/** Which idle connection the waiter would rather have. */
	readonly prefers: ((connection: C) => boolean) | undefined;
	readonly settle: (outcome: errors.Outcome<C>) => void;
};

/** Pause in ms before another connection is opened to a server that refused one at its limit. */
const limitPauseMs = 200;

/** A pool of connections to one server. */
export class Pool<C extends connections.Connection> {
	readonly server: connections.Server<C>;
	readonly #clock: clock.Clock;
	readonly #limits: Limits;
	readonly #held = new Set<C>();
	#idle: Array<Idle<C>> = [];
	#waiters: Array<Waiter<C>> = [];
	/** Connections being opened or checked. They count towards the limit until the attempt has ended. */
	#pending = 0;
	/** Those of `#pending` that were started beside a slow one. */
	#hedges = 0;
	#connections: number;
	#isClosed = false;
	/** Time of the clock until which no further connection is opened, since the server refused one at its limit. */
	#limitedUntil = Number.NEGATIVE_INFINITY;

	constructor(server: connections.Server<C>, time: clock.Clock, limits: Limits) {
		this.server = server;
		this.#clock = time;
		this.#limits = limits;
		this.#connections = limits.connections;
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
		return this.#held.size + this.#idle.length + this.#pending;
	}

	/** Those who wait for whom a connection is being obtained. */
	get #expected(): number {
		return this.#pending - this.#hedges;
	}

	/**
	Takes a connection, opening one if the limit allows, else waiting for one. The holder must give it to `release`.
	An abort of `signal` ends the wait. Of the idle connections, one that `prefers` accepts goes first.

	Errors: `not-run`, when none could be had.

	@example
	```
	const outcome = await pool.acquire(500);
	```
	*/
	async acquire(timeoutMs: number, signal?: AbortSignal, prefers?: (connection: C) => boolean): Promise<errors.Outcome<C>> {
		if (this.#isClosed) {
			return this.#refuse('the pool is closed');
		}

		if (signal?.aborted) {
			return this.#refuse('the connection is not needed any more');
		}

		return this.#wait(timeoutMs, signal, prefers);
	}

	/**
	Gives a connection back. One that is dirty is reset before anybody else gets it. A holder calls it once; a
	connection that nobody holds is left alone, so that it isn't listed as idle twice.
	*/
	async release(connection: C, residue: Residue): Promise<void> {
		if (!this.#held.has(connection)) {
			return;
		}

		if (residue === 'dirty' && connection.isOpen) {
			const outcome = await connection.reset(this.#limits.resetTimeoutMs);
			if (Either.isLeft(outcome)) {
				connection.close();
			}
		}

		this.#held.delete(connection);
		this.#offer(connection);
	}

	/** Changes the limit; connections above it close as they become idle. */
	resize(connections: number): void {
		this.#connections = connections;
		while (this.#idle.length > 0 && this.open > connections) {
			this.#idle.shift()?.connection.close();
		}

		this.#fill();
	}

	/** Closes idle connections above `connections` that nobody has used for `idleMs`, so that other hosts can open some. */
	trim(connections: number, idleMs: number): void {
		const oldest = this.#idle[0];
		if (oldest && this.open > connections && this.#clock.now() - oldest.since > idleMs) {
			this.#idle.shift();
			oldest.connection.close();
		}
	}

	/** Closes every connection and fails whoever waits for one, since the server has been replaced. */
	interrupt(): void {
		for (const waiter of this.#waiters) {
			waiter.settle(this.#refuse('the server has been replaced'));
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
			waiter.settle(this.#refuse('the pool is closed'));
		}
	}

	async #wait(timeoutMs: number, signal?: AbortSignal, prefers?: (connection: C) => boolean): Promise<errors.Outcome<C>> {
		const settled = new AbortController();
		return new Promise(resolve => {
			const leave = (): void => {
				waiter.settle(this.#refuse('the connection is not needed any more'));
			};

			// A settled waiter is no longer in the list, so no connection is handed to it after its timeout.
			const waiter: Waiter<C> = {
				since: this.#clock.now(),
				prefers,
				settle: outcome => {
					this.#waiters = this.#waiters.filter(other => other !== waiter);
					signal?.removeEventListener('abort', leave);
					settled.abort('settled');
					resolve(outcome);
				},
			};

			const expire = async (): Promise<void> => {
				await this.#clock.sleep(timeoutMs, settled.signal);
				if (!settled.signal.aborted) {
					waiter.settle(this.#refuse(`no free connection within ${Math.round(timeoutMs)} ms`));
				}
			};

			this.#waiters.push(waiter);
			signal?.addEventListener('abort', leave);
			this.#fill();
			if (!settled.signal.aborted) {
				void expire();
			}
		});
	}

	/** Serves those who wait: from idle connections, then by checking or opening others as far as the limit allows. */
	#fill(): void {
		for (let idle = this.#nextIdle(); idle; idle = this.#nextIdle()) {
			this.#use(idle);
		}

		while (this.#needsConnection(this.#expected)) {
			void this.#supply(async () => this.#connect(), 'first');
		}
	}

	/**
	The connection that the first waiter prefers, else the one that was idle for the shortest time, if somebody waits whom
	no attempt under way will serve.
	*/
	#nextIdle(): Idle<C> | undefined {
		const [waiter] = this.#waiters;
		const latest = this.#idle.at(-1);
		if (!waiter || !latest || this.#isClosed) {
			return undefined;
		}

		const {prefers} = waiter;
		const preferred = prefers && this.#idle.findLast(idle => this.#isTrusted(idle) && prefers(idle.connection));
		const idle = preferred ?? latest;
		if (!this.#isTrusted(idle) && this.#waiters.length <= this.#expected) {
			return undefined;
		}

		this.#idle.splice(this.#idle.indexOf(idle), 1);
		return idle;
	}

	#isTrusted({since}: Idle<C>): boolean {
		return this.#clock.now() - since <= this.#limits.trustMs;
	}

	/** Hands an idle connection over, checks it first, or closes it, by the time that it was idle. */
	#use(idle: Idle<C>): void {
		const {connection, since} = idle;
		const isOld = this.#clock.now() - since > this.#limits.idleLimitMs;
		if (!connection.isOpen || isOld || this.open >= this.#connections) {
			connection.close();
		} else if (this.#isTrusted(idle)) {
			this.#hand(connection);
		} else {
			void this.#supply(async () => this.#check(connection), 'first');
		}
	}

	#needsConnection(expected: number): boolean {
		return !this.#isClosed && this.#waiters.length > expected && this.open < this.#connections && this.#clock.now() >= this.#limitedUntil;
	}

	/** Obtains one connection for those who wait, and a second one when the first is slow. */
	async #supply(obtain: () => Promise<errors.Outcome<C>>, order: 'first' | 'hedge'): Promise<void> {
		const startedAt = this.#clock.now();
		const ended = new AbortController();
		this.#pending++;
		this.#hedges += order === 'hedge' ? 1 : 0;
		if (order === 'first') {
			void this.#hedge(ended.signal);
		}

		const outcome = await obtain();
		ended.abort('ended');
		this.#pending--;
		this.#hedges -= order === 'hedge' ? 1 : 0;
		if (Either.isLeft(outcome)) {
			this.#fail(outcome, startedAt);
		} else if (outcome.right.isOpen) {
			this.#offer(outcome.right);
		} else {
			this.#fail(this.#refuse('the connection was closed while it was opened'), startedAt);
		}
	}

	async #hedge(ended: AbortSignal): Promise<void> {
		await this.#clock.sleep(this.#limits.hedgeAfterMs, ended);
		if (!ended.aborted && this.#needsConnection(0)) {
			void this.#supply(async () => this.#connect(), 'hedge');
		}
	}

	/**
	Tells those who wait that an attempt failed, so that they can try another server: the one who waits longest, and
	when no connection is in use that could come back, everybody who waited throughout the attempt and whom no other
	attempt will serve.
	*/
	#fail(outcome: errors.Outcome<never>, startedAt: number): void {
		if (Either.isLeft(outcome) && outcome.left.step === 'admit' && this.#held.size > 0) {
			// The server is at its limit, and a connection in use will come back.
			this.#limitedUntil = this.#clock.now() + limitPauseMs;
			return;
		}

		const served = this.#held.size === 0 ? this.#pending : Number.POSITIVE_INFINITY;
		const told = this.#waiters.filter((waiter, index) => index === 0 || (index > served && waiter.since <= startedAt));
		for (const waiter of told) {
			waiter.settle(outcome);
		}

		this.#fill();
	}

	async #connect(): Promise<errors.Outcome<C>> {
		return this.server.connect(this.#limits.connectTimeoutMs);
	}

	/** Resets a connection that was idle for long; a new one replaces it if it does not answer. */
	async #check(connection: C): Promise<errors.Outcome<C>> {
		const outcome = await connection.reset(this.#limits.connectTimeoutMs);
		if (Either.isRight(outcome) && connection.isOpen) {
			return Either.right(connection);
		}

		connection.close();
		return this.#connect();
	}

	#offer(connection: C): void {
		if (!connection.isOpen || this.#isClosed || this.open >= this.#connections) {
			connection.close();
		} else if (this.#waiters.length > 0) {
			this.#hand(connection);
		} else {
			this.#idle.push({connection, since: this.#clock.now()});
		}

		this.#fill();
	}

	#hand(connection: C): void {
		this.#held.add(connection);
		this.#waiters[0]?.settle(Either.right(connection));
	}

	#refuse(reason: string): errors.Outcome<never> {
		return errors.fail('not-run', 'connect', this.server.name, reason);
	}
}
