/**
A caller whose requests a test submits one by one, and that records the replies.
*/
import * as caller from '../caller.js';
import type * as statement from '../statement.js';

const defaultOpening: caller.Opening = {database: 'd', key: 'u'};

/** A caller whose requests a test submits. */
export class Caller extends caller.Caller {
	override readonly address = 'test';
	readonly replies: statement.Reply[] = [];
	rejected: {refusal: statement.Refusal; message: string} | undefined;
	isAccepted = false;
	isClosed = false;
	/** Bytes that the session keeps, and those that it may keep. */
	keptBytes = 0;
	maxKeptBytes = Number.POSITIVE_INFINITY;
	/** Number of replies at the time of the close. */
	repliesAtClose: number | undefined;
	readonly #opening: caller.Opening;
	#requests: statement.Request[] = [];
	#wake: (() => void) | undefined;
	#count = 0;

	constructor(opening: caller.Opening = defaultOpening) {
		super();
		this.#opening = opening;
	}

	override get hasPendingRequest(): boolean {
		return this.#requests.length > 0 || this.#count > this.replies.length;
	}

	submit(submitted: statement.Statement): void {
		this.#count++;
		this.#requests.push({id: `q${this.#count}`, statement: submitted});
		this.#wake?.();
	}

	override keep(bytes: number): boolean {
		if (bytes > this.maxKeptBytes) {
			return false;
		}

		this.keptBytes = bytes;
		return true;
	}

	override async open(): Promise<caller.Opening> {
		return this.#opening;
	}

	override accept(): void {
		this.isAccepted = true;
	}

	override reject(refusal: statement.Refusal, message: string): void {
		this.rejected = {refusal, message};
		this.isClosed = true;
	}

	override async next(): Promise<statement.Request | undefined> {
		while (this.#requests.length === 0 && !this.isClosed) {
			await new Promise<void>(resolve => {
				this.#wake = resolve;
			});
		}

		return this.#requests.shift();
	}

	override reply(reply: statement.Reply): void {
		this.replies.push(reply);
	}

	override close(): void {
		this.isClosed = true;
		this.#requests = [];
		this.repliesAtClose ??= this.replies.length;
		this.#wake?.();
	}
}
