/**
Claims of the right to request a promotion in a service. A claim is a conditional update of the service's object in the
store. The object's new revision is the fencing token, so tokens increase whenever the holder changes, also when the store
was restored from a copy and has lost earlier claims.

The holder releases its claim once no order under it, or under an earlier one, can be carried out any more. A process that
has just started goes by that, see `recovery/recovery.ts`. Only the process that made a claim may release it, since it may
order under it, and it orders nothing after that.
*/
import * as Either from 'fp-ts/lib/Either.js';
import type * as types from '../generated/types.js';
import type * as clock from '../core/clock.js';
import * as errors from '../core/errors.js';
import type * as random from '../core/random.js';
import type * as decisions from './decisions.js';
import type * as objects from './objects.js';
import * as revisions from './revision.js';

export type Options = {
	readonly host: string;
	readonly store: objects.Objects;
	readonly clock: clock.Clock;
	readonly random: random.Source;
	readonly decisions: decisions.Decisions;
	/** Called with each new claim of another process in a service, and its fencing token. */
	readonly onClaim?: (service: string, token: number) => void;
	/** Revision of the store up to which this process knows the claims; `undefined` before it has read them from the store. */
	readonly revision?: () => number | undefined;
};

/** A claim held by this host, with its fencing token and how it came to be held, for the log. */
export type Claim = {readonly service: string; readonly token: number; readonly how: string};

/**
What the store says of the orders in a service that were sent before this process read it:

- `unread`: this process has not read the claims yet.
- `closed`: none under a claim up to `token` can be carried out any more, and there is no later claim.
- `open`: one may be, under a claim up to `token`: the last claim is not released, or the store was restored from a copy that
  may lack it.
*/
export type Standing =
	| {readonly kind: 'unread'}
	| {readonly kind: 'closed' | 'open'; readonly token: number};

/** Token for a question about the claims of a service that doesn't name one. */
export const unspecifiedToken = revisions.combine({generation: 1, counter: 0});

/** The last claim in a service; without `revision`, the store no longer has it. `nonces` are those of recent claims. */
type Entry = {
	readonly revision: number | undefined;
	readonly value: types.PromotionClaim | undefined;
	readonly receivedAt: number;
	readonly nonces: readonly string[];
	/** Whether this process made the claim, and whether it may still order under it: it has not begun to release it. */
	readonly isMade: boolean;
	readonly isHeld: boolean;
	readonly isReleased: boolean;
};

/** Time after receiving another host's claim during which this host starts no promotion in that service. */
const claimDurationMs = 4000;
/** Number of recent claims that are recognized when a restored store lists one of them again. */
const maxNonces = 16;
/** Time from a claim to its release: other hosts must not claim earlier than after `claimDurationMs`. */
const releaseDelayMs = 5000;

/** Makes claims for this host and tracks those of other hosts. */
export class Claims {
	/** Resolves when this process has read the claims from the store. */
	readonly whenRead: Promise<void>;
	readonly #options: Options;
	readonly #entries = new Map<string, Entry>();
	/** Nonce of the last claim that this process made, by service. */
	readonly #made = new Map<string, string>();
	#resolveRead: (() => void) | undefined;

	constructor(options: Options) {
		this.#options = options;
		this.whenRead = new Promise(resolve => {
			this.#resolveRead = resolve;
		});
	}

	/** Records that the claims have been updated up to the revision of the options. */
	recordRead(): void {
		if (this.#options.revision?.() !== undefined) {
			this.#resolveRead?.();
		}
	}

	/** What the store says of the orders in a service that were sent before this process started. */
	standing(service: string): Standing {
		const read = this.#options.revision?.();
		if (read === undefined) {
			return {kind: 'unread'};
		}

		const entry = this.#entries.get(service);
		const {generation} = revisions.split(read);
		if (entry?.revision === undefined) {
			// A store that was never restored has lost no claim.
			return {kind: generation === 0 ? 'closed' : 'open', token: revisions.combine({generation, counter: 0})};
		}

		const {revision, value, isReleased} = entry;
		const isClosed = isReleased && value !== undefined && generationOf(value.nonce) === revisions.split(revision).generation;
		return {kind: isClosed ? 'closed' : 'open', token: revision};
	}

