/**
A pool of connections to one backend server, limited to the owner's quota. A connection has one holder at a time, and
serves only requests of the customer that it was opened for.
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
	/** Customer whose statement needs the connection; `undefined` without customers and for work in the proxy's own name. */
	readonly customer?: string;
	/** Whether the request runs no caller's statement, as polls and orders, so that it may use a connection of any customer. */
	readonly isInternal?: boolean;
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
/** The customer that a connection was opened for, and the clock times of its opening and of its last use for a caller. */
type Origin = {readonly customer: string | undefined; readonly openedAt: number; usedAt: number};
/** An attempt to open or validate a connection of a customer. A hedge was started in parallel with a slow attempt. */
type Attempt = {readonly customer: string | undefined; readonly order: 'first' | 'hedge'; readonly startedAt: number};
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
Time for which a connection stays with a customer that has further requests while another one waits. Opening one takes
12 ms of an execution slot, so that alternating customers cost at most an eighth of a connection's time.
*/
const minTenureMs = 100;
/** Time for which a refusal at the connection limit counts as recent: several attempts. */
const limitMemoryMs = 400;

export class Pool<C extends connections.Connection> {
	readonly server: connections.Server<C>;
	readonly #clock: clock.Clock;
	readonly #limits: Limits;
	readonly #held = new Set<C>();
	#idle: Array<Idle<C>> = [];
	#waiters: Array<Waiter<C>> = [];
	readonly #origins = new WeakMap<C, Origin>();
	/** Attempts to open or validate a connection. They count towards the limit until they end. */
	readonly #attempts = new Set<Attempt>();
	#connectionLimit: number;
	#isClosed = false;
	/** Time of the clock at which the server last refused a connection at its limit. */
	#refusedAt = Number.NEGATIVE_INFINITY;

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
		return this.#held.size + this.#idle.length + this.#attempts.size;
	}

	/** Whether a request of the customer would get an idle connection, after its validation if it was idle for long. */
	hasIdle(customer: string | undefined): boolean {
		const since = this.#clock.now() - this.#limits.idleLimitMs;
		return this.#idle.some(idle => idle.since >= since && idle.connection.isOpen && this.#origin(idle.connection).customer === customer);
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
		return this.#clock.now() - this.#refusedAt < limitBackoffMs;
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

		if (this.#isRefusing(request) && request.atLimit !== 'wait') {
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
		for (let next = this.#nextIdle(); next; next = this.#nextIdle()) {
			this.#useIdle(next.idle, next.waiter);
		}

		for (let waiter = this.#nextUncovered(); waiter && this.#makeRoom(waiter.request); waiter = this.#nextUncovered()) {
			const {customer} = waiter.request;
			void this.#obtain(async () => this.#connect(customer), customer, 'first');
		}
	}

	/**
	Removes and returns the idle connection to use next, with its waiter: for the first waiter that can use one, the
	connection that it prefers, else the most recently used one. `undefined` if no waiter can use one, or if it needs validation and pending
	attempts will serve all waiters of its customer.
	*/
	#nextIdle(): {readonly idle: Idle<C>; readonly waiter: Waiter<C>} | undefined {
		if (this.#isClosed || this.#idle.length === 0) {
			return undefined;
		}

		for (const waiter of this.#firstWaiters()) {
			const idle = this.#findIdle(waiter.request);
			if (idle && (this.#isRecentlyUsed(idle) || !this.#isCovered(waiter.request))) {
				this.#idle.splice(this.#idle.indexOf(idle), 1);
				return {idle, waiter};
			}
		}

		return undefined;
	}

	#findIdle({customer, isInternal, isPreferred}: Request<C>): Idle<C> | undefined {
		const usable = this.#idle.filter(({connection}) => isInternal === true || this.#origin(connection).customer === customer);
		const preferred = isPreferred && usable.findLast(idle => this.#isRecentlyUsed(idle) && isPreferred(idle.connection));
		return preferred ?? usable.at(-1);
	}

	/** The first waiter of each customer and the first internal one, in the order of service. */
	#firstWaiters(): Array<Waiter<C>> {
		const first = new Map<string | undefined, Waiter<C>>();
		let internal: Waiter<C> | undefined;
		for (const waiter of this.#waiters) {
			const {customer, isInternal} = waiter.request;
			if (isInternal) {
				internal ??= waiter;
			} else if (!first.has(customer)) {
				first.set(customer, waiter);
			}
		}

		const kept = new Set([...first.values(), internal]);
		return this.#waiters.filter(waiter => kept.has(waiter));
	}

	/** The first waiter that no pending attempt will serve, those of customers with less than their share before the others. */
	#nextUncovered(): Waiter<C> | undefined {
		if (this.#isClosed) {
			return undefined;
		}

		const uncovered = this.#firstWaiters().filter(({request}) => !this.#isCovered(request));
		return uncovered.length > 1
			? uncovered.find(({request: {isInternal, customer}}) => isInternal === true || this.#count(customer) < this.#share(customer)) ?? uncovered[0]
			: uncovered[0];
	}

	/** Whether pending attempts will serve all waiters of a request's customer. A hedge and the attempt that it hedges count once. */
	#isCovered({customer, isInternal}: Request<C>): boolean {
		const attempts = [...this.#attempts].filter(({order}) => order === 'first');
		return isInternal
			? this.#waiters.length <= attempts.length
			: this.#waiters.filter(({request}) => !request.isInternal && request.customer === customer).length <= attempts.filter(attempt => attempt.customer === customer).length;
	}

	/**
	Whether a connection may be opened for a request. At the limit, or while the server refuses connections at its own limit,
	the least recently used idle connection of another customer is closed for it.
	*/
	#makeRoom(request: Request<C>): boolean {
		if (this.open < this.#effectiveLimit && !this.#isBackingOff) {
			return true;
		}

		const evicted = this.open <= this.#effectiveLimit ? this.#findEvictable(request) : undefined;
		if (!evicted) {
			return false;
		}

		this.#idle.splice(this.#idle.indexOf(evicted), 1);
		evicted.connection.close();
		return true;
	}

	/** The idle connection of another customer that was not used for a caller for the longest time. */
	#findEvictable({customer, isInternal}: Request<C>): Idle<C> | undefined {
		return isInternal
			? undefined
			: this.#idle
				.filter(({connection}) => this.#origin(connection).customer !== customer)
				.toSorted((one, other) => this.#origin(one.connection).usedAt - this.#origin(other.connection).usedAt)
				.at(0);
	}

	/** Whether the server recently refused a connection at its limit, and this pool has none that the request could use. */
	#isRefusing(request: Request<C>): boolean {
		const connections = [...this.#held, ...this.#idle.map(({connection}) => connection)];
		return this.#isBackingOff && !connections.some(connection => this.#accepts(request, this.#origin(connection).customer)) && !this.#findEvictable(request);
	}

	#accepts(request: Request<C>, customer: string | undefined): boolean {
		return request.isInternal === true || request.customer === customer;
	}

	#origin(connection: C): Origin {
		const origin = this.#origins.get(connection);
		if (!origin) {
			throw new TypeError('the connection was not opened by this pool');
		}

		return origin;
	}

	#isRecentlyUsed({since}: Idle<C>): boolean {
		return this.#clock.now() - since <= this.#limits.validateAfterMs;
	}

	/** Assigns an idle connection, validates it first, or closes it, depending on how long it was idle. */
	#useIdle(idle: Idle<C>, waiter: Waiter<C>): void {
		const {connection, since} = idle;
		const isOld = this.#clock.now() - since > this.#limits.idleLimitMs;
		if (!connection.isOpen || isOld || this.open >= this.#effectiveLimit) {
			connection.close();
		} else if (this.#isRecentlyUsed(idle)) {
			this.#assign(connection, waiter);
		} else {
			const {customer} = this.#origin(connection);
			void this.#obtain(async () => this.#validate(connection, customer), customer, 'first');
		}
	}

	/** Obtains a connection for a customer's waiters, and opens a second one in parallel if a `first` attempt is slow. */
	async #obtain(obtain: () => Promise<errors.Outcome<C>>, customer: string | undefined, order: 'first' | 'hedge'): Promise<void> {
		const attempt = {customer, order, startedAt: this.#clock.now()};
		const ended = new AbortController();
		this.#attempts.add(attempt);
		if (order === 'first') {
			void this.#hedge(customer, ended.signal);
		}

		const outcome = await this.#catchError(obtain);
		ended.abort('ended');
		this.#attempts.delete(attempt);
		if (Either.isLeft(outcome)) {
			this.#failWaiters(outcome, attempt);
		} else if (outcome.right.isOpen) {
			this.#makeAvailable(outcome.right);
		} else {
			this.#failWaiters(this.#refuse('the connection was closed while it was being opened or validated'), attempt);
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

	async #hedge(customer: string | undefined, ended: AbortSignal): Promise<void> {
		await this.#clock.sleep(this.#limits.hedgeAfterMs, ended);
		const isNeeded = !this.#isClosed && this.#waiters.some(({request}) => this.#accepts(request, customer));
		if (!ended.aborted && isNeeded && this.open < this.#effectiveLimit && !this.#isBackingOff) {
			void this.#obtain(async () => this.#connect(customer), customer, 'hedge');
		}
	}

	/**
	Fails waiters that could have used the connection after a failed attempt, so that their requests can try another server:
	the one that waits longest and, when no connection is in use that could be released, also those that waited throughout
	the attempt and that no pending attempt will serve.
	*/
	#failWaiters(outcome: errors.Outcome<never>, {customer, startedAt}: Attempt): void {
		if (Either.isLeft(outcome) && outcome.left.step === 'admit') {
			this.#backOff(outcome);
			return;
		}

		const isInUse = [...this.#held].some(connection => this.#origin(connection).customer === customer);
		const servedWaiters = isInUse ? Number.POSITIVE_INFINITY : [...this.#attempts].filter(attempt => attempt.customer === customer).length;
		const failed = this.#waiters
			.filter(({request}) => this.#accepts(request, customer))
			.filter((waiter, index) => index === 0 || (index > servedWaiters && waiter.since <= startedAt));
		for (const waiter of failed) {
			waiter.settle(outcome);
		}

		this.#serveWaiters();
	}

	/**
	Delays the next attempt after the server refused a connection at its limit. Waiters get a connection once one in use is
	released, or for an idle one of another customer; if there is none, those that don't wait for the limit fail.
	*/
	#backOff(outcome: errors.Outcome<never>): void {
		this.#refusedAt = this.#clock.now();
		if (this.#waiters.some(({request}) => this.#findEvictable(request))) {
			this.#serveWaiters();
		}

		const attempts = [...this.#attempts];
		for (const waiter of this.#waiters) {
			const {request} = waiter;
			const isPending = attempts.some(({customer}) => this.#accepts(request, customer));
			if (request.atLimit !== 'wait' && !isPending && this.#isRefusing(request)) {
				waiter.settle(outcome);
			}
		}

		void this.#retryLater();
	}

	async #retryLater(): Promise<void> {
		await this.#clock.sleep(limitBackoffMs);
		this.#serveWaiters();
	}

	async #connect(customer: string | undefined): Promise<errors.Outcome<C>> {
		const outcome = await this.server.connect(this.#limits.connectTimeoutMs, customer);
		if (Either.isRight(outcome)) {
			const openedAt = this.#clock.now();
			this.#origins.set(outcome.right, {customer, openedAt, usedAt: openedAt});
		}

		return outcome;
	}

	/** Validates an idle connection by resetting it, and opens a new one if the server does not respond on it. */
	async #validate(connection: C, customer: string | undefined): Promise<errors.Outcome<C>> {
		const outcome = await connection.reset(this.#limits.connectTimeoutMs);
		if (Either.isRight(outcome) && connection.isOpen) {
			return Either.right(connection);
		}

		connection.close();
		return this.#connect(customer);
	}

	#makeAvailable(connection: C): void {
		const waiter = this.#waiters.find(({request}) => this.#accepts(request, this.#origin(connection).customer));
		if (!connection.isOpen || this.#isClosed || this.open >= this.#effectiveLimit || (waiter && this.#mustYield(connection, waiter))) {
			connection.close();
		} else if (waiter) {
			this.#assign(connection, waiter);
		} else {
			this.#idle.push({connection, since: this.#clock.now()});
		}

		this.#serveWaiters();
	}

	/**
	Whether a connection is to be closed so that one can be opened for another customer's request, which can't get one
	otherwise: if the connection's customer has more than its share, or if its next request came after the other one and the
	connection has served it for some time.
	*/
	#mustYield(connection: C, next: Waiter<C>): boolean {
		const {customer, openedAt} = this.#origin(connection);
		const other = this.#firstWaiters().find(({request}) => !this.#accepts(request, customer) && !this.#isCovered(request));
		const canOpen = this.open + 1 < this.#effectiveLimit && !this.#isBackingOff;
		if (!other || canOpen || next.request.isInternal === true || this.#findEvictable(other.request)) {
			return false;
		}

		const isFirst = this.#waiters.indexOf(next) < this.#waiters.indexOf(other);
		const isOverShare = this.#count(customer) + 1 > this.#share(customer);
		const isDue = !isFirst && this.#clock.now() - openedAt >= minTenureMs;
		return isOverShare || isDue;
	}

	/** Number of connections of a customer that are in use, idle or being opened. */
	#count(customer: string | undefined): number {
		const connections = [...this.#held, ...this.#idle.map(idle => idle.connection)];
		return connections.filter(connection => this.#origin(connection).customer === customer).length + [...this.#attempts].filter(attempt => attempt.customer === customer).length;
	}

	/** Number of connections for each customer if the limit is shared equally between those that use connections or wait for one. */
	#share(customer: string | undefined): number {
		const active = new Set([
			customer,
			...[...this.#held].map(connection => this.#origin(connection).customer),
			...[...this.#attempts].map(attempt => attempt.customer),
			...this.#waiters.filter(({request}) => !request.isInternal).map(({request}) => request.customer),
		]);
		return Math.max(1, Math.floor(this.#connectionLimit / active.size));
	}

	#assign(connection: C, waiter: Waiter<C>): void {
		this.#held.add(connection);
		if (!waiter.request.isInternal) {
			this.#origin(connection).usedAt = this.#clock.now();
		}

		waiter.settle(Either.right(connection));
	}

	#refuse(reason: string): errors.Outcome<never> {
		return errors.fail('not-run', 'connect', this.server.name, reason);
	}
}
