/**
The operators' configuration as an entry host has it. A version is only ever replaced by a higher one.
*/
import type * as types from '../generated/types.js';
import type * as clock from '../core/clock.js';
import * as notifier from '../core/notifier.js';
import type * as decisions from './decisions.js';

/** Idle time in ms of a transaction while no configuration says otherwise. */
const defaultIdleTransactionMs = 3000;

/** The newest configuration. */
export class Deployment {
	/** Wakes those who wait for a configuration. */
	readonly changed = new notifier.Notifier();
	readonly #clock: clock.Clock;
	readonly #decisions: decisions.Decisions;
	#content: types.Deployment | undefined;
	#routes: ReadonlyMap<string, types.Route> = new Map();

	constructor(time: clock.Clock, record: decisions.Decisions) {
		this.#clock = time;
		this.#decisions = record;
	}

	get content(): types.Deployment | undefined {
		return this.#content;
	}

	get idleTransactionMs(): number {
		return this.#content?.idleTransactionMs ?? defaultIdleTransactionMs;
	}

	/** Takes a version if it is higher than the present one. `source` says where it came from. */
	accept(content: types.Deployment, source: string): void {
		if (this.#content && content.version <= this.#content.version) {
			return;
		}

		this.#decisions.record('configuration-accepted', {
			version: content.version, replaced: this.#content?.version ?? 0, routes: content.routes.length, source,
		});
		this.#content = content;
		this.#routes = new Map(content.routes.map(route => [route.database, route]));
		this.changed.notify();
	}

	/** The route of a database name. */
	route(database: string): types.Route | undefined {
		return this.#routes.get(database);
	}

	/** Whether there is a configuration, waiting for the first one for up to `ms`. */
	async awaitFirst(ms: number): Promise<boolean> {
		const end = this.#clock.now() + ms;
		for (let left = ms; !this.#content && left > 0; left = end - this.#clock.now()) {
			await this.#clock.limit(this.changed.next(), left);
		}

		return this.#content !== undefined;
	}
}
