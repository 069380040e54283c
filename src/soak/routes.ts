/**
Routes of the soak test. A route with several targets is moved by configurations: to another group, to another kind, away
and back.
*/
import type * as types from '../generated/types.js';
import type * as objects from './object.js';

/** A group that a route leads to, and the kind that it has there. */
export type Target = {readonly group: string; readonly kind: types.RouteKind};

/** What a route promises of the log at which a read runs. */
export type Guarantee = {
	/** Longest time since the acknowledgement of a commit that the log may lack. */
	readonly maxAgeMs: number;
	/** Whether the log contains all commits that the session was told of. */
	readonly includesOwn: boolean;
};

type Kind = Guarantee & Pick<objects.Route, 'type'>;

const kinds: Readonly<Record<types.RouteKind, Kind>> = {
	primary: {type: 'primary', maxAgeMs: 0, includesOwn: true},
	aged: {type: 'bounded_staleness', maxAgeMs: 1500, includesOwn: false},
	session: {type: 'read_your_writes', maxAgeMs: 2500, includesOwn: true},
};

/** One route. */
export class Route {
	readonly database: string;
	readonly targets: readonly Target[];
	#current: Target | undefined;

	constructor(database: string, targets: readonly Target[]) {
		this.database = database;
		this.targets = targets;
		[this.#current] = targets;
	}

	/** Leads the route to a target from the next configuration on; without one, that configuration has no such route. */
	move(target: Target | undefined): void {
		this.#current = target;
	}

	/** Leads the route to its first target. */
	settle(): void {
		[this.#current] = this.targets;
	}

	/** The route as the operators write it; `undefined` if the next configuration lacks it. */
	format(timeoutMs: number): objects.Route | undefined {
		if (!this.#current) {
			return undefined;
		}

		const {group, kind} = this.#current;
		const {type, maxAgeMs} = kinds[kind];
		return {
			database: this.database, service: group, type, maxAgeMs, timeoutMs,
		};
	}

	/**
	What is promised of a read at a group by every configuration that leads the route there, since hosts may have different
	ones in force; `undefined` if no configuration does.
	*/
	guarantee(group: string): Guarantee | undefined {
		const possible = this.targets.filter(target => target.group === group).map(({kind}) => kinds[kind]);
		if (possible.length === 0) {
			return undefined;
		}

		return {
			maxAgeMs: Math.max(...possible.map(({maxAgeMs}) => maxAgeMs)),
			includesOwn: possible.every(({includesOwn}) => includesOwn),
		};
	}
}

/** Creates a route of each kind to each group. */
export function createFixed(groups: readonly string[]): Route[] {
	return groups.flatMap(group => (['primary', 'aged', 'session'] as const).map(kind => new Route(`${group}-${kind}`, [{group, kind}])));
}

/** Creates routes that move between two groups. The second target of each is at the other group. */
export function createMoving([one = '', other = '']: readonly string[]): Route[] {
	return [
		new Route('moving-session', [{group: one, kind: 'session'}, {group: other, kind: 'session'}]),
		new Route('moving-strict', [{group: other, kind: 'session'}, {group: one, kind: 'session'}, {group: other, kind: 'primary'}]),
		new Route('moving-primary', [{group: one, kind: 'primary'}, {group: other, kind: 'aged'}]),
		new Route('moving-mixed', [{group: other, kind: 'session'}, {group: one, kind: 'aged'}, {group: other, kind: 'primary'}]),
	];
}
