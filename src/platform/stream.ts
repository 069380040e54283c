/**
The stream of a caller's connection: received lines in order, and replies. It reads no faster than lines are taken, and
counts what it holds in the memory budget.
*/
import type * as net from 'node:net';
import type * as budget from '../intake/budget.js';
import * as inbound from '../intake/inbound.js';
import type * as intakes from '../intake/intake.js';
import type * as watch from '../intake/watch.js';
import * as line from './line.js';

/** Received lines from which a connection isn't read until some are taken, so that 64 requests may be sent ahead. */
const maxQueuedLines = 64;
/** Bytes of received lines from which a connection isn't read. One line may be longer. */
const maxQueuedBytes = 131_072;
/** Memory for a received line besides its text. */
const lineBytes = 32;
/** Output that the caller hasn't taken from which its next request waits. */
const maxOutputBytes = 131_072;
/** Output up to which a connection isn't congested, so that it isn't counted. */
const minOutputBytes = 16_384;
/** What the kernel may hold for a connection that isn't read: the default size of its receive buffer. */
const kernelBytes = 131_072;

/** The stream of one connection. */
export class Stream extends inbound.Connection {
	override readonly side = 'caller';
	readonly #socket: net.Socket;
	readonly #intake: intakes.Intake;
	readonly #account: budget.Account;
	readonly #splitter = new line.Splitter();
	#queue: string[] = [];
	#queuedBytes = 0;
	/** Size of the line that `next` returned last, which counts until the next one is asked for. */
	#takenBytes = 0;
	/** Number of lines received; an incomplete line is identified by it. */
	#lineCount = 0;
	#isEnded = false;
	#isPaused = false;
	#isOpened = false;
	#isBusy = false;
	#usedAt: number;
	#stateBytes = 0;
	#wake: (() => void) | undefined;

