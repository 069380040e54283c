/**
Graceful shutdown of an entry host. Sessions become due gradually, so that their callers don't all open new ones at once.
A due session closes right after its next reply, or once it has been idle for some time.
*/
import type * as clock from '../core/clock.js';
import type * as decisions from './decisions.js';
import type * as responders from './responder.js';
import type * as sessions from './session.js';

/** Options of a shutdown. Sessions and responders are removed from the sets when they end. */
export type Options = {
	readonly clock: clock.Clock;
	readonly decisions: decisions.Decisions;
	/** Time until the process is killed. */
	readonly graceMs: number;
	readonly sessions: ReadonlySet<sessions.Session>;
	readonly responders: ReadonlySet<responders.Responder>;
};

/** Fraction of the grace time after which open transactions are aborted. */
const transactionRatio = 0.5;
/** Part of the grace time reserved for the exit of the process. */
const exitReserveMs = 500;
/** Time over which sessions become due. The platform needs 2 s to detect that a host is not ready. */
const closeSpreadMs = 2000;
/** Largest part of the grace time for the spread, which leaves time for the last sessions to become idle. */
const closeSpreadRatio = 0.4;
/** Shortest time since the last reply after which a due session without a request closes. */
const minIdleMs = 500;
/** Largest part of the grace time for `minIdleMs`. */
const minIdleRatio = 0.1;
const pollMs = 50;
/** Time for the notice that this host is draining to reach its peers, which then send no new requests. */
const noticeDelayMs = 300;
/** Longest time from the begin of a poll for which what it has read counts as current. */
const maxTurnMs = 10;
/** Polls until one is short enough for that, on a machine that is short of processor time. */
const maxPolls = 5;

/** Ends the sessions of callers and the requests of other hosts. */
export class Shutdown {
	readonly #options: Options;
	/** Sessions that are to close and whose end has not been recorded. */
	readonly #due = new Set<sessions.Session>();
	/** Number of sessions that have become due, with those that have ended. */
	#dueCount = 0;

	constructor(options: Options) {
		this.#options = options;
	}

	/** Resolves when all sessions and requests have ended, or when only `exitReserveMs` of the grace time is left. */
	async run(): Promise<void> {
		const {clock: time, graceMs, sessions: openSessions, responders: openResponders} = this.#options;
		const startedAt = time.now();
		for (const responder of openResponders) {
			responder.drain();
		}

		let roundDueAt = startedAt;
		for (let elapsedMs = 0; elapsedMs < graceMs - exitReserveMs; elapsedMs = time.now() - startedAt) {
			const lateMs = time.now() - roundDueAt;
			const polledAt = await this.#pollInput();
			if (this.#isCurrent(polledAt) && this.#isDone(elapsedMs)) {
				break;
			}

			this.#markDue(elapsedMs);
			this.#closeIdle(polledAt);

			this.#recordClosed(lateMs);
			if (elapsedMs >= graceMs * transactionRatio) {
				await Promise.all([...openSessions, ...openResponders].map(async served => served.abort()));
			}

			roundDueAt = time.now() + pollMs;
			await time.sleep(pollMs);
		}

		await this.#closeRemaining();
	}

	/** Makes the share of the sessions due that belongs to the elapsed time, the longest idle ones first. */
	#markDue(elapsedMs: number): void {
		const spreadMs = Math.min(closeSpreadMs, this.#options.graceMs * closeSpreadRatio);
		const remaining = [...this.#options.sessions].filter(session => !this.#due.has(session));
		const total = this.#dueCount + remaining.length;
		const addedCount = Math.max(0, Math.ceil(total * Math.min(1, elapsedMs / spreadMs)) - this.#dueCount);
		const byIdleTime = remaining.toSorted((one, other) => other.idleMs - one.idleMs);
		for (const session of byIdleTime.slice(0, addedCount)) {
			this.#dueCount++;
			this.#due.add(session);
			session.drain();
		}
	}

	/** Closes sessions that were idle when the loop polled, unless the process was stopped since: the time of a stop is no idle time. */
	#closeIdle(polledAt: number): void {
		const idleMs = Math.min(minIdleMs, this.#options.graceMs * minIdleRatio);
		for (const session of this.#due) {
			if (session.isIdle && session.idleMs >= idleMs && this.#isCurrent(polledAt)) {
				session.close();
			}
		}
	}

	/** Whether what was read by a poll that began at `polledAt` is still current. */
	#isCurrent(polledAt: number): boolean {
		return this.#options.clock.now() - polledAt <= maxTurnMs;
	}

	/** Closes every session that has no request in progress; the others close after their replies. */
	async #closeRemaining(): Promise<void> {
		await this.#pollInput();
		for (const session of this.#options.sessions) {
			this.#due.add(session);
			session.drain();
			session.close();
		}

		this.#recordClosed(0);
	}

	/**
	Lets the event loop read what has arrived, and returns the clock time at which the last poll began. Polls again after a
	turn that took long, since the process may have been stopped between reading and the end of the turn.
	*/
	async #pollInput(): Promise<number> {
		const {clock: time} = this.#options;
		let polledAt = Number.NEGATIVE_INFINITY;
		for (let polls = 0; polls < maxPolls && !this.#isCurrent(polledAt); polls++) {
			polledAt = time.now();
			await time.poll();
		}

		return polledAt;
	}

	/** Whether all sessions and requests have ended, and the draining notice has had time to reach the peers. */
	#isDone(elapsedMs: number): boolean {
		const {sessions: openSessions, responders: openResponders} = this.#options;
		return openSessions.size === 0 && (openResponders.size === 0 || elapsedMs > noticeDelayMs) && [...openResponders].every(({isIdle}) => isIdle);
	}

	/** Records how many sessions this host has closed since the last record, and how late the timer of the round was. */
	#recordClosed(lateMs: number): void {
		const ended = [...this.#due].filter(({ending}) => ending !== undefined);
		for (const session of ended) {
			this.#due.delete(session);
		}

		const idle = ended.filter(({ending}) => ending === 'idle');
		const afterReply = ended.filter(({ending}) => ending === 'reply').length;
		if (idle.length + afterReply > 0) {
			this.#options.decisions.record('sessions-closed', {
				afterReply,
				idle: idle.length,
				...(idle.length > 0 ? {shortestIdleMs: Math.round(Math.min(...idle.map(({idleMs}) => idleMs)))} : {}),
				lateMs: Math.round(lateMs),
				open: this.#options.sessions.size,
			});
		}
	}
}
