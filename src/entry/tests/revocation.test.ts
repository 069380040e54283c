import * as assert from 'node:assert/strict';
import * as test from 'node:test';
import type * as types from '../../generated/types.js';
import * as validators from '../../generated/forwarding.js';
import * as caches from '../cache.js';
import * as activities from '../customers/activity.js';
import * as directories from '../customers/directory.js';
import * as limiters from '../customers/limiter.js';
import * as revocation from '../customers/revocation.js';
import * as decisions from '../decisions.js';
import * as deployments from '../deployment.js';
import type * as executor from '../executor.js';
import type * as jobs from '../job.js';
import * as local from '../local.js';
import * as notices from '../notice.js';
import * as retentions from '../retention.js';
import * as sessions from '../session.js';
import * as statement from '../statement.js';
import * as callers from './fake-caller.js';
import * as fixture from './fixture.js';
import * as states from './fake-state.js';

const replyMs = 400;
const key = 'rth5mgjy5rcp';

/** Records the fields of everything that is logged. */
class Recording extends decisions.Silent {
	readonly lines: Array<{name: string; fields: decisions.Fields}> = [];

	override record(name = '', fields: decisions.Fields = {}): void {
		this.lines.push({name, fields});
	}

	override request(name = '', _id = '', fields: decisions.Fields = {}): void {
		this.lines.push({name, fields});
	}

	named(name: string): decisions.Fields[] {
		return this.lines.filter(line => line.name === name).map(({fields}) => fields);
	}
}

/** A limiter that answers when a test says so. */
class Held extends limiters.Limiter {
	released = 0;
	answer: ((admission: limiters.Admission) => void) | undefined;

	override async admit(): Promise<limiters.Admission> {
		return new Promise(resolve => {
			this.answer = resolve;
		});
	}

	override release(): void {
		this.released++;
	}
}

/** The key of each customer by name, or a configuration without the field for customers. */
type Customers = Readonly<Record<string, string>> | 'none';

const wind: Customers = {wind: key};

/** Sessions of one host. */
class Host {
	readonly fixture = new fixture.Fixture();
	readonly decisions = new Recording();
	readonly context: jobs.Context = {...this.fixture.context, decisions: this.decisions};
	readonly deployment = new deployments.Deployment(this.fixture.time, this.decisions);
	readonly activity = new activities.Activity(() => this.deployment.customers);
	readonly sessions = new Set<sessions.Session>();
	limiter: limiters.Limiter = new limiters.Unlimited();
	executor: executor.Executor = new local.Local(this.context, () => this.fixture.group);
	isCurrent = true;
	#version = 0;

	async start(customers: Customers = wind, quota = 4): Promise<void> {
		this.configure(customers);
		await this.fixture.start(undefined, quota);
	}

	/** Applies a version with customers by name, each with one key, and one route. */
	configure(customers: Customers, route: Partial<types.Route> = {}): void {
		this.#version++;
		this.accept({
			version: this.#version,
			routes: [this.fixture.route({kind: 'primary', maximumAgeMs: 0, ...route})],
			databases: [],
			idleTransactionMs: 3000,
			...(customers !== 'none' && {
				customers: Object.entries(customers).map(([name, held]) => ({
					name, priority: 0, operationsPerS: 10, burst: 5, keyDigests: [directories.digest(held)],
				})),
			}),
		});
	}

	accept(content: types.Deployment): void {
		this.deployment.accept(content, 'test');
		revocation.review(this.sessions, content.version, this.decisions);
	}

	async open(given = key): Promise<callers.Caller> {
		const client = new callers.Caller({database: 'd', key: given});
		const session = new sessions.Session(client, {
			context: this.context, deployment: this.deployment, executor: this.executor, limiter: this.limiter, activity: this.activity, isCurrent: () => this.isCurrent,
		});
		this.sessions.add(session);
		void session.run();
		await this.fixture.time.advance(1);
		return client;
	}

	/** Opens a session and returns its refusal; `undefined` if it was accepted. */
	async reject(given = key): Promise<statement.Refusal | undefined> {
		const {rejected} = await this.open(given);
		return rejected?.refusal;
	}

