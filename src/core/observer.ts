/**
Observes the status of the servers of a group. One task for each server polls its status; concurrent requests for a
status share a poll.
*/
import * as Either from 'fp-ts/lib/Either.js';
import type * as backend from './backend.js';
import type * as clock from './clock.js';
import * as errors from './errors.js';
import * as position from './position.js';

/** A status with the local times, in ms, at which it was requested and received. */
export type Observation = {readonly status: backend.Status; readonly requestedAt: number; readonly receivedAt: number};

/**
The log position of a primary that a majority confirmed, from statuses requested at or after `requestedAt`. Every write
acknowledged before `requestedAt` is at or before this position.
*/
export type ReadIndex = {readonly position: position.Position; readonly server: string; readonly requestedAt: number};

/** Times in ms. */
export type Timing = {readonly probeIntervalMs: number; readonly probeTimeoutMs: number};

/** Maximum time for which one call waits at the server, because it delays the status requests that arrive meanwhile. */
const maxServerWaitMs = 20;
const maxReadIndexes = 512;
/** Delay after a connection failed to open. Two refusals raise a suspicion, so this delay adds to the detection time. */
const reconnectDelayMs = 150;
/** Number of polls that reads with a maximum age may cause within that age, subject to the minimum interval. */
const refreshesPerAge = 4;
const minRefreshIntervalMs = 25;

type Waiter = {
	readonly minPosition: position.Position | undefined;
	/** A status of a term above this resolves the waiter even if the log is behind `minPosition`. */
	readonly maxTerm: number;
	/** Time of the clock in ms at which the wait times out. */
	readonly expiresAt: number;
	readonly resolve: (observation: Observation) => void;
};

/** Observes one server. */
export class Server {
	readonly #server: backend.Server;
	readonly #clock: clock.Clock;
	readonly #timing: Timing;
	readonly #onObservation: (observation: Observation) => void;
	#waiters: Waiter[] = [];
	#idle = new AbortController();
	#latest: Observation | undefined;
	#lastResponseAt: number;
	#refusals = 0;

	constructor(server: backend.Server, time: clock.Clock, timing: Timing, onObservation: (observation: Observation) => void) {
		this.#server = server;
		this.#clock = time;
		this.#timing = timing;
		this.#onObservation = onObservation;
		this.#lastResponseAt = time.now();
	}

	get name(): string {
		return this.#server.name;
	}

	get place(): string {
		return this.#server.place;
	}

	/** The most recently requested observation, if there is one. */
	get latest(): Observation | undefined {
		return this.#latest;
	}

	/** Time of the clock in ms of the server's last response; the time of construction if it never responded. */
	get lastResponseAt(): number {
		return this.#lastResponseAt;
	}

	/** Connections refused in a row since the last response. A connection attempt that times out is not counted. */
	get refusals(): number {
		return this.#refusals;
	}

	/** Returns a status requested after this call, or `undefined` at the timeout. */
	async observe(timeoutMs: number): Promise<Observation | undefined> {
		return this.#enqueue(undefined, Number.POSITIVE_INFINITY, timeoutMs);
	}

	/**
	Returns a status, requested after this call, whose log contains `minPosition` or has lost it, or whose term is above
	`maxTerm`; `undefined` at the timeout.
	*/
	async awaitPosition(minPosition: position.Position, timeoutMs: number, maxTerm = Number.POSITIVE_INFINITY): Promise<Observation | undefined> {
		return this.#enqueue(minPosition, maxTerm, timeoutMs);
	}

	/** Applies a status that was received in the response to another call. */
	update(observation: Observation): void {
		this.#apply(observation, []);
	}

	/** Polls the server until `signal` aborts: at each probe interval, and at once when a status is requested. */
	async run(signal: AbortSignal): Promise<void> {
		const stopped = new AbortController();
		signal.addEventListener('abort', () => {
			stopped.abort();
			this.#idle.abort('awaited');
		});
		while (!signal.aborted) {
			const connection = await this.#connect();
			if (connection) {
				connection.whenClosed(() => {
					this.#idle.abort('awaited');
				});
				const previousResponseAt = this.#lastResponseAt;
				await this.#poll(connection, signal);
				connection.close();
				if (this.#lastResponseAt !== previousResponseAt) {
					continue;
				}
			}

			await this.#clock.sleep(Math.min(reconnectDelayMs, this.#timing.probeIntervalMs), stopped.signal);
		}
	}

