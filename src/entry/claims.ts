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
	/** Called when the last claim in a service, which has `token` now, is released. */
	readonly onRelease?: (service: string, token: number) => void;
	/** Revision of the store up to which this process knows the claims; `undefined` before it has read them from the store. */
	readonly revision?: () => number | undefined;
};

/** A claim held by this host, with its fencing token and how it came to be held, for the log. */
export type Claim = {readonly service: string; readonly token: number; readonly how: string};

/**
What is known of the orders in a service that were sent before this process read the claims. `token` is that of the last
claim, 0 if the store has none.

- `unread`: this process has not read the claims from the store.
- `closed`: none can be carried out any more.
- `open`: one may be. The last claim is not released, or the store was restored from a copy that may lack it.
*/
export type Standing = {readonly kind: 'unread' | 'closed' | 'open'; readonly token: number};

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
/** Time from a claim to its release: longer than most attempts, and shorter than hosts wait for news of a claim. */
const releaseDelayMs = 3000;

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

	/**
	What is known of the earlier orders, if the authority refuses all orders with tokens below `settledToken`.

	@example
	```
	const isKnown = claims.standing('ledgers', group.confirmations.settledToken).kind === 'closed';
	```
	*/
	standing(service: string, settledToken: number): Standing {
		const read = this.#options.revision?.();
		const entry = this.#entries.get(service);
		const token = entry?.revision ?? 0;
		if (read === undefined) {
			return {kind: 'unread', token};
		}

		const {generation} = revisions.split(read);
		if (token === 0) {
			// A store that was never restored has lost no claim.
			return {kind: generation === 0 || settledToken >= revisions.combine({generation, counter: 0}) ? 'closed' : 'open', token};
		}

		return {kind: isClosed(entry) || settledToken >= token ? 'closed' : 'open', token};
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

		if (entry && value && entry.nonces.includes(value.nonce)) {
			// A restored store may list an earlier claim, whose release says nothing of the last one.
			this.#set(service, {...entry, revision, isReleased: isReleased(value) && value.nonce === entry.value?.nonce});
		} else {
			this.#add(service, item, entry);
		}
	}

	/** Whether any host has ever claimed a promotion in the service. */
	wasClaimed(service: string): boolean {
		return this.#entries.has(service);
	}

	/** Whether another process claimed the promotion recently enough that this one must not start one. */
	isClaimedByOther(service: string): boolean {
		const entry = this.#entries.get(service);
		return entry?.value !== undefined && !entry.isMade && this.#options.clock.now() - entry.receivedAt < claimDurationMs;
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

	/** Notes a claim that this process has not seen before. */
	#add(service: string, {revision, value}: objects.Item<'claims'>, earlier: Entry | undefined): void {
		const isMade = value !== undefined && value.nonce === this.#made.get(service);
		const wasReleased = isReleased(value);
		this.#set(service, {
			revision,
			value,
			// Nobody orders under a claim that is released when a process first sees it.
			receivedAt: wasReleased && !earlier ? Number.NEGATIVE_INFINITY : this.#options.clock.now(),
			nonces: [...earlier?.nonces ?? [], ...(value ? [value.nonce] : [])].slice(-maxNonces),
			isMade,
			isHeld: isMade,
			isReleased: wasReleased,
		});
		if (value && !isMade && !wasReleased) {
			this.#options.onClaim?.(service, revision);
		}
	}

	#set(service: string, entry: Entry): void {
		this.#entries.set(service, entry);
		if (entry.revision !== undefined && isClosed(entry)) {
			this.#options.onRelease?.(service, entry.revision);
		}
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

function isReleased(value: types.PromotionClaim | undefined): boolean {
	return value?.holder === '';
}

/** Whether a claim was released, and the store was not restored since: a later claim may be lost otherwise. */
function isClosed(entry: Entry | undefined): boolean {
	return entry?.isReleased === true && entry.value !== undefined && entry.revision !== undefined && generationOf(entry.value.nonce) === revisions.split(entry.revision).generation;
}

/** Generation of the store in which a claim was made, by its nonce; 0 for hosts of builds that don't note it. */
function generationOf(nonce: string): number {
	const [generation, id] = nonce.split('.');
	return id === undefined ? 0 : Number(generation);
}
