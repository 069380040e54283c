/**
Time that advances by at most 1 ms for each turn of the event loop. Callers, hosts, relays and servers of a test run in
one process, so a machine that is slow or stalled then slows all of them alike instead of using up their deadlines.
*/
import * as test from 'node:test';

const stepMs = 1;

/** Replaces the timers, the monotonic clock and the wall clock of this process. */
export class PacedTime {
	readonly #setTimeout = globalThis.setTimeout;
	#timer: NodeJS.Timeout | undefined;
	#hasFinished = false;

	constructor() {
		test.mock.timers.enable({apis: ['setTimeout', 'setInterval', 'Date'], now: Date.now()});
		test.mock.method(performance, 'now', () => Date.now());
		this.#scheduleStep();
	}

	/** Lets the process exit. Time goes on until then, since timers may still close connections. */
	finish(): void {
		this.#hasFinished = true;
		this.#timer?.unref();
	}

	/** Waits for a real timer before each step, so that the process sleeps while it has nothing to do. */
	#scheduleStep(): void {
		this.#timer = this.#setTimeout(() => {
			test.mock.timers.tick(stepMs);
			this.#scheduleStep();
		}, stepMs);
		if (this.#hasFinished) {
			this.#timer.unref();
		}
	}
}
