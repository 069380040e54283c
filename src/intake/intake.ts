/**
Limits of one process on callers, links and probes that nobody controls: a memory budget, slots for connections, and one
task that checks the time bounds of all connections.
*/
import type * as clock from '../core/clock.js';
import type * as decisions from '../entry/decisions.js';
import * as budgets from './budget.js';
import type * as inbound from './inbound.js';
import type * as sizes from './sizes.js';
import * as slots from './slots.js';
import * as watches from './watch.js';

/** Sweeps for which the budget may stay tight, with large holders paused, before the largest of them are closed. */
const tightSweeps = 2;

export type Options = {readonly clock: clock.Clock; readonly decisions: decisions.Decisions; readonly sizes: sizes.Sizes};

/** The limits of one process. */
export class Intake {
	readonly budget: budgets.Budget;
	readonly sizes: sizes.Sizes;
	readonly #options: Options | undefined;
	readonly #slots: Readonly<Record<inbound.Side, slots.Slots>>;
	readonly #watches = new Map<inbound.Connection, watches.Watch>();
	#sweeps = 0;
	#tightSince: number | undefined;

	/** Without options nothing is limited, as in tests of connections. */
	constructor(options?: Options) {
		this.#options = options;
		this.sizes = options?.sizes ?? unlimited;
		this.budget = new budgets.Budget(this.sizes.budgetBytes);
		this.#slots = {caller: new slots.Slots(this.sizes.callers), link: new slots.Slots(this.sizes.links)};
	}

	/** Number of sweeps since the start, one a second: a coarse time that costs nothing to read. */
	get sweeps(): number {
		return this.#sweeps;
	}

	/** Admits a connection and opens its account. It may be shed at once. */
	enter(connection: inbound.Connection): budgets.Account {
		const account = this.budget.open(connection);
		this.#watches.set(connection, new watches.Watch());
		return account;
	}

	/** Takes a slot for a connection that was admitted, for which another one may be shed. If there is none, it is shed itself. */
	takeSlot(connection: inbound.Connection): void {
		if (!this.#slots[connection.side].enter(connection)) {
			connection.shed('descriptors');
		}
	}

	/** Records that a connection was opened, so that silent ones are shed before it. */
	open(connection: inbound.Connection): void {
		this.#slots[connection.side].open(connection);
	}

	/** Ends what `enter` began. */
	leave(connection: inbound.Connection, account: budgets.Account): void {
		this.#slots[connection.side].leave(connection);
		this.#watches.delete(connection);
		account.close();
	}

	/** Counts and logs a connection that is shed. */
	record(cause: inbound.Cause, {side}: inbound.Connection, address: string, heldBytes: number): void {
		this.#options?.decisions.request(`intake-${cause}`, '-', {
			side, address, heldBytes, usedBytes: this.budget.usedBytes,
		});
	}

	/** Sweeps all connections once a second until `signal` aborts. */
	async run(signal: AbortSignal): Promise<void> {
		while (!signal.aborted && this.#options) {
			await this.#options.clock.sleep(watches.sweepMs, signal);
			this.sweep();
		}
	}

	/** Checks the time bounds of all connections, and sheds the largest holders if the budget has been tight for a while. */
	sweep(): void {
		this.#sweeps++;
		for (const [connection, watch] of this.#watches) {
			const excess = watch.sweep(connection.activity);
			if (excess) {
				connection.shed(excess);
			}
		}

		this.#tightSince = this.budget.isTight ? this.#tightSince ?? this.#sweeps : undefined;
		if (this.#tightSince !== undefined && this.#sweeps - this.#tightSince >= tightSweeps) {
			this.#tightSince = undefined;
			this.budget.shedLargest();
		}
	}
}

const unlimited: sizes.Sizes = {
	budgetBytes: Number.POSITIVE_INFINITY,
	callers: Number.POSITIVE_INFINITY,
	links: Number.POSITIVE_INFINITY,
	openingLinks: Number.POSITIVE_INFINITY,
	probes: Number.POSITIVE_INFINITY,
};
