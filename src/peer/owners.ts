/**
The other owners of a group, reached over links.
*/
import * as Either from 'fp-ts/lib/Either.js';
import type * as clock from '../core/clock.js';
import * as peers from '../core/peers.js';
import type * as ownership from '../core/ownership.js';
import type * as types from '../generated/types.js';
import type * as links from './links.js';

/** Asks and tells the other owners. */
export class Owners extends peers.Peers {
	readonly #links: links.Links;
	readonly #clock: clock.Clock;
	readonly #others: (group: string) => readonly ownership.Member[];

	/** `others`: the owners of a group other than this host. */
	constructor(opened: links.Links, time: clock.Clock, others: (group: string) => readonly ownership.Member[]) {
		super();
		this.#links = opened;
		this.#clock = time;
		this.#others = others;
	}

	override async corroborate(group: string, term: number, server: string, timeoutMs: number): Promise<readonly peers.Opinion[]> {
		const asked = this.#others(group).map(async other => this.#clock.limit(this.#ask(other, {group, term, server}, timeoutMs), timeoutMs));
		const opinions = await Promise.all(asked);
		return opinions.filter(opinion => opinion !== undefined);
	}

	override announce(group: string, term: number, server: string): void {
		const tell = async (other: ownership.Member): Promise<void> => {
			const peer = await this.#links.reach(other);
			peer?.tell({
				kind: 'primary-notice', group, term, server,
			});
		};

		for (const other of this.#others(group)) {
			void tell(other);
		}
	}

	async #ask(other: ownership.Member, query: Omit<types.SuspicionQuery, 'kind' | 'id'>, timeoutMs: number): Promise<peers.Opinion | undefined> {
		const peer = await this.#links.reach(other);
		const outcome = await peer?.ask({kind: 'suspicion-query', ...query}, timeoutMs);
		return outcome && Either.isRight(outcome) && outcome.right.kind === 'suspicion-report'
			? {host: other.name, place: other.place, isSuspected: outcome.right.suspected}
			: undefined;
	}
}
