/**
One task for each caller's connection: reads a command, has the session execute it, and writes the answer.
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

/** What serving callers needs. */
export type Parts = {
	readonly clock: clock.Clock;
	readonly random: random.Source;
	readonly dispatcher: dispatch.Dispatcher;
	readonly metrics: metrics.Metrics;
	readonly logger: log.Logger;
	/** The configuration in force; undefined before the first. */
	readonly configuration: () => types.Configuration | undefined;
};

const completion: types.Answer = {
	kind: 'ok', affectedRows: 0, insertId: 0, position: null, server: '',
};

/** Serves callers. */
export class Callers extends server.Handler<session.Account> {
	readonly #parts: Parts;
	readonly #idle = new Set<server.Connection>();
	#isDraining = false;

	constructor(parts: Parts) {
		super();
		this.#parts = parts;
	}

	override find(user: string): errors.Outcome<{account: session.Account; passwordHash: string}> {
		const configuration = this.#parts.configuration();
		if (!configuration) {
			return errors.fail('not-run', 'authenticate', user, 'this entry host has no configuration yet');
		}

		// A user named `constructor` must not find what every object inherits.
		const account = Object.hasOwn(configuration.account, user) ? configuration.account[user] : undefined;
		return account
			? Either.right({account: {name: user, service: account.service, tenant: account.tenant}, passwordHash: account.passwordHash})
			: errors.fail('denied', 'authenticate', user, 'unknown account');
	}

	override async serve(connection: server.Connection, account: session.Account): Promise<void> {
		const services = {find: (name: string) => this.#parts.configuration()?.service[name]};
		const current = new session.Session(account, services, this.#parts.dispatcher, this.#parts.random);
		try {
			for (let command = await this.#next(connection, current); command; command = await this.#next(connection, current)) {
				await this.#answer(connection, command, current, account);
			}
		} finally {
			await current.end();
		}
	}

	/** Closes connections that are idle now, and the others as soon as they are idle outside a transaction. */
	drain(): void {
		this.#isDraining = true;
		for (const connection of this.#idle) {
			connection.close();
		}
	}

	async #next(connection: server.Connection, current: session.Session): Promise<server.Command | undefined> {
		if (current.isInTransaction) {
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

	async #answer(connection: server.Connection, command: server.Command, current: session.Session, account: session.Account): Promise<void> {
		switch (command.kind) {
			case 'query': {
				await this.#query(connection, command.sql, current, account);
				break;
			}

			case 'reset': {
				await current.reset();
				connection.reply(completion);
				break;
			}

			case 'ping':
			case 'database': {
				connection.reply(completion);
				break;
			}

			case 'unsupported': {
				connection.fail(errors.failure('directive', 'parse', connection.address, `command ${command.code} of the protocol is not supported; use client-side prepared statements`));
				break;
			}
		}
	}

	async #query(connection: server.Connection, sql: string, current: session.Session, account: session.Account): Promise<void> {
		const started = this.#parts.clock.now();
		const {outcome, name} = await current.execute(sql);
		const latencyMs = this.#parts.clock.now() - started;
		const request = {tenant: account.tenant, class: name};
		if (Either.isRight(outcome)) {
			this.#parts.metrics.record(request, 'answered', latencyMs);
			connection.reply(outcome.right);
			return;
		}

		this.#parts.metrics.record(request, outcome.left.kind, latencyMs);
		if (outcome.left.kind !== 'database') {
			this.#parts.logger.warn('request failed', {...request, failure: outcome.left, latencyMs: Math.round(latencyMs)});
		}

		connection.fail(outcome.left);
	}
}
