/**
A pool of connections to one backend server, limited to the owner's quota. A connection has one holder at a time, and
serves only requests of the customer that it was opened for.
*/
import * as Either from 'fp-ts/lib/Either.js';
import type * as admission from './admission.js';
import type * as clock from './clock.js';
import type * as connections from './connection.js';
import * as errors from './errors.js';
import * as priorities from './priority.js';

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
	/** Priority among waiting requests, 0 first and by default. */
	readonly priority?: number;
	/** Whether a customer's request holds the connection for a transaction, also while its caller is idle. */
	readonly isTransaction?: boolean;
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

/** Connections of one customer: open now, and opened, and closed for another customer since the pool was created; and requests that wait. */
export type Usage = {readonly open: number; readonly opened: number; readonly evicted: number; readonly waiting: number};

type Idle<C> = {readonly connection: C; readonly since: number};
/** The customer that a connection was opened for, and the clock times of its opening and of its last use for a caller. */
type Origin = {readonly customer: string | undefined; readonly openedAt: number; usedAt: number};
/** An attempt to open or validate a connection of a customer. A hedge was started in parallel with a slow attempt. */
type Attempt = {readonly customer: string | undefined; readonly order: 'first' | 'hedge'; readonly startedAt: number};
/** A waiting request. Its class is its priority, its tenant the customer; requests of a group need the same connections. */
type Waiter<C> = admission.Key & {
	readonly group: string;
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
/**
Largest parts of a pool's connections that the transactions of one customer, and those of all customers, may hold, since
their callers may be idle for seconds. The rest serves statements and the transactions of others.
*/
const maxTransactionsOfOne = 0.5;
const maxTransactions = 0.75;
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
	/** The connections in use, with the requests that hold them since the times of the clock. */
	readonly #held = new Map<C, {readonly waiter: Waiter<C>; readonly since: number}>();
	#idle: Array<Idle<C>> = [];
	/** In the order of arrival, those for probes and orders first. The others are in `#queue` as well. */
	#waiters: Array<Waiter<C>> = [];
	readonly #queue = new priorities.Priorities<Waiter<C>>();
	readonly #origins = new WeakMap<C, Origin>();
	/** Numbers of connections that were opened, and closed for another customer, by customer. */
	readonly #counts = new Map<string | undefined, {opened: number; evicted: number}>();
	/** Attempts to open or validate a connection. They count towards the limit until they end. */
	readonly #attempts = new Set<Attempt>();
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
		return this.#held.size + this.#idle.length + this.#attempts.size;
	}

	/** The use of this pool by customer. */
	get usage(): ReadonlyMap<string | undefined, Usage> {
		const usage = new Map([...this.#counts].map(([customer, counts]) => [customer, {...counts, open: 0, waiting: 0}]));
		for (const connection of this.#connections) {
			const own = usage.get(this.#origin(connection).customer);
			if (own) {
				own.open++;
			}
		}

		for (const {request} of this.#waiters) {
			const own = usage.get(request.customer) ?? {
				opened: 0, evicted: 0, open: 0, waiting: 0,
			};
			own.waiting++;
			usage.set(request.customer, own);
		}

		return usage;
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

	/** The connections in use and the idle ones. */
	get #connections(): C[] {
		return [...this.#held.keys(), ...this.#idle.map(({connection}) => connection)];
	}

	/** The limit, with one more connection while a probe or an order waits. */
	get #effectiveLimit(): number {
		return this.#connectionLimit + (this.#waiters[0]?.request.isControl ? 1 : 0);
	}

	get #isBackingOff(): boolean {
		return this.#clock.now() - this.#refusedAt < this.#backoffMs;
	}

	/** Whether an attempt to connect may start. After a refusal, one at a time finds out whether the limit has freed up. */
	get #mayConnect(): boolean {
		return !this.#isBackingOff && (this.#refusals === 0 || this.#attempts.size === 0);
	}

	get #backoffMs(): number {
		return this.#held.size + this.#idle.length === 0 ? limitBackoffMs : Math.min(maxLimitBackoffMs, limitBackoffMs * this.#refusals);
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
		const hold = this.#held.get(connection);
		if (!hold) {
			return;
		}

		if (residue === 'dirty' && connection.isOpen) {
			const outcome = await connection.reset(this.#limits.resetTimeoutMs);
			if (Either.isLeft(outcome)) {
				connection.close();
			}
		}

		// A second release during the reset has no effect.
		if (this.#held.delete(connection)) {
			this.#queue.charge(hold.waiter, this.#clock.now() - hold.since);
			this.#makeAvailable(connection, 'released');
		}
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

		for (const connection of this.#connections) {
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
				class: String(request.priority ?? 0),
				tenant: request.customer ?? '',
				group: request.isInternal ? 'internal' : `customer ${request.customer ?? ''}`,
				since: this.#clock.now(),
				request,
				settle: outcome => {
					this.#waiters = this.#waiters.filter(other => other !== waiter);
					this.#queue.remove(waiter);
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
		if (!waiter.request.isControl) {
			this.#queue.add(waiter);
		}

		const index = waiter.request.isControl ? this.#waiters.findIndex(({request}) => !request.isControl) : -1;
		this.#waiters.splice(index === -1 ? this.#waiters.length : index, 0, waiter);
	}

	/** Serves waiters from idle connections, then by opening connections up to the limit. */
	#serveWaiters(): void {
		for (let next = this.#nextIdle(); next; next = this.#nextIdle()) {
			this.#useIdle(next.idle, next.waiter);
		}

		this.#openConnections();
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

	/** The first waiter of each group that may hold a connection now, in the order of arrival. */
	#firstWaiters(): Array<Waiter<C>> {
		const first = new Map<string, Waiter<C>>();
		for (const waiter of this.#waiters) {
			if (!first.has(waiter.group) && this.#mayHold(waiter.request)) {
				first.set(waiter.group, waiter);
			}
		}

		return [...first.values()];
	}

	/** Whether pending attempts will serve all waiters of a request's customer. A hedge and the attempt that it hedges count once. */
	#isCovered({customer, isInternal}: Request<C>): boolean {
		const attempts = [...this.#attempts].filter(({order}) => order === 'first');
		if (isInternal) {
			return this.#waiters.length <= attempts.length;
		}

		// One of the customer's requests waits, so it isn't covered without an attempt.
		if (!attempts.some(attempt => attempt.customer === customer)) {
			return false;
		}

		const waiting = this.#waiters.filter(({request}) => !request.isInternal && request.customer === customer);
		const transactions = waiting.filter(({request}) => request.isTransaction);
		const needed = waiting.length - Math.max(0, transactions.length - this.#transactionRoom(customer));
		return needed <= attempts.filter(attempt => attempt.customer === customer).length;
	}

	/** Opens connections for waiters that no pending attempt will serve, up to the limit. */
	#openConnections(): void {
		for (let waiter = this.#nextUncovered(); waiter; waiter = this.#nextUncovered()) {
			this.#open(waiter.request);
		}
	}

	#open({customer}: Request<C>): void {
		void this.#obtain(async () => this.#connect(customer), customer, 'first');
	}

	/**
	The waiter to open a connection for, of a customer with less than its share if there is one. At the limit, or while the
	server refuses connections at its own limit, the least recently used idle connection of another customer is closed first.
	*/
	#nextUncovered(): Waiter<C> | undefined {
		if (this.#isClosed) {
			return undefined;
		}

		const hasRoom = this.open < this.#effectiveLimit && this.#mayConnect;
		const mayEvict = this.#idle.length > 0 && this.open <= this.#effectiveLimit;
		if (!hasRoom && !mayEvict) {
			return undefined;
		}

		const candidates = this.#firstWaiters().filter(({request}) => (hasRoom || (mayEvict && this.#findEvictable(request) !== undefined)) && !this.#isCovered(request));
		const share = candidates.length > 1 ? this.#share : 0;
		const poor = candidates.length > 1 ? candidates.filter(({request}) => this.#isBelow(share, request)) : candidates;
		const waiter = this.#choose(poor.length > 0 ? poor : candidates);
		const evicted = waiter && !hasRoom ? this.#findEvictable(waiter.request) : undefined;
		if (evicted) {
			this.#idle.splice(this.#idle.indexOf(evicted), 1);
			this.#evict(evicted.connection);
		}

		return waiter;
	}

	/** Closes a connection for another customer. */
	#evict(connection: C): void {
		this.#count(this.#origin(connection).customer).evicted++;
		connection.close();
	}

	#count(customer: string | undefined): {opened: number; evicted: number} {
		const counts = this.#counts.get(customer) ?? {opened: 0, evicted: 0};
		this.#counts.set(customer, counts);
		return counts;
	}

	/** The waiter to serve next of the groups of `candidates`: one for a probe or an order, or the next in the queue. */
	#choose(candidates: ReadonlyArray<Waiter<C>>): Waiter<C> | undefined {
		const groups = new Set(candidates.map(({group}) => group));
		return candidates.find(({request}) => request.isControl) ?? this.#queue.choose(({group, request}) => groups.has(group) && this.#mayHold(request));
	}

	/** Whether a request may hold a connection now. Transactions may hold only a part of them. */
	#mayHold({customer, isTransaction}: Request<C>): boolean {
		return !isTransaction || this.#transactionRoom(customer) > 0;
	}

	/** Number of further connections that transactions of a customer may hold. */
	#transactionRoom(customer: string | undefined): number {
		const held = [...this.#held.values()].filter(({waiter}) => waiter.request.isTransaction);
		const ofCustomer = held.filter(({waiter}) => waiter.request.customer === customer).length;
		const bound = (part: number): number => Math.max(1, Math.floor(this.#connectionLimit * part));
		return Math.max(0, Math.min(bound(maxTransactionsOfOne) - ofCustomer, bound(maxTransactions) - held.length));
	}

	#isBelow(share: number, {customer, isInternal}: Request<C>): boolean {
		return isInternal === true || this.#size(customer) < share;
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
		return this.#isBackingOff && !this.#connections.some(connection => this.#accepts(request, this.#origin(connection).customer)) && !this.#findEvictable(request);
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
			this.#refusals = 0;
			this.#makeAvailable(outcome.right, 'obtained');
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
		if (!ended.aborted && isNeeded && this.open < this.#effectiveLimit && this.#mayConnect) {
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

		this.#refusals = 0;
		const isInUse = [...this.#held.keys()].some(connection => this.#origin(connection).customer === customer);
		const servedWaiters = isInUse ? Number.POSITIVE_INFINITY : [...this.#attempts].filter(attempt => attempt.customer === customer).length;
		// A poll that waits as well must not keep the failure from the customer whose attempt it was.
		const ofCustomer = customer === undefined ? [] : this.#waiters.filter(({request}) => !request.isInternal && request.customer === customer);
		const failed = (ofCustomer.length > 0 ? ofCustomer : this.#waiters.filter(({request}) => this.#accepts(request, customer)))
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
		this.#refusals++;
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
		await this.#clock.sleep(this.#backoffMs);
		this.#serveWaiters();
	}

	async #connect(customer: string | undefined): Promise<errors.Outcome<C>> {
		const outcome = await this.server.connect(this.#limits.connectTimeoutMs, customer);
		if (Either.isRight(outcome)) {
			const openedAt = this.#clock.now();
			this.#origins.set(outcome.right, {customer, openedAt, usedAt: openedAt});
			this.#count(customer).opened++;
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

	#makeAvailable(connection: C, event: 'obtained' | 'released'): void {
		if (!connection.isOpen || this.#isClosed || this.open >= this.#effectiveLimit) {
			connection.close();
		} else {
			this.#serveFrom(connection, event);
		}

		this.#serveWaiters();
	}

	/** Assigns a connection, closes it to open one for another customer, or lists it as idle. */
	#serveFrom(connection: C, event: 'obtained' | 'released'): void {
		const waiter = this.#nextFor(connection, event);
		if (!waiter) {
			this.#idle.push({connection, since: this.#clock.now()});
		} else if (this.#accepts(waiter.request, this.#origin(connection).customer)) {
			this.#assign(connection, waiter);
		} else {
			this.#evict(connection);
			this.#open(waiter.request);
		}
	}

	/**
	The waiter to serve next when a connection becomes available. After a release it may be of another customer that has less
	than its share and can't get a connection otherwise: if the connection's customer has more than its share, or if the
	other's turn comes first and has a higher priority or the connection has been open for some time.
	*/
	#nextFor(connection: C, event: 'obtained' | 'released'): Waiter<C> | undefined {
		const {customer, openedAt} = this.#origin(connection);
		const waiters = this.#firstWaiters();
		const own = waiters.filter(({request}) => this.#accepts(request, customer));
		const canOpen = this.open + 1 < this.#effectiveLimit && !this.#isBackingOff;
		if (event === 'obtained' || own.length === 0 || canOpen || own.some(({request}) => request.isControl)) {
			return this.#choose(own);
		}

		const share = this.#share;
		const others = waiters.filter(({request}) => !this.#accepts(request, customer) && this.#isBelow(share, request) && !this.#isCovered(request) && !this.#findEvictable(request));
		if (others.length === 0) {
			return this.#choose(own);
		}

		if (this.#size(customer) + 1 > Math.ceil(share)) {
			return this.#choose(others);
		}

		const isDue = this.#clock.now() - openedAt >= minTenureMs;
		const classes = this.#bestClasses();
		const classOf = ({group}: Waiter<C>): number => classes.get(group) ?? Number.POSITIVE_INFINITY;
		const ownClass = Math.min(...own.map(waiter => classOf(waiter)));
		return this.#choose([...own, ...others.filter(other => isDue || classOf(other) < ownClass)]);
	}

	/** The highest priority, which is the lowest number, of each group's waiters. Found in one pass, as hundreds may wait. */
	#bestClasses(): Map<string, number> {
		const classes = new Map<string, number>();
		for (const {group, class: name, request} of this.#waiters) {
			if (Number(name) < (classes.get(group) ?? Number.POSITIVE_INFINITY) && this.#mayHold(request)) {
				classes.set(group, Number(name));
			}
		}

		return classes;
	}

	/** Number of connections of a customer that are in use, idle or being opened. */
	#size(customer: string | undefined): number {
		return this.#connections.filter(connection => this.#origin(connection).customer === customer).length + [...this.#attempts].filter(attempt => attempt.customer === customer).length;
	}

	/** Connections for each customer, as a fraction, if the limit is shared equally between those that use one or wait for one. */
	get #share(): number {
		const active = new Set([
			...[...this.#held.keys()].map(connection => this.#origin(connection).customer),
			...[...this.#attempts].map(attempt => attempt.customer),
			...this.#waiters.filter(({request}) => !request.isInternal).map(({request}) => request.customer),
		]);
		return this.#connectionLimit / active.size;
	}

	#assign(connection: C, waiter: Waiter<C>): void {
		this.#held.set(connection, {waiter, since: this.#clock.now()});
		if (!waiter.request.isInternal) {
			this.#origin(connection).usedAt = this.#clock.now();
		}

		waiter.settle(Either.right(connection));
	}

	#refuse(reason: string): errors.Outcome<never> {
		return errors.fail('not-run', 'connect', this.server.name, reason);
	}
}
