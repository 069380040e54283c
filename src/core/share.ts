/**
How many connections to each server of a group a host may hold, and from when on.

Each of three owners has a quarter of the servers' limit. The last quarter is for a host that becomes owner before an
older owner has let go, or that is next in rank and was asked by hosts with another view.
*/
import type * as clock from './clock.js';
import * as ownership from './ownership.js';

/** Whether a host may use a group: it does not own it, waits for a former owner to let go, or owns it. */
export type Standing = 'none' | 'settling' | 'owner';

/**
Connections of each owner to one server, with the control connection included.

@example
```
share.count(16); //=> 4
```
*/
export function count(limit: number): number {
	return Math.floor(limit / (ownership.ownerCount + 1));
}

/** What a host knows of the others. Times in ms. */
export type Knowledge = {readonly listAgeMs: number; readonly staleMs: number; readonly links: number; readonly isAlone: boolean};

/**
Whether further connections may be opened: not by a host that neither has a recent host list nor hears of any peer,
since others may have taken its groups over.
*/
export function mayOpen({listAgeMs, staleMs, links, isAlone}: Knowledge): boolean {
	return isAlone || links > 0 || listAgeMs <= staleMs;
}

/** One host's standing towards one group. */
export class Share {
	readonly #clock: clock.Clock;
	readonly #self: string;
	readonly #settleMs: number;
	readonly #released = new Map<string, number>();
	#owners: readonly string[] = [];
	#former: readonly string[] = [];
	#ownedSince: number | undefined;
	#isAlone = false;

	constructor(time: clock.Clock, self: string, settleMs: number) {
		this.#clock = time;
		this.#self = self;
		this.#settleMs = settleMs;
	}

	get standing(): Standing {
		if (this.#ownedSince === undefined) {
			return 'none';
		}

		const earliest = this.#ownedSince - this.#settleMs;
		const areReleased = this.#former.length > 0 && this.#former.every(host => (this.#released.get(host) ?? Number.NEGATIVE_INFINITY) >= earliest);
		const isSettled = this.#clock.now() - this.#ownedSince >= this.#settleMs;
		return this.#isAlone || areReleased || isSettled ? 'owner' : 'settling';
	}

	/** Takes the owners of the present view. A host that knows of no other has nobody to wait for. */
	update(owners: readonly string[], isAlone: boolean): void {
		this.#isAlone = isAlone;
		if (!owners.includes(this.#self)) {
			this.#ownedSince = undefined;
			this.#released.clear();
		} else if (this.#ownedSince === undefined) {
			this.#ownedSince = this.#clock.now();
			this.#former = this.#owners.filter(host => !owners.includes(host));
		}

		this.#owners = owners;
	}

	/** Takes the word of a former owner that it holds no connections any more. */
	release(host: string): void {
		this.#released.set(host, this.#clock.now());
	}
}