	async #enqueue(minPosition: position.Position | undefined, maxTerm: number, timeoutMs: number): Promise<Observation | undefined> {
		const observed = new Promise<Observation>(resolve => {
			this.#waiters.push({
				minPosition, maxTerm, expiresAt: this.#clock.now() + timeoutMs, resolve,
			});
			this.#idle.abort('awaited');
		});
		return this.#clock.limit(observed, timeoutMs);
	}

	async #connect(): Promise<backend.Connection | undefined> {
		const startedAt = this.#clock.now();
		const outcome = await this.#server.connect(this.#timing.probeTimeoutMs);
		if (Either.isLeft(outcome)) {
			if (outcome.left.code !== 0) {
				// A server that rejects a connection with a database error, as at its connection limit, is alive.
				this.#lastResponseAt = this.#clock.now();
				this.#refusals = 0;
			} else if (this.#clock.now() - startedAt < this.#timing.probeTimeoutMs) {
				this.#refusals++;
			}

			return undefined;
		}

		return outcome.right;
	}

	async #poll(connection: backend.Connection, signal: AbortSignal): Promise<void> {
		while (!signal.aborted && connection.isOpen) {
			const requestedAt = this.#clock.now();
			const served = this.#waiters.filter(({expiresAt}) => expiresAt > requestedAt);
			this.#waiters = [];
			const outcome = await this.#request(connection, served);
			if (Either.isLeft(outcome)) {
				// A connection that failed to respond is not reused; the waiters are served on a new one.
				this.#waiters = [...served, ...this.#waiters];
				return;
			}

			this.#apply({status: outcome.right, requestedAt, receivedAt: this.#clock.now()}, served);
			if (this.#waiters.length === 0) {
				this.#idle = new AbortController();
				await (signal.aborted || !connection.isOpen ? undefined : this.#clock.sleep(this.#timing.probeIntervalMs, this.#idle.signal));
			}
		}
	}

	async #request(connection: backend.Connection, waiters: readonly Waiter[]): Promise<errors.Outcome<backend.Status>> {
		const positions = waiters.map(waiter => waiter.minPosition);
		const earliest = positions.includes(undefined)
			? undefined
			: positions.toSorted((left, right) => position.compare(left!, right!))[0];
		return earliest
			? connection.wait(earliest, maxServerWaitMs, this.#timing.probeTimeoutMs + maxServerWaitMs)
			: connection.status(this.#timing.probeTimeoutMs);
	}

	#apply(observation: Observation, waiters: readonly Waiter[]): void {
		// The response to an earlier request may arrive later, on another connection.
		if (observation.requestedAt >= (this.#latest?.requestedAt ?? Number.NEGATIVE_INFINITY)) {
			this.#latest = observation;
		}

		this.#lastResponseAt = observation.receivedAt;
		this.#refusals = 0;
		this.#onObservation(observation);
		for (const waiter of waiters) {
			const isBehind = waiter.minPosition && position.relate(observation.status, waiter.minPosition) === 'behind';
			if (isBehind && observation.status.term <= waiter.maxTerm) {
				this.#waiters.push(waiter);
			} else {
				waiter.resolve(observation);
			}
		}
	}
}

/** Observes all servers of a group. */
export class Group {
	readonly servers: ReadonlyMap<string, Server>;
	readonly #clock: clock.Clock;
	readonly #timing: Timing;
	#readIndexes: ReadIndex[] = [];
	#refreshedAt = Number.NEGATIVE_INFINITY;

	/** `onObservation` is called after each observation. */
	constructor(servers: readonly backend.Server[], time: clock.Clock, timing: Timing, onObservation?: () => void) {
		this.#clock = time;
		this.#timing = timing;
		this.servers = new Map(servers.map(server => [
			server.name,
			new Server(server, time, timing, () => {
				this.#addReadIndex();
				onObservation?.();
			}),
		]));
	}

	/** Smallest number of servers that is a majority. */
	get majority(): number {
		return Math.floor(this.servers.size / 2) + 1;
	}

	/** The observation of the primary with the highest term. That primary may have been replaced since. */
	get primary(): Observation | undefined {
		return this.#latest().filter(({status}) => status.role === 'primary').toSorted((left, right) => right.status.term - left.status.term)[0];
	}

