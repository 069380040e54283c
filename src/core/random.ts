/**
Random numbers behind an interface, so that tests and replays can use a fixed seed.
*/
import * as crypto from 'node:crypto';
import * as generators from 'pure-rand/generator/xoroshiro128plus';
import * as distributions from 'pure-rand/distribution/uniformInt';

/** A source of random numbers. */
export abstract class Source {
	/**
	A random id of 16 hexadecimal digits.

	@example
	```
	const claimant = `${host}-${source.id()}`;
	```
	*/
	id(): string {
		const half = (): string => this.integer(0, 0xFF_FF_FF_FF).toString(16).padStart(8, '0');
		return half() + half();
	}

	/**
	An integer from `low` to `high`, both included.

	@example
	```
	const delayMs = source.integer(50, 300);
	```
	*/
	abstract integer(low: number, high: number): number;
}

/** A deterministic generator: the same seed gives the same numbers. */
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

/** The operating system's generator. Its ids are unique across hosts and restarts. */
export class System extends Source {
	override integer(low: number, high: number): number {
		return crypto.randomInt(low, high + 1);
	}
}
