/**
What an owner knows about the servers of a group. One task for each server asks for its status; everybody who wants to
know something shares these questions.
*/
import * as Either from 'fp-ts/lib/Either.js';
import type * as backend from './backend.js';
import type * as clock from './clock.js';
import * as errors from './errors.js';
import * as notifier from './notifier.js';
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
/** Parts of a stated age after which reads of that age may have the servers asked again, and the least time in ms. */
const refreshDivisor = 4;
const refreshFloorMs = 25;

type Waiter = {
	readonly wanted: position.Position | undefined;
	/** After this time nobody waits any more. */
	readonly expiresAt: number;
	readonly resolve: (observation: Observation) => void;
};

/** Observes one server. */
export class Server {
	readonly #server: backend.Server;
	readonly #clock: clock.Clock;
	readonly #timing: Timing;
	readonly #wake = new notifier.Notifier();
	readonly #observed: (observation: Observation) => void;
	#waiters: Waiter[] = [];
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

	/** Time in ms since the server last answered; since the start if it never did. */
	get silentMs(): number {
		return this.#clock.now() - this.#lastAnswerAt;
	}

	/** Connections that were refused or failed one after another since the last answer. */
	get refusals(): number {
		return this.#refusals;
	}

	/** A status that was asked for after this call; `undefined` at the timeout. */
	async observe(timeoutMs: number): Promise<Observation | undefined> {
		return this.#enter(undefined, timeoutMs);
	}

	/**
	A status, asked for after this call, of a log that contains `wanted` or has lost it; `undefined` at the timeout.
	*/
	async reach(wanted: position.Position, timeoutMs: number): Promise<Observation | undefined> {
		return this.#enter(wanted, timeoutMs);
	}

	/** The task: asks, answers waiters, and waits for the next probe or the next waiter. */
	async run(signal: AbortSignal): Promise<void> {
		while (!signal.aborted) {
			const connection = await this.#connect();
			if (connection) {
				await this.#converse(connection, signal);
				connection.close();
			} else {
				await this.#clock.sleep(this.#timing.probeIntervalMs, signal);
			}
		}
	}

	async #enter(wanted: position.Position | undefined, timeoutMs: number): Promise<Observation | undefined> {
		const observed = new Promise<Observation>(resolve => {
			this.#waiters.push({wanted, expiresAt: this.#clock.now() + timeoutMs, resolve});
			this.#wake.notify();
		});
		return this.#clock.limit(observed, timeoutMs);
	}

	async #connect(): Promise<backend.Connection | undefined> {
		const outcome = await this.#server.connect(this.#timing.probeTimeoutMs);
		if (Either.isLeft(outcome)) {
			this.#refusals++;
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
				this.#refusals++;
				return;
			}

			this.#take({status: outcome.right, askedAt, receivedAt: this.#clock.now()}, asked);
			if (this.#waiters.length === 0) {
				await this.#clock.limit(this.#wake.next(), this.#timing.probeIntervalMs);
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
		this.#latest = observation;
		this.#lastAnswerAt = observation.receivedAt;
		this.#refusals = 0;
		this.#observed(observation);
		for (const waiter of asked) {
			if (waiter.wanted && position.relate(observation.status, waiter.wanted) === 'behind') {
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

	constructor(servers: readonly backend.Server[], time: clock.Clock, timing: Timing) {
		this.#clock = time;
		this.#timing = timing;
		this.servers = new Map(servers.map(server => [
			server.name,
			new Server(server, time, timing, () => {
				this.#addReadPoint();
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

	/** The highest term that any server reported. */
	get highestTerm(): number {
		return Math.max(0, ...this.#latest().map(({status}) => status.term));
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
	if (!primary) {
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
