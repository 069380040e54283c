/**
What an owner knows about the servers of a group. One task for each server asks for its status; everybody who wants to
know something shares these questions.
*/
import * as Either from 'fp-ts/lib/Either.js';
import type * as backend from './backend.js';
import type * as clock from './clock.js';
import * as errors from './errors.js';
import * as position from './position.js';

/** A status with the local times, in ms, at which it was asked for and received. */
export type Observation = {readonly status: backend.Status; readonly askedAt: number; readonly receivedAt: number};

/**
A position that the true primary had reached after `askedAt`: every write acknowledged before `askedAt` is at or
before it.
*/
export type ReadPoint = {readonly position: position.Position; readonly server: string; readonly askedAt: number};

/** Times in ms. */
export type Timing = {readonly probeIntervalMs: number; readonly probeTimeoutMs: number};

/** Longest time in ms for which a question may wait at the server, so that other questions follow soon. */
const waitStepMs = 20;
const readPointLimit = 512;
/** Pause in ms after a connection that could not be opened. Two refusals make a suspicion, so it is part of the gap. */
const reconnectPauseMs = 150;
/** Parts of a stated age after which reads of that age may have the servers asked again, and the least time in ms. */
const refreshDivisor = 4;
const refreshFloorMs = 25;

type Waiter = {
	readonly wanted: position.Position | undefined;
	/** A status of a higher term resolves the waiter even if its log is behind. */
	readonly highestTerm: number;
	/** After this time nobody waits any more. */
	readonly expiresAt: number;
	readonly resolve: (observation: Observation) => void;
};

/** Observes one server. */
export class Server {
	readonly #server: backend.Server;
	readonly #clock: clock.Clock;
	readonly #timing: Timing;
	readonly #observed: (observation: Observation) => void;
	#waiters: Waiter[] = [];
	#rest = new AbortController();
	#latest: Observation | undefined;
	#lastAnswerAt: number;
	#refusals = 0;

	constructor(server: backend.Server, time: clock.Clock, timing: Timing, observed: (observation: Observation) => void) {
		this.#server = server;
		this.#clock = time;
		this.#timing = timing;
		this.#observed = observed;
		this.#lastAnswerAt = time.now();
	}

	get name(): string {
		return this.#server.name;
	}

	get place(): string {
		return this.#server.place;
	}

	/** The last observation, if there is one. */
	get latest(): Observation | undefined {
		return this.#latest;
	}

	/** Time of the clock in ms at which the server last answered; the start if it never did. */
	get lastAnswerAt(): number {
		return this.#lastAnswerAt;
	}

	/** Connections that were refused one after another since the last answer. A timeout is not counted: it is silence. */
	get refusals(): number {
		return this.#refusals;
	}

	/** A status that was asked for after this call; `undefined` at the timeout. */
	async observe(timeoutMs: number): Promise<Observation | undefined> {
		return this.#enter(undefined, Number.POSITIVE_INFINITY, timeoutMs);
	}

	/**
	A status, asked for after this call, of a log that contains `wanted` or has lost it, or of a term above
	`highestTerm`; `undefined` at the timeout.
	*/
	async reach(wanted: position.Position, timeoutMs: number, highestTerm = Number.POSITIVE_INFINITY): Promise<Observation | undefined> {
		return this.#enter(wanted, highestTerm, timeoutMs);
	}

	/** Takes a status that came with the answer to another call. */
	learn(observation: Observation): void {
		this.#take(observation, []);
	}

	/** The task: asks, answers waiters, and waits for the next probe or the next waiter. */
	async run(signal: AbortSignal): Promise<void> {
		const stopped = new AbortController();
		signal.addEventListener('abort', () => {
			stopped.abort();
			this.#rest.abort('awaited');
		});
		while (!signal.aborted) {
			const connection = await this.#connect();
			if (connection) {
				connection.whenClosed(() => {
					this.#rest.abort('awaited');
				});
				const answeredAt = this.#lastAnswerAt;
				await this.#converse(connection, signal);
				connection.close();
				if (this.#lastAnswerAt !== answeredAt) {
					continue;
				}
			}

			await this.#clock.sleep(Math.min(reconnectPauseMs, this.#timing.probeIntervalMs), stopped.signal);
		}
	}

