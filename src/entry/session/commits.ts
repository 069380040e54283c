/**
The commits of a session: for each service, the position in its log that the session's reads have to include. Together the
positions are a version vector, with one component for the log of each service.
*/
import * as position from '../../core/position.js';
import * as keeping from '../../intake/keeping.js';
import type * as statement from '../statement.js';

/** The latest commits of one session. */
export class Commits {
	/** By service; null where the session has sent a write and learned no position. `undefined` until the first write, since most sessions only read. */
	#positions: Map<string, statement.Position | null> | undefined;
	#bytes = 0;

	/** Memory that the entries take. */
	get bytes(): number {
		return this.#bytes;
	}

	/**
	Makes room for a commit at a service, before the write is sent: a commit that was confirmed can't be forgotten. Returns
	false if `mayKeep` refuses the size that the entries would have.

	@example
	```
	commits.reserve('ledgers', bytes => caller.keep(bytes));
	```
	*/
	reserve(service: string, mayKeep: (bytes: number) => boolean): boolean {
		if (this.#positions?.has(service)) {
			return true;
		}

		const bytes = this.#bytes + keeping.measure(service, '');
		if (!mayKeep(bytes)) {
			return false;
		}

		this.#positions ??= new Map();
		this.#positions.set(service, null);
		this.#bytes = bytes;
		return true;
	}

	/** Records a commit that was confirmed to the caller. An earlier one with a later position stays in force. */
	record(service: string, committed: statement.Position): void {
		this.#positions ??= new Map();
		this.#positions.set(service, position.latest(this.positionAt(service), committed));
	}

	/** The position that the session's reads have to include at a service; null if it has no commit there. */
	positionAt(service: string): statement.Position | null {
		return this.#positions?.get(service) ?? null;
	}
}