	/** Term of a server last observed as primary; `undefined` if it was last observed as a replica, or never. */
	primaryTermOf(server: string): number | undefined {
		const status = this.servers.get(server)?.latest?.status;
		return status?.role === 'primary' ? status.term : undefined;
	}

	/** The highest term that any server reported. */
	get highestTerm(): number {
		return Math.max(0, ...this.statuses.map(({term}) => term));
	}

	/** The last status of each server that has responded. */
	get statuses(): readonly backend.Status[] {
		return this.#latest().map(({status}) => status);
	}

	/** Runs one task for each server until `signal` aborts. */
	async run(signal: AbortSignal): Promise<void> {
		await Promise.all([...this.servers.values()].map(async server => server.run(signal)));
	}

	/**
	Returns a read index based only on statuses requested after this call.

	Errors: `not-run` if no primary is confirmed by a majority within `timeoutMs`.

	@example
	```
	const outcome = await group.readIndex(1000);
	```
	*/
	async readIndex(timeoutMs: number): Promise<errors.Outcome<ReadIndex>> {
		const startedAt = this.#clock.now();
		const observations: Observation[] = [];
		const found = new Promise<ReadIndex>(resolve => {
			const query = async (server: Server): Promise<void> => {
				const observation = await server.observe(timeoutMs);
				if (observation) {
					observations.push(observation);
				}

				const readIndex = computeReadIndex(observations, this.majority);
				if (readIndex) {
					resolve(readIndex);
				}
			};

			for (const server of this.servers.values()) {
				void query(server);
			}
		});
		const readIndex = await this.#clock.limit(found, timeoutMs);
		return readIndex
			? Either.right({...readIndex, requestedAt: Math.max(readIndex.requestedAt, startedAt)})
			: errors.fail('not-run', 'observe', this.primary?.status.server ?? '', `no primary confirmed by a majority within ${timeoutMs} ms`);
	}

	/**
	Polls every server in the background, so that the next reads with this maximum age find a recent enough read index.
	Only reads call it, so that an idle group causes no load beyond its probes.
	*/
	refresh(maxAgeMs: number): void {
		const now = this.#clock.now();
		if (now - this.#refreshedAt >= Math.max(minRefreshIntervalMs, maxAgeMs / refreshesPerAge)) {
			this.#refreshedAt = now;
			for (const server of this.servers.values()) {
				void server.observe(this.#timing.probeTimeoutMs);
			}
		}
	}

	/**
	Upper bound in ms on the age of the data of `server`: every write acknowledged longer ago is in its log. `Infinity` if
	its log contains no known read index.
	*/
	ageMs(server: string): number {
		const status = this.servers.get(server)?.latest?.status;
		const readIndex = status && this.#readIndexes.findLast(candidate => position.relate(status, candidate.position) === 'contains');
		return readIndex ? this.#clock.now() - readIndex.requestedAt : Number.POSITIVE_INFINITY;
	}

	#latest(): Observation[] {
		return [...this.servers.values()].flatMap(server => server.latest ?? []);
	}

	#addReadIndex(): void {
		const readIndex = computeReadIndex(this.#latest(), this.majority);
		if (readIndex && readIndex.requestedAt > (this.#readIndexes.at(-1)?.requestedAt ?? Number.NEGATIVE_INFINITY)) {
			this.#readIndexes.push(readIndex);
			this.#readIndexes = this.#readIndexes.slice(-maxReadIndexes);
		}
	}
}

/**
Returns the read index that the observations confirm, if any: the position of the primary, if a majority that includes
it reports no higher term. Its `requestedAt` is that of the earliest request among the observations used.
*/
function computeReadIndex(observations: readonly Observation[], majority: number): ReadIndex | undefined {
	const primary = observations.filter(({status}) => status.role === 'primary').toSorted((left, right) => right.status.term - left.status.term)[0];
	// Until the primary has written an entry of its own term, a later primary may drop the last entries of its log.
	if (!primary || primary.status.last.term !== primary.status.term) {
		return undefined;
	}

	const confirmations = observations
		.filter(({status}) => status.server !== primary.status.server && status.term <= primary.status.term)
		.toSorted((left, right) => right.requestedAt - left.requestedAt)
		.slice(0, majority - 1);
	if (confirmations.length < majority - 1) {
		return undefined;
	}

	return {
		position: primary.status.last,
		server: primary.status.server,
		requestedAt: Math.min(primary.requestedAt, ...confirmations.map(({requestedAt}) => requestedAt)),
	};
}
