/**
One backend server of a group: its registration, the connections to it, and how it has answered.
*/
import type * as types from '../generated/types.js';
import type * as clock from '../core/clock.js';
import * as pool from '../core/pool.js';
import * as position from '../core/position.js';
import type * as backend from './backend.js';
import type * as statement from './statement.js';

/** A connection that was idle for longer is checked before use: silent ones are then found before a write is lost on them. */
const trustMs = 2000;
/** Below the 60 s after which servers close idle connections. */
const idleLimitMs = 30_000;
/** Several times what opening a connection takes across regions. */
const hedgeAfterMs = 300;
const resetTimeoutMs = 500;
/** Time in ms for opening a connection. */
export const connectTimeoutMs = 600;
/** Weight of the newest latency in the moving average. */
const latencyWeight = 0.1;
/** Latency in ms that is assumed of a server that has not answered yet. */
const unknownLatencyMs = 20;
/** Time in ms for which reads rather go to another server after a failure. */
const avoidMs = 1000;
/** The same after it refused a read since its log lacked the position, unless it is known to have the position since. */
const lagAvoidMs = 250;

/** How a member begins. */
export type Options = {
	/** Connections that this host may have to it. */
	readonly share: number;
	/** Whether it is taken to hold what was acknowledged before this host learned of it. */
	readonly isTrusted: boolean;
};

/** One server. */
export class Member {
	readonly pool: pool.Pool<backend.Connection>;
	readonly server: backend.Server;
	/** Time of the clock at which this host learned of this incarnation. */
	readonly addedAt: number;
	/** Time of the clock at which the registration was first missing; `undefined` while it is there. */
	missingSince: number | undefined;
	readonly #clock: clock.Clock;
	#registration: types.Registration;
	#latencyMs = unknownLatencyMs;
	#heardAt = Number.NEGATIVE_INFINITY;
	#failingSince: number | undefined;
	#failedAt = Number.NEGATIVE_INFINITY;
	#position: statement.Position | undefined;
	#isSynchronized: boolean;
	#behindSince: number | undefined;
	#laggedAt = Number.NEGATIVE_INFINITY;
	readonly #commits = new Set<number>();
	#lostCommitAt: number | undefined;

	constructor(registration: types.Registration, server: backend.Server, time: clock.Clock, options: Options) {
		this.#registration = registration;
		this.#clock = time;
		this.server = server;
		this.#isSynchronized = options.isTrusted;
		this.addedAt = time.now();
		this.pool = new pool.Pool<backend.Connection>(server, time, {
			connections: options.share, connectTimeoutMs, hedgeAfterMs, trustMs, idleLimitMs, resetTimeoutMs,
		});
	}

	get id(): string {
		return this.#registration.id;
	}

	get registration(): types.Registration {
		return this.#registration;
	}

	/** Whether it may get new work. */
	get isReady(): boolean {
		return this.#registration.state === 'ready';
	}

	/** End of its log when it last told. */
	get position(): statement.Position | undefined {
		return this.#position;
	}

	/**
	Whether its log was seen to hold what the leader held after this host learned of it. An incarnation that began with an
	empty log says nothing about commits that its predecessor acknowledged until then.
	*/
	get isSynchronized(): boolean {
		return this.#isSynchronized;
	}

	/** Time of the clock since which its log has been seen behind an old end of the leader's log. */
	get behindSince(): number | undefined {
		return this.#behindSince;
	}

	/** Time of the clock at which it last answered. */
	get heardAt(): number {
		return this.#heardAt;
	}

	/** Time of the clock at which the first of the attempts that all failed since the last answer was made. */
	get failingSince(): number | undefined {
		return this.#failingSince;
	}

	/** Whether reads should rather go to another server. */
	get isAvoided(): boolean {
		return this.#failingSince !== undefined && this.#clock.now() - this.#failedAt < avoidMs;
	}

	/** Whether a read that needs a position had better go to another server. */
	lags(floor: statement.Position): boolean {
		const lacksIt = this.#position === undefined || position.compare(this.#position, floor) < 0;
		return lacksIt && this.#clock.now() - this.#laggedAt < lagAvoidMs;
	}

	/** Latency in ms that a statement is expected to have, from recent ones and from what waits. */
	get expectedMs(): number {
		return this.#latencyMs * (1 + this.pool.busy + this.pool.waiting);
	}

	/** Time of the clock at which the oldest commit was sent that has no answer, if none was acknowledged since. */
	get stalledSince(): number | undefined {
		const oldest = this.#lostCommitAt ?? Math.min(...this.#commits);
		return Number.isFinite(oldest) ? oldest : undefined;
	}

	/** Notes that a write or commit was sent at `sentAt`. */
	commits(sentAt: number): void {
		this.#commits.add(sentAt);
	}

	/** Notes how a write or commit that was sent at `sentAt` ended. */
	committed(sentAt: number, isAnswered: boolean): void {
		this.#commits.delete(sentAt);
		if (isAnswered) {
			this.#lostCommitAt = undefined;
		} else {
			this.#lostCommitAt ??= sentAt;
		}
	}

	/** Forgets failures from before a time in which nobody asked the server. */
	renew(): void {
		this.#failingSince = undefined;
		this.#behindSince = undefined;
		this.#lostCommitAt = undefined;
	}

	/** Takes a newer registration of the same incarnation. */
	update(registration: types.Registration): void {
		this.#registration = registration;
		this.missingSince = undefined;
	}

	/** Notes an answer, and what a statement took if it was one. */
	answered(latencyMs?: number): void {
		this.#heardAt = this.#clock.now();
		this.#failingSince = undefined;
		if (latencyMs !== undefined) {
			this.#latencyMs += latencyWeight * (latencyMs - this.#latencyMs);
		}
	}

	/** Notes that it refused a read since its log lacked the position. */
	lagged(): void {
		this.#laggedAt = this.#clock.now();
	}

	/** Notes the end of its log. */
	holds(end: statement.Position | null): void {
		this.#position = end ?? this.#position;
	}

	/** Compares its log with a position that the leader's log held at `at`, a time of the clock. */
	compare(leading: statement.Position, at: number): void {
		const isBehind = this.#position === undefined || position.compare(this.#position, leading) < 0;
		this.#behindSince = isBehind ? this.#behindSince ?? this.#clock.now() : undefined;
		this.#isSynchronized ||= !isBehind && at >= this.addedAt;
	}

	/** Notes that something sent at `sentAt` was not answered, or that no connection could be opened since then. */
	failed(sentAt: number): void {
		if (sentAt > this.#heardAt) {
			this.#failingSince ??= sentAt;
			this.#failedAt = this.#clock.now();
		}
	}
}
