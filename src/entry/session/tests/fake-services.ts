/**
Two services behind one host, whose configuration moves the route of a session between them.
*/
import * as clock from '../../../core/clock.js';
import type * as types from '../../../generated/types.js';
import * as limiters from '../../customers/limiter.js';
import * as deployments from '../../deployment.js';
import * as local from '../../local.js';
import * as sessions from '../../session.js';
import type * as statement from '../../statement.js';
import * as callers from '../../tests/fake-caller.js';
import type * as cluster from '../../tests/fake-cluster.js';
import * as fixture from '../../tests/fixture.js';

export type Name = 'ledgers' | 'orders';

/** Longest staleness that the routes tolerate. */
export const maximumAgeMs = 1500;

/** Longer than the statement timeout of the routes. */
const maxWaitMs = 900;
const pollMs = 5;
/** Time after which servers whose registration is missing have been removed, and the leader has been found. */
const replacementMs = 4000;

/** The services, each with servers `a` (the first primary), `b` and `c`, and sessions of the database `d`. */
export class Services {
	readonly time = new clock.Manual();
	readonly all: Readonly<Record<Name, fixture.Fixture>> = {
		ledgers: new fixture.Fixture('ledgers', this.time),
		orders: new fixture.Fixture('orders', this.time),
	};

	readonly deployment = new deployments.Deployment(this.time, this.all.ledgers.decisions);
	#version = 0;

	/** Starts the services and leads the route to the first one. */
	async start(kind: types.RouteKind = 'session'): Promise<void> {
		await this.all.ledgers.start();
		await this.all.orders.start();
		this.lead('ledgers', kind);
	}

	/** Accepts a version of the configuration that leads the route to a service, or has no route. */
	lead(service: Name | 'none', kind: types.RouteKind = 'session'): void {
		this.#version++;
		const age = kind === 'primary' ? 0 : maximumAgeMs;
		const routes = service === 'none' ? [] : [this.all[service].route({kind, maximumAgeMs: age})];
		this.deployment.accept({
			version: this.#version, routes, databases: [], idleTransactionMs: 3000,
		}, 'test');
	}

	/** Opens a session. */
	async open(): Promise<callers.Caller> {
		const client = new callers.Caller();
		const {context} = this.all.ledgers;
		void new sessions.Session(client, {
			context, deployment: this.deployment, executor: new local.Local(context, service => this.all[service as Name].group), limiter: new limiters.Unlimited(),
		}).run();
		await this.time.advance(1);
		return client;
	}

	/** Sends a request and returns its reply as soon as it is there, within `waitMs`. */
	async request(client: callers.Caller, text: string, waitMs = maxWaitMs): Promise<statement.Reply> {
		const answered = client.replies.length;
		client.submit(parse(text));
		const deadline = this.time.now() + waitMs;
		while (client.replies.length === answered && this.time.now() < deadline) {
			await this.time.advance(pollMs);
		}

		const reply = client.replies.at(answered);
		if (!reply) {
			throw new Error(`no reply to ${text} after ${waitMs} ms`);
		}

		return reply;
	}

	/** Sends a request and returns the refusal that answers it; null if it was served. */
	async refusal(client: callers.Caller, text: string): Promise<statement.Refusal | null> {
		const {refusal} = await this.request(client, text);
		return refusal;
	}

	/** Cuts the replicas of a service off, or lets them receive what they lack. */
	cut(service: Name, isCut = true): void {
		const {cluster: group} = this.all[service];
		for (const server of group.servers) {
			server.isReplicationCut = isCut;
		}

		const primary = group.servers.find(({role}) => role === 'primary');
		if (!isCut && primary) {
			group.isReplicated(primary, primary.index);
		}
	}

	/** Replaces all servers of a service by others with an empty log, as if another service had got its name. */
	async rebuild(service: Name): Promise<void> {
		const {cluster: servers, group} = this.all[service];
		for (const [index, former] of servers.servers.entries()) {
			const added = servers.replace(former);
			added.index = 0;
			added.log = [];
			added.role = index === 0 ? 'primary' : 'replica';
			group.markMissing(former.name);
			group.register(servers.registration(added.name));
		}

		await this.time.advance(replacementMs);
	}

	/** The server that ran the last statement of a service, and the end of its log then. */
	lastExecution(service: Name): cluster.Execution | undefined {
		return this.all[service].cluster.executions.at(-1);
	}

	async stop(): Promise<void> {
		await this.all.ledgers.stop();
		await this.all.orders.stop();
	}
}

function parse(text: string): statement.Statement {
	switch (text) {
		case 'BEGIN':
		case 'BEGIN READ': {
			return {kind: 'begin', mode: text === 'BEGIN' ? 'write' : 'read'};
		}

		case 'COMMIT': {
			return {kind: 'commit', text};
		}

		default: {
			return {kind: 'direct', mode: text.startsWith('WRITE') ? 'write' : 'read', text};
		}
	}
}
