/**
One backend server of a group: its registration, its connection pool, and the health and log position learned from its
responses.
*/
import type * as types from '../generated/types.js';
import type * as clock from '../core/clock.js';
import * as pool from '../core/pool.js';
import * as position from '../core/position.js';
import type * as backend from './backend.js';
import type * as statement from './statement.js';

/** Connections idle for longer are checked before use, so that a dead one is found before a write is sent on it. */
const validateAfterMs = 2000;
/** Below the 60 s after which servers close idle connections. */
const idleLimitMs = 30_000;
/** Several times the duration of opening a connection across regions. */
const hedgeAfterMs = 300;
const resetTimeoutMs = 500;
export const connectTimeoutMs = 600;
/** Time after a failure during which reads prefer other servers. */
const avoidAfterFailureMs = 1000;
/** Time after a read refused as `lagging` during which reads prefer other servers, unless the position has been reached since. */
const avoidAfterLagMs = 250;

export type Options = {
	readonly connectionLimit: number;
	/** Whether the server is assumed to hold all commits acknowledged before this host discovered it. */
	readonly isSynchronized: boolean;
};

/** Tracks the health and the log of one server. */
export class Member {
	readonly pool: pool.Pool<backend.Connection>;
	readonly server: backend.Server;
	/** Clock time at which the registration was first missing; `undefined` while it is present. */
	missingSince: number | undefined;
	readonly #clock: clock.Clock;
	#registration: types.Registration;
	#lastResponseAt = Number.NEGATIVE_INFINITY;
	#failingSince: number | undefined;
	#lastFailureAt = Number.NEGATIVE_INFINITY;
	#position: statement.Position | undefined;
	#isSynchronized: boolean;
	/** Clock time before which commits may be missing in the log of a server that isn't synchronized. */
	#unverifiedSince: number;
	/** Clock time before which every acknowledged commit is known to be in the server's log. */
	#verifiedAt = Number.NEGATIVE_INFINITY;
	#behindSince: number | undefined;
	#lastLagAt = Number.NEGATIVE_INFINITY;
	readonly #pendingCommits = new Set<number>();
	#unansweredCommitAt: number | undefined;

	constructor(registration: types.Registration, server: backend.Server, time: clock.Clock, options: Options) {
		this.#registration = registration;
		this.#clock = time;
		this.server = server;
		this.#isSynchronized = options.isSynchronized;
		this.#unverifiedSince = time.now();
		this.pool = new pool.Pool<backend.Connection>(server, time, {
			connections: options.connectionLimit, connectTimeoutMs, hedgeAfterMs, validateAfterMs, idleLimitMs, resetTimeoutMs,
		});
	}

	get id(): string {
		return this.#registration.id;
	}

	get registration(): types.Registration {
		return this.#registration;
	}

	/** Whether the server accepts new work. */
	get isReady(): boolean {
		return this.#registration.state === 'ready';
	}

	/** Last reported end of the server's log. */
	get position(): statement.Position | undefined {
		return this.#position;
	}

	/**
	Whether the server's log has reached a position that the leader's log held after this host discovered the server. Until
	then, an incarnation that started with an empty log may lack commits that its predecessor acknowledged. The same holds
	after the removal of another server, whose log may have been the only other one with a commit.
	*/
	get isSynchronized(): boolean {
		return this.#isSynchronized;
	}

	/** Sets whether the log is complete, as a set in the store says, unless it has been verified already. */
	assume(isSynchronized: boolean): void {
		if (this.#verifiedAt < this.#unverifiedSince) {
			this.#isSynchronized = isSynchronized;
		}
	}

	/** Whether the log was found to contain every commit acknowledged before clock time `at`. */
	isVerifiedSince(at: number): boolean {
		return this.#verifiedAt >= at;
	}

	/** Records that the log of another server was lost at clock time `lostAt`. */
	recordLostLog(lostAt: number): void {
		this.#unverifiedSince = Math.max(this.#unverifiedSince, lostAt);
		this.#isSynchronized &&= this.#verifiedAt >= lostAt;
	}

	/** Clock time since which the server's log has been behind an earlier end of the leader's log; `undefined` if it isn't. */
	get behindSince(): number | undefined {
		return this.#behindSince;
	}

	get lastResponseAt(): number {
		return this.#lastResponseAt;
	}

	/** Clock time of the first failed attempt since the last response; `undefined` if none failed. */
	get failingSince(): number | undefined {
		return this.#failingSince;
	}

	/** Whether reads should prefer other servers because of a recent failure. */
	get isAvoided(): boolean {
		return this.#failingSince !== undefined && this.#clock.now() - this.#lastFailureAt < avoidAfterFailureMs;
	}

	/** Whether a read that requires `minPosition` should prefer another server because this one recently refused one as `lagging`. */
	isLagging(minPosition: statement.Position): boolean {
		const isBehind = this.#position === undefined || position.compare(this.#position, minPosition) < 0;
		return isBehind && this.#clock.now() - this.#lastLagAt < avoidAfterLagMs;
	}

	/** Clock time at which the oldest commit without a response was sent; `undefined` if there is none or a later commit got a response. */
	get stalledSince(): number | undefined {
		const oldest = this.#unansweredCommitAt ?? Math.min(...this.#pendingCommits);
		return Number.isFinite(oldest) ? oldest : undefined;
	}

	/** Records a write or commit sent at `sentAt`. */
	commitSent(sentAt: number): void {
		this.#pendingCommits.add(sentAt);
	}

	/** Records how a write or commit sent at `sentAt` ended. */
	commitEnded(sentAt: number, isAnswered: boolean): void {
		this.#pendingCommits.delete(sentAt);
		if (isAnswered) {
			this.#unansweredCommitAt = undefined;
		} else {
			this.#unansweredCommitAt ??= sentAt;
		}
	}

	/** Clears failures recorded before an idle period, in which this host sent the server no requests. */
	clearFailures(): void {
		this.#failingSince = undefined;
		this.#behindSince = undefined;
		this.#unansweredCommitAt = undefined;
	}

	/** Replaces the registration by a newer one of the same incarnation. */
	update(registration: types.Registration): void {
		this.#registration = registration;
		this.missingSince = undefined;
	}

	/** Records a response. */
	recordResponse(): void {
		this.#lastResponseAt = this.#clock.now();
		this.#failingSince = undefined;
	}

	/** Records that the server refused a read because its log had not reached the required position. */
	recordLag(): void {
		this.#lastLagAt = this.#clock.now();
	}

	/** Records the reported end of the server's log. */
	recordPosition(logEnd: statement.Position | null): void {
		this.#position = logEnd ?? this.#position;
	}

	/** Compares the server's log with an earlier end of the leader's log. */
	compareLog(leaderPosition: statement.Position): void {
		const isBehind = this.#position === undefined || position.compare(this.#position, leaderPosition) < 0;
		this.#behindSince = isBehind ? this.#behindSince ?? this.#clock.now() : undefined;
	}

	/** Records that the server's log contains every commit acknowledged before clock time `verifiedAt`. */
	recordVerified(verifiedAt: number): void {
		this.#verifiedAt = Math.max(this.#verifiedAt, verifiedAt);
		this.#isSynchronized ||= this.#verifiedAt >= this.#unverifiedSince;
	}

	/** Records that a request sent at `sentAt` got no response, or that no connection could be opened since then. */
	recordFailure(sentAt: number): void {
		if (sentAt > this.#lastResponseAt) {
			this.#failingSince ??= sentAt;
			this.#lastFailureAt = this.#clock.now();
		}
	}
}
