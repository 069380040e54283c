/**
Tasks of a host that nobody awaits. An unexpected error ends the task in which it occurs and is logged; as an unhandled
rejection it would end the process, and with it every session.
*/
import type * as clock from '../core/clock.js';
import type * as decisions from './decisions.js';

export type Options = {readonly clock: clock.Clock; readonly decisions: decisions.Decisions};

/** Delay before a task that has to run all the time is started again. */
const restartDelayMs = 1000;

/** Starts tasks. */
export class Tasks {
	readonly #options: Options;

	constructor(options: Options) {
		this.#options = options;
	}

	/**
	Starts a task that ends by itself, such as that of a connection.

	@example
	```
	tasks.start('session', async () => session.run());
	```
	*/
	start(name: string, run: () => Promise<void>): void {
		void this.#run(name, run);
	}

	/** Starts a task that runs until `signal` aborts, and again after an error. */
	keep(name: string, signal: AbortSignal, run: () => Promise<void>): void {
		void this.#keep(name, signal, run);
	}

	async #keep(name: string, signal: AbortSignal, run: () => Promise<void>): Promise<void> {
		while (!await this.#run(name, run) && !signal.aborted) {
			await this.#options.clock.sleep(restartDelayMs, signal);
		}
	}

	/** Returns whether the task ended without an error. */
	async #run(name: string, run: () => Promise<void>): Promise<boolean> {
		try {
			await run();
			return true;
		} catch (error) {
			const reason = error instanceof Error ? error.stack ?? error.message : String(error);
			this.#options.decisions.record('task-failed', {task: name, reason});
			return false;
		}
	}
}
