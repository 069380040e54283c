/**
Bounds on the time of an opening, of a message that has begun, and of a reader that takes nothing. Time is counted in
sweeps of the process, one a second, so that a process that was suspended doesn't close its connections afterwards.
*/

/**
What a connection is doing. The time of `receiving` counts for one message, and that of `sending` while nothing is
taken; a change of `mark` starts it anew.
*/
export type Activity = {readonly kind: 'idle' | 'opening' | 'receiving' | 'sending'; readonly mark: number};

/** Limit that a connection has exceeded. */
export type Excess = 'opening' | 'message' | 'reader';

export const sweepMs = 1000;
/** Sweeps for an opening. Callers time out after 2 s by themselves, and send their opening at once. */
const openingSweeps = 10;
/** Sweeps for one message. A message of 1 MiB takes 4 s over a link of 2 Mbit/s. */
const messageSweeps = 60;
/** Sweeps without any progress of a reader. A caller may be suspended for some seconds. */
const readerSweeps = 30;

/** Watches one connection. */
export class Watch {
	#kind: Activity['kind'] = 'idle';
	#mark = 0;
	#sweeps = 0;

	/** Records the activity at a sweep; returns the limit that is exceeded. */
	sweep({kind, mark}: Activity): Excess | undefined {
		if (kind !== this.#kind || mark !== this.#mark) {
			this.#kind = kind;
			this.#mark = mark;
			this.#sweeps = 0;
			return undefined;
		}

		this.#sweeps++;
		switch (kind) {
			case 'opening': {
				return this.#sweeps >= openingSweeps ? 'opening' : undefined;
			}

			case 'receiving': {
				return this.#sweeps >= messageSweeps ? 'message' : undefined;
			}

			case 'sending': {
				return this.#sweeps >= readerSweeps ? 'reader' : undefined;
			}

			case 'idle': {
				return undefined;
			}
		}
	}
}
