/**
Abstract clock, so that tasks run on the system clock in production and on a manual clock in tests.

An expired timer of the system clock takes effect only after the event loop has polled for input once more. Node.js runs
due timers before it reads sockets, so after a stall a timer would decide on a state that unread input changes: it would
report a timeout although the answer has arrived, or find a connection idle whose next request has.
*/
import * as timers from 'node:timers/promises';

/** A time as read from the monotonic clock and from the wall clock. */
export type Mark = {readonly monotonicMs: number; readonly wallMs: number};

/**
Returns the time in ms between two marks, as the larger of the monotonic and the wall-clock difference. The monotonic
clock stops while the host is suspended, and the wall clock may be set back. The result is too short only if both happen
between the marks.

@example
```
const ageMs = clock.between(readIndex.requestedAt, time.mark());
```
*/
export function between(from: Mark, to: Mark): number {
	return Math.max(to.monotonicMs - from.monotonicMs, to.wallMs - from.wallMs);
}

/**
Calls `expire` after `ms`, once the event loop has polled for input. Returns a function that cancels the timer. Code that
has a `Clock` uses its methods instead.

@example
```
const cancel = clock.startTimer(timeoutMs, () => {
	socket.destroy();
});
```
*/
export function startTimer(ms: number, expire: () => void): () => void {
	let polled: NodeJS.Immediate | undefined;
	const timer = setTimeout(() => {
		polled = setImmediate(expire);
	}, Math.max(0, ms));
	return () => {
		clearTimeout(timer);
		clearImmediate(polled);
	};
}

/** A monotonic clock. Times are in ms from an arbitrary start and can't be compared with those of other processes. */
export abstract class Clock {
	/** Reads both clocks. */
	mark(): Mark {
		return {monotonicMs: this.now(), wallMs: this.wallTime()};
	}

	/**
	Waits at most `ms` for `promise`. Resolves to `undefined` at the timeout.

	@example
	```
	const observation = await clock.limit(server.observe(2000), 500);
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

	/** Resolves once the event loop has polled for input. */
	abstract poll(): Promise<void>;

	/**
	Resolves after `ms`, or when `signal` aborts. Never rejects.

	@example
	```
	await clock.sleep(500, signal);
	```
	*/
	abstract sleep(ms: number, signal?: AbortSignal): Promise<void>;

	/** Wall-clock time in Unix ms; the monotonic time if the clock has no wall-clock time. */
	protected wallTime(): number {
		return this.now();
	}

	async #expire(ms: number, signal: AbortSignal): Promise<undefined> {
		await this.sleep(ms, signal);
		return undefined;
	}
}

/** The system clock. */
export class System extends Clock {
	override now(): number {
		return performance.now();
	}

	/** Waits for two turns: an immediate that is set while input is handled runs before the next poll. */
	override async poll(): Promise<void> {
		await timers.setImmediate();
		await timers.setImmediate();
	}

	/**
	Overrides the base class with a plain timer. Aborting a sleep creates an `AbortError` with a stack trace for each call,
	which took a fifth of the processor time of an entry host under load.
	*/
	override async limit<T>(promise: Promise<T>, ms: number): Promise<T | undefined> {
		let cancel: (() => void) | undefined;
		const expired = new Promise<undefined>(resolve => {
			cancel = startTimer(ms, () => {
				resolve(undefined);
			});
		});
		try {
			return await Promise.race([promise, expired]);
		} finally {
			cancel?.();
		}
	}

	override async sleep(ms: number, signal?: AbortSignal): Promise<void> {
		if (signal?.aborted) {
			return;
		}

		await new Promise<void>(resolve => {
			const end = (): void => {
				cancel();
				signal?.removeEventListener('abort', end);
				resolve();
			};

			const cancel = startTimer(ms, end);
			signal?.addEventListener('abort', end);
		});
	}

	protected override wallTime(): number {
		return Date.now();
	}
}

type Sleeper = {readonly wakeAt: number; readonly wake: () => void};

/** A clock that advances only when a test advances it. */
export class Manual extends Clock {
	#now = 0;
	readonly #sleepers = new Set<Sleeper>();

	override now(): number {
		return this.#now;
	}

	/** Resolves at once: what a test sends has arrived. */
	override async poll(): Promise<void> {
		await Promise.resolve();
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
	Advances the time by `ms` and wakes sleepers in the order of their wake-up times. Pending promise callbacks run between
	two sleepers.

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
