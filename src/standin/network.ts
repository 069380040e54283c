/**
A simulated network between places. Each link from a place to an address is a relay.
*/
import * as relay from './relay.js';

/** One-way delays in ms of one user's network, from the table of users in the design page. */
export type Delays = {readonly betweenPlacesMs: number; readonly toCallersMs: number};

/** Delays by user. For both users, every place is in a separate region, so one delay applies between all places. */
export const delays: Readonly<Record<'cascade' | 'samlag' | 'none', Delays>> = {
	cascade: {betweenPlacesMs: 8, toCallersMs: 3},
	samlag: {betweenPlacesMs: 20, toCallersMs: 1},
	none: {betweenPlacesMs: 0, toCallersMs: 0},
};

/** State of a link. `silent`: drops all data, on new connections as well. `cut`: closes connections and refuses new ones. */
export type LinkState = 'open' | 'silent' | 'cut';

type Link = {readonly from: string; readonly to: string; readonly relay: relay.Relay};

/** The links between the places of a deployment. */
export class Network {
	readonly delays: Delays;
	readonly #links: Link[] = [];

	constructor(linkDelays: Delays) {
		this.delays = linkDelays;
	}

	/** One-way delay in ms between two places. */
	delayMs(from: string, to: string): number {
		return from === to ? 0 : this.delays.betweenPlacesMs;
	}

	/** Creates a link from one place to an address in another, and returns the link's local port. */
	async createLink(from: string, to: string, target: {readonly host: string; readonly port: number}): Promise<number> {
		const link = await relay.Relay.start(target, this.delayMs(from, to));
		this.#links.push({from, to, relay: link});
		return link.port;
	}

	/**
	Sets the state of the links that are opened from one place to another. `direction` restricts `silent` to one direction
	of the data.
	*/
	setLinks(from: string, to: string, state: LinkState, direction?: relay.Direction): void {
		for (const link of this.#links) {
			if (link.from === from && link.to === to) {
				applyState(link.relay, state, direction ? [direction] : relay.directions);
			}
		}
	}

	/** Sets the state of all links to a place, including those from within it. */
	setLinksTo(place: string, state: LinkState): void {
		for (const link of this.#links.filter(({to}) => to === place)) {
			applyState(link.relay, state, relay.directions);
		}
	}

	/** Sets the state of all links between a place and other places. */
	setExternalLinks(place: string, state: LinkState): void {
		for (const link of this.#links) {
			if (link.from !== link.to && (link.from === place || link.to === place)) {
				applyState(link.relay, state, relay.directions);
			}
		}
	}

	stop(): void {
		for (const link of this.#links) {
			link.relay.stop();
		}
	}
}

function applyState(link: relay.Relay, state: LinkState, directions: readonly relay.Direction[]): void {
	link.set({isRefusing: state === 'cut', silentDirections: state === 'silent' ? directions : []});
	if (state === 'cut') {
		link.cut();
	}
}
