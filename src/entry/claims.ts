/**
Claims of the right to request a promotion in a service. A claim is a conditional update of the service's object in the
store. The object's new revision is the fencing token, so tokens increase whenever the holder changes, also when the store
was restored from a copy and has lost earlier claims.
*/
import * as Either from 'fp-ts/lib/Either.js';
import type * as types from '../generated/types.js';
import type * as clock from '../core/clock.js';
import type * as errors from '../core/errors.js';
import type * as random from '../core/random.js';
import type * as decisions from './decisions.js';
import type * as objects from './objects.js';

export type Options = {
	readonly host: string;
	readonly store: objects.Objects;
	readonly clock: clock.Clock;
	readonly random: random.Source;
	readonly decisions: decisions.Decisions;
	/** Called with each new claim of another host in a service, and its fencing token. */
	readonly onClaim?: (service: string, token: number) => void;
};

/** A claim held by this host, with its fencing token and how it came to be held, for the log. */
export type Claim = {readonly service: string; readonly token: number; readonly how: string};

/** The last claim in a service; without `revision`, the store no longer has it. `nonces` are those of recent claims. */
type Entry = {
	readonly revision: number | undefined;
	readonly value: types.PromotionClaim | undefined;
	readonly receivedAt: number;
	readonly nonces: readonly string[];
};

/** Time after receiving another host's claim during which this host starts no promotion in that service. */
const claimDurationMs = 4000;
/** Number of recent claims that are recognized when a restored store lists one of them again. */
const maxNonces = 16;

/** Makes claims for this host and tracks those of other hosts. */
export class Claims {
	readonly #options: Options;
	readonly #entries = new Map<string, Entry>();

	constructor(options: Options) {
		this.#options = options;
	}

	/**
	Updates a service's claim from the store; without an item, the store has none. Older revisions are ignored. A claim that
	a restored store has lost, or replaced by an earlier one, keeps its holder, who may still be carrying out the promotion.
	*/
	update(service: string, item: objects.Item<'claims'> | undefined): void {
		const entry = this.#entries.get(service);
		if (!item) {
			if (entry) {
				this.#entries.set(service, {...entry, revision: undefined});
			}

			return;
		}

		const {revision, value} = item;
		if (revision <= (entry?.revision ?? 0)) {
			return;
		}

		if (entry && value && entry.nonces.includes(value.nonce)) {
			this.#entries.set(service, {...entry, revision});
			return;
		}

		const nonces = [...entry?.nonces ?? [], ...(value ? [value.nonce] : [])].slice(-maxNonces);
		this.#entries.set(service, {
			revision, value, receivedAt: this.#options.clock.now(), nonces,
		});
		if (value && value.holder !== this.#options.host) {
			this.#options.onClaim?.(service, revision);
		}
	}

	/** Whether any host has ever claimed a promotion in the service. */
	wasClaimed(service: string): boolean {
		return this.#entries.has(service);
	}

	/** Whether another host claimed the promotion recently enough that this host must not start one. */
	isClaimedByOther(service: string): boolean {
		const entry = this.#entries.get(service);
		return entry?.value !== undefined && entry.value.holder !== this.#options.host && this.#options.clock.now() - entry.receivedAt < claimDurationMs;
	}

	/**
	Claims the promotion in a service. While the store is unavailable, this host's last claim stays usable if no newer claim
	is known. If another host has claimed the promotion since, the authority refuses the old token.

	Errors: `conflict` when another host claimed first, `store`.
	*/
	async claim(service: string): Promise<errors.Outcome<Claim>> {
		const {store, host, random: source} = this.#options;
		const value = {holder: host, nonce: source.id()};
		const outcome = await this.#write(service, value);
		if (Either.isRight(outcome)) {
			return this.#grant(service, outcome.right.revision, 'stored');
		}

		const found = await store.read('claims', service);
		if (Either.isRight(found)) {
			this.update(service, found.right);
			if (outcome.left.kind === 'store' && found.right?.value?.nonce === value.nonce) {
				return this.#grant(service, found.right.revision, 'stored, response lost');
			}

			return found.right === undefined && outcome.left.kind === 'conflict' ? this.#claimLost(service, value) : outcome;
		}

		const entry = this.#entries.get(service);
		return entry?.revision !== undefined && entry.value?.holder === host && outcome.left.kind === 'store'
			? this.#grant(service, entry.revision, 'kept from an earlier claim, store unavailable')
			: outcome;
	}

	/** Claims the promotion in a service whose earlier claim the store has lost. */
	async #claimLost(service: string, value: types.PromotionClaim): Promise<errors.Outcome<Claim>> {
		const outcome = await this.#write(service, value);
		return Either.isRight(outcome) ? this.#grant(service, outcome.right.revision, 'stored, the earlier claim was gone') : outcome;
	}

	/** Writes a claim in place of the last known one. */
	async #write(service: string, value: types.PromotionClaim): Promise<errors.Outcome<objects.Item<'claims'>>> {
		const {store} = this.#options;
		const revision = this.#entries.get(service)?.revision;
		const outcome = await (revision === undefined ? store.create('claims', service, value) : store.replace('claims', service, value, revision));
		if (Either.isRight(outcome)) {
			this.update(service, outcome.right);
		}

		return outcome;
	}

	#grant(service: string, token: number, how: string): errors.Outcome<Claim> {
		this.#options.decisions.record('promotion-claimed', {service, token, how});
		return Either.right({service, token, how});
	}
}