	/** Executes statements and returns the refusal of the last one; null if it was executed. */
	async request(client: callers.Caller, ...statements: statement.Statement[]): Promise<statement.Refusal | null | undefined> {
		for (const given of statements) {
			client.submit(given);
			await this.fixture.time.advance(replyMs);
		}

		return client.replies.at(-1)?.refusal;
	}

	get executed(): string[] {
		return this.fixture.cluster.executions.map(({text}) => text);
	}
}

const write: statement.Statement = {kind: 'direct', mode: 'write', text: 'WRITE 1 a'};
const begin: statement.Statement = {kind: 'begin', mode: 'write'};
const commit: statement.Statement = {kind: 'commit', text: 'COMMIT'};

test.test('guards against an opening with an unknown, empty, prefixed or very long key that is accepted', async () => {
	const host = new Host();
	await host.start();
	for (const wrong of ['', 'unknown', ` ${key}`, `${key} `, key.toUpperCase(), key.slice(1), directories.digest(key), 'x'.repeat(65_536)]) {
		const client = await host.open(wrong);
		assert.deepEqual([client.rejected?.refusal, client.isAccepted], ['unauthorized', false], wrong.slice(0, 20));
	}

	assert.equal(await host.reject(), undefined);
	assert.deepEqual(host.activity.refusals, [{labels: {customer: 'unknown', cause: 'unauthorized'}, value: 8}]);
	await host.fixture.stop();
});

test.test('an idle session ends at once when a version removes its key, and another customer\'s session stays open', async () => {
	const host = new Host();
	await host.start({wind: key, tide: 'other'});
	const [removed, kept] = [await host.open(), await host.open('other')];
	assert.equal(await host.request(removed, write), null);
	host.configure({tide: 'other', wind: 'replaced'});
	assert.deepEqual([removed.isClosed, kept.isClosed], [true, false]);
	assert.equal(await host.request(kept, write), null);
	assert.deepEqual(host.decisions.named('sessions-revoked'), [{
		version: 2, sessions: 1, customers: '1 wind', otherCustomers: 0,
	}]);
	assert.deepEqual(host.activity.sessions, [{labels: {customer: 'tide'}, value: 1}]);
	await host.fixture.stop();
});

test.test('a change of priority or quota, or a further key, ends no session', async () => {
	const host = new Host();
	await host.start();
	const client = await host.open();
	host.accept({
		version: 50,
		routes: [host.fixture.route()],
		databases: [],
		idleTransactionMs: 3000,
		customers: [{
			name: 'wind', priority: 2, operationsPerS: 1, burst: 1, keyDigests: [directories.digest('further'), directories.digest(key)],
		}],
	});
	assert.equal(await host.request(client, write), null);
	assert.equal(client.isClosed, false);
	await host.fixture.stop();
});

test.test('guards against a session that runs under another customer\'s name after its key was reassigned', async () => {
	const host = new Host();
	await host.start();
	const client = await host.open();
	host.configure({tide: key});
	assert.equal(client.isClosed, true);
	await host.request(client, write);
	assert.deepEqual(host.executed, []);
	await host.fixture.stop();
});

test.test('a session ends after the reply to the request in progress, and what the caller sent behind it does not run', async () => {
	const host = new Host();
	await host.start();
	const client = await host.open();
	client.submit(write);
	await host.fixture.time.advance(1);
	client.submit(write);
	host.configure({});
	assert.equal(client.isClosed, false);
	await host.fixture.time.advance(replyMs);
	assert.deepEqual([client.replies.map(({refusal}) => refusal), client.repliesAtClose], [[null], 1]);
	assert.equal(host.executed.length, 1);
	await host.fixture.stop();
});

// Guards against a transaction of a removed key that keeps its connection and its locks.
test.test('an open transaction is rolled back at once when its key is removed, and its connection serves others', async () => {
	const host = new Host();
	await host.start({wind: key, tide: 'other'}, 1);
	const [removed, kept] = [await host.open(), await host.open('other')];
	await host.request(removed, begin, write);
	assert.equal(await host.request(kept, write), 'busy');
	host.configure({tide: 'other'});
	assert.equal(removed.isClosed, true);
	assert.equal(await host.request(kept, write), null);
	assert.equal(host.executed.includes('COMMIT'), false);
	await host.fixture.stop();
});

