/**
A pool of connections to one backend server, limited to the owner's quota. A connection has one holder at a time.
*/
import * as Either from 'fp-ts/lib/Either.js';
import type * as clock from './clock.js';
import type * as connections from './connection.js';
import * as errors from './errors.js';

/** Limits of a pool. */
export type Limits = {
	/** Maximum number of connections, open or being opened. */
	readonly connections: number;
	readonly connectTimeoutMs: number;
	/** When opening or validating a connection takes longer, another one is opened in parallel. */
	readonly hedgeAfterMs: number;
	/** A connection that was idle for longer is validated before its next use, since it may no longer respond. */
	readonly validateAfterMs: number;
	/** A connection that was idle for longer is closed instead of being validated. */
	readonly idleLimitMs: number;
	readonly resetTimeoutMs: number;
};

/** Whether a connection that is released has session state or an open transaction that must be reset (`dirty`). */
export type Residue = 'clean' | 'dirty';

/** Whether a request waits or fails while the server refuses connections at its limit and this pool has none. */
export type LimitPolicy = 'wait' | 'fail';

/** Options of a request for a connection. */
export type Request<C> = {
	/** Ends the wait when it aborts. */
	readonly signal?: AbortSignal;
	/** Accepts the idle connections to use first. */
	readonly isPreferred?: (connection: C) => boolean;
	/** `fail` by default, so that the request can try another server. */
	readonly atLimit?: LimitPolicy;
	/**
	Whether the request is for a probe or an order. It is served first, and may open one connection above the pool's limit,
	since the others may all be held by statements that wait.
	*/
	readonly isControl?: boolean;
};

type Idle<C> = {readonly connection: C; readonly since: number};
type Waiter<C> = {
	readonly since: number;
	readonly request: Request<C>;
	readonly settle: (outcome: errors.Outcome<C>) => void;
};

/**
Delay before the next attempt to connect after the server refused a connection at its connection limit. One attempt
stands for all waiting requests: after a power loss every host finds the limit reached by lost connections.
*/
const limitBackoffMs = 100;
/**
Longest delay, reached by further refusals while this pool has connections that serve its requests. It is shorter than
`limitMemoryMs`, so that a shortage of connections is not taken for a failure between two attempts.
*/
const maxLimitBackoffMs = 300;
/** Time for which a refusal at the connection limit counts as recent: several attempts. */
const limitMemoryMs = 400;

export class Pool<C extends connections.Connection> {
	readonly server: connections.Server<C>;
	readonly #clock: clock.Clock;
	readonly #limits: Limits;
	readonly #held = new Set<C>();
	#idle: Array<Idle<C>> = [];
	#waiters: Array<Waiter<C>> = [];
	/** Attempts to open or validate a connection. They count towards the limit until they end. */
	#pending = 0;
	/** Those of `#pending` that were started in parallel with a slow attempt. */
	#hedges = 0;
	#connectionLimit: number;
	#isClosed = false;
	/** Time of the clock at which the server last refused a connection at its limit. */
	#refusedAt = Number.NEGATIVE_INFINITY;
	/** Number of refusals at the server's limit since the last attempt that ended otherwise. */
	#refusals = 0;

	constructor(server: connections.Server<C>, time: clock.Clock, limits: Limits) {
		this.server = server;
		this.#clock = time;
		this.#limits = limits;
		this.#connectionLimit = limits.connections;
	}

	/** Number of connections in use. */
	get busy(): number {
		return this.#held.size;
	}

	/** Number of requests that wait for a connection. */
	get waiting(): number {
		return this.#waiters.length;
	}

	/** Number of connections that are open or being opened. */
	get open(): number {
		return this.#held.size + this.#idle.length + this.#pending;
	}

	/** Whether this pool has no connection and the server recently refused one at its limit. */
	get isBlockedByLimit(): boolean {
		return this.#held.size + this.#idle.length === 0 && this.wasRefused;
	}

	/** Whether the server recently refused a connection at its limit, so that a missing connection is no sign of a failure. */
	get wasRefused(): boolean {
		return this.#clock.now() - this.#refusedAt < limitMemoryMs;
	}

