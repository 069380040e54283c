/**
The MySQL protocol towards callers, by mysql2's server: one task for each connection, which reads a command, has it
answered and writes the answer.
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

/** What a server does with its connections. `Account` is what authentication found. */
export abstract class Handler<Account> {
	/**
	The account of a user and the SHA-1 of the SHA-1 of its password, or the reason of the refusal.
	A refusal passes as it is, for example `database` with code 1040 for too many connections; one of kind `denied` says
	no more than that the access is denied.
	*/
	abstract find(user: string): errors.Outcome<{account: Account; passwordHash: string}>;

	/** Serves one authenticated connection to its end. */
	abstract serve(connection: Connection, account: Account): Promise<void>;
}

/** MySQL's code for each kind of failure that is not an error of the database. */
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

/** One caller's connection. */
export class Connection {
	readonly #wire: internals.ServerConnection;
	readonly #commands: Command[] = [];
	readonly #closed = new AbortController();
	#wake: (() => void) | undefined;

	constructor(wire: internals.ServerConnection) {
		this.#wire = wire;
		for (const event of ['query', 'stmt_prepare', 'stmt_execute', 'quit', 'init_db', 'ping', 'field_list']) {
			// The library answers a command by itself unless it has a listener; `packet` below takes them all.
			wire.on(event, () => {}); // eslint-disable-line @typescript-eslint/no-empty-function
		}

		wire.on('packet', (packet, _known, code) => {
			this.#receive(packet, code);
		});
		wire.on('error', () => {
			this.close();
		});
		wire.stream.on('close', () => {
			this.#end();
		});
	}

	/** Aborts when the connection is closed by either side. */
	get closed(): AbortSignal {
		return this.#closed.signal;
	}

	/** Address of the caller, for logs. */
	get address(): string {
		return `${this.#wire.stream.remoteAddress ?? ''}:${this.#wire.stream.remotePort ?? 0}`;
	}

	/** Whether a command has arrived that `next` has not given yet. */
	get hasNext(): boolean {
		return this.#commands.length > 0;
	}

	/** The next command, or `undefined` at the end of the connection. */
	async next(): Promise<Command | undefined> {
		while (this.#commands.length === 0 && !this.closed.aborted) {
			await new Promise<void>(resolve => {
				this.#wake = resolve;
			});
		}

		return this.closed.aborted ? undefined : this.#commands.shift();
	}

	/** Writes the answer to the command that `next` gave last. */
	reply(answer: types.Answer): void {
		this.#write(() => {
			if (answer.kind === 'rows') {
				this.#writeRows(answer);
			} else {
				this.#writeCompletion(answer);
			}
		});
	}

	/** Writes a failure as an error packet. Errors of the database pass unchanged. */
	fail(failure: errors.Failure): void {
		this.#write(() => {
			this.#wire.writeError(writeFailure(failure));
		});
	}

	/** Closes the connection once everything that was written has been sent. */
	finish(): void {
		this.#wire.stream.destroySoon();
		this.#end();
	}

	/** Closes the connection at once; what has not been sent is dropped. */
	close(): void {
		this.#wire.stream.destroy();
		this.#end();
	}

	#receive(packet: internals.Packet, code: number): void {
		const command = readCommand(packet, code);
		if (!command) {
			this.close();
			return;
		}

		this.#commands.push(command);
		this.#wake?.();
	}

	#end(): void {
		this.#closed.abort();
		this.#wake?.();
	}

	#write(body: () => void): void {
		if (this.closed.aborted) {
			return;
		}

		// The command was packet 0 of its exchange, so the answer begins with 1.
		this.#wire.sequenceId = 1;
		this.#wire.stream.cork();
		body();
		this.#wire.stream.uncork();
		this.#wire._resetSequenceId();
	}

	#writeRows(answer: types.Rows): void {
		this.#wire.writeColumns(answer.columns.map(column => ({
			catalog: 'def', schema: '', table: '', orgTable: '', orgName: column.name, ...column,
		})));
		for (const row of answer.rows) {
			this.#wire.writeTextRow(row);
		}

		this.#wire.writeEof(0, statusAutocommit);
	}

	#writeCompletion(answer: types.Completion): void {
		const flags = this.#wire.clientHelloReply?.clientFlags ?? 0;
		// eslint-disable-next-line no-bitwise
		const isTracking = (flags & internals.capabilities.sessionTrack) !== 0;
		if (answer.position && isTracking) {
			this.#wire.writePacket(internals.okWithPosition(answer.affectedRows, answer.insertId, answer.position));
		} else {
			this.#wire.writeOk({affectedRows: answer.affectedRows, insertId: answer.insertId, serverStatus: statusAutocommit});
		}
	}
}

