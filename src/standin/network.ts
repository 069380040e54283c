/**
The links between places, as relays. Each place reaches each address over a relay of its own.
*/
import * as relay from './relay.js';

/** One-way delays in ms of a user of the design page's table. */
export type Delays = {readonly betweenPlacesMs: number; readonly toCallersMs: number};

/** Every place of both users is in a region of its own. */
export const delays: Readonly<Record<'cascade' | 'samlag' | 'none', Delays>> = {
	cascade: {betweenPlacesMs: 8, toCallersMs: 3},
	samlag: {betweenPlacesMs: 20, toCallersMs: 1},
	none: {betweenPlacesMs: 0, toCallersMs: 0},
};

/** `silent`: nothing passes, on new connections neither. `cut`: connections are closed and refused. */
export type State = 'open' | 'silent' | 'cut';

type Link = {readonly from: string; readonly to: string; readonly relay: relay.Relay};

/** A network of places. */
export class Network {
	readonly delays: Delays;
	readonly #links: Link[] = [];

	constructor(linkDelays: Delays) {
		this.delays = linkDelays;
	}

	/** One-way delay in ms between two places. */
	delay(from: string, to: string): number {
		return from === to ? 0 : this.delays.betweenPlacesMs;
	}

	/** Makes a link from a place to an address at another; gives the port to connect to. */
	async link(from: string, to: string, target: {readonly host: string; readonly port: number}): Promise<number> {
		const started = await relay.Relay.start(target, this.delay(from, to));
		this.#links.push({from, to, relay: started});
		return started.port;
	}

	/** Changes every link from one place to another, in this direction of connecting. */
	set(from: string, to: string, state: State, direction?: relay.Direction): void {
		for (const link of this.#links) {
			if (link.from === from && link.to === to) {
				change(link.relay, state, direction ? [direction] : relay.directions);
			}
		}
	}

	/** Changes every link to a place, also those from within it. With `cut`, its server refuses connections. */
	reach(place: string, state: State): void {
		for (const link of this.#links.filter(({to}) => to === place)) {
			change(link.relay, state, relay.directions);
		}
	}

	/** Changes every link between a place and the others. */
	isolate(place: string, state: State): void {
		for (const link of this.#links) {
			if (link.from !== link.to && (link.from === place || link.to === place)) {
				change(link.relay, state, relay.directions);
			}
		}
	}

	/** Stops every link. */
	stop(): void {
		for (const link of this.#links) {
			link.relay.stop();
		}
	}
}

function change(link: relay.Relay, state: State, concerned: readonly relay.Direction[]): void {
	link.set({isRefusing: state === 'cut', silent: state === 'silent' ? concerned : []});
	if (state === 'cut') {
		link.cut();
	}
}
