/**
Graceful shutdown of an entry host: closes idle sessions gradually, and busy ones after their requests and transactions.
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
/** Time over which idle sessions are closed. The platform needs 2 s to detect that a host is not ready. */
const closeSpreadMs = 2000;
const pollMs = 50;
/** Time for the notice that this host is draining to reach its peers, which then send no new requests. */
const noticeDelayMs = 300;

/** Ends the sessions of callers and the requests of other hosts. */
export class Shutdown {
	readonly #options: Options;
	/** Sessions that were told to close and whose end has not been recorded. */
	readonly #draining = new Set<sessions.Session>();

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

		let closedCount = 0;
		const total = openSessions.size;
		let roundDueAt = startedAt;
		for (let elapsedMs = 0; !this.#isDone(elapsedMs) && elapsedMs < graceMs - exitReserveMs; elapsedMs = time.now() - startedAt) {
			const lateMs = time.now() - roundDueAt;
			const dueCount = Math.ceil(total * Math.min(1, elapsedMs / closeSpreadMs)) - closedCount;
			const idle = [...openSessions].filter(session => session.isIdle).slice(0, Math.max(0, dueCount));
			closedCount += idle.length;
			for (const session of elapsedMs > closeSpreadMs ? [...openSessions] : idle) {
				this.#draining.add(session);
				session.drain();
			}

			this.#recordClosed(lateMs);

			if (elapsedMs >= graceMs * transactionRatio) {
				await Promise.all([...openSessions, ...openResponders].map(async served => served.abort()));
			}

			roundDueAt = time.now() + pollMs;
			await time.sleep(pollMs);
		}

		this.#recordClosed(0);
	}

	/** Records how many sessions this host has closed since the last record, and how late the timer of the round was. */
	#recordClosed(lateMs: number): void {
		const ended = [...this.#draining].filter(({ending}) => ending !== undefined);
		for (const session of ended) {
			this.#draining.delete(session);
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

	/** Whether all sessions and requests have ended, and the draining notice has had time to reach the peers. */
	#isDone(elapsedMs: number): boolean {
		const {sessions: openSessions, responders: openResponders} = this.#options;
		return openSessions.size === 0 && (openResponders.size === 0 || elapsedMs > noticeDelayMs) && [...openResponders].every(({isIdle}) => isIdle);
	}
}
