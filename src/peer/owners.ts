/**
Communication with the other owners of a group over links.
*/
import * as Either from 'fp-ts/lib/Either.js';
import type * as clock from '../core/clock.js';
import * as peers from '../core/peers.js';
import type * as ownership from '../core/ownership.js';
import type * as types from '../generated/types.js';
import type * as links from './links.js';

/** Sends queries and notices to the other owners. */
export class Owners extends peers.Peers {
	readonly #links: links.Links;
	readonly #clock: clock.Clock;
	readonly #otherOwners: (group: string) => readonly ownership.Member[];

	/** `otherOwners` returns the owners of a group except this host. */
	constructor(hostLinks: links.Links, time: clock.Clock, otherOwners: (group: string) => readonly ownership.Member[]) {
		super();
		this.#links = hostLinks;
		this.#clock = time;
		this.#otherOwners = otherOwners;
	}

	override async corroborate(group: string, term: number, server: string, timeoutMs: number): Promise<readonly peers.Vote[]> {
		const queries = this.#otherOwners(group).map(async other => this.#clock.limit(this.#query(other, {group, term, server}, timeoutMs), timeoutMs));
		const votes = await Promise.all(queries);
		return votes.filter(vote => vote !== undefined);
	}

	override announce(group: string, term: number, server: string): void {
		const notifyOwner = async (other: ownership.Member): Promise<void> => {
			const peer = await this.#links.connect(other);
			peer?.notify({
				kind: 'primary-notice', group, term, server,
			});
		};

		for (const other of this.#otherOwners(group)) {
			void notifyOwner(other);
		}
	}

	async #query(other: ownership.Member, query: Omit<types.SuspicionQuery, 'kind' | 'id'>, timeoutMs: number): Promise<peers.Vote | undefined> {
		const peer = await this.#links.connect(other);
		const outcome = await peer?.request({kind: 'suspicion-query', ...query}, timeoutMs);
		return outcome && Either.isRight(outcome) && outcome.right.kind === 'suspicion-report'
			? {host: other.name, place: other.place, isSuspected: outcome.right.suspected}
			: undefined;
	}
}
