/**
Connections to backend servers over the line protocol.
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

type PendingReply = {
	rows: string[];
	signature: string;
	refusal: statement.Refusal | null;
	message: string;
	readonly resolve: (outcome: errors.Outcome<statement.Reply>) => void;
};

/** Idle time after which the operating system sends the first keep-alive probe on a connection. */
const keepAliveIdleMs = 1000;
/** Name under which connections without a customer are opened. */
const ownName = 'sycamorering';

/** A connection to a backend server. Replies are matched to commands in order. */
export class Connection extends backend.Connection {
	override readonly server: string;
	readonly #socket: net.Socket;
	readonly #clock: clock.Clock;
	readonly #splitter = new line.Splitter();
	#pending: PendingReply[] = [];
	#outputBuffer = '';
	#isOpen = true;
	#isClosedByServer = false;
	/** Whether the reply to STARTUP, which has no COMPLETE line, has arrived. */
	#hasStarted = false;
	#closeReason = 'the connection was closed';

	constructor(socket: net.Socket, server: string, time: clock.Clock) {
		super();
		this.server = server;
		this.#socket = socket;
		this.#clock = time;
		socket.on('data', chunk => {
			this.#receive(chunk);
		});
		socket.on('error', error => {
			this.#closeReason = error.message;
		});
		socket.on('close', () => {
			this.#isClosedByServer = this.#isOpen;
			this.close();
		});
	}

	override get isOpen(): boolean {
		return this.#isOpen;
	}

	/** Whether the server, rather than this host, closed or reset the connection. */
	get isClosedByServer(): boolean {
		return this.#isClosedByServer;
	}

	/** Starts the session at the server, which gets the customer's name. The reply has no rows and no signature. */
	async start(service: string, customer: string, timeoutMs: number): Promise<errors.Outcome<statement.Reply>> {
		return this.#request(`STARTUP ${service} ${customer} ${this.server}\r\n`, timeoutMs);
	}

	override async send(command: statement.Command, timeoutMs: number): Promise<errors.Outcome<statement.Reply>> {
		return this.#request(line.formatCommand(command), timeoutMs);
	}

	override async requestStatus(command: statement.Command, timeoutMs: number): Promise<errors.Outcome<statement.ServerStatus>> {
		const outcome = await this.send(command, timeoutMs);
		if (Either.isLeft(outcome)) {
			return outcome;
		}

		const {refusal, message, rows} = outcome.right;
		return refusal === null
			? line.parseStatus(rows[0], this.server)
			: errors.fail('not-run', 'receive', this.server, `${refusal} ${message}`);
	}

	override async reset(timeoutMs: number): Promise<errors.Outcome<void>> {
		const outcome = await this.send({kind: 'reset'}, timeoutMs);
		if (Either.isLeft(outcome)) {
			return outcome;
		}

		if (outcome.right.refusal !== null) {
			return errors.fail('not-run', 'receive', this.server, `RESET failed with ${outcome.right.refusal}`);
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
		for (const {resolve} of pending) {
			resolve(errors.fail('outcome-unknown', 'receive', this.server, this.#closeReason));
		}
	}

	async #request(text: string, timeoutMs: number): Promise<errors.Outcome<statement.Reply>> {
		if (!this.#isOpen) {
			return errors.fail('not-run', 'send', this.server, this.#closeReason);
		}

		const reply = new Promise<errors.Outcome<statement.Reply>>(resolve => {
			this.#pending.push({
				rows: [], signature: '', refusal: null, message: '', resolve,
			});
		});
		if (this.#outputBuffer === '') {
			process.nextTick(() => {
				this.#flush();
			});
		}

		this.#outputBuffer += text;
		const outcome = await this.#clock.limit(reply, timeoutMs);
		if (outcome === undefined) {
			this.#closeReason = `no answer within ${Math.round(timeoutMs)} ms`;
			this.close();
			return reply;
		}

		return outcome;
	}

	#flush(): void {
		const text = this.#outputBuffer;
		this.#outputBuffer = '';
		if (this.#isOpen) {
			this.#socket.write(text, line.encoding);
		}
	}

	#receive(chunk: Uint8Array): void {
		const lines = this.#splitter.push(chunk);
		if (!lines) {
			this.#closeReason = 'the server sent a line that exceeds the maximum length';
			this.close();
			return;
		}

		for (const text of lines) {
			this.#handleLine(text);
		}
	}

	#handleLine(text: string): void {
		const [pending] = this.#pending;
		if (!pending) {
			this.#closeReason = 'the server sent a line while no command was pending';
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
			this.#completeReply(text, pending);
		}
	}

	#completeReply(text: string, {rows, signature, refusal, message, resolve}: PendingReply): void {
		const ready = line.parseReady(text);
		if (!ready || (signature === '' && refusal === null && this.#hasStarted)) {
			this.#closeReason = `unexpected line "${text.slice(0, 60)}" from the server`;
			this.close();
			return;
		}

		this.#hasStarted = true;
		this.#pending.shift();
		resolve(Either.right({
			rows, signature, refusal, message, ...ready,
		}));
	}
}

/** A backend server. Each connection sends the id that the server is expected to have. */
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

	override async connect(timeoutMs: number, customer = ownName): Promise<errors.Outcome<backend.Connection>> {
		const startedAt = this.#clock.now();
		const {host, port} = address.parse(this.#registration.address);
		const socket = net.connect({
			host, port, noDelay: true, keepAlive: true, keepAliveInitialDelay: keepAliveIdleMs,
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
		const outcome = await connection.start(this.#registration.service, customer, Math.max(1, timeoutMs - (this.#clock.now() - startedAt)));
		if (Either.isRight(outcome) && outcome.right.refusal === null) {
			return Either.right(connection);
		}

		// A server at its connection limit replies with an error, or accepts the connection and closes it.
		const isRefused = Either.isRight(outcome) || (isConnected && connection.isClosedByServer);
		connection.close();
		const reason = Either.isLeft(outcome) ? outcome.left.message : `${outcome.right.refusal ?? ''} ${outcome.right.message}`;
		return errors.fail('not-run', isRefused ? 'admit' : 'connect', this.name, isRefused ? `the server refused the connection: ${reason}` : reason);
	}
}
