/**
Who may promote in each service. A claim is a conditional update of one object for each service in the store; the
object's new revision is the fencing token, so tokens increase whenever the holder changes.
*/
import * as Either from 'fp-ts/lib/Either.js';
import type * as types from '../generated/types.js';
import type * as clock from '../core/clock.js';
import type * as errors from '../core/errors.js';
import type * as random from '../core/random.js';
import type * as decisions from './decisions.js';
import type * as objects from './objects.js';

/** What claims need. */
export type Parts = {
	readonly host: string;
	readonly store: objects.Objects;
	readonly clock: clock.Clock;
	readonly random: random.Source;
	readonly decisions: decisions.Decisions;
};

/** A claim that this host holds: its fencing token. */
export type Held = {readonly service: string; readonly token: number};

type Known = {readonly revision: number; readonly value: types.PromotionClaim | undefined; readonly seenAt: number};

/** Time in ms for which a host leaves a service to another one that has claimed it. */
const holdMs = 4000;

/** The claims of all services. */
export class Claims {
	readonly #parts: Parts;
	readonly #known = new Map<string, Known>();

	constructor(parts: Parts) {
		this.#parts = parts;
	}

	/** Takes the present state of a service's claim from the store. */
	take(service: string, item: objects.Item<'claims'> | undefined): void {
		const known = this.#known.get(service);
		if (item && item.revision > (known?.revision ?? 0)) {
			this.#known.set(service, {revision: item.revision, value: item.value, seenAt: this.#parts.clock.now()});
		}
	}

	/** Whether anybody ever claimed the service. */
	isKnown(service: string): boolean {
		return this.#known.has(service);
	}

	/** Whether another host has claimed the service so recently that the promotion is left to it. */
	isLeftToOther(service: string): boolean {
		const known = this.#known.get(service);
		return known?.value !== undefined && known.value.holder !== this.#parts.host && this.#parts.clock.now() - known.seenAt < holdMs;
	}

	/**
	Claims a service. While the store is away, a claim that nobody is known to have replaced still counts; the authority
	refuses its token if somebody has.

	Errors: `conflict` when another host was first, `store`.
	*/
	async claim(service: string): Promise<errors.Outcome<Held>> {
		const value = {holder: this.#parts.host, nonce: this.#parts.random.name()};
		const known = this.#known.get(service);
		const outcome = known
			? await this.#parts.store.replace('claims', service, value, known.revision)
			: await this.#parts.store.create('claims', service, value);
		if (Either.isRight(outcome)) {
			this.take(service, outcome.right);
			return this.#hold(service, outcome.right.revision, 'stored');
		}

		const found = await this.#parts.store.read('claims', service);
		if (Either.isRight(found)) {
			this.take(service, found.right);
			return found.right?.value?.nonce === value.nonce
				? this.#hold(service, found.right.revision, 'stored, answer lost')
				: outcome;
		}

		return known?.value?.holder === this.#parts.host && outcome.left.kind === 'store'
			? this.#hold(service, known.revision, 'kept from an earlier claim, store away')
			: outcome;
	}

	#hold(service: string, token: number, how: string): errors.Outcome<Held> {
		this.#parts.decisions.record('promotion-claimed', {service, token, how});
		return Either.right({service, token});
	}
}