test.test('guards against a COMMIT that is sent although the key was removed before it was read', async () => {
	const host = new Host();
	await host.start();
	const client = await host.open();
	await host.request(client, begin, write);
	client.submit(commit);
	host.configure({});
	await host.fixture.time.advance(replyMs);
	assert.deepEqual([client.replies.at(-1)?.refusal, client.replies.at(-1)?.state, client.isClosed], ['unauthorized', 'none', true]);
	assert.equal(host.executed.includes('COMMIT'), false);
	await host.fixture.stop();
});

test.test('a transaction that is being opened when the key is removed is rolled back after the reply to BEGIN', async () => {
	const host = new Host();
	await host.start();
	const client = await host.open();
	client.submit(begin);
	await host.fixture.time.advance(1);
	host.configure({});
	await host.fixture.time.advance(replyMs);
	assert.deepEqual([client.replies.length, client.isClosed], [1, true]);
	assert.equal(await host.request(client, write), null);
	assert.deepEqual(host.executed, []);
	await host.fixture.stop();
});

test.test('guards against a request that waits for its quota while the key is removed, and then runs', async () => {
	const host = new Host();
	const limiter = new Held();
	host.limiter = limiter;
	await host.start();
	const client = await host.open();
	client.submit(write);
	await host.fixture.time.advance(1);
	host.configure({tide: key});
	limiter.answer?.({kind: 'admitted'});
	await host.fixture.time.advance(replyMs);
	assert.deepEqual([client.replies.map(({refusal}) => refusal), limiter.released, client.isClosed], [['unauthorized'], 1, true]);
	assert.deepEqual(host.executed, []);
	await host.fixture.stop();
});

test.test('a session that was opened on a public route ends when the route no longer is public', async () => {
	const host = new Host();
	await host.start();
	host.configure({wind: key}, {isPublic: true});
	const [anonymous, customer] = [await host.open('any'), await host.open()];
	assert.equal(await host.request(anonymous, write), null);
	host.configure({wind: key}, {isPublic: false});
	assert.deepEqual([anonymous.isClosed, customer.isClosed], [true, true]);
	assert.equal(await host.reject('any'), 'unauthorized');
	await host.fixture.stop();
});

test.test('when the first customers appear, a session with a valid key goes on under its customer\'s name, and others end', async () => {
	const host = new Host();
	await host.start('none');
	const [valid, unknown] = [await host.open(), await host.open('any')];
	const recorded: jobs.Job[] = [];
	host.executor.run = async job => {
		recorded.push(job);
		return statement.success('none');
	};

	await host.request(valid, write);
	host.configure({wind: key});
	await host.request(valid, write);
	assert.deepEqual([valid.isClosed, unknown.isClosed], [false, true]);
	assert.deepEqual(recorded.map(({customer}) => customer), [undefined, 'wind']);
	assert.deepEqual(host.activity.sessions, [{labels: {customer: 'wind'}, value: 1}]);
	host.configure({tide: key});
	assert.equal(valid.isClosed, true);
	await host.fixture.stop();
});

test.test('when the first customers appear, a transaction that was opened without a customer is rolled back', async () => {
	const host = new Host();
	await host.start('none', 1);
	const client = await host.open();
	await host.request(client, begin, write);
	host.configure(wind);
	assert.equal(client.isClosed, true);
	await host.fixture.time.advance(replyMs);
	assert.equal(host.executed.includes('COMMIT'), false);
	await host.fixture.stop();
});

test.test('guards against a version without the field for customers that opens the system to every caller', async () => {
	const host = new Host();
	await host.start();
	host.configure({wind: key}, {isPublic: true, database: 'open'});
	const open = await host.open();
	assert.equal(open.rejected?.refusal, 'no-database');
	host.configure({wind: key});
	host.configure('none');
	assert.equal(await host.reject('any'), 'unauthorized');
	assert.equal(await host.reject(), undefined);
	assert.deepEqual(host.decisions.named('customers-kept'), [{version: 4, customers: 1}]);
	host.configure({});
	assert.equal(await host.reject(), 'unauthorized');
	await host.fixture.stop();
});

