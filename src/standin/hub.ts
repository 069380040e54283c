/**
In-process links between the owners of a deployment. Messages use no sockets and are delayed as on the network between
the owners' places.
*/
import * as clock from '../core/clock.js';
import * as peers from '../core/peers.js';
import type * as promotion from '../core/promotion.js';
import type * as network from './network.js';

/** An owner that is connected to the hub. `promotion` returns its promotion task of a group, if it has one. */
export type Member = {
	readonly host: string;
	readonly place: string;
	readonly promotion: (group: string) => promotion.Promotion | undefined;
};

/** Connects owners with each other. */
export class Hub {
	readonly #members = new Map<string, Member>();
	readonly #clock = new clock.System();
	readonly #network: network.Network | undefined;

	constructor(links?: network.Network) {
		this.#network = links;
	}

	/** Connects an owner. */
	connect(member: Member): void {
		this.#members.set(member.host, member);
	}

	/** Disconnects an owner, which then neither sends nor receives messages. */
	disconnect(host: string): void {
		this.#members.delete(host);
	}

	/** The other connected owners; none if `host` itself is disconnected. */
	othersOf(host: string): readonly Member[] {
		return this.#members.has(host) ? [...this.#members.values()].filter(member => member.host !== host) : [];
	}

	/** Waits for the one-way delay between two places. */
	async waitDelay(from: string, to: string): Promise<void> {
		await this.#clock.sleep(this.#network?.delayMs(from, to) ?? 0);
	}
}

/** The peers of one owner on the hub. */
export class Peers extends peers.Peers {
	readonly #hub: Hub;
	readonly #host: string;
	readonly #place: string;

	constructor(hub: Hub, host: string, place: string) {
		super();
		this.#hub = hub;
		this.#host = host;
		this.#place = place;
	}

	override async corroborate(group: string, term: number, server: string): Promise<readonly peers.Vote[]> {
		return Promise.all(this.#hub.othersOf(this.#host).map(async ({host, place, promotion: promotionOf}) => {
			await this.#hub.waitDelay(this.#place, place);
			const isSuspected = promotionOf(group)?.suspects(term, server) ?? false;
			await this.#hub.waitDelay(place, this.#place);
			return {host, place, isSuspected};
		}));
	}

	override announce(group: string, term: number, server: string): void {
		for (const member of this.#hub.othersOf(this.#host)) {
			void this.#notify(member, group, term, server);
		}
	}

	async #notify({place, promotion: promotionOf}: Member, group: string, term: number, server: string): Promise<void> {
		await this.#hub.waitDelay(this.#place, place);
		promotionOf(group)?.receiveNotice(term, server);
	}
}
