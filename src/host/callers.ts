/**
Caller connections, with one task for each: it reads a command, executes it in the session and writes the reply.
*/
import * as Either from 'fp-ts/lib/Either.js';
import type * as clock from '../core/clock.js';
import type * as dispatch from '../core/dispatch.js';
import * as errors from '../core/errors.js';
import type * as random from '../core/random.js';
import * as session from '../core/session.js';
import type * as types from '../generated/types.js';
import * as server from '../mysql/server.js';
import type * as log from './log.js';
import type * as metrics from './metrics.js';

/** Dependencies of `Callers`. */
export type Options = {
	readonly clock: clock.Clock;
	readonly random: random.Source;
	readonly dispatcher: dispatch.Dispatcher;
	readonly metrics: metrics.Metrics;
	readonly logger: log.Logger;
	/** The active configuration; `undefined` until the first one arrives. */
	readonly configuration: () => types.Configuration | undefined;
};

const emptyAnswer: types.Answer = {
	kind: 'ok', affectedRows: 0, insertId: 0, position: null, server: '',
};

/** Authenticates callers and serves their connections. */
export class Callers extends server.Handler<session.Account> {
	readonly #options: Options;
	readonly #idle = new Set<server.Connection>();
	#isDraining = false;

	constructor(options: Options) {
		super();
		this.#options = options;
	}

	override findAccount(user: string): errors.Outcome<{account: session.Account; passwordHash: string}> {
		const configuration = this.#options.configuration();
		if (!configuration) {
			return errors.fail('not-run', 'authenticate', user, 'this entry host has no configuration yet');
		}

		// An inherited property such as `constructor` is not an account.
		const account = Object.hasOwn(configuration.account, user) ? configuration.account[user] : undefined;
		return account
			? Either.right({account: {name: user, service: account.service, tenant: account.tenant}, passwordHash: account.passwordHash})
			: errors.fail('denied', 'authenticate', user, 'unknown account');
	}

	override async serve(connection: server.Connection, account: session.Account): Promise<void> {
		const services = {find: (name: string) => this.#options.configuration()?.service[name]};
		const callerSession = new session.Session(account, services, this.#options.dispatcher, this.#options.random);
		try {
			for (let command = await this.#next(connection, callerSession); command; command = await this.#next(connection, callerSession)) {
				await this.#handleCommand(connection, command, callerSession, account);
			}
		} finally {
			await callerSession.end();
		}
	}

	/**
	Closes idle connections, and the others as soon as they are idle outside a transaction. What has arrived is read first,
	so that no connection closes with a request unread.
	*/
	async drain(): Promise<void> {
		this.#isDraining = true;
		await this.#options.clock.poll();
		for (const connection of this.#idle) {
			connection.close();
		}
	}

	async #next(connection: server.Connection, callerSession: session.Session): Promise<server.Command | undefined> {
		if (callerSession.isInTransaction) {
			return connection.next();
		}

		if (this.#isDraining && !connection.hasNext) {
			return undefined;
		}

		this.#idle.add(connection);
		const command = await connection.next();
		this.#idle.delete(connection);
		return command;
	}

	async #handleCommand(connection: server.Connection, command: server.Command, callerSession: session.Session, account: session.Account): Promise<void> {
		switch (command.kind) {
			case 'query': {
				await this.#query(connection, command.sql, callerSession, account);
				break;
			}

			case 'reset': {
				await callerSession.reset();
				connection.reply(emptyAnswer);
				break;
			}

			case 'ping':
			case 'database': {
				connection.reply(emptyAnswer);
				break;
			}

			case 'unsupported': {
				connection.fail(errors.failure('directive', 'parse', connection.address, `command ${command.code} of the protocol is not supported; use client-side prepared statements`));
				break;
			}
		}
	}

	async #query(connection: server.Connection, sql: string, callerSession: session.Session, account: session.Account): Promise<void> {
		const started = this.#options.clock.now();
		const {outcome, className} = await callerSession.execute(sql);
		const latencyMs = this.#options.clock.now() - started;
		const request = {tenant: account.tenant, class: className};
		if (Either.isRight(outcome)) {
			this.#options.metrics.recordRequest(request, 'answered', latencyMs);
			connection.reply(outcome.right);
			return;
		}

		this.#options.metrics.recordRequest(request, outcome.left.kind, latencyMs);
		if (outcome.left.kind !== 'database') {
			this.#options.logger.warn('request failed', {...request, failure: outcome.left, latencyMs: Math.round(latencyMs)});
		}

		connection.fail(outcome.left);
	}
}
