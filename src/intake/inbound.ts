/**
A connection that somebody opened to this process, as far as the limits of `src/intake` need it. Implementations own the
socket; decisions about it are made without one.
*/
import type * as watches from './watch.js';

/** What exceeded a limit. Each cause is a name of a decision, `intake-CAUSE`, and so a counter of its own. */
export type Cause = watches.Excess | 'memory' | 'descriptors' | 'length';

/** Kind of the connection. */
export type Side = 'caller' | 'link';

/** One connection. */
export abstract class Connection {
	abstract readonly side: Side;

	/** What the connection is doing, for the bounds on time. */
	abstract get activity(): watches.Activity;

	/** Number of the sweep since which the connection is idle; `undefined` while a request or a transaction is in progress. */
	abstract get idleSince(): number | undefined;

	/** Closes the connection at once because of a limit. What it has sent and isn't in execution is discarded. */
	abstract shed(cause: Cause): void;

	/** The memory budget has room again, so that a connection that stopped reading may go on. */
	abstract resume(): void;
}
