/**
MySQL protocol server for callers, based on mysql2's server. Each connection has one task, which reads a command, passes
it to the handler and writes the reply.
*/
import * as buffer from 'node:buffer';
import * as crypto from 'node:crypto';
import type * as net from 'node:net';
import * as mysql from 'mysql2';
import * as Either from 'fp-ts/lib/Either.js';
import * as errors from '../core/errors.js';
import type * as types from '../generated/types.js';
import * as internals from './internals.js';

/** A command of a caller. */
export type Command =
	| {readonly kind: 'query'; readonly sql: string}
	| {readonly kind: 'ping'}
	| {readonly kind: 'reset'}
	| {readonly kind: 'database'; readonly name: string}
	| {readonly kind: 'unsupported'; readonly code: number};

/** Authenticates and serves the connections of a server. `Account` is the result of authentication. */
export abstract class Handler<Account> {
	/**
	Returns the account of a user and the SHA-1 of the SHA-1 of its password, or a failure. A failure is sent to the caller
	unchanged, for example `database` with code 1040 for too many connections; only `denied` is replaced by a generic
	message.
	*/
	abstract findAccount(user: string): errors.Outcome<{account: Account; passwordHash: string}>;

	/** Serves one authenticated connection to its end. */
	abstract serve(connection: Connection, account: Account): Promise<void>;
}

/** MySQL error codes of failures that are not errors of the database. */
const errorCodes: Record<errors.Kind, number> = {
	'not-run': 1205,
	'outcome-unknown': 1180,
	'position-lost': 1792,
	directive: 1231,
	denied: 1045,
	database: 1105,
	settings: 1105,
	conflict: 1105,
	store: 1105,
	peer: 1105,
};

const characterSetUtf8mb4 = 45;
const statusAutocommit = 2;

const capabilityFlags = Object.values(internals.capabilities).reduce((sum, flag) => sum + flag, 0);

/** Longest command: the longest packet of the protocol. */
const maxCommandBytes = 16_777_216;
/** Commands from which a connection isn't read until some are taken. */
const maxQueuedCommands = 64;
/** Output that the caller hasn't taken from which its next command waits. */
const maxOutputBytes = 131_072;

/** A connection from a caller. */
export class Connection {
	readonly #driver: internals.ServerConnection;
	readonly #commands: Command[] = [];
	readonly #closed = new AbortController();
	/** Bytes received since the last command. */
	#receivedBytes = 0;
	#wake: (() => void) | undefined;

	constructor(driver: internals.ServerConnection) {
		this.#driver = driver;
		driver.stream.prependListener('data', (chunk: Uint8Array) => {
			this.#receivedBytes += chunk.length;
			if (this.#receivedBytes > maxCommandBytes) {
				this.close();
			}
		});
		driver.stream.on('drain', () => {
			this.#wake?.();
		});
		for (const event of ['query', 'stmt_prepare', 'stmt_execute', 'quit', 'init_db', 'ping', 'field_list']) {
			// The mysql2 library replies to a command itself unless it has a listener; `packet` below handles all commands.
			driver.on(event, () => {}); // eslint-disable-line @typescript-eslint/no-empty-function
		}

		driver.on('packet', (packet, _known, code) => {
			this.#receive(packet, code);
		});
		driver.on('error', () => {
			this.close();
		});
		driver.stream.on('close', () => {
			this.#markClosed();
		});
	}

	/** Aborts when either side closes the connection. */
	get closed(): AbortSignal {
		return this.#closed.signal;
	}

	/** Remote address, for logs. */
	get address(): string {
		return `${this.#driver.stream.remoteAddress ?? ''}:${this.#driver.stream.remotePort ?? 0}`;
	}

	/** Whether a command has arrived that `next` has not returned yet. */
	get hasNext(): boolean {
		return this.#commands.length > 0;
	}

