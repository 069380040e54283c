/**
The owners of a deployment in one process, linked without sockets: each answers the others after the delay of the link
between their places.
*/
import * as clock from '../core/clock.js';
import * as peers from '../core/peers.js';
import type * as promotion from '../core/promotion.js';
import type * as network from './network.js';

/** One owner. `promotion` finds the task of a group. */
export type Member = {
	readonly host: string;
	readonly place: string;
	readonly promotion: (group: string) => promotion.Promotion | undefined;
};

/** The owners that hear each other. */
export class Hub {
	readonly #members = new Map<string, Member>();
	readonly #clock = new clock.System();
	readonly #network: network.Network | undefined;

	constructor(links?: network.Network) {
		this.#network = links;
	}

	/** Adds an owner. */
	join(member: Member): void {
		this.#members.set(member.host, member);
	}

	/** Removes an owner; nobody hears it any more. */
	leave(host: string): void {
		this.#members.delete(host);
	}

	/** The owners that `host` hears. */
	others(host: string): readonly Member[] {
		return this.#members.has(host) ? [...this.#members.values()].filter(member => member.host !== host) : [];
	}

	/** Takes the time of one way between two places. */
	async travel(from: string, to: string): Promise<void> {
		await this.#clock.sleep(this.#network?.delay(from, to) ?? 0);
	}
}

/** The other owners as one owner hears them. */
export class Neighbours extends peers.Peers {
	readonly #hub: Hub;
	readonly #host: string;
	readonly #place: string;

	constructor(hub: Hub, host: string, place: string) {
		super();
		this.#hub = hub;
		this.#host = host;
		this.#place = place;
	}

	override async corroborate(group: string, term: number, server: string): Promise<readonly peers.Opinion[]> {
		return Promise.all(this.#hub.others(this.#host).map(async ({host, place, promotion: find}) => {
			await this.#hub.travel(this.#place, place);
			const isSuspected = find(group)?.opinion(term, server) ?? false;
			await this.#hub.travel(place, this.#place);
			return {host, place, isSuspected};
		}));
	}

	override announce(group: string, term: number, server: string): void {
		for (const member of this.#hub.others(this.#host)) {
			void this.#tell(member, group, term, server);
		}
	}

	async #tell({place, promotion: find}: Member, group: string, term: number, server: string): Promise<void> {
		await this.#hub.travel(this.#place, place);
		find(group)?.notice(term, server);
	}
}
