/**
Time, as an interface, so that the same tasks run on the system clock and on a manual clock in tests.
*/
import * as timers from 'node:timers/promises';

/** A moment by two clocks: a monotonic one, and the time of day. */
export type Mark = {readonly monotonicMs: number; readonly wallMs: number};

/**
Time in ms between two moments, never too short by a suspension of the host or by a time of day that was set back, unless
both fall together. The monotonic clock stands still while the host is suspended, and the time of day may be set.

@example
```
const ageMs = clock.between(floor.at, time.mark());
```
*/
export function between(from: Mark, to: Mark): number {
	return Math.max(to.monotonicMs - from.monotonicMs, to.wallMs - from.wallMs);
}

/** A monotonic clock. Times are in ms and mean nothing outside this process. */
export abstract class Clock {
	/** The present moment. */
	mark(): Mark {
		return {monotonicMs: this.now(), wallMs: this.wallTime()};
	}

	/**
	Waits for `promise` for at most `ms`; gives `undefined` at the timeout.

	@example
	```
	const status = await clock.limit(observer.observe(), 500);
	```
	*/
	async limit<T>(promise: Promise<T>, ms: number): Promise<T | undefined> {
		const settled = new AbortController();
		try {
			return await Promise.race([promise, this.#expire(ms, settled.signal)]);
		} finally {
			settled.abort('settled');
		}
	}

	/** Monotonic time in ms. */
	abstract now(): number;

	/**
	Waits for `ms`, or until `signal` aborts. It never rejects.

	@example
	```
	await clock.sleep(500, signal);
	```
	*/
	abstract sleep(ms: number, signal?: AbortSignal): Promise<void>;

	/** Time of day in Unix ms; a clock without one gives its monotonic time. */
	protected wallTime(): number {
		return this.now();
	}

	async #expire(ms: number, signal: AbortSignal): Promise<undefined> {
		await this.sleep(ms, signal);
		return undefined;
	}
}

/** The clock of the machine. */
export class System extends Clock {
	override now(): number {
		return performance.now();
	}

	/**
	As the base class has it, with a bare timer: ending a sleep by an abort signal builds an `AbortError` with its stack
	for each call, which took a fifth of the processor time of an entry host under load.
	*/
	override async limit<T>(promise: Promise<T>, ms: number): Promise<T | undefined> {
		let timer: NodeJS.Timeout | undefined;
		const expired = new Promise<undefined>(resolve => {
			timer = setTimeout(resolve, Math.max(0, ms), undefined);
		});
		try {
			return await Promise.race([promise, expired]);
		} finally {
			clearTimeout(timer);
		}
	}

	override async sleep(ms: number, signal?: AbortSignal): Promise<void> {
		if (signal?.aborted) {
			return;
		}

		await new Promise<void>(resolve => {
			const end = (): void => {
				clearTimeout(timer);
				signal?.removeEventListener('abort', end);
				resolve();
			};

			const timer = setTimeout(end, Math.max(0, ms));
			signal?.addEventListener('abort', end);
		});
	}

	protected override wallTime(): number {
		return Date.now();
	}
}

type Sleeper = {readonly wakeAt: number; readonly wake: () => void};

/** A clock that moves only when a test advances it. */
export class Manual extends Clock {
	#now = 0;
	readonly #sleepers = new Set<Sleeper>();

	override now(): number {
		return this.#now;
	}

	override async sleep(ms: number, signal?: AbortSignal): Promise<void> {
		if (signal?.aborted) {
			return;
		}

		await new Promise<void>(resolve => {
			const sleeper: Sleeper = {
				wakeAt: this.#now + Math.max(0, ms),
				wake: () => {
					this.#sleepers.delete(sleeper);
					signal?.removeEventListener('abort', sleeper.wake);
					resolve();
				},
			};
			this.#sleepers.add(sleeper);
			signal?.addEventListener('abort', sleeper.wake);
		});
	}

	/**
	Moves the time forward by `ms` and wakes sleepers in the order of their times.
	Between two sleepers it lets pending promises run.

	@example
	```
	const time = new clock.Manual();
	await time.advance(1000);
	```
	*/
	async advance(ms: number): Promise<void> {
		const end = this.#now + ms;
		await timers.setImmediate();
		for (let next = this.#nextSleeper(end); next; next = this.#nextSleeper(end)) {
			this.#now = Math.max(this.#now, next.wakeAt);
			next.wake();
			await timers.setImmediate();
		}

		this.#now = end;
		await timers.setImmediate();
	}

	#nextSleeper(end: number): Sleeper | undefined {
		let earliest: Sleeper | undefined;
		for (const sleeper of this.#sleepers) {
			if (sleeper.wakeAt <= end && (!earliest || sleeper.wakeAt < earliest.wakeAt)) {
				earliest = sleeper;
			}
		}

		return earliest;
	}
}
