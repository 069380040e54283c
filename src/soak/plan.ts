/**
Plans of a soak test: which faults are injected, for how long, and at which intervals.
*/
import type * as random from '../core/random.js';
import * as randoms from '../core/random.js';
import * as faults from './fault.js';
import * as moves from './moves.js';
import * as promotions from './promotions.js';
import type * as loads from './load.js';
import type * as sites from './site.js';

/** Name of a plan. */
export type Kind = 'mixed' | 'restores' | 'returns' | 'stalls' | 'overload' | 'promotions' | 'customers' | 'routes';

/** A fault and its duration. */
export type Step = {readonly fault: faults.Fault; readonly durationMs: number};

const maxGapMs = 1500;
const minDurationMs = 100;
/** Longest time from the begin of one step of planned work to that of the next. */
const maxWorkGapMs = 600;
const minCopyAgeMs = 1000;
const maxCopyAgeMs = 9000;
/** Longest time from a stall of commits, or the order of a promotion, until a dark replica is back. */
const maxReturnMs = 400;

/** Mean number of faults around promotions for one killed claimant. */
const meanFaultsPerKill = 3;

/** Draws one fault after another. */
export abstract class Plan {
	readonly #source: random.Source;

	constructor(source: random.Source) {
		this.#source = source;
	}

	next(): Step {
		const fault = this.draw();
		const durationMs = this.#source.integer(minDurationMs, fault.maxDurationMs);
		return {fault, durationMs};
	}

	/** Draws the time from the begin of one fault to that of the next. */
	drawGapMs(): number {
		return this.#source.integer(0, maxGapMs);
	}

	protected abstract draw(): faults.Fault;
}

/**
Any faults but restores. The draws come from the random source of the whole run, as they did when the seeds of the
regression tests were recorded, so a seed keeps the size of its deployment and its first fault; the draws of callers and
servers, which depend on the timing, come in between the later ones.
*/
class Mixed extends Plan {
	readonly #draw: () => faults.Fault;

	constructor(source: random.Source, size: sites.Size) {
		super(source);
		this.#draw = () => faults.draw(source, size);
	}

	protected override draw(): faults.Fault {
		return this.#draw();
	}
}

/**
Series with a restore of the store: a primary is lost before it and another one after it, with a new configuration on
either side, and any fault follows. The draws come from a source of their own, so a seed has the same faults in each run;
they share no seeds with `Mixed`.
*/
class Restores extends Plan {
	readonly #random: random.Source;
	readonly #size: sites.Size;
	readonly #series: faults.Fault[] = [];

	constructor(source: random.Source, size: sites.Size) {
		super(source);
		this.#random = source;
		this.#size = size;
	}

	protected override draw(): faults.Fault {
		const next = this.#series.shift();
		if (next) {
			return next;
		}

		const group = this.#random.integer(0, this.#size.groups - 1);
		this.#series.push(
			...this.#shuffle(new faults.StoreChange('configure'), new faults.PrimaryLoss(group)),
			new faults.Restoration(this.#random.integer(0, 1) === 0 ? 'refused' : 'silent', this.#random.integer(minCopyAgeMs, maxCopyAgeMs)),
			...this.#shuffle(new faults.StoreChange('configure'), new faults.PrimaryLoss(group)),
		);
		return faults.draw(this.#random, this.#size);
	}

	#shuffle(one: faults.Fault, other: faults.Fault): readonly faults.Fault[] {
		return this.#random.integer(0, 1) === 0 ? [one, other] : [other, one];
	}
}

/**
Series in which commits stall and a dark replica returns, with any fault beside each. The draws come from a source of their
own, like those of `Restores`.
*/
class Returns extends Plan {
	readonly #random: random.Source;
	readonly #size: sites.Size;
	#isStarved = false;

	constructor(source: random.Source, size: sites.Size) {
		super(source);
		this.#random = source;
		this.#size = size;
	}

