/**
Detects stalls of the event loop: a machine that gives the process no processor time, a stopped process, or a long
computation.
*/
import type * as clock from '../core/clock.js';
import type * as decisions from './decisions.js';

/** Dependencies of a `Monitor`. */
export type Options = {readonly clock: clock.Clock; readonly decisions: decisions.Decisions};

/** A stall that begins just before the end of a sleep is seen at its full length, one that begins earlier as shorter. */
const sleepMs = 100;
/** Delay of a timer from which on it is recorded. */
const minStallMs = 100;
/** Shortest time between two records. */
const recordIntervalMs = 1000;

/** Records stalls. */
export class Monitor {
	readonly #options: Options;

	constructor(options: Options) {
		this.#options = options;
	}

	/**
	Records the longest stall of each `recordIntervalMs`, until `signal` aborts.

	@example
	```
	await new stalls.Monitor({clock, decisions}).run(signal);
	```
	*/
	async run(signal: AbortSignal): Promise<void> {
		const {clock: time, decisions: log} = this.#options;
		let longestMs = 0;
		let recordedAt = -recordIntervalMs;
		while (!signal.aborted) {
			const dueAt = time.now() + sleepMs;
			await time.sleep(sleepMs, signal);
			const now = time.now();
			longestMs = Math.max(longestMs, now - dueAt);
			if (longestMs >= minStallMs && now - recordedAt >= recordIntervalMs) {
				log.record('loop-stalled', {lateMs: Math.round(longestMs)});
				longestMs = 0;
				recordedAt = now;
			}
		}
	}
}
