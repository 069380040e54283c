/**
Another entry host, as this host forwards work to it: a link opened on demand, with one task that takes its messages.
*/
import * as Either from 'fp-ts/lib/Either.js';
import type * as clock from '../core/clock.js';
import * as errors from '../core/errors.js';
import type * as types from '../generated/types.js';
import type * as link from '../peer/link.js';
import type * as decisions from './decisions.js';
import * as notices from './notice.js';
import type * as statement from './statement.js';

/** What a peer needs. */
export type Parts = {
	readonly name: string;
	/** Address for links, IP:port. */
	readonly address: string;
	readonly clock: clock.Clock;
	readonly transport: link.Transport<types.EntryMessage>;
	readonly decisions: decisions.Decisions;
};

/** A request without the id that the link adds. */
export type Question = types.RunRequest | types.BeginRequest | types.StatementRequest | types.CommitRequest;
type Unnumbered<Q> = Q extends Question ? Omit<Q, 'id'> : never;
type Pending = {readonly delivery: link.Delivery; readonly settle: (outcome: errors.Outcome<statement.Reply>) => void};

/** Who follows the peer's view of the store: what it has already, and what takes the steps. */
export type Subscription = {
	readonly known: () => types.KnownRevisions;
	readonly take: (notice: types.StateNotice) => void;
};

/** Time in ms after which a link that could not be opened, or that failed, is tried again beside other hosts. */
const avoidMs = 500;
/** Longest wait in ms for a link to open: a few round trips between regions. */
const openLimitMs = 250;

/** One other host. */
export class Peer {
	readonly #parts: Parts;
	readonly #pending = new Map<number, Pending>();
	#link: link.Link<types.EntryMessage> | undefined;
	#opening: Promise<link.Link<types.EntryMessage> | undefined> | undefined;
	#failedAt = Number.NEGATIVE_INFINITY;
	#hasFailed = false;
	#isLeaving = false;
	#lastId = 0;
	#subscription: Subscription | undefined;

	constructor(parts: Parts) {
		this.#parts = parts;
	}

	get name(): string {
		return this.#parts.name;
	}

	get address(): string {
		return this.#parts.address;
	}

	get isOpen(): boolean {
		return this.#link !== undefined && !this.#link.closed.aborted;
	}

	/** Whether it should get new work. One that failed gets it once a link to it is open again. */
	get isUsable(): boolean {
		return this.isOpen ? !this.#isLeaving : !this.#hasFailed;
	}

	/** Opens a link unless there is one; one that failed is tried again after a pause. */
	prepare(): void {
		if (!this.isOpen && this.#parts.clock.now() - this.#failedAt >= avoidMs) {
			this.#opening ??= this.#open();
		}
	}

	/**
	Sends a request and gives the reply.

	Errors: `not-run` if it was not written; `outcome-unknown` if no reply came within `timeoutMs` or the link was lost.
	*/
	async ask(question: Unnumbered<Question>, timeoutMs: number): Promise<errors.Outcome<statement.Reply>> {
		const opened = await this.#reach(Math.min(openLimitMs, timeoutMs));
		if (!opened) {
			return errors.fail('not-run', 'forward', this.name, 'no link could be opened');
		}

		this.#lastId++;
		const id = this.#lastId;
		const replied = new Promise<errors.Outcome<statement.Reply>>(resolve => {
			this.#pending.set(id, {delivery: opened.send({...question, id}), settle: resolve});
		});
		const outcome = await this.#parts.clock.limit(replied, timeoutMs);
		this.#pending.delete(id);
		return outcome ?? errors.fail('outcome-unknown', 'forward', this.name, `no reply within ${Math.round(timeoutMs)} ms`);
	}

	/** Sends a message that has no reply, if the link is open; with the link, what it is about has ended as well. */
	tell(message: types.RollbackNotice): void {
		if (this.isOpen) {
			this.#link?.send(message);
		}
	}

	/** Has the state of the store and its changes sent; `undefined` ends it. */
	subscribe(subscription: Subscription | undefined): void {
		this.#subscription = subscription;
		if (this.isOpen) {
			this.#link?.send({kind: 'subscribe', isWanted: subscription !== undefined, known: subscription?.known() ?? notices.nothing});
		} else if (subscription) {
			this.prepare();
		}
	}

	/** Closes the link. */
	close(): void {
		this.#link?.close();
	}

	async #reach(timeoutMs: number): Promise<link.Link<types.EntryMessage> | undefined> {
		if (this.isOpen) {
			return this.#link;
		}

		this.#opening ??= this.#open();
		return this.#parts.clock.limit(this.#opening, timeoutMs);
	}

	async #open(): Promise<link.Link<types.EntryMessage> | undefined> {
		const opened = await this.#parts.transport.open(this.#parts.address);
		this.#opening = undefined;
		if (opened) {
			if (this.#hasFailed) {
				this.#parts.decisions.record('peer-regained', {peer: this.name, address: this.address});
			}

			this.#link = opened;
			this.#hasFailed = false;
			this.#isLeaving = false;
			if (this.#subscription) {
				this.subscribe(this.#subscription);
			}

			void this.#take(opened);
		} else {
			this.#fail('no link could be opened');
		}

		return opened;
	}

	/** The task of a link: takes its messages to its end. */
	async #take(opened: link.Link<types.EntryMessage>): Promise<void> {
		for (let message = await opened.next(); message; message = await opened.next()) {
			if (message.kind === 'reply') {
				this.#pending.get(message.id)?.settle(Either.right(message.reply));
			} else if (notices.isState(message)) {
				this.#subscription?.take(message);
			} else if (message.kind === 'leaving') {
				this.#isLeaving = true;
				this.#parts.decisions.record('peer-leaving', {peer: this.name});
			} else {
				opened.close(`the peer sent ${message.kind}, which only the opener of a link sends`);
			}
		}

		for (const {delivery, settle} of this.#pending.values()) {
			settle(delivery.state === 'written'
				? errors.fail('outcome-unknown', 'forward', this.name, 'the link was lost before the reply')
				: errors.fail('not-run', 'forward', this.name, 'the link was lost before the request was written'));
		}

		this.#fail('the link was lost');
	}

	#fail(reason: string): void {
		if (!this.#hasFailed) {
			this.#parts.decisions.record('peer-lost', {peer: this.name, address: this.address, reason});
		}

		this.#hasFailed = true;
		this.#failedAt = this.#parts.clock.now();
	}
}
