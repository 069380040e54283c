/**
Read indexes of one leader: positions that cover every commit acknowledged before a time, by the time of their request.
*/
import * as clock from '../../core/clock.js';
import * as position from '../../core/position.js';
import type * as statement from '../statement.js';

/** A position that covers every commit acknowledged before `requestedAt`. */
export type ReadIndex = {readonly requestedAt: clock.Mark; readonly position: statement.Position};

/** Number of read indexes kept, and the minimum time between two. Their product exceeds the largest staleness bound. */
const maxReadIndexes = 100;
const spacingMs = 40;
/** Error bound of the difference of two marks: the wall clock is read in whole milliseconds. */
const clockErrorMs = 5;

/** The recent read indexes, in the order of their requests. */
export class ReadIndexes {
	#indexes: readonly ReadIndex[] = [];

	get latest(): ReadIndex | undefined {
		return this.#indexes.at(-1);
	}

	/** Adds a read index unless the latest one is almost as recent; returns whether it was added. */
	add(index: ReadIndex): boolean {
		const {latest} = this;
		if (latest && index.requestedAt.monotonicMs - latest.requestedAt.monotonicMs < spacingMs) {
			return false;
		}

		this.#indexes = [...this.#indexes, index].slice(-maxReadIndexes);
		return true;
	}

	/** Discards all read indexes, since another server leads. */
	clear(): void {
		this.#indexes = [];
	}

	/**
	The oldest read index that satisfies a read which arrived at `arrivedAt` and tolerates data of age `maximumAgeMs`.

	@example
	```
	const floor = indexes.oldestFor(time.mark(), 1500)?.position;
	```
	*/
	oldestFor(arrivedAt: clock.Mark, maximumAgeMs: number): ReadIndex | undefined {
		return this.#indexes.find(({requestedAt}) => clock.between(requestedAt, arrivedAt) <= maximumAgeMs - clockErrorMs);
	}

	/** The latest read index whose position a log that ends at `logEnd` contains. */
	containedIn(logEnd: statement.Position): ReadIndex | undefined {
		return this.#indexes.findLast(index => position.compare(index.position, logEnd) <= 0);
	}

	/** The latest read index that was requested before a clock time. */
	before(at: number): ReadIndex | undefined {
		return this.#indexes.findLast(({requestedAt}) => requestedAt.monotonicMs < at);
	}
}