function writeFailure(failure: errors.Failure): {message: string; code: number} {
	return failure.kind === 'database'
		? {message: failure.message, code: failure.code === 0 ? errorCodes.database : failure.code}
		: {message: errors.describe(failure), code: errorCodes[failure.kind]};
}

function readCommand(packet: internals.Packet, code: number): Command | undefined {
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

/**
Whether `token` proves knowledge of the password behind `passwordHash` (mysql_native_password).
*/
function isPasswordValid(handshake: internals.Handshake, passwordHash: string): boolean {
	const token = handshake.authToken;
	const expected = buffer.Buffer.from(passwordHash, 'hex');
	const digestLength = 20;
	if (token.length === 0) {
		// A driver sends no token for an empty password.
		return passwordHash === hashPassword('');
	}

	if (token.length !== digestLength) {
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
The hash of a password as the configuration stores it.

@example
```
server.hashPassword('secret'); //=> '14e65567abdb5135d0cfd9a70b3032c179a49ee7'
```
*/
export function hashPassword(password: string): string {
	const first = crypto.createHash('sha1').update(password).digest();
	return crypto.createHash('sha1').update(first).digest('hex');
}

/** A listening server. */
export class Server<Account> {
	readonly #server: ReturnType<typeof mysql.createServer>;
	readonly #handler: Handler<Account>;
	readonly #version: string;
	readonly #connections = new Map<Connection, Promise<void>>();
	#lastConnectionId = 0;

	constructor(handler: Handler<Account>, version: string) {
		this.#handler = handler;
		this.#version = version;
		this.#server = mysql.createServer(wire => {
			this.#accept(wire as unknown as internals.ServerConnection);
		});
	}

	/** Listens; gives the port, which is useful with port 0. */
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

	/** Accepts no further connections. Those that are open go on. */
	close(): void {
		this.#listener().close();
	}

	/** Closes the listener and every connection at once. */
	stop(): void {
		this.close();
		for (const connection of this.#connections.keys()) {
			connection.close();
		}
	}

	/** Resolves when every connection has ended. */
	async finish(): Promise<void> {
		await Promise.all(this.#connections.values());
	}

	#listener(): net.Server {
		return (this.#server as unknown as {_server: net.Server})._server;
	}

	#accept(wire: internals.ServerConnection): void {
		// Without this each query took about 44 ms, because the answer's last segment waits for an acknowledgement.
		wire.stream.setNoDelay(true);
		const connection = new Connection(wire);
		this.#lastConnectionId++;
		wire.serverHandshake({
			protocolVersion: 10,
			serverVersion: this.#version,
			connectionId: this.#lastConnectionId,
			statusFlags: statusAutocommit,
			characterSet: characterSetUtf8mb4,
			capabilityFlags,
			authCallback: (handshake, done) => {
				const outcome = this.#authenticate(handshake);
				if (Either.isLeft(outcome)) {
					done(null, writeFailure(outcome.left));
					return;
				}

				done(null);
				wire._resetSequenceId();
				void this.#serve(connection, outcome.right);
			},
		});
	}

	#authenticate(handshake: internals.Handshake): errors.Outcome<Account> {
		const found = this.#handler.find(handshake.user);
		if (Either.isRight(found) && isPasswordValid(handshake, found.right.passwordHash)) {
			return Either.right(found.right.account);
		}

		if (Either.isLeft(found) && found.left.kind !== 'denied') {
			return found;
		}

		// The same text for an unknown user and a wrong password, so that accounts can't be guessed one by one.
		return errors.fail('denied', 'authenticate', handshake.address, `access denied for user "${handshake.user}"`);
	}

	async #serve(connection: Connection, account: Account): Promise<void> {
		const task = this.#handler.serve(connection, account);
		this.#connections.set(connection, task);
		try {
			await task;
		} finally {
			// The last answer may still be on its way, for example at a drain.
			connection.finish();
			this.#connections.delete(connection);
		}
	}
}