	/** The limit, with one more connection while a probe or an order waits. */
	get #effectiveLimit(): number {
		return this.#connectionLimit + (this.#waiters[0]?.request.isControl ? 1 : 0);
	}

	get #isBackingOff(): boolean {
		return this.#clock.now() - this.#refusedAt < this.#backoffMs;
	}

	get #backoffMs(): number {
		return this.#held.size + this.#idle.length === 0 ? limitBackoffMs : Math.min(maxLimitBackoffMs, limitBackoffMs * this.#refusals);
	}

	/** Number of connections that pending attempts will provide; a hedge and the attempt that it hedges count once. */
	get #expectedConnections(): number {
		return this.#pending - this.#hedges;
	}

	/**
	Acquires an idle connection, opens one if the limit allows, or waits for one. The holder must pass it to `release`.

	Errors: `not-run` if no connection could be acquired in time.

	@example
	```
	const outcome = await pool.acquire(500);
	```
	*/
	async acquire(timeoutMs: number, request: Request<C> = {}): Promise<errors.Outcome<C>> {
		if (this.#isClosed) {
			return this.#refuse('the pool is closed');
		}

		if (request.signal?.aborted) {
			return this.#refuse('the request for a connection was cancelled');
		}

		if (this.isBlockedByLimit && this.#isBackingOff && request.atLimit !== 'wait') {
			return errors.fail('not-run', 'admit', this.server.name, 'the server is at its connection limit');
		}

		return this.#wait(timeoutMs, request);
	}

	/**
	Releases a connection. A dirty one is reset before its next holder gets it. A connection that is not held is ignored,
	so that a second release doesn't list it as idle twice.
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
		this.#makeAvailable(connection);
	}

	/** Changes the maximum number of connections. Those above it are closed as they become idle. */
	resize(connectionLimit: number): void {
		this.#connectionLimit = connectionLimit;
		while (this.#idle.length > 0 && this.open > connectionLimit) {
			this.#idle.shift()?.connection.close();
		}

		this.#serveWaiters();
	}

	/**
	Closes the longest idle connection if more than `targetConnections` are open and it was idle for more than `minIdleMs`,
	so that other hosts can open one.
	*/
	trim(targetConnections: number, minIdleMs: number): void {
		const oldest = this.#idle[0];
		if (oldest && this.open > targetConnections && this.#clock.now() - oldest.since > minIdleMs) {
			this.#idle.shift();
			oldest.connection.close();
		}
	}

	/** Closes every connection and fails all waiting requests, after the server has been replaced or removed. */
	interrupt(): void {
		for (const waiter of this.#waiters) {
			waiter.settle(this.#refuse('the server has been replaced or removed'));
		}

		for (const connection of [...this.#held, ...this.#idle.map(idle => idle.connection)]) {
			connection.close();
		}
	}

	/** Closes idle connections and fails waiting and further requests. Connections in use close on release. */
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

	async #wait(timeoutMs: number, request: Request<C>): Promise<errors.Outcome<C>> {
		const {signal} = request;
		const settled = new AbortController();
		return new Promise(resolve => {
			const cancel = (): void => {
				waiter.settle(this.#refuse('the request for a connection was cancelled'));
			};

			// A settled waiter is removed from the list, so that it is not assigned a connection after its timeout.
			const waiter: Waiter<C> = {
				since: this.#clock.now(),
				request,
				settle: outcome => {
					this.#waiters = this.#waiters.filter(other => other !== waiter);
					signal?.removeEventListener('abort', cancel);
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

			this.#enqueue(waiter);
			signal?.addEventListener('abort', cancel);
			this.#serveWaiters();
			if (!settled.signal.aborted) {
				void expire();
			}
		});
	}

	/** Adds a waiter: those for probes and orders before the others. */
	#enqueue(waiter: Waiter<C>): void {
		const index = waiter.request.isControl ? this.#waiters.findIndex(({request}) => !request.isControl) : -1;
		this.#waiters.splice(index === -1 ? this.#waiters.length : index, 0, waiter);
	}

	/** Serves waiters from idle connections, then by opening connections up to the limit. */
	#serveWaiters(): void {
		for (let idle = this.#nextIdle(); idle; idle = this.#nextIdle()) {
			this.#useIdle(idle);
		}

		while (this.#needsConnection(this.#expectedConnections)) {
			void this.#obtain(async () => this.#connect(), 'first');
		}
	}

	/**
	Removes and returns the idle connection to use next: the one that the first waiter prefers, else the most recently
	used one. `undefined` if no request waits, or if that connection needs validation and pending attempts will serve all
	waiters.
	*/
	#nextIdle(): Idle<C> | undefined {
		const [waiter] = this.#waiters;
		const latest = this.#idle.at(-1);
		if (!waiter || !latest || this.#isClosed) {
			return undefined;
		}

		const {isPreferred} = waiter.request;
		const preferred = isPreferred && this.#idle.findLast(idle => this.#isRecentlyUsed(idle) && isPreferred(idle.connection));
		const idle = preferred ?? latest;
		if (!this.#isRecentlyUsed(idle) && this.#waiters.length <= this.#expectedConnections) {
			return undefined;
		}

		this.#idle.splice(this.#idle.indexOf(idle), 1);
		return idle;
	}

	#isRecentlyUsed({since}: Idle<C>): boolean {
		return this.#clock.now() - since <= this.#limits.validateAfterMs;
	}

	/** Assigns an idle connection, validates it first, or closes it, depending on how long it was idle. */
	#useIdle(idle: Idle<C>): void {
		const {connection, since} = idle;
		const isOld = this.#clock.now() - since > this.#limits.idleLimitMs;
		if (!connection.isOpen || isOld || this.open >= this.#effectiveLimit) {
			connection.close();
		} else if (this.#isRecentlyUsed(idle)) {
			this.#assign(connection);
		} else {
			void this.#obtain(async () => this.#validate(connection), 'first');
		}
	}

	#needsConnection(expectedConnections: number): boolean {
		// After a refusal, one attempt at a time finds out whether the limit has freed up.
		const mayAttempt = this.#refusals === 0 || this.#pending === 0;
		return !this.#isClosed && mayAttempt && this.#waiters.length > expectedConnections && this.open < this.#effectiveLimit && !this.#isBackingOff;
	}

	/** Obtains a connection for the waiters, and opens a second one in parallel if a `first` attempt is slow. */
	async #obtain(obtain: () => Promise<errors.Outcome<C>>, order: 'first' | 'hedge'): Promise<void> {
		const startedAt = this.#clock.now();
		const ended = new AbortController();
		this.#pending++;
		this.#hedges += order === 'hedge' ? 1 : 0;
		if (order === 'first') {
			void this.#hedge(ended.signal);
		}

		const outcome = await this.#catchError(obtain);
		ended.abort('ended');
		this.#pending--;
		this.#hedges -= order === 'hedge' ? 1 : 0;
		if (Either.isLeft(outcome)) {
			this.#failWaiters(outcome, startedAt);
		} else if (outcome.right.isOpen) {
			this.#refusals = 0;
			this.#makeAvailable(outcome.right);
		} else {
			this.#failWaiters(this.#refuse('the connection was closed while it was being opened or validated'), startedAt);
		}
	}

	/** An unexpected error fails this attempt only. As an unhandled rejection it would end the process. */
	async #catchError(obtain: () => Promise<errors.Outcome<C>>): Promise<errors.Outcome<C>> {
		try {
			return await obtain();
		} catch (error) {
			return this.#refuse(`unexpected error: ${String(error)}`);
		}
	}

	async #hedge(ended: AbortSignal): Promise<void> {
		await this.#clock.sleep(this.#limits.hedgeAfterMs, ended);
		if (!ended.aborted && this.#needsConnection(0)) {
			void this.#obtain(async () => this.#connect(), 'hedge');
		}
	}

	/**
	Fails waiters after a failed attempt, so that their requests can try another server: the one that waits longest and,
	when no connection is in use that could be released, also those that waited throughout the attempt and that no pending
	attempt will serve.
	*/
	#failWaiters(outcome: errors.Outcome<never>, startedAt: number): void {
		if (Either.isLeft(outcome) && outcome.left.step === 'admit') {
			this.#backOff(outcome);
			return;
		}

		this.#refusals = 0;

		const servedWaiters = this.#held.size === 0 ? this.#pending : Number.POSITIVE_INFINITY;
		const failed = this.#waiters.filter((waiter, index) => index === 0 || (index > servedWaiters && waiter.since <= startedAt));
		for (const waiter of failed) {
			waiter.settle(outcome);
		}

		this.#serveWaiters();
	}

	/**
	Delays the next attempt after the server refused a connection at its limit. Waiters get a connection once one in use is
	released; if there is none, those that don't wait for the limit fail.
	*/
	#backOff(outcome: errors.Outcome<never>): void {
		this.#refusedAt = this.#clock.now();
		this.#refusals++;
		if (this.open === 0) {
			for (const waiter of this.#waiters.filter(({request}) => request.atLimit !== 'wait')) {
				waiter.settle(outcome);
			}
		}

		void this.#retryLater();
	}

	async #retryLater(): Promise<void> {
		await this.#clock.sleep(this.#backoffMs);
		this.#serveWaiters();
	}

	async #connect(): Promise<errors.Outcome<C>> {
		return this.server.connect(this.#limits.connectTimeoutMs);
	}

	/** Validates an idle connection by resetting it, and opens a new one if the server does not respond on it. */
	async #validate(connection: C): Promise<errors.Outcome<C>> {
		const outcome = await connection.reset(this.#limits.connectTimeoutMs);
		if (Either.isRight(outcome) && connection.isOpen) {
			return Either.right(connection);
		}

		connection.close();
		return this.#connect();
	}

	#makeAvailable(connection: C): void {
		if (!connection.isOpen || this.#isClosed || this.open >= this.#effectiveLimit) {
			connection.close();
		} else if (this.#waiters.length > 0) {
			this.#assign(connection);
		} else {
			this.#idle.push({connection, since: this.#clock.now()});
		}

		this.#serveWaiters();
	}

	#assign(connection: C): void {
		this.#held.add(connection);
		this.#waiters[0]?.settle(Either.right(connection));
	}

	#refuse(reason: string): errors.Outcome<never> {
		return errors.fail('not-run', 'connect', this.server.name, reason);
	}
}
