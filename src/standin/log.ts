/**
The replicated log of a stand-in server: entries with their terms, in order.
*/
import * as position from '../core/position.js';

/** One committed transaction. Index 1 is the first entry. */
export type Entry = {readonly term: number; readonly index: number; readonly writes: readonly string[]};

/** An append-only log that can be truncated at its end. */
export class Log {
	readonly #entries: Entry[] = [];
	readonly #history: Array<{term: number; start: number}> = [];

	get last(): position.Position {
		const entry = this.#entries.at(-1);
		return entry ? {term: entry.term, index: entry.index} : {term: 0, index: 0};
	}

	get history(): position.History {
		return this.#history;
	}

	get entries(): readonly Entry[] {
		return this.#entries;
	}

	/** Creates and appends the next entry, with this term. */
	append(term: number, writes: readonly string[]): Entry {
		const entry = {term, index: this.last.index + 1, writes};
		this.add(entry);
		return entry;
	}

	/** Adds an existing entry, such as one that was replicated from another server. */
	add(entry: Entry): void {
		if (this.#history.at(-1)?.term !== entry.term) {
			this.#history.push({term: entry.term, start: entry.index});
		}

		this.#entries.push(entry);
	}

	/** Removes all entries after `index`. */
	truncate(index: number): void {
		this.#entries.length = Math.min(index, this.#entries.length);
		while ((this.#history.at(-1)?.start ?? 0) > index) {
			this.#history.pop();
		}
	}

	/** The greatest index at which this log and one with the history `other` and the last index `otherLast` agree. */
	commonIndex(other: position.History, otherLast: number): number {
		let index = Math.min(this.last.index, otherLast);
		while (index > 0 && position.termAt(this.#history, index) !== position.termAt(other, index)) {
			index--;
		}

		return index;
	}
}
