/**
Graceful shutdown of an entry host: closes idle sessions gradually, and the others after their requests and transactions.
*/
import type * as clock from '../core/clock.js';
import type * as responders from './responder.js';
import type * as sessions from './session.js';

/** Options of a shutdown. Sessions and responders leave the sets as they end. */
export type Options = {
	readonly clock: clock.Clock;
	/** Time until the process is killed. */
	readonly graceMs: number;
	readonly sessions: ReadonlySet<sessions.Session>;
	readonly responders: ReadonlySet<responders.Responder>;
};

/** Fraction of the grace time after which open transactions are aborted, and time reserved for the end of the process. */
const transactionRatio = 0.5;
const exitReserveMs = 500;
/** Time over which idle sessions are closed. The platform needs 2 s to see that a host is not ready. */
const closeSpreadMs = 2000;
const pollMs = 50;
/** Time for peers to learn that this host is draining, after which they send no new requests. */
const noticeDelayMs = 300;

/** Ends the sessions of callers and the requests of other hosts. */
export class Shutdown {
	readonly #options: Options;

	constructor(options: Options) {
		this.#options = options;
	}

	/** Resolves when all sessions and requests have ended, or when only the reserve of the grace time is left. */
	async run(): Promise<void> {
		const {clock: time, graceMs, sessions: open, responders: peers} = this.#options;
		const startedAt = time.now();
		for (const responder of peers) {
			responder.drain();
		}

		let closed = 0;
		const total = open.size;
		for (let elapsedMs = 0; !this.#isDone(elapsedMs) && elapsedMs < graceMs - exitReserveMs; elapsedMs = time.now() - startedAt) {
			const due = Math.ceil(total * Math.min(1, elapsedMs / closeSpreadMs)) - closed;
			const idle = [...open].filter(session => session.isIdle).slice(0, Math.max(0, due));
			closed += idle.length;
			for (const session of elapsedMs > closeSpreadMs ? [...open] : idle) {
				session.drain();
			}

			if (elapsedMs >= graceMs * transactionRatio) {
				await Promise.all([...open, ...peers].map(async served => served.abort()));
			}

			await time.sleep(pollMs);
		}
	}

	/** Whether all sessions and requests have ended, and peers have had time to learn that this host is draining. */
	#isDone(elapsedMs: number): boolean {
		const {sessions: open, responders: peers} = this.#options;
		return open.size === 0 && (peers.size === 0 || elapsedMs > noticeDelayMs) && [...peers].every(({isIdle}) => isIdle);
	}
}