test.test('a public route stays public under a version without the field for customers', async () => {
	const host = new Host();
	await host.start();
	host.configure({wind: key}, {isPublic: true});
	host.configure('none');
	assert.equal(await host.reject('any'), undefined);
	await host.fixture.stop();
});

test.test('a host whose configuration is too old refuses new operations and sessions of customers, and ends no transaction', async () => {
	const host = new Host();
	await host.start();
	const [client, inTransaction] = [await host.open(), await host.open()];
	await host.request(inTransaction, begin, write);
	host.isCurrent = false;
	assert.equal(await host.request(client, write), 'busy');
	assert.equal(await host.request(client, begin), 'busy');
	assert.equal(await host.reject(), 'busy');
	assert.equal(await host.reject('any'), 'unauthorized');
	assert.equal(await host.request(inTransaction, commit), null);
	host.isCurrent = true;
	assert.equal(await host.request(client, write), null);
	assert.equal(client.isClosed, false);
	await host.fixture.stop();
});

test.test('a host whose configuration is too old serves public routes, and everyone without customers', async () => {
	for (const customers of ['none', {wind: key}] as const) {
		const host = new Host();
		await host.start(customers);
		host.configure(customers, {isPublic: customers !== 'none'});
		host.isCurrent = false;
		const client = await host.open('any');
		assert.equal(await host.request(client, write), null);
		await host.fixture.stop();
	}
});

// Guards against a host that learns versions only from another one and keeps sessions of a removed key.
test.test('sessions also end through a host that learns the version from another host', async () => {
	const host = new Host();
	await host.start();
	const client = await host.open();
	const [upstream, downstream] = [states.caches(host.fixture.time, host.decisions), new caches.Cache({
		kind: 'configuration',
		clock: host.fixture.time,
		decisions: host.decisions,
		retention: new retentions.ConfigurationRetention(),
		onChange(_name, item) {
			if (item?.value) {
				host.accept(item.value);
			}
		},
	})];
	upstream.configuration.listen(update => {
		const notice = notices.describe('configuration', update, 0);
		assert.ok(validators.validateEntryMessage(notice), JSON.stringify(validators.validateEntryMessage.errors));
		notices.apply({...upstream, configuration: downstream}, notice, host.fixture.time.now(), 'host-1');
	});
	upstream.configuration.apply({
		from: undefined,
		revision: 9,
		gone: [],
		items: [{
			name: 'main',
			revision: 9,
			fault: '',
			omitted: ['customer "tide": no usable key'],
			value: {
				version: 9, routes: [host.fixture.route()], databases: [], idleTransactionMs: 3000, customers: [],
			},
		}],
	}, host.fixture.time.now());
	assert.equal(client.isClosed, true);
	assert.deepEqual(host.decisions.named('entry-skipped').map(({fault}) => fault), ['customer "tide": no usable key']);
	await host.fixture.stop();
});

test.test('guards against a key in a log line, a message, a metric or a job', async () => {
	const host = new Host();
	await host.start();
	const recorded: jobs.Job[] = [];
	const {executor: running} = host;
	const run = running.run.bind(running);
	running.run = async (job, work) => {
		recorded.push(job);
		return run(job, work);
	};

	const unknown = 'secret-of-nobody';
	const clients = [await host.open(), await host.open(unknown), await host.open(`${unknown}${'x'.repeat(65_536)}`)];
	await host.request(clients[0], write);
	host.isCurrent = false;
	await host.request(clients[0], write);
	clients.push(await host.open());
	host.isCurrent = true;
	clients[0].submit(write);
	host.configure({tide: key});
	host.configure('none');
	await host.fixture.time.advance(replyMs);
	const text = JSON.stringify([
		host.decisions.lines,
		clients.map(({replies, rejected}) => [replies, rejected]),
		recorded,
		host.deployment.content,
		host.activity.operations,
		host.activity.refusals,
		host.activity.sessions,
	]);
	assert.ok(text.includes('sessions-revoked') && text.includes('session-refused') && text.includes('customers-kept'));
	assert.equal(text.includes(key), false);
	assert.equal(text.includes(unknown), false);
	await host.fixture.stop();
});