	protected override draw(): faults.Fault {
		this.#isStarved = !this.#isStarved;
		return this.#isStarved
			? new faults.Starvation(this.#random.integer(0, this.#size.groups - 1), this.#random.integer(0, 1) === 0 ? 'stall' : 'order', this.#random.integer(0, maxReturnMs))
			: faults.draw(this.#random, this.#size);
	}
}

/**
Planned work: SIGTERM to one host after the other, each followed by further steps while the host shuts down. The draws come
from a source of their own, like those of `Restores`.
*/
abstract class PlannedWork extends Plan {
	protected readonly random: random.Source;
	protected readonly size: sites.Size;
	readonly #series: faults.Fault[] = [];
	#next: number;

	constructor(source: random.Source, size: sites.Size) {
		super(source);
		this.random = source;
		this.size = size;
		this.#next = source.integer(0, size.hosts - 1);
	}

	override drawGapMs(): number {
		return this.random.integer(0, maxWorkGapMs);
	}

	protected override draw(): faults.Fault {
		const next = this.#series.shift();
		if (next) {
			return next;
		}

		const host = this.#next;
		this.#next = (host + 1) % this.size.hosts;
		this.#series.push(...this.drawBeside(host));
		return new faults.Signal(host, 'SIGTERM');
	}

	protected drawChange(): faults.Fault {
		return this.random.integer(0, 1) === 0 ? new faults.Signal(this.random.integer(0, this.size.hosts - 1), 'SIGHUP') : new faults.StoreChange('configure');
	}

	/** Draws the steps between the SIGTERM of `host` and that of the next one. */
	protected abstract drawBeside(host: number): readonly faults.Fault[];
}

/** Planned work with stalls of the host that shuts down, of another one, or of all. */
class Stalls extends PlannedWork {
	protected override drawBeside(host: number): readonly faults.Fault[] {
		const all = Array.from({length: this.size.hosts}, (_, index) => index);
		const drawStall = (): faults.Fault => {
			const target = this.random.integer(0, 5);
			const one = target === 0 ? this.random.integer(0, this.size.hosts - 1) : host;
			return new faults.Stall(target === 1 ? all : [one]);
		};

		return [drawStall(), drawStall(), this.drawChange(), drawStall()];
	}
}

/** Planned work on hosts that share their cores with more busy processes than there are cores. */
class Overload extends PlannedWork {
	protected override drawBeside(): readonly faults.Fault[] {
		return Array.from({length: this.random.integer(1, 4)}, () => this.drawChange());
	}
}

/** Any faults, with a replaced key after each. The draws come from a source of their own, like those of `Restores`. */
class Customers extends Plan {
	readonly #random: random.Source;
	readonly #size: sites.Size;
	#isKeyNext = false;

	constructor(source: random.Source, size: sites.Size) {
		super(source);
		this.#random = source;
		this.#size = size;
	}

	protected override draw(): faults.Fault {
		this.#isKeyNext = !this.#isKeyNext;
		return this.#isKeyNext ? faults.draw(this.#random, this.#size) : new faults.StoreChange('replace key');
	}
}

/**
Promotions in a row, and now and then a claimant that is killed while its order is outstanding. The draws come from sources of
their own, like those of `Restores`.
*/
class Promotions extends Plan {
	readonly #draw: promotions.Draw;
	readonly #kills: random.Source;

	constructor(source: random.Source, size: sites.Size, seed: number) {
		super(source);
		this.#draw = new promotions.Draw(source, size);
		this.#kills = new randoms.Seeded(seed);
	}

	protected override draw(): faults.Fault {
		return this.#kills.integer(1, meanFaultsPerKill) === 1 ? this.#draw.drawKill(this.#kills) : this.#draw.draw();
	}
}

/** Routes that move between groups while replicas fall behind. The draws come from a source of their own, like those of `Restores`. */
class Routes extends Plan {
	readonly #draw: moves.Draw;

	constructor(source: random.Source, size: sites.Size) {
		super(source);
		this.#draw = new moves.Draw(source, size);
	}

	override drawGapMs(): number {
		return this.#draw.drawGapMs();
	}

	protected override draw(): faults.Fault {
		return this.#draw.draw();
	}
}

/**
Gives plans of planned work quick callers, and more of them where connections allow: a stall meets only the sessions that a
host is about to close. The plan of promotions saturates the servers.
*/
export function adapt(kind: Kind, size: sites.Size): sites.Size {
	if (kind === 'promotions') {
		return {
			...size, hosts: 7, groups: 3, connections: 24, callers: 36, hasQuickCallers: true, slots: 1, maxWorkMs: 12,
		};
	}

	if (kind === 'customers') {
		return {
			...size, hosts: 5, connections: 8, callers: 24, hasQuickCallers: true, customers: 4,
		};
	}

	if (kind === 'routes') {
		return {
			...size, groups: 2, callers: 32, hasQuickCallers: true, movingRoutes: 4,
		};
	}

	const factor = size.connections > size.hosts ? 2 : 1;
	return kind === 'stalls' || kind === 'overload' ? {...size, callers: size.callers * factor, hasQuickCallers: true} : size;
}

/** Draws the cores of the hosts and the busy processes on them; `undefined` for plans that leave the hosts alone. */
export function drawLoad(kind: Kind, seed: number): loads.Demand | undefined {
	if (kind !== 'overload') {
		return undefined;
	}

	const source = new randoms.Seeded(seed);
	const cores = source.integer(1, 2);
	return {cores, processes: cores + source.integer(1, 2)};
}

/** Creates a plan. `source` is the random source of the run with this seed. */
export function create(kind: Kind, {seed, source, size}: {readonly seed: number; readonly source: random.Source; readonly size: sites.Size}): Plan {
	switch (kind) {
		case 'mixed': {
			return new Mixed(source, size);
		}

		case 'restores': {
			return new Restores(new randoms.Seeded(seed), size);
		}

		case 'returns': {
			return new Returns(new randoms.Seeded(seed), size);
		}

		case 'stalls': {
			return new Stalls(new randoms.Seeded(seed), size);
		}

		case 'overload': {
			return new Overload(new randoms.Seeded(seed), size);
		}

		case 'customers': {
			return new Customers(new randoms.Seeded(seed), size);
		}

		case 'routes': {
			return new Routes(new randoms.Seeded(seed), size);
		}

		case 'promotions': {
			return new Promotions(new randoms.Seeded(seed), size, seed);
		}
	}
}
