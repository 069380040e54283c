/**
What a link that another host, or anybody else, has opened to this host holds: the frame that arrives, requests in
execution, and replies that the other end hasn't taken.
*/
import type * as net from 'node:net';
import type * as budget from '../intake/budget.js';
import * as inbound from '../intake/inbound.js';
import type * as intakes from '../intake/intake.js';
import type * as watch from '../intake/watch.js';

/** Memory for a request besides its frame. */
const requestBytes = 1024;
/** Part of the memory budget that the requests of one link may take before further ones are refused. */
const linkRatio = 0.25;
/** Weight of a frame in execution, as in `budget.ts`. */
const requestWeight = 4;

/** The traffic of one accepted link. */
export class Traffic extends inbound.Connection {
	override readonly side = 'link';
	readonly #socket: net.Socket;
	readonly #intake: intakes.Intake;
	readonly #account: budget.Account;
	readonly #close: () => void;
	/** Frame sizes of the requests in execution. */
	readonly #requests = new Map<unknown, number>();
	#receivedBytes = 0;
	#frameCount = 0;
	#requestBytes = 0;
	#outputBytes = 0;
	#usedAt: number;
	#isClosed = false;

	constructor(socket: net.Socket, intake: intakes.Intake, close: () => void) {
		super();
		this.#socket = socket;
		this.#intake = intake;
		this.#close = close;
		this.#usedAt = intake.sweeps;
		this.#account = intake.enter(this);
		// Before the listener of the library, so that a chunk is counted before the frame that it completes.
		socket.prependListener('data', (chunk: Uint8Array) => {
			this.#receivedBytes += chunk.length;
			this.#account.set('input', this.#receivedBytes);
		});
		socket.once('close', () => {
			this.#isClosed = true;
			intake.leave(this, this.#account);
		});
		intake.takeSlot(this);
	}

	override get activity(): watch.Activity {
		if (this.#frameCount === 0) {
			return {kind: 'opening', mark: 0};
		}

		return this.#receivedBytes > 0 ? {kind: 'receiving', mark: this.#frameCount} : {kind: 'idle', mark: 0};
	}

	override get idleSince(): number | undefined {
		return this.#requests.size > 0 ? undefined : this.#usedAt;
	}

	/** Whether a request should be refused, since it and the others in execution take too much memory. */
	get isOverloaded(): boolean {
		return this.#requests.size > 1 && this.#isLarge;
	}

	get #isLarge(): boolean {
		return this.#requestBytes * requestWeight > this.#intake.sizes.budgetBytes * linkRatio || this.#account.isPaused;
	}

	/** Records a complete frame, also one without a message. */
	receive(): void {
		this.#frameCount++;
		this.#receivedBytes = 0;
		this.#usedAt = this.#intake.sweeps;
		this.#account.set('input', 0);
		this.#intake.open(this);
	}

	/** Counts a message until `settle`. */
	begin(message: unknown, frameBytes: number): void {
		this.#requests.set(message, frameBytes + requestBytes);
		this.#countRequests(frameBytes + requestBytes);
	}

	settle(message: unknown): void {
		const bytes = this.#requests.get(message);
		if (bytes !== undefined) {
			this.#requests.delete(message);
			this.#countRequests(-bytes);
		}
	}

	/** Counts frames that are queued, or with a negative number that were written. */
	countOutput(bytes: number): void {
		this.#outputBytes += bytes;
		this.#account.set('output', this.#outputBytes);
	}

	override shed(cause: inbound.Cause): void {
		if (!this.#isClosed) {
			this.#isClosed = true;
			this.#intake.record(cause, this, this.#socket.remoteAddress ?? '', this.#account.bytes);
			this.#close();
		}
	}

	/** Links never stop reading, since small control messages must not wait behind large ones. */
	override resume(): void {
		// See above.
	}

	#countRequests(bytes: number): void {
		this.#requestBytes += bytes;
		this.#account.set('request', this.#requestBytes);
	}
}