	/** Whether this host has seen the claim that has `token`, or a later one. No claim has a token whose counter is 0. */
	hasSeen(service: string, token: number): boolean {
		return revisions.split(token).counter === 0 || (this.#entries.get(service)?.revision ?? 0) >= token;
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

		const isReleased = value?.holder === '';
		if (entry && value && entry.nonces.includes(value.nonce)) {
			// A restored store may list an earlier claim, whose release says nothing of the last one.
			this.#entries.set(service, {...entry, revision, isReleased: isReleased && value.nonce === entry.value?.nonce});
			return;
		}

		const isMade = value !== undefined && value.nonce === this.#made.get(service);
		const nonces = [...entry?.nonces ?? [], ...(value ? [value.nonce] : [])].slice(-maxNonces);
		this.#entries.set(service, {
			revision, value, receivedAt: this.#options.clock.now(), nonces, isMade, isHeld: isMade, isReleased,
		});
		if (value && !isMade && !isReleased) {
			this.#options.onClaim?.(service, revision);
		}
	}

	/** Whether any host has ever claimed a promotion in the service. */
	wasClaimed(service: string): boolean {
		return this.#entries.has(service);
	}

	/** Whether another process claimed the promotion recently enough that this one must not start one. */
	isClaimedByOther(service: string): boolean {
		const entry = this.#entries.get(service);
		return entry?.value !== undefined && !entry.isReleased && !entry.isMade && this.#options.clock.now() - entry.receivedAt < claimDurationMs;
	}

	/** Whether this process holds a claim that is old enough to be released. */
	isReleasable(service: string): boolean {
		const entry = this.#entries.get(service);
		return entry?.isHeld === true && entry.revision !== undefined && this.#options.clock.now() - entry.receivedAt >= releaseDelayMs;
	}

	/**
	Releases this process's claim, under which it orders nothing from now on. No order under it, or under an earlier claim, may
	be carried out any more. A failure costs hosts that start a question or an order, so the call is not repeated.
	*/
	async release(service: string): Promise<void> {
		const {store, decisions: record} = this.#options;
		const entry = this.#entries.get(service);
		if (!entry?.isHeld || entry.revision === undefined || entry.value === undefined) {
			return;
		}

		this.#entries.set(service, {...entry, isHeld: false});
		// Hosts tell by the nonce whether the release is from before a restoration of the store.
		if (generationOf(entry.value.nonce) !== revisions.split(entry.revision).generation) {
			return;
		}

		const outcome = await store.replace('claims', service, {holder: '', nonce: entry.value.nonce}, entry.revision);
		record.record('claim-released', {service, token: entry.revision, result: Either.isRight(outcome) ? 'stored' : errors.describe(outcome.left)});
		if (Either.isRight(outcome)) {
			this.update(service, outcome.right);
		}
	}

	/**
	Claims the promotion in a service. While the store is unavailable, this host's last claim stays usable if no newer claim
	is known. If another host has claimed the promotion since, the authority refuses the old token.

	Errors: `conflict` when another host claimed first, `store`.
	*/
	async claim(service: string): Promise<errors.Outcome<Claim>> {
		const {store, host, random: source} = this.#options;
		const {generation} = revisions.split(Math.max(this.#options.revision?.() ?? 0, this.#entries.get(service)?.revision ?? 0));
		const value = {holder: host, nonce: `${generation}.${source.id()}`};
		this.#made.set(service, value.nonce);
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
		return entry?.revision !== undefined && entry.isHeld && outcome.left.kind === 'store'
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

/** Generation of the store in which a claim was made, by its nonce; 0 for hosts of builds that don't note it. */
function generationOf(nonce: string): number {
	const [generation, id] = nonce.split('.');
	return id === undefined ? 0 : Number(generation);
}
