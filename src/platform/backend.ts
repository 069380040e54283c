/**
Connections to backend servers by the line protocol.
*/
import * as net from 'node:net';
import process from 'node:process';
import * as Either from 'fp-ts/lib/Either.js';
import * as address from '../core/address.js';
import type * as clock from '../core/clock.js';
import * as errors from '../core/errors.js';
import type * as types from '../generated/types.js';
import * as backend from '../entry/backend.js';
import type * as statement from '../entry/statement.js';
import * as line from './line.js';

type Pending = {
	rows: string[];
	signature: string;
	refusal: statement.Refusal | null;
	message: string;
	readonly settle: (outcome: errors.Outcome<statement.Reply>) => void;
};

/** Pause in ms after which the operating system probes a connection without traffic. */
const keepAliveMs = 1000;

/** One connection. */
export class Connection extends backend.Connection {
	override readonly server: string;
	readonly #socket: net.Socket;
	readonly #clock: clock.Clock;
	readonly #splitter = new line.Splitter();
	#pending: Pending[] = [];
	#outgoing = '';
	#isOpen = true;
	#isEndedByServer = false;
	/** Whether the first answer, which has no line of completion, has arrived. */
	#isStarted = false;
	#reason = 'the connection was closed';

	constructor(socket: net.Socket, server: string, time: clock.Clock) {
		super();
		this.server = server;
		this.#socket = socket;
		this.#clock = time;
		socket.on('data', chunk => {
			this.#receive(chunk);
		});
		socket.on('error', error => {
			this.#reason = error.message;
		});
		socket.on('close', () => {
			this.#isEndedByServer = this.#isOpen;
			this.close();
		});
	}

	override get isOpen(): boolean {
		return this.#isOpen;
	}

	/** Whether the server closed or reset the connection, rather than this host. */
	get isEndedByServer(): boolean {
		return this.#isEndedByServer;
	}

	/** Starts the session at the server. The answer is that to a statement without rows. */
	async start(service: string, timeoutMs: number): Promise<errors.Outcome<statement.Reply>> {
		return this.#write(`STARTUP ${service} sycamorering ${this.server}\r\n`, timeoutMs);
	}

	override async send(command: statement.Command, timeoutMs: number): Promise<errors.Outcome<statement.Reply>> {
		return this.#write(line.formatCommand(command), timeoutMs);
	}

	override async ask(command: statement.Command, timeoutMs: number): Promise<errors.Outcome<statement.Standing>> {
		const outcome = await this.send(command, timeoutMs);
		if (Either.isLeft(outcome)) {
			return outcome;
		}

		const {refusal, message, rows} = outcome.right;
		return refusal === null
			? line.parseStanding(rows[0], this.server)
			: errors.fail('not-run', 'receive', this.server, `${refusal} ${message}`);
	}

	override async reset(timeoutMs: number): Promise<errors.Outcome<void>> {
		const outcome = await this.send({kind: 'reset'}, timeoutMs);
		if (Either.isLeft(outcome)) {
			return outcome;
		}

		if (outcome.right.refusal !== null) {
			return errors.fail('not-run', 'receive', this.server, `RESET was answered with ${outcome.right.refusal}`);
		}

		this.values.clear();
		this.prepared.clear();
		return Either.right(undefined);
	}

	override close(): void {
		if (!this.#isOpen) {
			return;
		}

		this.#isOpen = false;
		this.#socket.destroy();
		const pending = this.#pending;
		this.#pending = [];
		for (const {settle} of pending) {
			settle(errors.fail('outcome-unknown', 'receive', this.server, this.#reason));
		}
	}

	async #write(text: string, timeoutMs: number): Promise<errors.Outcome<statement.Reply>> {
		if (!this.#isOpen) {
			return errors.fail('not-run', 'send', this.server, this.#reason);
		}

		const answered = new Promise<errors.Outcome<statement.Reply>>(resolve => {
			this.#pending.push({
				rows: [], signature: '', refusal: null, message: '', settle: resolve,
			});
		});
		if (this.#outgoing === '') {
			process.nextTick(() => {
				this.#flush();
			});
		}

		this.#outgoing += text;
		const outcome = await this.#clock.limit(answered, timeoutMs);
		if (outcome === undefined) {
			this.#reason = `no answer within ${Math.round(timeoutMs)} ms`;
			this.close();
			return answered;
		}

		return outcome;
	}

	#flush(): void {
		const text = this.#outgoing;
		this.#outgoing = '';
		if (this.#isOpen) {
			this.#socket.write(text, line.encoding);
		}
	}

	#receive(chunk: Uint8Array): void {
		const found = this.#splitter.push(chunk);
		if (!found) {
			this.#reason = 'the server sent a line that is too long';
			this.close();
			return;
		}

		for (const text of found) {
			this.#take(text);
		}
	}

	#take(text: string): void {
		const [pending] = this.#pending;
		if (!pending) {
			this.#reason = 'the server sent what was not asked for';
			this.close();
			return;
		}

		if (text.startsWith('DATAROW ')) {
			pending.rows.push(text.slice('DATAROW '.length));
		} else if (text.startsWith('COMPLETE ')) {
			pending.signature = text.slice('COMPLETE '.length);
		} else if (text.startsWith('ERROR ')) {
			const [, code = '', message = ''] = line.split(text, 2);
			pending.refusal = line.parseRefusal(code);
			pending.message = message;
		} else {
			this.#finish(text, pending);
		}
	}

	#finish(text: string, {rows, signature, refusal, message, settle}: Pending): void {
		const ready = line.parseReady(text);
		if (!ready || (signature === '' && refusal === null && this.#isStarted)) {
			this.#reason = `unexpected line "${text.slice(0, 60)}" from the server`;
			this.close();
			return;
		}

		this.#isStarted = true;
		this.#pending.shift();
		settle(Either.right({
			rows, signature, refusal, message, ...ready,
		}));
	}
}

/** One backend server, under the id that it must have. */
export class Server extends backend.Server {
	readonly #registration: types.Registration;
	readonly #clock: clock.Clock;

	constructor(registration: types.Registration, time: clock.Clock) {
		super();
		this.#registration = registration;
		this.#clock = time;
	}

	override get name(): string {
		return this.#registration.id;
	}

	override get place(): string {
		return this.#registration.place;
	}

	override async connect(timeoutMs: number): Promise<errors.Outcome<backend.Connection>> {
		const startedAt = this.#clock.now();
		const {host, port} = address.parse(this.#registration.address);
		const socket = net.connect({
			host, port, noDelay: true, keepAlive: true, keepAliveInitialDelay: keepAliveMs,
		});
		const connection = new Connection(socket, this.name, this.#clock);
		let isConnected = false;
		const connected = new Promise<void>(resolve => {
			socket.once('connect', () => {
				isConnected = true;
				resolve();
			});
			socket.once('close', () => {
				resolve();
			});
		});
		await this.#clock.limit(connected, timeoutMs);
		const outcome = await connection.start(this.#registration.service, Math.max(1, timeoutMs - (this.#clock.now() - startedAt)));
		if (Either.isRight(outcome) && outcome.right.refusal === null) {
			return Either.right(connection);
		}

		// A server at its limit answers so, or ends the connection that it has accepted.
		const isRefused = Either.isRight(outcome) || (isConnected && connection.isEndedByServer);
		connection.close();
		const reason = Either.isLeft(outcome) ? outcome.left.message : `${outcome.right.refusal ?? ''} ${outcome.right.message}`;
		return errors.fail('not-run', isRefused ? 'admit' : 'connect', this.name, isRefused ? `the server refused the connection: ${reason}` : reason);
	}
}
