/**
Faults around routes: configurations that move them while replicas fall behind.
*/
import type * as random from '../core/random.js';
import type * as contacts from './contact.js';
import * as faults from './fault.js';
import * as replicated from './replicated.js';
import type * as routes from './routes.js';
import * as sites from './site.js';

const maxStepMs = 250;
/** Longest time for which a replica stays behind by its whole lag. */
const maxLagDurationMs = 2500;
const minLagMs = 1200;
const maxLagMs = 2400;
/** Mean number of moves for one change to the third target of a route. */
const meanMovesPerChange = 4;
/** Longest time from the begin of one fault to that of the next. */
const maxGapMs = 400;

/** Moves a route from target to target, and then to its first one. Each step is a configuration. */
export class Move extends faults.Fault {
	readonly text: string;
	readonly scopes = [] as const;
	override readonly maxDurationMs: number;
	readonly #route: number;
	readonly #steps: ReadonlyArray<number | 'none'>;

	constructor(route: number, steps: ReadonlyArray<number | 'none'>) {
		super();
		this.#route = route;
		this.#steps = steps;
		this.maxDurationMs = maxStepMs * steps.length;
		this.text = `route ${route} moves to ${steps.join(', ')} and back`;
	}

	override begin(): void {
		// Each step waits for its part of the duration.
	}

	override async hold(site: sites.Site, durationMs: number): Promise<void> {
		const route = this.#find(site);
		for (const step of this.#steps) {
			route.move(step === 'none' ? undefined : route.targets[step]);
			site.configure();
			await site.time.sleep(durationMs / this.#steps.length);
		}
	}

	override end(site: sites.Site): void {
		this.#find(site).settle();
		site.configure();
	}

	#find(site: sites.Site): routes.Route {
		return site.movingRoutes[this.#route];
	}
}

/** Lets one replica of a group fall behind by more than a replica usually does, but less than reads tolerate. */
export class Lag extends faults.Fault {
	readonly text: string;
	override readonly maxDurationMs = maxLagDurationMs;
	readonly scopes: readonly contacts.Scope[];
	readonly #server: number;
	readonly #lagMs: number;

	constructor(server: number, lagMs: number) {
		super();
		this.#server = server;
		this.#lagMs = lagMs;
		this.scopes = [`server ${server}`];
		this.text = `server ${server} falls behind by ${lagMs} ms`;
	}

	override begin(site: sites.Site): void {
		site.backends[this.#server].server.lagMs = this.#lagMs;
	}

	/** Lasts until reads have met the replica behind by its whole lag. */
	override async hold(site: sites.Site, durationMs: number): Promise<void> {
		await super.hold(site, this.#lagMs + durationMs);
	}

	override end(site: sites.Site): void {
		site.backends[this.#server].server.lagMs = replicated.defaultLagMs;
	}
}

/** Draws moves of routes and replicas that fall behind, and other faults beside them in about half of the runs. */
export class Draw {
	readonly #random: random.Source;
	readonly #size: sites.Size;
	readonly #hasOthers: boolean;
	readonly #series: faults.Fault[] = [];

	constructor(source: random.Source, size: sites.Size) {
		this.#random = source;
		this.#size = size;
		this.#hasOthers = source.integer(0, 1) === 0;
	}

	draw(): faults.Fault {
		const next = this.#series.shift();
		if (next) {
			return next;
		}

		const group = this.#random.integer(0, this.#size.groups - 1);
		const replica = this.#random.integer(1, sites.serversPerGroup - 1);
		this.#series.push(...Array.from({length: this.#random.integer(2, 5)}, () => this.#drawMove()));
		if (this.#hasOthers) {
			this.#series.push(this.#random.integer(0, 2) === 0 ? new faults.PrimaryLoss(group) : faults.draw(this.#random, this.#size));
		}

		return new Lag((group * sites.serversPerGroup) + replica, this.#random.integer(minLagMs, maxLagMs));
	}

	drawGapMs(): number {
		return this.#random.integer(0, maxGapMs);
	}

	/**
	Draws a move of one to three targets, before and after each of which the route may be missing for a while. The third target
	of some routes changes their kind; others are missing meanwhile.
	*/
	#drawMove(): Move {
		const steps = Array.from({length: this.#random.integer(1, 3)}, (): ReadonlyArray<number | 'none'> => {
			const target = this.#random.integer(1, meanMovesPerChange) === 1 ? 2 : 1;
			return this.#random.integer(0, 1) === 0 ? ['none', target] : [target];
		});
		const last = this.#random.integer(0, 1) === 0 ? ['none' as const] : [];
		return new Move(this.#random.integer(0, this.#size.movingRoutes - 1), [...steps.flat(), ...last]);
	}
}