	/** Waits for the next command; `undefined` once the connection is closed. */
	async next(): Promise<Command | undefined> {
		while ((this.#commands.length === 0 || this.#driver.stream.writableLength > maxOutputBytes) && !this.closed.aborted) {
			await new Promise<void>(resolve => {
				this.#wake = resolve;
			});
		}

		const command = this.closed.aborted ? undefined : this.#commands.shift();
		if (this.#commands.length === maxQueuedCommands - 1) {
			this.#driver.stream.resume();
		}

		return command;
	}

	/** Writes the reply to the command that `next` returned last. */
	reply(answer: types.Answer): void {
		this.#write(() => {
			if (answer.kind === 'rows') {
				this.#writeRows(answer);
			} else {
				this.#writeCompletion(answer);
			}
		});
	}

	/** Writes a failure as an error packet. Errors of the database are sent unchanged. */
	fail(failure: errors.Failure): void {
		this.#write(() => {
			this.#driver.writeError(toErrorPacket(failure));
		});
	}

	/** Closes the connection after sending all pending data. */
	finish(): void {
		this.#driver.stream.destroySoon();
		this.#markClosed();
	}

	/** Closes the connection immediately and discards unsent data. */
	close(): void {
		this.#driver.stream.destroy();
		this.#markClosed();
	}

	#receive(packet: internals.Packet, code: number): void {
		const command = parseCommand(packet, code);
		if (!command) {
			this.close();
			return;
		}

		this.#receivedBytes = 0;
		this.#commands.push(command);
		if (this.#commands.length >= maxQueuedCommands) {
			this.#driver.stream.pause();
		}

		this.#wake?.();
	}

	#markClosed(): void {
		this.#closed.abort();
		this.#wake?.();
	}

	#write(body: () => void): void {
		if (this.closed.aborted) {
			return;
		}

		// The command was packet 0 of its exchange, so the reply starts at 1.
		this.#driver.sequenceId = 1;
		this.#driver.stream.cork();
		body();
		this.#driver.stream.uncork();
		this.#driver._resetSequenceId();
	}

	#writeRows(answer: types.Rows): void {
		this.#driver.writeColumns(answer.columns.map(column => ({
			catalog: 'def', schema: '', table: '', orgTable: '', orgName: column.name, ...column,
		})));
		for (const row of answer.rows) {
			this.#driver.writeTextRow(row);
		}

		this.#driver.writeEof(0, statusAutocommit);
	}

	#writeCompletion(answer: types.Completion): void {
		const flags = this.#driver.clientHelloReply?.clientFlags ?? 0;
		// eslint-disable-next-line no-bitwise
		const isSessionTracked = (flags & internals.capabilities.sessionTrack) !== 0;
		if (answer.position && isSessionTracked) {
			this.#driver.writePacket(internals.createOkPacket(answer.affectedRows, answer.insertId, answer.position));
		} else {
			this.#driver.writeOk({affectedRows: answer.affectedRows, insertId: answer.insertId, serverStatus: statusAutocommit});
		}
	}
}

function toErrorPacket(failure: errors.Failure): {message: string; code: number} {
	return failure.kind === 'database'
		? {message: failure.message, code: failure.code === 0 ? errorCodes.database : failure.code}
		: {message: errors.describe(failure), code: errorCodes[failure.kind]};
}

function parseCommand(packet: internals.Packet, code: number): Command | undefined {
	packet.readInt8();
	switch (code) {
		case internals.commands.quit: {
			return undefined;
		}

		case internals.commands.query: {
			return {kind: 'query', sql: packet.readString(undefined, 'utf8')};
		}

		case internals.commands.initDb: {
			return {kind: 'database', name: packet.readString(undefined, 'utf8')};
		}

		case internals.commands.ping: {
			return {kind: 'ping'};
		}

		case internals.commands.resetConnection: {
			return {kind: 'reset'};
		}

		default: {
			return {kind: 'unsupported', code};
		}
	}
}