	async #enter(wanted: position.Position | undefined, highestTerm: number, timeoutMs: number): Promise<Observation | undefined> {
		const observed = new Promise<Observation>(resolve => {
			this.#waiters.push({
				wanted, highestTerm, expiresAt: this.#clock.now() + timeoutMs, resolve,
			});
			this.#rest.abort('awaited');
		});
		return this.#clock.limit(observed, timeoutMs);
	}

	async #connect(): Promise<backend.Connection | undefined> {
		const startedAt = this.#clock.now();
		const outcome = await this.#server.connect(this.#timing.probeTimeoutMs);
		if (Either.isLeft(outcome)) {
			if (outcome.left.code !== 0) {
				// A server that refuses by an error of its own, at its connection limit for example, is alive.
				this.#lastAnswerAt = this.#clock.now();
				this.#refusals = 0;
			} else if (this.#clock.now() - startedAt < this.#timing.probeTimeoutMs) {
				this.#refusals++;
			}

			return undefined;
		}

		return outcome.right;
	}

	async #converse(connection: backend.Connection, signal: AbortSignal): Promise<void> {
		while (!signal.aborted && connection.isOpen) {
			const askedAt = this.#clock.now();
			const asked = this.#waiters.filter(({expiresAt}) => expiresAt > askedAt);
			this.#waiters = [];
			const outcome = await this.#ask(connection, asked);
			if (Either.isLeft(outcome)) {
				// A silent connection is not trusted: the questions go to a new one.
				this.#waiters = [...asked, ...this.#waiters];
				return;
			}

			this.#take({status: outcome.right, askedAt, receivedAt: this.#clock.now()}, asked);
			if (this.#waiters.length === 0) {
				this.#rest = new AbortController();
				await (signal.aborted || !connection.isOpen ? undefined : this.#clock.sleep(this.#timing.probeIntervalMs, this.#rest.signal));
			}
		}
	}

	async #ask(connection: backend.Connection, asked: readonly Waiter[]): Promise<errors.Outcome<backend.Status>> {
		const wanted = asked.map(waiter => waiter.wanted);
		const earliest = wanted.includes(undefined)
			? undefined
			: wanted.toSorted((left, right) => position.compare(left!, right!))[0];
		return earliest
			? connection.wait(earliest, waitStepMs, this.#timing.probeTimeoutMs + waitStepMs)
			: connection.status(this.#timing.probeTimeoutMs);
	}

	#take(observation: Observation, asked: readonly Waiter[]): void {
		// An answer to an earlier question may arrive later, over another connection.
		if (observation.askedAt >= (this.#latest?.askedAt ?? Number.NEGATIVE_INFINITY)) {
			this.#latest = observation;
		}

		this.#lastAnswerAt = observation.receivedAt;
		this.#refusals = 0;
		this.#observed(observation);
		for (const waiter of asked) {
			const isBehind = waiter.wanted && position.relate(observation.status, waiter.wanted) === 'behind';
			if (isBehind && observation.status.term <= waiter.highestTerm) {
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
	#readPoints: ReadPoint[] = [];
	#refreshedAt = Number.NEGATIVE_INFINITY;

	/** `observed` is called after each observation. */
	constructor(servers: readonly backend.Server[], time: clock.Clock, timing: Timing, observed?: () => void) {
		this.#clock = time;
		this.#timing = timing;
		this.servers = new Map(servers.map(server => [
			server.name,
			new Server(server, time, timing, () => {
				this.#addReadPoint();
				observed?.();
			}),
		]));
	}

	/** The least number of servers that is a majority. */
	get majority(): number {
		return Math.floor(this.servers.size / 2) + 1;
	}

	/** The server that last reported to be primary of the highest term. It may have been replaced since. */
	get primary(): Observation | undefined {
		return this.#latest().filter(({status}) => status.role === 'primary').toSorted((left, right) => right.status.term - left.status.term)[0];
	}

	/** The term in which a server was last seen to be primary; `undefined` if it was last seen as a replica. */
	termOf(server: string): number | undefined {
		const status = this.servers.get(server)?.latest?.status;
		return status?.role === 'primary' ? status.term : undefined;
	}

	/** The highest term that any server reported. */
	get highestTerm(): number {
		return Math.max(0, ...this.statuses.map(({term}) => term));
	}

	/** The last status of each server that ever answered. */
	get statuses(): readonly backend.Status[] {
		return this.#latest().map(({status}) => status);
	}

	/** Runs one task for each server until `signal` aborts. */
	async run(signal: AbortSignal): Promise<void> {
		await Promise.all([...this.servers.values()].map(async server => server.run(signal)));
	}

	/**
	A read point whose questions were all asked after this call.

	Errors: `not-run` when no primary and majority confirm one within `timeoutMs`.

	@example
	```
	const outcome = await group.readPoint(1000);
	```
	*/
	async readPoint(timeoutMs: number): Promise<errors.Outcome<ReadPoint>> {
		const started = this.#clock.now();
		const gathered: Observation[] = [];
		const found = new Promise<ReadPoint>(resolve => {
			const gather = async (server: Server): Promise<void> => {
				const observation = await server.observe(timeoutMs);
				if (observation) {
					gathered.push(observation);
				}

				const point = confirm(gathered, this.majority);
				if (point) {
					resolve(point);
				}
			};

			for (const server of this.servers.values()) {
				void gather(server);
			}
		});
		const point = await this.#clock.limit(found, timeoutMs);
		return point
			? Either.right({...point, askedAt: Math.max(point.askedAt, started)})
			: errors.fail('not-run', 'observe', this.primary?.status.server ?? '', `no primary confirmed by a majority within ${timeoutMs} ms`);
	}

	/**
	Asks every server at once, without waiting, so that the next reads of this age find read points that are young
	enough. Only reads cause it, so that an idle group costs no more than its probes.
	*/
	refresh(maximumAgeMs: number): void {
		const now = this.#clock.now();
		if (now - this.#refreshedAt >= Math.max(refreshFloorMs, maximumAgeMs / refreshDivisor)) {
			this.#refreshedAt = now;
			for (const server of this.servers.values()) {
				void server.observe(this.#timing.probeTimeoutMs);
			}
		}
	}

	/**
	Age in ms of the data that `server` is known to hold: every write acknowledged longer ago is in its log.
	`Infinity` when nothing is known.
	*/
	age(server: string): number {
		const status = this.servers.get(server)?.latest?.status;
		const point = status && this.#readPoints.findLast(candidate => position.relate(status, candidate.position) === 'contains');
		return point ? this.#clock.now() - point.askedAt : Number.POSITIVE_INFINITY;
	}

	#latest(): Observation[] {
		return [...this.servers.values()].flatMap(server => server.latest ?? []);
	}

	#addReadPoint(): void {
		const point = confirm(this.#latest(), this.majority);
		if (point && point.askedAt > (this.#readPoints.at(-1)?.askedAt ?? Number.NEGATIVE_INFINITY)) {
			this.#readPoints.push(point);
			this.#readPoints = this.#readPoints.slice(-readPointLimit);
		}
	}
}

/**
The read point that these observations confirm, if any: the primary's position, once a majority that includes it
reports no higher term. Its time is that of the earliest question it rests on.
*/
function confirm(observations: readonly Observation[], majority: number): ReadPoint | undefined {
	const primary = observations.filter(({status}) => status.role === 'primary').toSorted((left, right) => right.status.term - left.status.term)[0];
	// Without an entry of its own term, a later primary could still drop the last entries of the log.
	if (!primary || primary.status.last.term !== primary.status.term) {
		return undefined;
	}

	const supporters = observations
		.filter(({status}) => status.server !== primary.status.server && status.term <= primary.status.term)
		.toSorted((left, right) => right.askedAt - left.askedAt)
		.slice(0, majority - 1);
	if (supporters.length < majority - 1) {
		return undefined;
	}

	return {
		position: primary.status.last,
		server: primary.status.server,
		askedAt: Math.min(primary.askedAt, ...supporters.map(({askedAt}) => askedAt)),
	};
}
