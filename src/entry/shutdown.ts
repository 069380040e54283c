/**
The end of an entry host: idle sessions are closed bit by bit, requests and transactions end first.
*/
import type * as clock from '../core/clock.js';
import type * as responders from './responder.js';
import type * as sessions from './session.js';

/** What is to end. The sets shrink as it does. */
export type Parts = {
	readonly clock: clock.Clock;
	/** Time in ms until the process is killed. */
	readonly graceMs: number;
	readonly sessions: ReadonlySet<sessions.Session>;
	readonly responders: ReadonlySet<responders.Responder>;
};

/** Part of the grace time that open transactions have, and time in ms kept for ending the process. */
const transactionShare = 0.5;
const exitReserveMs = 500;
/** Time in ms over which idle sessions are closed, and between two looks. The platform needs 2 s to see a host as not ready. */
const closeSpreadMs = 2000;
const pollMs = 50;
/** Time in ms in which peers learn that this host leaves, so that they send it nothing more. */
const noticeMs = 300;

/** Lets everything end that an entry host does for its callers and for other hosts. */
export class Shutdown {
	readonly #parts: Parts;

	constructor(parts: Parts) {
		this.#parts = parts;
	}

	/** Resolves when nothing is left, or when the grace time is used up but for a reserve. */
	async run(): Promise<void> {
		const {clock: time, graceMs, sessions: open, responders: peers} = this.#parts;
		const startedAt = time.now();
		for (const responder of peers) {
			responder.leave();
		}

		let closed = 0;
		const total = open.size;
		for (let passedMs = 0; !this.#isDone(passedMs) && passedMs < graceMs - exitReserveMs; passedMs = time.now() - startedAt) {
			const due = Math.ceil(total * Math.min(1, passedMs / closeSpreadMs)) - closed;
			const idle = [...open].filter(session => session.isIdle).slice(0, Math.max(0, due));
			closed += idle.length;
			for (const session of passedMs > closeSpreadMs ? [...open] : idle) {
				session.leave();
			}

			if (passedMs >= graceMs * transactionShare) {
				await Promise.all([...open, ...peers].map(async served => served.abort()));
			}

			await time.sleep(pollMs);
		}
	}

	/** Whether nothing is left, and peers have had a moment to learn that this host leaves. */
	#isDone(passedMs: number): boolean {
		const {sessions: open, responders: peers} = this.#parts;
		return open.size === 0 && (peers.size === 0 || passedMs > noticeMs) && [...peers].every(({isIdle}) => isIdle);
	}
}