/** Verifies the token of the handshake against `passwordHash` (mysql_native_password). */
function isPasswordValid(handshake: internals.Handshake, passwordHash: string): boolean {
	const token = handshake.authToken;
	const expected = buffer.Buffer.from(passwordHash, 'hex');
	const sha1Bytes = 20;
	if (token.length === 0) {
		// Clients send an empty token for an empty password.
		return passwordHash === hashPassword('');
	}

	if (token.length !== sha1Bytes) {
		return false;
	}

	const mask = crypto.createHash('sha1')
		.update(handshake.authPluginData1)
		.update(handshake.authPluginData2.subarray(0, 12))
		.update(expected)
		.digest();
	// eslint-disable-next-line no-bitwise
	const firstHash = token.map((byte, index) => byte ^ (mask[index] ?? 0));
	const secondHash = crypto.createHash('sha1').update(firstHash).digest();
	return crypto.timingSafeEqual(secondHash, expected);
}

/**
Hashes a password for the configuration: SHA-1 of its SHA-1, in hex.

@example
```
server.hashPassword('secret'); //=> '14e65567abdb5135d0cfd9a70b3032c179a49ee7'
```
*/
export function hashPassword(password: string): string {
	const digest = crypto.createHash('sha1').update(password).digest();
	return crypto.createHash('sha1').update(digest).digest('hex');
}

/** A MySQL protocol server. */
export class Server<Account> {
	readonly #server: ReturnType<typeof mysql.createServer>;
	readonly #handler: Handler<Account>;
	readonly #version: string;
	readonly #connections = new Map<Connection, Promise<void>>();
	#lastConnectionId = 0;

	constructor(handler: Handler<Account>, version: string) {
		this.#handler = handler;
		this.#version = version;
		this.#server = mysql.createServer(driver => {
			this.#accept(driver as unknown as internals.ServerConnection);
		});
	}

	/** Starts listening; returns the port, which the system chooses for port 0. */
	async listen(host: string, port: number): Promise<number> {
		const listener = this.#listener();
		await new Promise<void>((resolve, reject) => {
			listener.once('error', reject);
			listener.listen(port, host, () => {
				listener.off('error', reject);
				resolve();
			});
		});
		return (listener.address() as net.AddressInfo).port;
	}

	/** Stops accepting connections. Open connections are not affected. */
	close(): void {
		this.#listener().close();
	}

	/** Closes the listener and all connections immediately. */
	stop(): void {
		this.close();
		for (const connection of this.#connections.keys()) {
			connection.close();
		}
	}

	/** Resolves when all open connections have ended. */
	async awaitClosed(): Promise<void> {
		await Promise.all(this.#connections.values());
	}

	#listener(): net.Server {
		return (this.#server as unknown as {_server: net.Server})._server;
	}

	#accept(driver: internals.ServerConnection): void {
		// With Nagle's algorithm each query took about 44 ms, because the last segment of the reply waits for an acknowledgement.
		driver.stream.setNoDelay(true);
		const connection = new Connection(driver);
		this.#lastConnectionId++;
		driver.serverHandshake({
			protocolVersion: 10,
			serverVersion: this.#version,
			connectionId: this.#lastConnectionId,
			statusFlags: statusAutocommit,
			characterSet: characterSetUtf8mb4,
			capabilityFlags,
			authCallback: (handshake, done) => {
				const outcome = this.#authenticate(handshake);
				if (Either.isLeft(outcome)) {
					done(null, toErrorPacket(outcome.left));
					return;
				}

				done(null);
				driver._resetSequenceId();
				void this.#serve(connection, outcome.right);
			},
		});
	}

	#authenticate(handshake: internals.Handshake): errors.Outcome<Account> {
		const result = this.#handler.findAccount(handshake.user);
		if (Either.isRight(result) && isPasswordValid(handshake, result.right.passwordHash)) {
			return Either.right(result.right.account);
		}

		if (Either.isLeft(result) && result.left.kind !== 'denied') {
			return result;
		}

		// The message is the same for an unknown user and a wrong password, so that user names can't be probed.
		return errors.fail('denied', 'authenticate', handshake.address, `access denied for user "${handshake.user}"`);
	}

	async #serve(connection: Connection, account: Account): Promise<void> {
		const task = this.#handler.serve(connection, account);
		this.#connections.set(connection, task);
		try {
			await task;
		} finally {
			// The last reply may not have been sent yet, for example during a drain.
			connection.finish();
			this.#connections.delete(connection);
		}
	}
}