	constructor(socket: net.Socket, intake: intakes.Intake) {
		super();
		this.#socket = socket;
		this.#intake = intake;
		this.#usedAt = intake.sweeps;
		this.#account = intake.enter(this);
		socket.on('data', chunk => {
			this.#receive(chunk);
		});
		socket.on('drain', () => {
			this.#countOutput();
			this.#wake?.();
		});
		// A reset is followed by `close`; for the session both mean that the caller has disconnected.
		socket.on('error', () => {
			socket.destroy();
		});
		socket.on('end', () => {
			this.#markEnded();
		});
		socket.on('close', () => {
			intake.leave(this, this.#account);
			this.#markEnded();
		});
		intake.takeSlot(this);
	}

	/** Whether a complete line was received that `next` has not returned. */
	get hasNext(): boolean {
		return this.#queue.length > 0;
	}

	override get activity(): watch.Activity {
		if (!this.#isOpened) {
			return {kind: 'opening', mark: 0};
		}

		if (this.#socket.writableLength > minOutputBytes) {
			return {kind: 'sending', mark: this.#socket.bytesWritten + pendingBytes(this.#socket)};
		}

		return this.#splitter.heldBytes > 0 && !this.#isPaused ? {kind: 'receiving', mark: this.#lineCount} : {kind: 'idle', mark: 0};
	}

	override get idleSince(): number | undefined {
		return this.#isBusy || this.hasNext ? undefined : this.#usedAt;
	}

	override shed(cause: inbound.Cause): void {
		// A session that has ended may still have output that its caller doesn't take.
		if (!this.#socket.destroyed) {
			this.#intake.record(cause, this, this.#socket.remoteAddress ?? '', this.#account.bytes);
			this.#discard();
			this.#socket.destroy();
			this.#markEnded();
		}
	}

	override resume(): void {
		this.#countInput();
	}

	/** Records that the session was accepted. */
	open(): void {
		this.#isOpened = true;
		this.#intake.open(this);
	}

	/** Waits for the next line, and until the caller has taken most of the previous reply; `undefined` at the end. */
	async next(): Promise<string | undefined> {
		this.#takenBytes = 0;
		while (!this.#isEnded && (this.#queue.length === 0 || this.#socket.writableLength > maxOutputBytes)) {
			await new Promise<void>(resolve => {
				this.#wake = resolve;
			});
		}

		const text = this.#queue.shift();
		if (text !== undefined) {
			this.#takenBytes = text.length + lineBytes;
			this.#queuedBytes -= this.#takenBytes;
			this.#countInput();
		}

		return text;
	}

	/**
	Counts a request until `finish`, with the session's values, which are sent along. Returns a promise if it has to wait
	for memory; the connection may have been shed after that.
	*/
	begin(bytes: number): Promise<void> | undefined {
		this.#isBusy = true;
		return this.#account.begin(bytes + this.#stateBytes);
	}

	/** Ends a request. The connection stays busy inside a transaction. */
	finish(isInTransaction: boolean): void {
		this.#isBusy = isInTransaction;
		this.#usedAt = this.#intake.sweeps;
		this.#account.set('request', 0);
	}

	/** Counts what the session keeps; false if the memory budget has no room for it. */
	keep(bytes: number): boolean {
		const isKept = this.#account.keep(bytes);
		this.#stateBytes = isKept ? bytes : this.#stateBytes;
		return isKept;
	}

	write(text: string): void {
		if (this.#socket.writable) {
			this.#socket.write(text, line.encoding);
			this.#countOutput();
		}
	}

	/** Stops reading, and closes the connection once pending output is written. */
	close(): void {
		this.#socket.pause();
		if (this.#socket.writableLength === 0) {
			// Closing in this turn leaves the caller the least time to send a request between the reply and the close.
			this.#socket.destroy();
		} else {
			this.#socket.destroySoon();
		}

		this.#markEnded();
	}

	#receive(chunk: Uint8Array): void {
		if (this.#isEnded) {
			return;
		}

		const lines = this.#splitter.push(chunk);
		if (!lines) {
			this.#refuseLength();
			return;
		}

		if (lines.length > 0) {
			this.#lineCount += lines.length;
			this.#queuedBytes += lines.reduce((sum, text) => sum + text.length + lineBytes, 0);
			this.#queue.push(...lines);
			this.#wake?.();
		}

		this.#countInput();
	}

	/** Answers a line that is too long and closes the connection. Lines received before it are discarded as well. */
	#refuseLength(): void {
		this.#intake.record('length', this, this.#socket.remoteAddress ?? '', this.#account.bytes);
		this.#discard();
		if (!this.#isBusy && this.#socket.writableLength === 0) {
			this.#socket.write(line.formatError('malformed', 'a message may have at most 1048576 bytes'), line.encoding);
		}

		this.#socket.destroySoon();
		this.#socket.pause();
		this.#markEnded();
	}

	#discard(): void {
		this.#queue = [];
		this.#queuedBytes = 0;
	}

	/** Counts received data, and stops or resumes reading. */
	#countInput(): void {
		if (this.#isEnded) {
			return;
		}

		this.#account.set('input', this.#splitter.heldBytes + this.#queuedBytes + this.#takenBytes + (this.#isPaused ? kernelBytes : 0));
		const shouldPause = this.#queue.length >= maxQueuedLines || this.#queuedBytes >= maxQueuedBytes || this.#account.isPaused;
		if (shouldPause !== this.#isPaused && !this.#socket.destroyed) {
			this.#isPaused = shouldPause;
			if (shouldPause) {
				this.#socket.pause();
			} else {
				this.#socket.resume();
			}
		}
	}

	#countOutput(): void {
		this.#account.set('output', this.#socket.writableLength > minOutputBytes ? this.#socket.writableLength : 0);
	}

	#markEnded(): void {
		this.#isEnded = true;
		this.#wake?.();
	}
}

/**
Bytes of the write in progress that the kernel has not taken. `writableLength` shrinks only at the end of a write, however
large; Node's own idle time-out reads the same value.
*/
function pendingBytes(socket: net.Socket): number {
	return -((socket as unknown as {_handle: {writeQueueSize: number} | null})._handle?.writeQueueSize ?? 0);
}
