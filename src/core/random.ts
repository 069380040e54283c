/**
Randomness, as an interface, so that tests and replays run with a fixed seed.
*/
import * as crypto from 'node:crypto';
import * as generators from 'pure-rand/generator/xoroshiro128plus';
import * as distributions from 'pure-rand/distribution/uniformInt';

/** A source of random numbers. */
export abstract class Source {
	/**
	A name of 16 hexadecimal digits.

	@example
	```
	const claimant = `${host}-${source.name()}`;
	```
	*/
	name(): string {
		const half = (): string => this.integer(0, 0xFF_FF_FF_FF).toString(16).padStart(8, '0');
		return half() + half();
	}

	/**
	A whole number from `low` to `high`, both included.

	@example
	```
	const delayMs = source.integer(50, 300);
	```
	*/
	abstract integer(low: number, high: number): number;
}

/** A generator that gives the same numbers for the same seed. */
export class Seeded extends Source {
	readonly #generator: ReturnType<typeof generators.xoroshiro128plus>;

	constructor(seed: number) {
		super();
		this.#generator = generators.xoroshiro128plus(seed);
	}

	override integer(low: number, high: number): number {
		return distributions.uniformInt(this.#generator, low, high);
	}
}

/** The operating system's generator. Names from it are unique across hosts and restarts. */
export class System extends Source {
	override integer(low: number, high: number): number {
		return crypto.randomInt(low, high + 1);
	}
}
